"""Client of the workers; one client serves all of them."""

from __future__ import annotations

import json
from base64 import b64encode
from typing import Any
from urllib.parse import quote

from .results import (
    PARSE_ERRORS,
    Unavailable,
    parse_object,
    parse_response,
    read_reason,
)
from .tasks import (
    ActionRefused,
    Session,
    StartRefusal,
    StartRefused,
    StartUnknown,
    TaskReport,
    TaskStart,
    UsageReport,
    parse_report,
    parse_resources,
    parse_session,
    parse_usage,
)
from .transport import JSON_HEADERS, CallFailed, Response, Transport

CALL_TIMEOUT_S = 1.5
_SUCCESS_STATUSES = (200, 202)
_REPORTED_REFUSALS = frozenset(
    (StartRefusal.LEASE_LAPSED, StartRefusal.NO_CAPACITY, StartRefusal.DRAINING)
)


class WorkerClient:
    """Calls any worker by its address (``"10.0.0.7:8000"``).

    ``call_timeout_s`` applies to every call except ``start``, which has its own
    timeout.
    """

    def __init__(
        self,
        transport: Transport | None = None,
        *,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._transport = transport or Transport()
        self._call_timeout_s = call_timeout_s

    def open_session(
        self, address: str, holder: str, ttl_s: float, session: str = ""
    ) -> Session | Unavailable:
        """Renew ``session``, or create a new one if it is empty or has lapsed."""
        document = {"holder": holder, "ttl_ms": round(ttl_s * 1000)}
        if session:
            document["session"] = session
        response = self._post(address, "/v1/sessions", document)
        return parse_response(response, parse_session, _SUCCESS_STATUSES)

    def start(
        self,
        address: str,
        start: TaskStart,
        *,
        timeout_s: float,
        traceparent: str = "",
    ) -> TaskReport | StartRefused | StartUnknown:
        """Start a task; with ``start.wait``, return the report of its end.

        ``timeout_s`` limits the whole call, including the run of a task that is
        waited for. Nothing is retried; only ``StartRefused`` proves that the task
        did not run.
        """
        headers = JSON_HEADERS
        if traceparent:
            headers = {**JSON_HEADERS, "traceparent": traceparent}
        response = self._transport.call(
            address,
            "POST",
            f"/v1/tasks/{quote(start.task, safe='')}",
            body=_encode_start(start),
            headers=headers,
            timeout_s=timeout_s,
        )
        return _parse_start_response(response, start.task)

    def status(
        self, address: str, task: str
    ) -> TaskReport | ActionRefused | Unavailable:
        """Return the worker's report on a task."""
        response = self._get(address, f"/v1/tasks/{quote(task, safe='')}")
        return _parse_report_response(response, task)

    def renew(
        self, address: str, task: str, lease_s: float, session: str
    ) -> TaskReport | ActionRefused | Unavailable:
        """Renew the lease of a running task.

        The worker refuses it with ``lease_lapsed`` once ``session`` has lapsed, so
        that a delayed renewal has no effect.
        """
        document = {"lease_ms": round(lease_s * 1000), "session": session}
        return self._post_action(address, task, "renew", document)

    def cancel(
        self, address: str, task: str
    ) -> TaskReport | ActionRefused | Unavailable:
        """Stop a task that its caller has cancelled."""
        return self._post_action(address, task, "cancel", {})

    def stop(self, address: str, task: str) -> TaskReport | ActionRefused | Unavailable:
        """Stop a task; its work is lost."""
        return self._post_action(address, task, "stop", {})

    def checkpoint(
        self, address: str, task: str
    ) -> TaskReport | ActionRefused | Unavailable:
        """End a task with a checkpoint from which another attempt can resume."""
        return self._post_action(address, task, "checkpoint", {})

    def throttle(
        self, address: str, task: str, fraction: float
    ) -> TaskReport | ActionRefused | Unavailable:
        """Limit a task to a fraction of its speed and of its processor cores."""
        return self._post_action(address, task, "throttle", {"fraction": fraction})

    def usage(self, address: str) -> UsageReport | Unavailable:
        """Return a worker's usage report, which lags behind its actual usage."""
        response = self._get(address, "/v1/usage")
        return parse_response(response, parse_usage, _SUCCESS_STATUSES)

    def close_idle(self) -> None:
        """Close connections that have been idle too long; call it periodically."""
        self._transport.close_idle()

    def close(self) -> None:
        """Close all idle connections."""
        self._transport.close()

    def _post_action(
        self, address: str, task: str, action: str, document: dict[str, Any]
    ) -> TaskReport | ActionRefused | Unavailable:
        path = f"/v1/tasks/{quote(task, safe='')}/{action}"
        return _parse_report_response(self._post(address, path, document), task)

    def _get(self, address: str, path: str) -> Response | CallFailed:
        return self._transport.call(
            address, "GET", path, timeout_s=self._call_timeout_s
        )

    def _post(
        self, address: str, path: str, document: dict[str, Any]
    ) -> Response | CallFailed:
        return self._transport.call(
            address,
            "POST",
            path,
            body=json.dumps(document).encode(),
            timeout_s=self._call_timeout_s,
        )


def _encode_start(start: TaskStart) -> bytes:
    resources = start.resources
    document = {
        "session": start.session,
        "lease_ms": round(start.lease_s * 1000),
        "organisation": start.organisation,
        "queue": start.queue,
        "resources": {
            "cores": resources.cores,
            "memory_mb": resources.memory_mb,
            "accelerators": resources.accelerators,
        },
        "run_ms": round(start.run_s * 1000),
        "payload": b64encode(start.payload).decode(),
    }
    if start.request_id:
        document["request_id"] = start.request_id
    if start.checkpoint:
        document["checkpoint"] = start.checkpoint
    if not start.wait:
        document["wait"] = False
    return json.dumps(document).encode()


def _parse_start_response(
    response: Response | CallFailed, task: str
) -> TaskReport | StartRefused | StartUnknown:
    if isinstance(response, CallFailed):
        if response.sent:
            return StartUnknown(response.reason)
        return StartRefused(StartRefusal.UNREACHABLE)
    match response.status:
        case 200 | 202:
            report = parse_response(response, parse_report, _SUCCESS_STATUSES)
            if isinstance(report, Unavailable):
                return StartUnknown(report.reason)
            if report.task != task:
                return StartUnknown("answer of another task")
            return report
        case 400:
            return StartRefused(StartRefusal.BAD_REQUEST)
        case 409:
            return _parse_refusal(response)
    return StartUnknown(read_reason(response))


def _parse_refusal(response: Response) -> StartRefused | StartUnknown:
    document = parse_object(response)
    reason = document.get("reason")
    if reason not in _REPORTED_REFUSALS:
        # The reason "duplicate" means that an earlier start of this task took effect.
        return StartUnknown(str(reason))
    try:
        free = parse_resources(document["free"])
    except PARSE_ERRORS:
        free = None
    return StartRefused(StartRefusal(reason), free)


def _parse_report_response(
    response: Response | CallFailed, task: str
) -> TaskReport | ActionRefused | Unavailable:
    if isinstance(response, Response) and response.status in (400, 409):
        return ActionRefused(read_reason(response))
    report = parse_response(response, parse_report, _SUCCESS_STATUSES)
    if isinstance(report, TaskReport) and report.task != task:
        return Unavailable("answer of another task")
    return report
