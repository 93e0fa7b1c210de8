"""Runs the scheduler's decisions; retries, hedges, cancels and settles requests."""

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

# Deadlines, back-offs and zones' load ramps take effect without waking the loop.
BUSY_INTERVAL_S = 0.05
# Without queued tasks, rounds only sync worker reservations with the other entries.
IDLE_INTERVAL_S = 0.2
# Refused or unsent starts plus copies after which an unrecorded request is refused.
MAX_REQUEUES = 50
# From a worker's first missing answer to "may have run", unless the attempt ends.
MAY_HAVE_RUN_DELAY_S = 5.0
# Speed of a throttled task, as a fraction of its full speed.
THROTTLE_FRACTION = 0.25
# A hedge starts after HEDGE_DELAY_S + HEDGE_FACTOR * the declared run time.
HEDGE_FACTOR = 3.0
HEDGE_DELAY_S = 0.1


class Dispatcher:
    """Queues this entry's requests with the scheduler and runs their attempts.

    ``runner`` must be set before the first submission. ``address_of(worker)`` is None
    for an unconfigured worker. Rounds do nothing while ``may_dispatch()`` is false.
    ``record_release(request, attempt)`` gives up the claim on a recorded request.
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
        record_release: Callable[[LocalRequest, int], bool],
        on_settled: Callable[[LocalRequest], None],
    ) -> None:
        self.runner: AttemptRunner | None = None
        # Called after each round of ``run_rounds``.
        self.after_scheduling_round: Callable[[], None] = lambda: None
        # Called as (worker, queue, has_failed) if an unrecorded request ran or failed.
        self.on_outcome: Callable[[str, str, bool], None] = lambda *outcome: None
        self.scheduler = scheduler
        self._requests = local_requests
        self._metrics = metrics
        self._verdict_reporter = VerdictReporter(local_requests, metrics)
        self._client = client
        self._address_of = address_of
        self._may_dispatch = may_dispatch
        self._record_release = record_release
        self._on_settled = on_settled
        self._budgets = QueueBudgets()
        self._wake = Event()
        self._running_counts: dict[str, int] = {}
        self.running_tasks = 0

    def running_count(self, organisation: str) -> int:
        """Return how many attempts of an organisation's requests are running here."""
        return self._running_counts.get(organisation, 0)

    def wake(self) -> None:
        """Ask for a scheduling round; calls made before it starts share one round."""
        self._wake.set()

    def run_rounds(self) -> None:
        """Run scheduling rounds until stopped."""
        while True:
            tick_s = BUSY_INTERVAL_S if self.scheduler.has_queued() else IDLE_INTERVAL_S
            self._wake.wait(seconds_until_tick(tick_s))
            self._wake.clear()
            self._apply_decisions()
            self.after_scheduling_round()

    def submit(self, request: LocalRequest) -> Refusal | None:
        """Queue a request or a copy of it, or return why the scheduler refuses it."""
        result = self.scheduler.submit(task_of(request), time.monotonic())
        if isinstance(result, Refusal):
            return result
        if request.requeue_count == 0:
            self._budgets.on_request(request.submission.queue)
        self._requests.add(request)
        # Without this round, the start would wait for the greenlet of ``run_rounds``.
        self._apply_decisions()
        return None

    def cancel(self, request: LocalRequest) -> None:
        """Settle a queued request as cancelled, or ask workers to stop its attempts."""
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
        """Drop a request that another entry runs; return False unless it was queued."""
        if not self.scheduler.cancel([task_id_of(request)], time.monotonic()):
            return False
        self._requests.remove(request)
        request.wake_waiters()
        return True

    def set_retry_and_hedge_budgets(self, queues: Iterable[Queue]) -> None:
        """Replace the queues whose retry and hedge budgets apply."""
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
        self._running_counts[organisation] = self.running_count(organisation) + 1
        self.running_tasks += 1
        gevent.spawn(self._run, request, task, Placement(worker, address, resources))

    def _run(self, request: LocalRequest, task: Task, placement: Placement) -> None:
        state = AttemptState()
        if request.submission.idempotent and not request.is_recorded:
            hedge_after_s = HEDGE_DELAY_S + HEDGE_FACTOR * request.submission.run_s
            state.hedge_timer = gevent.spawn_later(
                hedge_after_s, self._start_hedge, request, placement, state
            )
        end: AttemptEnd = Lost("the attempt was interrupted")  # if the runner raises
        try:
            end = self.runner.run(
                request, placement, lambda: self._on_silence(request, placement, state)
            )
        finally:
            organisation = task.organisation
            self._running_counts[organisation] = self.running_count(organisation) - 1
            self.running_tasks -= 1
            state.stop_timers()
            self._handle_end(request, task, placement, end, state.has_copy)
            if self.scheduler.has_queued():
                self.wake()

    def _start_hedge(
        self, request: LocalRequest, placement: Placement, state: AttemptState
    ) -> None:
        """Submit a copy of a request whose first attempt is slow, to another worker."""
        if state.has_copy or request.verdict is not None or request.requeue_count:
            return
        queue = request.submission.queue
        if self._budgets.hedge(queue).try_spend():
            self._metrics.hedges.labels(queue).inc()
            state.has_copy = self._submit_copy(request, placement.worker)

    def _on_silence(
        self, request: LocalRequest, placement: Placement, state: AttemptState
    ) -> None:
        """Retry an idempotent unrecorded request, else schedule "may have run"."""
        if request.submission.idempotent and not request.is_recorded:
            if not state.has_copy:
                state.has_copy = self._retry(request, placement.worker)
            return
        message = f"worker {placement.worker} does not answer"
        state.may_have_run_timer = gevent.spawn_later(
            MAY_HAVE_RUN_DELAY_S, self._settle_unrecorded, request, MayHaveRun(message)
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
                self._handle_unstarted(request, task, placement, reason, free, has_copy)
            case NotSent(reason):
                log_event("start_not_sent", "DEBUG", request=request.id, reason=reason)
                self._handle_unstarted(request, task, placement, None, None, has_copy)
            case Stopped(checkpoint):
                self._handle_stopped(request, task, placement, checkpoint, has_copy)
            case Lost(message):
                self.scheduler.finished(task.id, Outcome.FAILED, now)
                self._retry_or_give_up(request, placement, has_copy, message)

    def _handle_unstarted(
        self,
        request: LocalRequest,
        task: Task,
        placement: Placement,
        reason: StartRefusal | None,
        free: Resources | None,
        has_copy: bool,
    ) -> None:
        """Requeue, drop or settle a request whose task certainly did not start."""
        now = time.monotonic()
        self.scheduler.finished(task.id, Outcome.REFUSED_BY_WORKER, now)
        if reason is StartRefusal.DRAINING or reason is StartRefusal.UNREACHABLE:
            self.scheduler.observe_worker(placement.worker, False, free, "", now)
        elif free is not None:
            self.scheduler.observe_worker(placement.worker, True, free, "", now)
        request.requeue_count += 1
        if request.is_claim_rejected:
            self.scheduler.cancel([task.id], now)
            self._requests.remove(request)
            request.wake_waiters()
            return
        self._release_recorded_claim(request)
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
        if request.requeue_count > MAX_REQUEUES and not request.is_recorded:
            self.scheduler.cancel([task.id], now)
            text = f"no worker accepted the task in {MAX_REQUEUES} tries"
            self._settle(request, NotRun(Refusal(RefusalReason.NO_WORKER, text, 1.0)))
            return
        self.scheduler.requeue(task.id, placement.worker)

    def _handle_stopped(
        self,
        request: LocalRequest,
        task: Task,
        placement: Placement,
        checkpoint: str,
        has_copy: bool,
    ) -> None:
        """Resume a stopped task from its checkpoint; without one, retry or settle."""
        now = time.monotonic()
        self.scheduler.finished(task.id, Outcome.STOPPED, now)
        is_queued_by_scheduler = bool(self.scheduler.is_queued(task.id))
        if request.cancel_requested:
            self.scheduler.cancel([task.id], now)
            self._settle(request, MayHaveRun("cancelled while it was running"))
            return
        if checkpoint:
            request.checkpoint = checkpoint
            self._release_recorded_claim(request)
            if has_copy:
                self.scheduler.cancel([task.id], now)
            elif not is_queued_by_scheduler:
                self._resubmit(request)
            return
        if is_queued_by_scheduler:
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
        """Submit a copy after a failure or silence if the retry budget allows one."""
        if request.verdict is not None or request.cancel_requested:
            return False
        queue = request.submission.queue
        if not self._budgets.retry(queue).try_spend():
            return False
        self._metrics.retries.labels(queue).inc()
        return self._submit_copy(request, worker)

    def _submit_copy(self, request: LocalRequest, worker: str) -> bool:
        # The attempt at ``worker`` failed, is slow, or its worker does not answer.
        request.may_have_started = True
        request.copy_count += 1
        request.excluded_workers.add(worker)
        self._release_recorded_claim(request)
        return self._resubmit(request)

    def _resubmit(self, request: LocalRequest) -> bool:
        request.requeue_count += 1
        refusal = self.submit(request)
        if refusal is None:
            return True
        log_event("retry_refused", request=request.id, reason=refusal.reason)
        return False

    def _release_recorded_claim(self, request: LocalRequest) -> None:
        if request.is_recorded:
            self._record_release(request, request.attempt)

    def _settle_unrecorded(self, request: LocalRequest, verdict: Verdict) -> None:
        if not request.is_recorded:
            self._settle(request, verdict)

    def _settle(self, request: LocalRequest, verdict: Verdict) -> None:
        if not self._verdict_reporter.settle(request, verdict):
            return
        # The newest copy of the request may still be queued and need not run.
        self.scheduler.cancel([task_id_of(request)], time.monotonic())
        self._on_settled(request)

    def observe_report(self, worker: str, report: TaskReport) -> None:
        """Tell the scheduler that a worker is available, and its free capacity."""
        now = time.monotonic()
        self.scheduler.observe_worker(worker, True, report.free, report.boot_id, now)
