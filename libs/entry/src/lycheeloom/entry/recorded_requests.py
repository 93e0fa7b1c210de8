"""Requests recorded in the log: submission, claims, answers and takeover."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from lycheeloom.clients import LogClient
from lycheeloom.log import (
    Effective,
    LogTail,
    LogWriter,
    NoEffect,
    NotWritten,
    RecordLost,
    RecordReader,
    ReplayedBatch,
    Unknown,
)
from lycheeloom.log import (
    Outcome as WriteOutcome,
)
from lycheeloom.model import records as r
from lycheeloom.model.limits import MAX_ANSWER_BYTES
from lycheeloom.model.records import Outcome, Record
from lycheeloom.model.verdict import MayHaveRun, NotRun, Ran, Refusal, RefusalReason
from lycheeloom.state import FleetState, RecordedRequest, RequestStatus
from lycheeloom.telemetry import log_event

from .dispatch import Dispatcher
from .local_requests import LocalRequest, LocalRequestTable, Submission
from .rendezvous import select_member

COMMIT_TIMEOUT_S = 3.0
# A claim may take this long to commit; meanwhile the attempt holds its slot.
CLAIM_WAIT_S = 5.0
RETRY_INTERVAL_S = 0.5


class RecordedRequestManager:
    """Submits recorded requests to the log and runs those that fall to this entry.

    The entry that accepted a request runs it while that entry is a member; any
    other pending request is run by the member that rendezvous hashing selects. If
    two entries disagree about the members, the first claim in the log wins.
    """

    def __init__(
        self,
        tail: LogTail,
        writer: LogWriter,
        log_client: LogClient,
        local_requests: LocalRequestTable,
        incarnation: Callable[[], str],
        may_run: Callable[[], bool],
    ) -> None:
        self.dispatcher: Dispatcher | None = None
        self._tail = tail
        self._writer = writer
        self._reader = RecordReader(tail, log_client)
        self._local_requests = local_requests
        self._incarnation = incarnation
        self._may_run = may_run
        self._waiter_by_id: dict[str, Event] = {}
        # Submissions whose record is being written; the log omits deadline and trace.
        self._submission_by_id: dict[str, Submission] = {}
        # Requests submitted here whose callers wait on their connections.
        self._awaited_ids: set[str] = set()
        # Requests that cannot run and whose cancellation is being written.
        self._cancelling_ids: set[str] = set()
        self._last_members: frozenset[str] = frozenset()
        self._draining = False
        tail.add_listener(self._on_replayed)
        tail.add_reset_listener(self._on_reset)

    def submit(
        self, submission: Submission, digest: bytes
    ) -> RecordedRequest | Refusal | MayHaveRun:
        """Record a request, or find the one with the same idempotency key."""
        known = self._find_by_idempotency_key(submission, digest)
        if known is not None:
            return known
        record = r.RequestSubmitted(
            request_id=submission.request_id,
            organisation=submission.organisation,
            queue=submission.queue,
            payload=submission.payload,
            idempotent=submission.idempotent,
            idempotency_key=submission.idempotency_key,
            body_digest=digest,
            resources=submission.resources,
            run_ms=round(submission.run_s * 1000),
            urgent=submission.urgent,
            checkpointable=submission.checkpointable,
        )
        self._submission_by_id[submission.request_id] = submission
        if submission.wait:
            self._awaited_ids.add(submission.request_id)
        outcome = self._writer.append(record).wait(COMMIT_TIMEOUT_S)
        self._submission_by_id.pop(submission.request_id, None)
        match outcome:
            case Effective():
                return self._tail.state.requests.request_by_id[submission.request_id]
            case NotWritten(reason):
                message = f"the request could not be recorded: {reason}"
                return Refusal(RefusalReason.LOG_UNAVAILABLE, message, 2.0)
            case NoEffect():
                known = self._find_by_idempotency_key(submission, digest)
                if known is not None:
                    return known
                message = "another request has the same id"
                return Refusal(RefusalReason.IDEMPOTENCY_CONFLICT, message)
            case Unknown(reason):
                return MayHaveRun(
                    f"recording is not confirmed ({reason}); repeat the request with "
                    "the same Idempotency-Key to learn its outcome"
                )

    def stop_awaiting(self, request_id: str) -> None:
        """Note that the caller of a request submitted here has stopped waiting."""
        self._awaited_ids.discard(request_id)

    def cancel(self, request: RecordedRequest) -> WriteOutcome:
        """Record the cancellation of a pending request."""
        record = r.RequestCancelled(request.request_id)
        return self._writer.append(record).wait(COMMIT_TIMEOUT_S)

    def claim(
        self, local: LocalRequest, attempt: int, worker: str, boot_id: str
    ) -> str | None:
        """Record an attempt; return why it must not start, or None."""
        record = r.RequestClaimed(local.id, attempt, worker, boot_id)
        match self._writer.append(record).wait_settled(CLAIM_WAIT_S):
            case Effective():
                return None
            case NoEffect():
                local.is_claimed_elsewhere = True
                return "the request is claimed, finished or cancelled"
            case Unknown() if self._is_own_claim(local.id, attempt):
                # The claim was replayed as part of a snapshot.
                return None
            case NotWritten(reason) | Unknown(reason):
                # No record has the attempt number, so it can be used again.
                local.attempt -= 1
                return f"the claim was not recorded: {reason}"

    def release(self, local: LocalRequest, attempt: int) -> bool:
        """Release this entry's claim, if any; return whether it holds none now."""
        if not self._is_own_claim(local.id, attempt):
            return True
        outcome = self._write(r.RequestReleased(local.id, attempt, local.checkpoint))
        return isinstance(outcome, Effective)

    def record_verdict(self, local: LocalRequest) -> None:
        """Record the verdict of a settled request; called in its own greenlet."""
        match local.verdict:
            case Ran(answer) if len(answer) <= MAX_ANSWER_BYTES:
                record: Record = r.RequestFinished(
                    local.id, local.attempt, Outcome.RAN, answer
                )
            case Ran(answer):
                message = f"it ran; its answer has {len(answer)} bytes, "
                message += f"of which {MAX_ANSWER_BYTES} can be kept"
                record = _may_have_run(local.id, local.attempt, message)
            case MayHaveRun(message):
                record = _may_have_run(local.id, local.attempt, message)
            case NotRun():
                self.release(local, local.attempt)
                record = r.RequestCancelled(local.id)
            case _:
                return
        outcome = self._write(record)
        if isinstance(outcome, NoEffect) and isinstance(local.verdict, MayHaveRun):
            # The claim was released for a retry that was then refused; without
            # this the request would stay pending and no entry would run it.
            self._local_requests.remove(local)
            self._take_over_again(local.id)

    def wait(self, request_id: str, timeout_s: float) -> RecordedRequest | None:
        """Wait for a request to finish; return its state then, or None if unknown."""
        request = self._tail.state.requests.request_by_id.get(request_id)
        if request is None or request.status is RequestStatus.FINISHED:
            return request
        waiter = self._waiter_by_id.setdefault(request_id, Event())
        waiter.wait(min(timeout_s, COMMIT_TIMEOUT_S) if self._draining else timeout_s)
        return self._tail.state.requests.request_by_id.get(request_id)

    def release_waiters(self) -> None:
        """End all waits for recorded requests, as this entry shuts down.

        The callers can get the answers from other entries. Otherwise the shutdown
        would wait for requests that other entries take over only after it.
        """
        self._draining = True
        for waiter in self._waiter_by_id.values():
            waiter.set()
        self._waiter_by_id.clear()

    def read_answer(self, request: RecordedRequest) -> bytes | RecordLost | None:
        """Return the answer of a finished request, or None if not readable now."""
        record = self._reader.answer(request.answer_offset, request.request_id)
        return record.answer if isinstance(record, r.RequestFinished) else record

    def reassign_pending(self) -> None:
        """Take over or drop pending requests after the members changed."""
        requests = self._tail.state.requests
        for request_id in list(requests.pending):
            request = requests.request_by_id[request_id]
            local = self._local_requests.by_id.get(request_id)
            if self.should_run(request):
                if local is None:
                    gevent.spawn(self._take_over, request)
                continue
            if local is not None and local.verdict is None:
                self.dispatcher.withdraw(local)

    def should_run(self, request: RecordedRequest) -> bool:
        """Tell whether this entry should run a pending request.

        A draining entry still runs requests whose callers wait on its connections.
        """
        members = [m.incarnation for m in self._tail.state.members.active()]
        own = self._incarnation()
        is_awaited = request.request_id in self._awaited_ids
        if not self._may_run() and not (is_awaited and own in members):
            return False
        if request.submitted_by in members:
            return request.submitted_by == own
        return select_member(request.request_id, members) == own

    def _find_by_idempotency_key(
        self, submission: Submission, digest: bytes
    ) -> RecordedRequest | Refusal | None:
        if not submission.idempotency_key:
            return None
        known = self._tail.state.requests.find_by_key(
            submission.organisation, submission.idempotency_key
        )
        if known is None or known.body_digest == digest:
            return known
        message = "the Idempotency-Key was used with another request"
        return Refusal(RefusalReason.IDEMPOTENCY_CONFLICT, message)

    def _on_replayed(self, replayed: ReplayedBatch) -> None:
        if replayed.applied.is_repeat:
            return
        effects = replayed.applied.effective
        for record, is_effective in zip(replayed.batch.records, effects, strict=True):
            if is_effective:
                self._on_record(record)
        members = frozenset(m.incarnation for m in self._tail.state.members.active())
        if members != self._last_members:
            self._last_members = members
            self.reassign_pending()

    def _on_reset(self, state: FleetState) -> None:
        """Catch up with a loaded snapshot, which stands for records not seen here."""
        for request_id in list(self._waiter_by_id):
            request = state.requests.request_by_id.get(request_id)
            if request is None or request.status is RequestStatus.FINISHED:
                self._wake_waiter(request_id)
        self.reassign_pending()

    def _wake_waiter(self, request_id: str) -> None:
        waiter = self._waiter_by_id.pop(request_id, None)
        if waiter is not None:
            waiter.set()

    def _on_record(self, record: Record) -> None:
        match record:
            case r.RequestSubmitted() | r.RequestReleased():
                self._enqueue_if_own(record)
            case r.RequestFinished(request_id) | r.RequestCancelled(request_id):
                self._wake_waiter(request_id)
                if isinstance(record, r.RequestCancelled):
                    self._drop_cancelled(request_id)
            case _:
                pass

    def _enqueue_if_own(self, record: r.RequestSubmitted | r.RequestReleased) -> None:
        request = self._tail.state.requests.request_by_id.get(record.request_id)
        if request is None or request.request_id in self._local_requests.by_id:
            return
        if request.status is not RequestStatus.PENDING or not self.should_run(request):
            return
        if isinstance(record, r.RequestSubmitted):
            self._enqueue(request, record.payload)
            return
        gevent.spawn(self._take_over, request)

    def _drop_cancelled(self, request_id: str) -> None:
        local = self._local_requests.by_id.get(request_id)
        if local is not None and local.verdict is None:
            self.dispatcher.cancel(local)

    def _take_over(self, request: RecordedRequest) -> None:
        submitted = self._reader.submission(request.body_offset, request.request_id)
        if isinstance(submitted, RecordLost):
            log_event("request_body_lost", "ERROR", request=request.request_id)
            self._cancel_refused(request.request_id)
            return
        if submitted is None:
            log_event("request_body_unavailable", "WARNING", request=request.request_id)
            gevent.sleep(RETRY_INTERVAL_S)
            gevent.spawn(self._take_over_again, request.request_id)
            return
        self._enqueue(request, submitted.payload)

    def _take_over_again(self, request_id: str) -> None:
        request = self._tail.state.requests.request_by_id.get(request_id)
        if request is None or request.status is not RequestStatus.PENDING:
            return
        if self.should_run(request):
            self._take_over(request)

    def _enqueue(self, request: RecordedRequest, payload: bytes) -> None:
        if request.request_id in self._local_requests.by_id:
            return
        if request.status is not RequestStatus.PENDING:
            return
        submission = self._submission_by_id.get(request.request_id)
        if submission is None:
            submission = _submission_from_record(request, payload)
        local = LocalRequest(
            submission,
            is_recorded=True,
            attempt=request.attempt,
            checkpoint=request.checkpoint,
        )
        refusal = self.dispatcher.submit(local)
        if refusal is None:
            return
        if refusal.retry_after_s is not None:
            gevent.spawn_later(
                refusal.retry_after_s, self._take_over_again, request.request_id
            )
            return
        log_event(
            "recorded_request_refused",
            "WARNING",
            request=request.request_id,
            reason=refusal.reason,
            message=refusal.message,
        )
        gevent.spawn(self._cancel_refused, request.request_id)

    def _cancel_refused(self, request_id: str) -> None:
        """Cancel a request that cannot run, with at most one record in flight.

        In a log outage the request stays pending, so each change of the members
        calls this again.
        """
        if request_id in self._cancelling_ids:
            return
        self._cancelling_ids.add(request_id)
        try:
            self._write(r.RequestCancelled(request_id))
        finally:
            self._cancelling_ids.discard(request_id)

    def _is_own_claim(self, request_id: str, attempt: int) -> bool:
        request = self._tail.state.requests.find_claim(request_id, attempt)
        return request is not None and request.holder == self._incarnation()

    def _write(self, record: Record) -> WriteOutcome:
        """Append a record; repeat while it is not written and the author unchanged."""
        author = self._incarnation()
        while True:
            outcome = self._writer.append(record).wait_settled(COMMIT_TIMEOUT_S)
            if not isinstance(outcome, NotWritten) or author != self._incarnation():
                return outcome
            gevent.sleep(RETRY_INTERVAL_S)


def _submission_from_record(request: RecordedRequest, payload: bytes) -> Submission:
    return Submission(
        request_id=request.request_id,
        organisation=request.organisation,
        queue=request.queue,
        payload=payload,
        resources=request.resources,
        run_s=request.run_ms / 1000,
        submitted_at=time.monotonic(),
        idempotent=request.idempotent,
        idempotency_key=request.idempotency_key,
        urgent=request.urgent,
        checkpointable=request.checkpointable,
        wait=False,
    )


def _may_have_run(request_id: str, attempt: int, message: str) -> r.RequestFinished:
    return r.RequestFinished(
        request_id, attempt, Outcome.MAY_HAVE_RUN, message.encode()
    )
