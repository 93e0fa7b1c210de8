"""Recorded requests: their status, holder and the offsets of body and answer.

Bodies and answers stay in the log; the state keeps their offsets. Appending the
same submission or answer again updates its offset, which keeps the record beyond the
log's retention.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from pydantic import ConfigDict

from lycheeloom.model.records import (
    Outcome,
    RequestClaimed,
    RequestFinished,
    RequestReleased,
    RequestSubmitted,
)
from lycheeloom.model.resources import Resources


class RequestStatus(StrEnum):
    """Status of a recorded request."""

    PENDING = "pending"
    CLAIMED = "claimed"
    FINISHED = "finished"


@dataclass(slots=True)
class RecordedRequest:
    """A request recorded in the log, so that it survives the loss of every entry.

    ``body_offset``, ``submitted_at``, ``answer_offset`` and ``finished_at`` are
    offsets; ``submitted_by`` and ``holder`` are incarnations.
    """

    # Pydantic writes bytes to JSON as UTF-8 by default, and a digest is rarely valid
    # UTF-8.
    __pydantic_config__ = ConfigDict(ser_json_bytes="base64", val_json_bytes="base64")

    request_id: str
    organisation: str
    queue: str
    idempotent: bool
    idempotency_key: str
    body_digest: bytes
    resources: Resources
    run_ms: int
    urgent: bool
    body_offset: int
    submitted_at: int
    submitted_by: str = ""
    checkpointable: bool = False
    checkpoint: str = ""
    status: RequestStatus = RequestStatus.PENDING
    attempt: int = 0
    holder: str = ""
    worker: str = ""
    worker_boot: str = ""
    outcome: Outcome | None = None
    answer_offset: int | None = None
    finished_at: int | None = None


@dataclass(slots=True)
class Requests:
    """Recorded requests that are unfinished or whose answer has not expired."""

    request_by_id: dict[str, RecordedRequest] = field(default_factory=dict)
    id_by_key: dict[str, str] = field(default_factory=dict)
    pending: dict[str, None] = field(default_factory=dict)
    claimed: dict[str, None] = field(default_factory=dict)

    def find_by_key(self, organisation: str, key: str) -> RecordedRequest | None:
        """Return the request that an organisation submitted with an idempotency key."""
        request_id = self.id_by_key.get(_scoped_key(organisation, key))
        return self.request_by_id.get(request_id) if request_id else None

    def submit(self, offset: int, author: str, record: RequestSubmitted) -> bool:
        """Add a request, or update the body offset of a known one."""
        known = self.request_by_id.get(record.request_id)
        if known is not None:
            if known.body_digest != record.body_digest:
                return False
            known.body_offset = offset
            return True
        if record.idempotency_key:
            key = _scoped_key(record.organisation, record.idempotency_key)
            if key in self.id_by_key:
                return False
            self.id_by_key[key] = record.request_id
        self.request_by_id[record.request_id] = RecordedRequest(
            request_id=record.request_id,
            organisation=record.organisation,
            queue=record.queue,
            idempotent=record.idempotent,
            idempotency_key=record.idempotency_key,
            body_digest=record.body_digest,
            resources=record.resources,
            run_ms=record.run_ms,
            urgent=record.urgent,
            body_offset=offset,
            submitted_at=offset,
            submitted_by=author,
            checkpointable=record.checkpointable,
        )
        self.pending[record.request_id] = None
        return True

    def claim(self, author: str, record: RequestClaimed) -> bool:
        """Let the author start the next attempt of a pending request."""
        request = self.request_by_id.get(record.request_id)
        if request is None or request.status is not RequestStatus.PENDING:
            return False
        if record.attempt != request.attempt + 1:
            return False
        request.status = RequestStatus.CLAIMED
        request.attempt = record.attempt
        request.holder = author
        request.worker = record.worker
        request.worker_boot = record.worker_boot
        del self.pending[record.request_id]
        self.claimed[record.request_id] = None
        return True

    def release(self, record: RequestReleased) -> bool:
        """Make a claimed request pending again."""
        request_id = record.request_id
        request = self.find_claim(request_id, record.attempt)
        if request is None:
            return False
        request.checkpoint = record.checkpoint or request.checkpoint
        request.status = RequestStatus.PENDING
        request.holder = ""
        del self.claimed[request_id]
        self.pending[request_id] = None
        return True

    def finish(self, offset: int, record: RequestFinished) -> bool:
        """Finish a claimed request, or update the offset of its kept answer."""
        request = self.request_by_id.get(record.request_id)
        if request is None or request.attempt != record.attempt:
            return False
        if request.status is RequestStatus.FINISHED:
            if request.outcome is not record.outcome:
                return False
            request.answer_offset = offset
            return True
        if request.status is not RequestStatus.CLAIMED:
            return False
        del self.claimed[record.request_id]
        self._mark_finished(request, offset, record.outcome)
        request.answer_offset = offset
        return True

    def cancel(self, offset: int, request_id: str) -> bool:
        """Finish a pending request as not run."""
        request = self.request_by_id.get(request_id)
        if request is None or request.status is not RequestStatus.PENDING:
            return False
        del self.pending[request_id]
        self._mark_finished(request, offset, Outcome.NOT_RUN)
        return True

    def expire(self, through_offset: int, queue: str) -> None:
        """Drop requests finished at or before an offset, of one queue or of all."""
        for request in list(self.request_by_id.values()):
            if request.finished_at is None or request.finished_at > through_offset:
                continue
            if queue and request.queue != queue:
                continue
            del self.request_by_id[request.request_id]
            if request.idempotency_key:
                del self.id_by_key[
                    _scoped_key(request.organisation, request.idempotency_key)
                ]

    def find_claim(self, request_id: str, attempt: int) -> RecordedRequest | None:
        """Return the request if it is claimed with this attempt number."""
        request = self.request_by_id.get(request_id)
        if request is None or request.status is not RequestStatus.CLAIMED:
            return None
        return request if request.attempt == attempt else None

    def _mark_finished(
        self, request: RecordedRequest, offset: int, outcome: Outcome
    ) -> None:
        request.status = RequestStatus.FINISHED
        request.outcome = outcome
        request.finished_at = offset


def _scoped_key(organisation: str, key: str) -> str:
    return f"{organisation}\n{key}"
