"""HTTP interface of an entry for callers, operators and monitoring."""

from __future__ import annotations

import base64
import binascii
import hmac
import json
from collections.abc import Callable
from typing import Any

from bottle import Bottle, HTTPResponse, request
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from lycheeloom.log import LogTail, OfferResult
from lycheeloom.model.limits import MAX_BATCH_BYTES, MAX_PAYLOAD_BYTES
from lycheeloom.model.status import StatusDocument
from lycheeloom.model.verdict import Refusal, RefusalReason

from .admission import RequestHeaders
from .metrics import EntryMetrics
from .replies import Reply, refusal_reply
from .request_handler import RequestHandler
from .status_page import render_status_page

# JSON escapes make a payload at most six times as long.
MAX_BODY_BYTES = 6 * MAX_PAYLOAD_BYTES + 4096
MAX_RECORDS_BODY_BYTES = 2 * MAX_BATCH_BYTES
_JSON = "application/json"


class HttpApi:
    """Routes of one entry; ``app`` is the WSGI application."""

    def __init__(
        self,
        request_handler: RequestHandler,
        tail: LogTail,
        metrics: EntryMetrics,
        read_status: Callable[[], StatusDocument],
        is_ready: Callable[[], bool],
        explain: Callable[[str, str], list[str] | None],
        handover_token: str = "",
        update_metrics: Callable[[], None] = lambda: None,
    ) -> None:
        self.app = Bottle()
        self._request_handler = request_handler
        self._tail = tail
        self._metrics = metrics
        self._read_status = read_status
        self._update_metrics = update_metrics
        self._is_ready = is_ready
        self._explain = explain
        self._handover_token = handover_token
        self._add_routes()

    def _add_routes(self) -> None:
        route = self.app.route
        route("/v1/queues/<queue>/requests", "POST", self.submit)
        route("/v1/requests/<request_id>", "GET", self.show)
        route("/v1/requests/<request_id>", "DELETE", self.cancel)
        route("/v1/records", "POST", self.post_records)
        route("/v1/status", "GET", self.status)
        route("/v1/explain/<kind>/<name>", "GET", self.explain)
        route("/status", "GET", self.status_page)
        route("/metrics", "GET", self.metrics)
        route("/healthz", "GET", lambda: "ok\n")
        route("/readyz", "GET", self.ready)

    def submit(self, queue: str) -> HTTPResponse:
        """``POST /v1/queues/<queue>/requests``."""
        body = request.environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            message = f"the body is longer than {MAX_BODY_BYTES} bytes"
            return _respond(refusal_reply(Refusal(RefusalReason.TOO_LARGE, message)))
        headers = RequestHeaders(
            request.environ.get("HTTP_AUTHORIZATION", ""),
            request.environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            request.environ.get("HTTP_TRACEPARENT", ""),
        )
        return _respond(self._request_handler.submit(queue, headers, body))

    def show(self, request_id: str) -> HTTPResponse:
        """``GET /v1/requests/<id>?wait_ms=``."""
        try:
            wait_s = max(0, int(request.query.get("wait_ms") or 0)) / 1000
        except ValueError:
            message = "wait_ms must be a whole number of milliseconds"
            return _respond(Reply(400, {"reason": "bad_request", "message": message}))
        authorization = request.environ.get("HTTP_AUTHORIZATION", "")
        return _respond(self._request_handler.show(request_id, authorization, wait_s))

    def cancel(self, request_id: str) -> HTTPResponse:
        """``DELETE /v1/requests/<id>``."""
        authorization = request.environ.get("HTTP_AUTHORIZATION", "")
        return _respond(self._request_handler.cancel(request_id, authorization))

    def post_records(self) -> HTTPResponse:
        """``POST /v1/records``: batches that the log accepted, from an operator's tool.

        A forged batch would change the configuration of this entry, so the handover
        token in the settings is required.
        """
        authorization = request.environ.get("HTTP_AUTHORIZATION", "")
        expected = f"Bearer {self._handover_token}"
        is_known = hmac.compare_digest(authorization.encode(), expected.encode())
        if not (self._handover_token and is_known):
            message = "the handover token of this entry is needed"
            return _respond(Reply(403, {"reason": "forbidden", "message": message}))
        raw = request.environ["wsgi.input"].read(MAX_RECORDS_BODY_BYTES + 1)
        try:
            document = json.loads(raw)
            offset = int(document["offset"])
            batches = [base64.b64decode(item) for item in document["batches"]]
        except (ValueError, KeyError, TypeError, binascii.Error):
            message = 'expected {"offset": number, "batches": [base64, ...]}'
            return _respond(Reply(400, {"reason": "bad_request", "message": message}))
        results = [
            self._tail.offer(position, encoded)
            for position, encoded in enumerate(batches, offset)
        ]
        is_gap = OfferResult.GAP in results
        document = {"next_offset": self._tail.next_offset, "gap": is_gap}
        return _respond(Reply(200, document))

    def status(self) -> HTTPResponse:
        """``GET /v1/status``."""
        return HTTPResponse(
            self._read_status().model_dump_json(), 200, {"Content-Type": _JSON}
        )

    def status_page(self) -> HTTPResponse:
        """``GET /status``."""
        headers = {"Content-Type": "text/html; charset=utf-8"}
        return HTTPResponse(render_status_page(self._read_status()), 200, headers)

    def explain(self, kind: str, name: str) -> HTTPResponse:
        """``GET /v1/explain/<kind>/<id>``."""
        lines = self._explain(kind, name)
        if lines is None:
            message = f"nothing is known about {kind} {name!r}"
            return _respond(Reply(404, {"reason": "unknown", "message": message}))
        events = [{"sentence": line} for line in lines]
        return _respond(Reply(200, {"kind": kind, "id": name, "events": events}))

    def metrics(self) -> HTTPResponse:
        """``GET /metrics``; gauges are updated here, on each scrape."""
        self._update_metrics()
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return HTTPResponse(generate_latest(self._metrics.registry), 200, headers)

    def ready(self) -> HTTPResponse:
        """``GET /readyz``: 200 while this entry accepts work."""
        if self._is_ready():
            return HTTPResponse("ready\n", 200)
        return HTTPResponse("not ready\n", 503)


def _respond(reply: Reply) -> HTTPResponse:
    headers: dict[str, Any] = {"Content-Type": _JSON, **reply.headers}
    return HTTPResponse(reply.body(), reply.status, headers)
