"""One attempt to run a request at a worker.

The attempt's running slot is free once ``AttemptRunner.run`` returns: every end means
that the task ended, never started, or can no longer run because its lease expired.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from lycheeloom.clients import (
    ActionRefused,
    Session,
    StartRefusal,
    StartRefused,
    StartUnknown,
    TaskReport,
    TaskStart,
    TaskStatus,
    Unavailable,
    WorkerClient,
)
from lycheeloom.model.limits import SESSION_TTL_S, TASK_LEASE_S
from lycheeloom.model.resources import Resources
from lycheeloom.telemetry.traces import Tracer

from .local_requests import LocalRequest
from .sessions import WorkerSessions

# After this long without an answer to a start, the task is polled on new connections,
# as the first connection may have gone silent.
START_TIMEOUT_S = 2.0
# The start call of a task with a longer declared run time returns before the task
# ends, so that it does not hold a connection.
MAX_WAITING_RUN_S = 1.0
# The interval between status calls grows from the minimum to the maximum.
MIN_POLL_INTERVAL_S = 0.05
MAX_POLL_INTERVAL_S = 1.0
# A lease is renewed by the first poll that is due this long after the last renewal.
RENEW_INTERVAL_S = 5.0
# Added to a worker's time limits, as its clock may run slower than this process's.
CLOCK_MARGIN_S = 2.0


@dataclass(frozen=True, slots=True)
class Answered:
    """The task is done; ``answer`` is complete."""

    answer: bytes


@dataclass(frozen=True, slots=True)
class Failed:
    """The task ran and failed."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The task certainly did not start; ``free`` is the worker's free capacity."""

    reason: StartRefusal
    free: Resources | None = None


@dataclass(frozen=True, slots=True)
class NotSent:
    """This entry did not send the start."""

    reason: str


@dataclass(frozen=True, slots=True)
class Stopped:
    """The task was stopped; it can resume from ``checkpoint`` if that is not empty."""

    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class Lost:
    """The task may have run; it is certainly not running any more."""

    message: str


AttemptEnd = Answered | Failed | Refused | NotSent | Stopped | Lost


@dataclass(frozen=True, slots=True)
class Placement:
    """The worker of an attempt, and the resources to reserve there."""

    worker: str
    address: str
    resources: Resources


@dataclass(slots=True)
class _SentStart:
    """A start that may have reached the worker; times are from this process's clock."""

    task: str
    placement: Placement
    boot_id: str
    sent_at: float
    # The incarnation whose grant the task counts against.
    holder: str
    # The lease has expired by then at the latest, so the worker has stopped the task.
    lease_expires_by: float
    renewed_at: float
    # Whether the worker answered the latest status call or renewal.
    is_reachable: bool = True


class AttemptRunner:
    """Runs attempts; each call of ``run`` belongs to one greenlet.

    ``may_start(request, placement)`` is called immediately before a start is sent
    and returns why it must not be sent, or None.
    ``claim(request, attempt, worker, boot_id)`` records an attempt of a recorded
    request and returns why it must not start, or None. ``holder()`` is the current
    incarnation of this entry, and ``may_renew(holder)`` tells whether leases of that
    incarnation may be renewed. ``on_report(worker, report)`` is called for each report
    of a task's status.
    """

    def __init__(
        self,
        client: WorkerClient,
        sessions: WorkerSessions,
        tracer: Tracer,
        may_start: Callable[[LocalRequest, Placement], str | None],
        holder: Callable[[], str],
        may_renew: Callable[[str], bool],
        claim: Callable[[LocalRequest, int, str, str], str | None],
        on_report: Callable[[str, TaskReport], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._client = client
        self._sessions = sessions
        self._tracer = tracer
        self._may_start = may_start
        self._holder = holder
        self._may_renew = may_renew
        self._claim = claim
        self._on_report = on_report
        self._clock = clock

    def run(
        self,
        request: LocalRequest,
        placement: Placement,
        on_silence: Callable[[], None],
    ) -> AttemptEnd:
        """Run one attempt and return how it ended.

        ``on_silence`` is called once if a poll gets no report about the task.
        """
        session = self._sessions.get(placement.worker, placement.address)
        if isinstance(session, Unavailable):
            return Refused(StartRefusal.UNREACHABLE)
        if session.draining:
            return Refused(StartRefusal.DRAINING, session.free)
        request.attempt += 1
        attempt = request.attempt
        request.address_by_attempt[attempt] = placement.address
        try:
            if request.is_recorded:
                reason = self._claim(
                    request, attempt, placement.worker, session.boot_id
                )
                if reason is not None:
                    return NotSent(reason)
            return self._start(request, attempt, placement, session.boot_id, on_silence)
        finally:
            del request.address_by_attempt[attempt]

    def _start(
        self,
        request: LocalRequest,
        attempt: int,
        placement: Placement,
        boot_id: str,
        on_silence: Callable[[], None],
    ) -> AttemptEnd:
        # The claim waited for a commit of the log: the session may have expired since.
        session = self._sessions.get(placement.worker, placement.address)
        if isinstance(session, Unavailable) or session.boot_id != boot_id:
            return Refused(StartRefusal.UNREACHABLE)
        reason = self._may_start(request, placement)
        if reason is not None:
            return NotSent(reason)
        return self._send(request, attempt, placement, session, on_silence)

    def _send(
        self,
        request: LocalRequest,
        attempt: int,
        placement: Placement,
        session: Session,
        on_silence: Callable[[], None],
    ) -> AttemptEnd:
        submission = request.submission
        start = TaskStart(
            task=f"{request.id}.{attempt}",
            session=session.id,
            organisation=submission.organisation,
            queue=submission.queue,
            payload=submission.payload,
            resources=placement.resources,
            lease_s=TASK_LEASE_S,
            run_s=submission.run_s,
            request_id=request.id,
            checkpoint=request.checkpoint,
            wait=submission.run_s <= MAX_WAITING_RUN_S,
        )
        sent_at = self._clock()
        holder = self._holder()
        with self._tracer.span(
            "start_task", submission.traceparent, worker=placement.worker
        ) as span:
            result = self._client.start(
                placement.address,
                start,
                timeout_s=START_TIMEOUT_S,
                traceparent=span.traceparent,
            )
            if not isinstance(result, TaskReport):
                span.fail(str(result.reason))
        # Until the session has expired, a delayed start can still begin a lease.
        sent = _SentStart(
            start.task,
            placement,
            session.boot_id,
            sent_at,
            holder,
            self._clock() + SESSION_TTL_S + TASK_LEASE_S + CLOCK_MARGIN_S,
            sent_at,
        )
        match result:
            case StartRefused(reason, free):
                if reason is StartRefusal.LEASE_LAPSED:
                    self._sessions.drop(placement.worker)
                return Refused(reason, free)
            case StartUnknown():
                return self._poll_until_end(sent, on_silence)
            case TaskReport():
                end = self._end_proven_by(sent, result)
                return end or self._poll_until_end(sent, on_silence)

    def _poll_until_end(
        self, sent: _SentStart, on_silence: Callable[[], None]
    ) -> AttemptEnd:
        """Poll the task's status until its end is known or its lease has expired."""
        poll_s = 0.0
        is_silence_reported = False
        while True:
            report = self._poll(sent)
            match report:
                case TaskReport():
                    sent.is_reachable = True
                    end = self._end_proven_by(sent, report)
                    if end is not None:
                        return end
                    poll_s = min(
                        MAX_POLL_INTERVAL_S, max(MIN_POLL_INTERVAL_S, poll_s * 1.5)
                    )
                case Unavailable(reason) | ActionRefused(reason):
                    sent.is_reachable = False
                    if self._clock() >= sent.lease_expires_by:
                        return Lost(f"worker {sent.placement.worker}: {reason}")
                    if not is_silence_reported:
                        is_silence_reported = True
                        on_silence()
                    poll_s = MAX_POLL_INTERVAL_S
            gevent.sleep(poll_s)

    def _poll(self, sent: _SentStart) -> TaskReport | Unavailable | ActionRefused:
        address = sent.placement.address
        is_due = self._clock() - sent.renewed_at >= RENEW_INTERVAL_S
        # A worker that does not answer gets no further renewals: each of them would
        # delay the time at which the lease has certainly expired.
        if is_due and sent.is_reachable:
            report = self._renew(sent)
            if report is not None:
                return report
        return self._client.status(address, sent.task)

    def _renew(self, sent: _SentStart) -> TaskReport | Unavailable | None:
        """Renew the lease; return None if no renewal was sent or it was refused."""
        placement = sent.placement
        session = self._sessions.get(placement.worker, placement.address)
        if isinstance(session, Unavailable) or not self._may_renew(sent.holder):
            return None
        report = self._client.renew(
            placement.address, sent.task, TASK_LEASE_S, session.id
        )
        if isinstance(report, ActionRefused):
            self._sessions.drop(placement.worker)
            return None
        # The times change even if the answer is lost: the renewal may have had effect,
        # or may still arrive while its session is accepted.
        sent.renewed_at = self._clock()
        lease_end_s = SESSION_TTL_S + TASK_LEASE_S + CLOCK_MARGIN_S
        sent.lease_expires_by = sent.renewed_at + lease_end_s
        return report

    def _end_proven_by(self, sent: _SentStart, report: TaskReport) -> AttemptEnd | None:
        """Return the end that a report proves, or None if the task may still run."""
        self._on_report(sent.placement.worker, report)
        match report.status:
            case TaskStatus.DONE:
                return Answered(report.answer)
            case TaskStatus.FAILED:
                return Failed()
            case TaskStatus.STOPPED:
                return Stopped()
            case TaskStatus.CHECKPOINTED:
                return Stopped(report.checkpoint)
            case TaskStatus.RUNNING:
                return None
        # The worker does not know the task.
        if report.boot_id != sent.boot_id:
            return Lost(f"worker {sent.placement.worker} restarted")
        session_ended_at = sent.sent_at + SESSION_TTL_S + CLOCK_MARGIN_S
        if self._clock() < session_ended_at:
            # The start may still arrive while its session is accepted.
            return None
        return Refused(StartRefusal.UNREACHABLE)
