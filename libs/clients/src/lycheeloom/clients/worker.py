"""Client of workers: one object for all of them, called by address."""

from __future__ import annotations

import json
from base64 import b64encode
from typing import Any
from urllib.parse import quote

from .results import MALFORMED, Unavailable, read_answer, read_object, read_reason
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
_GOOD_STATUSES = (200, 202)
_REFUSALS = frozenset(
    (StartRefusal.LEASE_LAPSED, StartRefusal.NO_CAPACITY, StartRefusal.DRAINING)
)


class WorkerClient:
    """Calls any worker by its address (``"10.0.0.7:8000"``).

    ``call_timeout_s`` bounds every call but a start, which has its own bound.
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
        """Create a session, or renew ``session`` if it has not lapsed."""
        document = {"holder": holder, "ttl_ms": round(ttl_s * 1000)}
        if session:
            document["session"] = session
        response = self._post(address, "/v1/sessions", document)
        return read_answer(response, parse_session, _GOOD_STATUSES)

    def start(
        self,
        address: str,
        start: TaskStart,
        *,
        timeout_s: float,
        traceparent: str = "",
    ) -> TaskReport | StartRefused | StartUnknown:
        """Start a task and, if it waits, return its answer.

        ``timeout_s`` bounds the whole call including the run of the task. Nothing
        is retried; only ``StartRefused`` proves that the task did not run.
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
        return _read_start(response, start.task)

    def status(
        self, address: str, task: str
    ) -> TaskReport | ActionRefused | Unavailable:
        """Ask what the worker knows of a task."""
        response = self._get(address, f"/v1/tasks/{quote(task, safe='')}")
        return _read_report(response, task)

    def renew(
        self, address: str, task: str, lease_s: float, session: str
    ) -> TaskReport | ActionRefused | Unavailable:
        """Renew the lease of a running task.

        The worker refuses it as ``lease_lapsed`` once the session has lapsed, so a
        delayed renewal has no effect.
        """
        document = {"lease_ms": round(lease_s * 1000), "session": session}
        return self._act(address, task, "renew", document)

    def cancel(
        self, address: str, task: str
    ) -> TaskReport | ActionRefused | Unavailable:
        """Stop a task that its caller has cancelled."""
        return self._act(address, task, "cancel", {})

    def stop(self, address: str, task: str) -> TaskReport | ActionRefused | Unavailable:
        """Stop a task; its work is lost."""
        return self._act(address, task, "stop", {})

    def checkpoint(
        self, address: str, task: str
    ) -> TaskReport | ActionRefused | Unavailable:
        """End a task with a checkpoint from which another attempt resumes."""
        return self._act(address, task, "checkpoint", {})

    def throttle(
        self, address: str, task: str, fraction: float
    ) -> TaskReport | ActionRefused | Unavailable:
        """Run a task at a fraction of its speed and processors."""
        return self._act(address, task, "throttle", {"fraction": fraction})

    def usage(self, address: str) -> UsageReport | Unavailable:
        """Return the lagging usage report of a worker."""
        response = self._get(address, "/v1/usage")
        return read_answer(response, parse_usage, _GOOD_STATUSES)

    def close_idle(self) -> None:
        """Close connections that have been idle too long; call now and then."""
        self._transport.close_idle()

    def close(self) -> None:
        """Close all idle connections."""
        self._transport.close()

    def _act(
        self, address: str, task: str, action: str, document: dict[str, Any]
    ) -> TaskReport | ActionRefused | Unavailable:
        path = f"/v1/tasks/{quote(task, safe='')}/{action}"
        return _read_report(self._post(address, path, document), task)

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


def _read_start(
    response: Response | CallFailed, task: str
) -> TaskReport | StartRefused | StartUnknown:
    if isinstance(response, CallFailed):
        if response.sent:
            return StartUnknown(response.reason)
        return StartRefused(StartRefusal.UNREACHABLE)
    match response.status:
        case 200 | 202:
            report = read_answer(response, parse_report, _GOOD_STATUSES)
            if isinstance(report, Unavailable):
                return StartUnknown(report.reason)
            if report.task != task:
                return StartUnknown("answer of another task")
            return report
        case 400:
            return StartRefused(StartRefusal.BAD_REQUEST)
        case 409:
            return _read_refusal(response)
    return StartUnknown(read_reason(response))


def _read_refusal(response: Response) -> StartRefused | StartUnknown:
    document = read_object(response)
    reason = document.get("reason")
    if reason not in _REFUSALS:
        # "duplicate" says that an earlier start of this task had an effect.
        return StartUnknown(str(reason))
    try:
        free = parse_resources(document["free"])
    except MALFORMED:
        free = None
    return StartRefused(StartRefusal(reason), free)


def _read_report(
    response: Response | CallFailed, task: str
) -> TaskReport | ActionRefused | Unavailable:
    if isinstance(response, Response) and response.status in (400, 409):
        return ActionRefused(read_reason(response))
    report = read_answer(response, parse_report, _GOOD_STATUSES)
    if isinstance(report, TaskReport) and report.task != task:
        return Unavailable("answer of another task")
    return report
