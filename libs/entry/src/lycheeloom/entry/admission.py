"""Validation and authorisation of callers' requests."""

from __future__ import annotations

import json
import time
import uuid
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from lycheeloom.model.config import FleetConfig, Queue, QueueKind
from lycheeloom.model.keys import verify_key
from lycheeloom.model.limits import MAX_PAYLOAD_BYTES
from lycheeloom.model.resources import Resources
from lycheeloom.model.verdict import Refusal, RefusalReason

from .local_requests import Submission

# An interactive request without a deadline is refused after waiting this long.
DEFAULT_WAIT_S = 30.0
MAX_KEY_LENGTH = 128


class RequestDocument(BaseModel):
    """The JSON body of a submission; times are in milliseconds."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    payload: Any = ""
    idempotent: bool | None = None
    cores: float = Field(default=1.0, gt=0)
    memory_mb: int = Field(default=256, ge=0)
    accelerators: int = Field(default=0, ge=0)
    run_ms: int = Field(default=100, ge=0)
    deadline_ms: int | None = Field(default=None, gt=0)
    urgent: bool = False
    checkpointable: bool = False
    wait: bool = True


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """The headers of a submission that an entry reads."""

    authorization: str = ""
    idempotency_key: str = ""
    traceparent: str = ""


def check_request(
    config: FleetConfig, queue_id: str, headers: RequestHeaders, body: bytes
) -> Submission | Refusal:
    """Return a validated submission, or why the request is refused."""
    queue = config.queue_by_id.get(queue_id)
    if queue is None:
        return Refusal(RefusalReason.UNKNOWN_QUEUE, f"no queue {queue_id!r}")
    organisation = find_organisation(config, queue, headers.authorization)
    if isinstance(organisation, Refusal):
        return organisation
    document = _parse_body(body)
    if isinstance(document, Refusal):
        return document
    if len(headers.idempotency_key) > MAX_KEY_LENGTH:
        message = f"Idempotency-Key is longer than {MAX_KEY_LENGTH} characters"
        return Refusal(RefusalReason.BAD_REQUEST, message)
    payload = _encode_payload(document.payload)
    if len(payload) > MAX_PAYLOAD_BYTES:
        message = f"the payload has {len(payload)} bytes, allowed {MAX_PAYLOAD_BYTES}"
        return Refusal(RefusalReason.TOO_LARGE, message)
    return _build(queue, organisation, document, payload, headers)


def find_organisation(
    config: FleetConfig, queue: Queue, authorization: str
) -> str | Refusal:
    """Return the organisation that a request is charged to, or a refusal.

    A request without a key to a queue that is open to all is charged to the
    organisation that the queue lists.
    """
    if not authorization:
        if queue.open_to_all and queue.organisations:
            return min(queue.organisations)
        message = "an Authorization header with an organisation key is needed"
        return Refusal(RefusalReason.KEY_MISSING, message)
    scheme, _, token = authorization.partition(" ")
    key = verify_key(config, token.strip()) if scheme.lower() == "bearer" else None
    if key is None:
        return Refusal(RefusalReason.KEY_REJECTED, "the key is not in force")
    if key.organisation not in queue.organisations and not queue.open_to_all:
        message = f"organisation {key.organisation!r} may not use queue {queue.id!r}"
        return Refusal(RefusalReason.ORGANISATION_NOT_ALLOWED, message)
    return key.organisation


def _parse_body(body: bytes) -> RequestDocument | Refusal:
    try:
        return RequestDocument.model_validate_json(body or b"{}")
    except ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(str(part) for part in item['loc']) or 'body'}: {item['msg']}"
            for item in error.errors()
        )
        return Refusal(RefusalReason.BAD_REQUEST, problems)


def _encode_payload(payload: Any) -> bytes:
    if isinstance(payload, str):
        return payload.encode()
    return json.dumps(payload, separators=(",", ":")).encode()


def _build(
    queue: Queue,
    organisation: str,
    document: RequestDocument,
    payload: bytes,
    headers: RequestHeaders,
) -> Submission:
    now = time.monotonic()
    deadline = None
    if document.deadline_ms is not None:
        deadline = now + document.deadline_ms / 1000
    elif document.wait and queue.kind is QueueKind.INTERACTIVE:
        deadline = now + DEFAULT_WAIT_S
    is_idempotent = document.idempotent
    return Submission(
        request_id=uuid.uuid4().hex,
        organisation=organisation,
        queue=queue.id,
        payload=payload,
        resources=Resources(document.cores, document.memory_mb, document.accelerators),
        run_s=document.run_ms / 1000,
        submitted_at=now,
        deadline=deadline,
        idempotent=queue.idempotent if is_idempotent is None else is_idempotent,
        idempotency_key=headers.idempotency_key,
        urgent=document.urgent,
        checkpointable=document.checkpointable,
        wait=document.wait,
        traceparent=headers.traceparent,
    )
