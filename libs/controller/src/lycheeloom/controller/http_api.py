"""HTTP interface of a controller for operators and monitoring."""

from __future__ import annotations

import json
from collections.abc import Callable

from bottle import Bottle, HTTPResponse
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from lycheeloom.fleet import Planner

_JSON = {"Content-Type": "application/json"}


class HttpApi:
    """Routes of one controller; ``app`` is the WSGI application."""

    def __init__(
        self,
        planner: Planner,
        registry: CollectorRegistry,
        is_ready: Callable[[], bool],
        is_holder: Callable[[], bool],
    ) -> None:
        self.app = Bottle()
        self._planner = planner
        self._registry = registry
        self._is_ready = is_ready
        self._is_holder = is_holder
        self.app.route("/healthz", "GET", lambda: "ok\n")
        self.app.route("/readyz", "GET", self.ready)
        self.app.route("/metrics", "GET", self.metrics)
        self.app.route("/v1/explain/<kind>/<name>", "GET", self.explain)

    def ready(self) -> HTTPResponse:
        """``GET /readyz``: 200 while the log is read to its end."""
        if self._is_ready():
            return HTTPResponse("ready\n", 200)
        return HTTPResponse("not ready\n", 503)

    def metrics(self) -> HTTPResponse:
        """``GET /metrics``."""
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return HTTPResponse(generate_latest(self._registry), 200, headers)

    def explain(self, kind: str, name: str) -> HTTPResponse:
        """``GET /v1/explain/<kind>/<id>`` for an instance, pool or the fleet.

        Only the holder of the maintenance duty has explanations; others answer 404.
        """
        sentences = self._sentences(kind, name) if self._is_holder() else []
        if not sentences:
            message = f"nothing is known about {kind} {name!r}"
            body = {"reason": "unknown", "message": message}
            return HTTPResponse(json.dumps(body), 404, _JSON)
        events = [{"sentence": text} for text in sentences]
        body = {"kind": kind, "id": name, "events": events}
        return HTTPResponse(json.dumps(body), 200, _JSON)

    def _sentences(self, kind: str, name: str) -> list[str]:
        explanations = self._planner.explanations
        match kind:
            case "instance":
                if not self._planner.knows_instance(name):
                    return []
                past = [item.text for item in explanations.for_instance(name)]
                now = self._planner.describe_blocker(name)
                return past if past and past[-1] == now else [*past, now]
            case "pool":
                return [item.text for item in explanations.for_pool(name)]
            case "fleet":
                return [item.text for item in explanations.for_fleet()]
        return []
