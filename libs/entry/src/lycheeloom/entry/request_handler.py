"""Handling of callers' requests, from validation to the reply."""

from __future__ import annotations

import hashlib
import time

from lycheeloom.cluster import Freshness
from lycheeloom.log import Effective, LogTail, NotWritten, RecordLost
from lycheeloom.model.limits import FRESHNESS_S
from lycheeloom.model.records import Outcome
from lycheeloom.model.verdict import MayHaveRun, NotRun, Ran, Refusal, RefusalReason
from lycheeloom.state import RecordedRequest, RequestStatus
from lycheeloom.telemetry.traces import Tracer

from .admission import RequestHeaders, check_request, find_organisation
from .dispatch import Dispatcher
from .local_requests import LocalRequest, LocalRequestTable, Submission
from .metrics import EntryMetrics
from .recorded_requests import RecordedRequestManager
from .replies import (
    Reply,
    answer_lost_reply,
    may_have_run_reply,
    progress_reply,
    ran_reply,
    refusal_reply,
    verdict_reply,
)

# A caller that has waited this long gets the request id, to ask for the verdict later.
MAX_WAIT_S = 120.0


class RequestHandler:
    """Submits, shows and cancels requests for the HTTP interface.

    A recorded request is in the log, and any entry can tell its outcome. An unrecorded
    one is known only to the entry that accepted it.
    """

    def __init__(
        self,
        tail: LogTail,
        freshness: Freshness,
        local_requests: LocalRequestTable,
        dispatcher: Dispatcher,
        recorded_requests: RecordedRequestManager,
        metrics: EntryMetrics,
        tracer: Tracer,
    ) -> None:
        self.is_draining = False
        # Submissions and reads whose callers wait for the reply now.
        self.open_requests = 0
        self._tail = tail
        self._freshness = freshness
        self._local_requests = local_requests
        self._dispatcher = dispatcher
        self._recorded_requests = recorded_requests
        self._metrics = metrics
        self._tracer = tracer

    def submit(self, queue: str, headers: RequestHeaders, body: bytes) -> Reply:
        """Submit a request; reply with its verdict, or with its progress."""
        self.open_requests += 1
        try:
            with self._tracer.span("request", headers.traceparent, queue=queue) as span:
                headers = RequestHeaders(
                    headers.authorization, headers.idempotency_key, span.traceparent
                )
                reply = self._submit(queue, headers, body)
                span.set("status", reply.status)
                return reply
        finally:
            self.open_requests -= 1

    def show(self, request_id: str, authorization: str, wait_s: float) -> Reply:
        """Reply with a request's verdict, or with its progress after ``wait_s``."""
        self.open_requests += 1
        try:
            return self._show(request_id, authorization, min(wait_s, MAX_WAIT_S))
        finally:
            self.open_requests -= 1

    def cancel(self, request_id: str, authorization: str) -> Reply:
        """Cancel a request and reply with its verdict, or with its progress."""
        found = self._find(request_id, authorization)
        if isinstance(found, Reply):
            return found
        local = self._local_requests.by_id.get(request_id)
        if isinstance(found, RecordedRequest):
            return self._cancel_recorded(found, local)
        self._dispatcher.cancel(found)
        found.settled.wait(FRESHNESS_S)
        return self._show(request_id, authorization, 0.0)

    def _submit(self, queue: str, headers: RequestHeaders, body: bytes) -> Reply:
        refusal = self._check_accepting()
        if refusal is not None:
            return self._refuse(refusal)
        submission = check_request(self._tail.state.config, queue, headers, body)
        if isinstance(submission, Refusal):
            return self._refuse(submission)
        if submission.is_recorded:
            return self._submit_recorded(submission, body)
        local = LocalRequest(submission)
        refusal = self._dispatcher.submit(local)
        if refusal is not None:
            return self._refuse(refusal, local.id)
        if not local.settled.wait(MAX_WAIT_S):
            return progress_reply(local.id, "running")
        return verdict_reply(local.id, local.verdict)

    def _check_accepting(self) -> Refusal | None:
        if self.is_draining:
            return Refusal(RefusalReason.DRAINING, "this entry is shutting down", 1.0)
        if not self._freshness.is_fresh():
            message = "this entry has no recent contact with the log or its peers"
            return Refusal(RefusalReason.STALE_ENTRY, message, 1.0)
        return None

    def _refuse(self, refusal: Refusal, request_id: str = "") -> Reply:
        self._metrics.refusals.labels(refusal.reason).inc()
        return refusal_reply(refusal, request_id)

    def _submit_recorded(self, submission: Submission, body: bytes) -> Reply:
        log_age_s = time.monotonic() - self._tail.last_read_sent_at
        if log_age_s > FRESHNESS_S:
            message = "the log is not available, and the request needs a record in it"
            return self._refuse(Refusal(RefusalReason.LOG_UNAVAILABLE, message, 2.0))
        digest = hashlib.sha256(submission.queue.encode() + b"\n" + body).digest()
        try:
            result = self._recorded_requests.submit(submission, digest)
            match result:
                case Refusal():
                    return self._refuse(result)
                case MayHaveRun(message):
                    return may_have_run_reply(submission.request_id, message)
            if not submission.wait:
                return progress_reply(result.request_id, result.status.value)
            if result.request_id == submission.request_id:
                return self._await_local_verdict(result.request_id)
            return self._await_recorded_outcome(result.request_id, MAX_WAIT_S)
        finally:
            self._recorded_requests.stop_awaiting(submission.request_id)

    def _await_local_verdict(self, request_id: str) -> Reply:
        """Wait for the verdict of a recorded request that was submitted here.

        An answer is returned without waiting for its commit. The other verdicts are
        returned only once they are in the log: until "not run" is recorded, another
        entry could still take the request over.
        """
        give_up_at = time.monotonic() + MAX_WAIT_S
        local = self._local_requests.by_id.get(request_id)
        if (
            local is not None
            and local.settled.wait(MAX_WAIT_S)
            and isinstance(local.verdict, Ran)
        ):
            return ran_reply(request_id, local.verdict.answer)
        return self._await_recorded_outcome(request_id, give_up_at - time.monotonic())

    def _await_recorded_outcome(self, request_id: str, wait_s: float) -> Reply:
        """Wait until a recorded request is finished in the log, and return the reply.

        Replies to later calls and to repeated submissions come from the log only, so
        that all entries give the same one: if this entry is lost before its verdict is
        recorded, another entry records that the request may have run.
        """
        request = self._recorded_requests.wait(request_id, max(0.0, wait_s))
        if request is None:
            return _unknown_request(request_id)
        return self._recorded_reply(request)

    def _recorded_reply(self, request: RecordedRequest) -> Reply:
        request_id = request.request_id
        if request.status is not RequestStatus.FINISHED:
            return progress_reply(request_id, request.status.value)
        if request.outcome is Outcome.NOT_RUN:
            if request.idempotent and request.attempt > 0:
                # The claim was released without proof that no attempt has run.
                return may_have_run_reply(request_id, "cancelled after an attempt")
            local = self._local_requests.by_id.get(request_id)
            if local is not None and isinstance(local.verdict, NotRun):
                return refusal_reply(local.verdict.refusal, request_id)
            refusal = Refusal(RefusalReason.CANCELLED, "cancelled before it ran")
            return refusal_reply(refusal, request_id)
        answer = self._recorded_requests.read_answer(request)
        if answer is None:
            return progress_reply(request_id, "finished, answer not readable now")
        if isinstance(answer, RecordLost):
            if request.outcome is Outcome.MAY_HAVE_RUN:
                return may_have_run_reply(
                    request_id, "the log no longer holds the reason"
                )
            return answer_lost_reply(request_id)
        if request.outcome is Outcome.MAY_HAVE_RUN:
            return may_have_run_reply(request_id, answer.decode(errors="replace"))
        return ran_reply(request_id, answer)

    def _show(self, request_id: str, authorization: str, wait_s: float) -> Reply:
        found = self._find(request_id, authorization)
        if isinstance(found, Reply):
            return found
        if isinstance(found, RecordedRequest):
            return self._await_recorded_outcome(request_id, wait_s)
        if found.settled.wait(wait_s):
            return verdict_reply(request_id, found.verdict)
        return progress_reply(request_id, "running")

    def _find(
        self, request_id: str, authorization: str
    ) -> RecordedRequest | LocalRequest | Reply:
        """Return a request that the key in ``authorization`` may read, or a reply.

        A request of another organisation is reported as unknown.
        """
        if not self._freshness.is_fresh():
            message = "this entry has no recent contact with the log or its peers"
            refusal = Refusal(RefusalReason.STALE_ENTRY, message, 1.0)
            return Reply(503, {"reason": refusal.reason, "message": message})
        recorded = self._tail.state.requests.request_by_id.get(request_id)
        local = self._local_requests.by_id.get(request_id)
        found = recorded or local
        if found is None:
            return _unknown_request(request_id)
        submission = recorded or local.submission
        queue = self._tail.state.config.queue_by_id.get(submission.queue)
        if queue is None:
            return _unknown_request(request_id)
        organisation = find_organisation(self._tail.state.config, queue, authorization)
        if isinstance(organisation, Refusal):
            document = {
                "reason": organisation.reason.value,
                "message": organisation.message,
            }
            return Reply(401, document)
        return (
            found
            if organisation == submission.organisation
            else _unknown_request(request_id)
        )

    def _cancel_recorded(
        self, request: RecordedRequest, local: LocalRequest | None
    ) -> Reply:
        if request.status is RequestStatus.PENDING:
            outcome = self._recorded_requests.cancel(request)
            if isinstance(outcome, Effective):
                return self._recorded_reply(request)
            if isinstance(outcome, NotWritten):
                return progress_reply(request.request_id, "not cancelled")
        if local is not None and local.verdict is None:
            self._dispatcher.cancel(local)
            self._recorded_requests.wait(request.request_id, FRESHNESS_S)
        return self._recorded_reply(request)


def _unknown_request(request_id: str) -> Reply:
    document = {"reason": "unknown_request", "message": f"no request {request_id!r}"}
    return Reply(404, document)
