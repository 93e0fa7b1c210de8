"""Starts, retries, hedges, cancels and settles requests as the scheduler decides."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event

from lycheeloom.clients import StartRefusal, TaskReport, WorkerClient
from lycheeloom.model.config import Queue
from lycheeloom.model.resources import Resources
from lycheeloom.model.ticks import seconds_until_tick
from lycheeloom.model.verdict import (
    MayHaveRun,
    NotRun,
    Ran,
    Refusal,
    RefusalReason,
    Verdict,
)
from lycheeloom.sched import (
    Checkpoint,
    Expire,
    Outcome,
    Scheduler,
    Start,
    Task,
    Throttle,
)
from lycheeloom.telemetry import log_event

from .attempt import (
    Answered,
    AttemptEnd,
    AttemptRunner,
    Failed,
    Lost,
    NotSent,
    Placement,
    Refused,
    Stopped,
)
from .local_requests import LocalRequest, LocalRequestTable
from .metrics import EntryMetrics
from .queue_budgets import QueueBudgets
from .scheduler_tasks import AttemptState, request_id_of, task_id_of, task_of
from .verdict_reporter import VerdictReporter

# Deadlines, back-offs and zone ramps fall due without an event that starts a round.
ROUND_INTERVAL_S = 0.05
# With an empty queue a round only exchanges worker reservations with peers.
IDLE_INTERVAL_S = 0.2
# Refused or unsent starts after which an unrecorded request is refused.
MAX_START_TRIES = 50
# After this long without contact to the worker the verdict is "may have run".
SILENCE_TIMEOUT_S = 5.0
# Speed of a throttled task, as a fraction of its full speed.
THROTTLE_FRACTION = 0.25
# A hedge starts after HEDGE_DELAY_S + HEDGE_FACTOR * the declared run time.
HEDGE_FACTOR = 3.0
HEDGE_DELAY_S = 0.1


class Dispatcher:
    """Queues this entry's requests with the scheduler and runs their attempts.

    ``on_settled`` is called once for each request, after its verdict is set.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        local_requests: LocalRequestTable,
        metrics: EntryMetrics,
        client: WorkerClient,
        address_of: Callable[[str], str | None],
        may_dispatch: Callable[[], bool],
        release: Callable[[LocalRequest, int], bool],
        on_settled: Callable[[LocalRequest], None],
    ) -> None:
        self.runner: AttemptRunner | None = None
        # Called after each scheduling round of ``run``.
        self.after_round: Callable[[], None] = lambda: None
        # Called as (worker, queue, has_failed) for each task that ended.
        self.on_outcome: Callable[[str, str, bool], None] = lambda *outcome: None
        self.scheduler = scheduler
        self._requests = local_requests
        self._metrics = metrics
        self._verdict_reporter = VerdictReporter(local_requests, metrics)
        self._client = client
        self._address_of = address_of
        self._may_dispatch = may_dispatch
        self._release = release
        self._on_settled = on_settled
        self._budgets = QueueBudgets()
        self._wake = Event()
        self._running_by_organisation: dict[str, int] = {}
        self.running_tasks = 0

    def running(self, organisation: str) -> int:
        """Return how many running slots of an organisation this entry uses."""
        return self._running_by_organisation.get(organisation, 0)

    def wake(self) -> None:
        """Request a scheduling round; calls before it starts are merged into one."""
        self._wake.set()

    def run(self) -> None:
        """Run scheduling rounds until stopped."""
        while True:
            interval_s = (
                ROUND_INTERVAL_S if self.scheduler.has_queued() else IDLE_INTERVAL_S
            )
            self._wake.wait(seconds_until_tick(interval_s))
            self._wake.clear()
            self._apply_decisions()
            self.after_round()

    def submit(self, request: LocalRequest) -> Refusal | None:
        """Queue a request, or return why it is refused as not run."""
        verdict = self.scheduler.submit(task_of(request), time.monotonic())
        if isinstance(verdict, Refusal):
            return verdict
        if request.tries == 0:
            self._budgets.on_request(request.submission.queue)
        self._requests.add(request)
        # A round here saves a switch to the greenlet of ``run`` and back.
        self._apply_decisions()
        return None

    def cancel(self, request: LocalRequest) -> None:
        """Cancel a request: at once while queued, at the worker while running."""
        request.cancel_requested = True
        if self.scheduler.cancel([task_id_of(request)], time.monotonic()):
            self._settle(
                request,
                NotRun(Refusal(RefusalReason.CANCELLED, "cancelled by the caller")),
            )
            return
        for attempt, address in list(request.address_by_attempt.items()):
            gevent.spawn(self._client.cancel, address, f"{request.id}.{attempt}")

    def withdraw(self, request: LocalRequest) -> bool:
        """Drop a queued request without a verdict, as another entry runs it."""
        if not self.scheduler.cancel([task_id_of(request)], time.monotonic()):
            return False
        self._requests.remove(request)
        request.wake_waiters()
        return True

    def set_queues(self, queues: Iterable[Queue]) -> None:
        """Apply the retry and hedge budgets of a new configuration."""
        self._budgets.set_queues(queues)

    def _apply_decisions(self) -> None:
        if not self._may_dispatch():
            return
        for decision in self.scheduler.next_decisions(time.monotonic()):
            match decision:
                case Start(task, worker, resources):
                    self._start_attempt(task, worker, resources)
                case Checkpoint(task_id, reason):
                    log_event("checkpoint", "DEBUG", task=task_id, reason=reason)
                    self._call_workers(task_id, self._client.checkpoint)
                case Throttle(task_id):
                    self._call_workers(task_id, self._throttle)
                case Expire(task, refusal):
                    request = self._requests.by_id.get(request_id_of(task.id))
                    if request is not None:
                        self._settle(request, NotRun(refusal))

    def _throttle(self, address: str, task: str) -> object:
        return self._client.throttle(address, task, THROTTLE_FRACTION)

    def _call_workers(self, task_id: str, action: Callable[[str, str], object]) -> None:
        request = self._requests.by_id.get(request_id_of(task_id))
        if request is None:
            return
        for attempt, address in list(request.address_by_attempt.items()):
            gevent.spawn(action, address, f"{request.id}.{attempt}")

    def _start_attempt(self, task: Task, worker: str, resources: Resources) -> None:
        request = self._requests.by_id.get(request_id_of(task.id))
        address = self._address_of(worker)
        if request is None or address is None:
            self.scheduler.finished(task.id, Outcome.STOPPED, time.monotonic())
            return
        organisation = task.organisation
        self._running_by_organisation[organisation] = self.running(organisation) + 1
        self.running_tasks += 1
        gevent.spawn(self._run, request, task, Placement(worker, address, resources))

    def _run(self, request: LocalRequest, task: Task, placement: Placement) -> None:
        state = AttemptState()
        if request.submission.idempotent and not request.is_recorded:
            hedge_after_s = HEDGE_DELAY_S + HEDGE_FACTOR * request.submission.run_s
            state.hedge_timer = gevent.spawn_later(
                hedge_after_s, self._start_hedge, request, placement, state
            )
        end: AttemptEnd = Lost("the attempt was interrupted")
        try:
            end = self.runner.run(
                request, placement, lambda: self._on_silence(request, placement, state)
            )
        finally:
            organisation = task.organisation
            self._running_by_organisation[organisation] = self.running(organisation) - 1
            self.running_tasks -= 1
            state.stop_timers()
            self._handle_end(request, task, placement, end, state.has_copy)
            if self.scheduler.has_queued():
                self.wake()

    def _start_hedge(
        self, request: LocalRequest, placement: Placement, state: AttemptState
    ) -> None:
        """Submit a second copy of a slow idempotent request to another worker."""
        if state.has_copy or request.verdict is not None or request.tries:
            return
        queue = request.submission.queue
        if self._budgets.hedge(queue).try_spend():
            self._metrics.hedges.labels(queue).inc()
            state.has_copy = self._repeat(request, placement.worker)

    def _on_silence(
        self, request: LocalRequest, placement: Placement, state: AttemptState
    ) -> None:
        """Retry elsewhere if idempotent, else schedule a "may have run" verdict."""
        if request.submission.idempotent and not request.is_recorded:
            if not state.has_copy:
                state.has_copy = self._retry(request, placement.worker)
            return
        message = f"worker {placement.worker} does not answer"
        state.may_have_run_timer = gevent.spawn_later(
            SILENCE_TIMEOUT_S, self._settle_unrecorded, request, MayHaveRun(message)
        )

    def _handle_end(
        self,
        request: LocalRequest,
        task: Task,
        placement: Placement,
        end: AttemptEnd,
        has_copy: bool,
    ) -> None:
        now = time.monotonic()
        self._metrics.starts.labels(type(end).__name__.lower()).inc()
        if isinstance(end, Failed | Stopped | Lost):
            request.may_have_started = True
        if isinstance(end, Answered | Failed) and not request.is_recorded:
            has_failed = isinstance(end, Failed)
            self.on_outcome(placement.worker, request.submission.queue, has_failed)
        match end:
            case Answered(answer):
                self.scheduler.finished(task.id, Outcome.DONE, now)
                self._settle(request, Ran(answer))
            case Failed():
                self.scheduler.finished(task.id, Outcome.FAILED, now)
                self._retry_or_give_up(
                    request, placement, has_copy, "the task failed after it had started"
                )
            case Refused(reason, free):
                self._requeue(request, task, placement, reason, free, has_copy)
            case NotSent(reason):
                log_event("start_not_sent", "DEBUG", request=request.id, reason=reason)
                self._requeue(request, task, placement, None, None, has_copy)
            case Stopped(checkpoint):
                self._resume(request, task, placement, checkpoint, has_copy)
            case Lost(message):
                self.scheduler.finished(task.id, Outcome.FAILED, now)
                self._retry_or_give_up(request, placement, has_copy, message)

    def _requeue(
        self,
        request: LocalRequest,
        task: Task,
        placement: Placement,
        reason: StartRefusal | None,
        free: Resources | None,
        has_copy: bool,
    ) -> None:
        """Requeue a request whose start certainly had no effect."""
        now = time.monotonic()
        self.scheduler.finished(task.id, Outcome.REFUSED_BY_WORKER, now)
        if reason is StartRefusal.DRAINING or reason is StartRefusal.UNREACHABLE:
            self.scheduler.observe_worker(placement.worker, False, free, "", now)
        elif free is not None:
            self.scheduler.observe_worker(placement.worker, True, free, "", now)
        request.tries += 1
        if request.is_claimed_elsewhere:
            self.scheduler.cancel([task.id], now)
            self._requests.remove(request)
            request.wake_waiters()
            return
        self._release_claim(request)
        if request.verdict is not None or has_copy:
            self.scheduler.cancel([task.id], now)
            return
        if reason is StartRefusal.BAD_REQUEST or request.cancel_requested:
            self.scheduler.cancel([task.id], now)
            text = "the worker rejected the request"
            if request.cancel_requested:
                text = "cancelled by the caller"
            self._settle(request, NotRun(Refusal(RefusalReason.CANCELLED, text)))
            return
        if request.tries > MAX_START_TRIES and not request.is_recorded:
            self.scheduler.cancel([task.id], now)
            text = f"no worker accepted the task in {MAX_START_TRIES} tries"
            self._settle(request, NotRun(Refusal(RefusalReason.NO_WORKER, text, 1.0)))
            return
        self.scheduler.requeue(task.id, placement.worker)

    def _resume(
        self,
        request: LocalRequest,
        task: Task,
        placement: Placement,
        checkpoint: str,
        has_copy: bool,
    ) -> None:
        """Requeue a stopped task from its checkpoint; without one, retry or settle."""
        now = time.monotonic()
        self.scheduler.finished(task.id, Outcome.STOPPED, now)
        is_requeued = bool(self.scheduler.is_queued(task.id))
        if request.cancel_requested:
            self.scheduler.cancel([task.id], now)
            self._settle(request, MayHaveRun("cancelled while it was running"))
            return
        if checkpoint:
            request.checkpoint = checkpoint
            self._release_claim(request)
            if has_copy:
                self.scheduler.cancel([task.id], now)
            elif not is_requeued:
                self._submit_again(request)
            return
        if is_requeued:
            self.scheduler.cancel([task.id], now)
        self._retry_or_give_up(
            request, placement, has_copy, "the worker stopped the task while it ran"
        )

    def _retry_or_give_up(
        self, request: LocalRequest, placement: Placement, has_copy: bool, message: str
    ) -> None:
        if has_copy or request.verdict is not None:
            return
        if request.submission.idempotent and self._retry(request, placement.worker):
            return
        self._settle(request, MayHaveRun(message))

    def _retry(self, request: LocalRequest, worker: str) -> bool:
        """Retry a request on another worker if its queue's budget allows."""
        if request.verdict is not None or request.cancel_requested:
            return False
        queue = request.submission.queue
        if not self._budgets.retry(queue).try_spend():
            return False
        self._metrics.retries.labels(queue).inc()
        return self._repeat(request, worker)

    def _repeat(self, request: LocalRequest, worker: str) -> bool:
        # The earlier attempt failed, or its worker has not answered yet.
        request.may_have_started = True
        request.copies += 1
        request.excluded_workers.add(worker)
        self._release_claim(request)
        return self._submit_again(request)

    def _submit_again(self, request: LocalRequest) -> bool:
        request.tries += 1
        refusal = self.submit(request)
        if refusal is None:
            return True
        log_event("retry_refused", request=request.id, reason=refusal.reason)
        return False

    def _release_claim(self, request: LocalRequest) -> None:
        if request.is_recorded:
            self._release(request, request.attempt)

    def _settle_unrecorded(self, request: LocalRequest, verdict: Verdict) -> None:
        if not request.is_recorded:
            self._settle(request, verdict)

    def _settle(self, request: LocalRequest, verdict: Verdict) -> None:
        if not self._verdict_reporter.settle(request, verdict):
            return
        # A copy of the request that is still queued need not run.
        self.scheduler.cancel([task_id_of(request)], time.monotonic())
        self._on_settled(request)

    def observe_report(self, worker: str, report: TaskReport) -> None:
        """Tell the scheduler the free capacity that a worker reported."""
        now = time.monotonic()
        self.scheduler.observe_worker(worker, True, report.free, report.boot_id, now)
