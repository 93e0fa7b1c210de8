"""HTTP replies for verdicts and refusals."""

from __future__ import annotations

import base64
import json
import math
from dataclasses import dataclass, field
from typing import Any

from lycheeloom.model.verdict import (
    MayHaveRun,
    NotRun,
    Ran,
    Refusal,
    RefusalReason,
    Verdict,
)

STATUS_BY_REASON = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.UNKNOWN_QUEUE: 404,
    RefusalReason.KEY_MISSING: 401,
    RefusalReason.KEY_REJECTED: 401,
    RefusalReason.ORGANISATION_NOT_ALLOWED: 403,
    RefusalReason.IDEMPOTENCY_CONFLICT: 409,
    RefusalReason.NEVER_FITS: 422,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.DEADLINE: 504,
    RefusalReason.CANCELLED: 409,
    RefusalReason.STALE_ENTRY: 503,
    RefusalReason.LOG_UNAVAILABLE: 503,
    RefusalReason.DRAINING: 503,
    RefusalReason.NO_WORKER: 503,
}
MAY_HAVE_RUN_STATUS = 502


@dataclass(frozen=True, slots=True)
class Reply:
    """Status, JSON document and extra headers of an HTTP reply."""

    status: int
    document: dict[str, Any]
    headers: dict[str, str] = field(default_factory=dict)

    def body(self) -> bytes:
        """Return the document as JSON."""
        return json.dumps(self.document, separators=(",", ":")).encode()


def refusal_reply(refusal: Refusal, request_id: str = "") -> Reply:
    """Return the reply for a request that certainly did not run."""
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    document = {
        "verdict": "not_run",
        "reason": refusal.reason.value,
        "message": refusal.message,
    }
    if request_id:
        document["request_id"] = request_id
    return Reply(STATUS_BY_REASON[refusal.reason], document, headers)


def verdict_reply(request_id: str, verdict: Verdict) -> Reply:
    """Return the reply for a request that has a verdict."""
    match verdict:
        case Ran(answer):
            return ran_reply(request_id, answer)
        case MayHaveRun(message):
            return may_have_run_reply(request_id, message)
        case NotRun(refusal):
            return refusal_reply(refusal, request_id)


def ran_reply(request_id: str, answer: bytes) -> Reply:
    """Return the reply with a task's answer, as text if it is UTF-8, else in base64."""
    document: dict[str, Any] = {"request_id": request_id, "verdict": "ran"}
    try:
        document["answer"] = answer.decode()
    except UnicodeDecodeError:
        document["answer_base64"] = base64.b64encode(answer).decode()
    return Reply(200, document)


def may_have_run_reply(request_id: str, message: str) -> Reply:
    """Return the reply for a request that may have run."""
    document = {
        "request_id": request_id,
        "verdict": "may_have_run",
        "reason": "no_proof",
        "message": message,
    }
    return Reply(MAY_HAVE_RUN_STATUS, document)


def answer_lost_reply(request_id: str) -> Reply:
    """Return the reply for a request that ran and whose answer the log dropped."""
    document = {
        "request_id": request_id,
        "verdict": "ran",
        "reason": "answer_lost",
        "message": "it ran, but the log no longer holds its answer",
    }
    return Reply(410, document)


def progress_reply(request_id: str, status: str) -> Reply:
    """Return the reply for an accepted request without a verdict yet."""
    document = {"request_id": request_id, "status": status}
    return Reply(202, document)
