"""Carries out the scheduler's decisions and settles requests."""

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
from .job_tasks import AttemptState, request_id_of, task_id_of, task_of
from .jobs import Job, JobTable
from .metrics import EntryMetrics
from .queue_budgets import QueueBudgets
from .settlement import Settlement

# Deadlines, back-offs and zone ramps need a look at the queues without an event.
TICK_S = 0.05
# Without queued work only reservations of peers are followed.
IDLE_TICK_S = 0.2
# A worker may refuse or a commit may fail this often before a job is given up.
MAX_TRIES = 50
# A caller is told that a request may have run after this long without contact.
DOUBT_S = 5.0
THROTTLE_FRACTION = 0.25
# A lookup that takes this much longer than declared gets a second copy.
HEDGE_FACTOR = 3.0
HEDGE_DELAY_S = 0.1


class Dispatcher:
    """Owns the queue of this entry: submits, starts, retries and cancels.

    ``on_settled`` is called once for each job, after its verdict is set.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        jobs: JobTable,
        metrics: EntryMetrics,
        client: WorkerClient,
        address_of: Callable[[str], str | None],
        may_dispatch: Callable[[], bool],
        release: Callable[[Job, int], bool],
        on_settled: Callable[[Job], None],
    ) -> None:
        self.runner: AttemptRunner | None = None
        # Called after each round of decisions of the dispatching greenlet.
        self.after_round: Callable[[], None] = lambda: None
        # Called with worker, queue and whether it failed, for each task that ended.
        self.on_outcome: Callable[[str, str, bool], None] = lambda *outcome: None
        self.scheduler = scheduler
        self._jobs = jobs
        self._metrics = metrics
        self._settlement = Settlement(jobs, metrics)
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
        """Return how many running slots of an organisation are taken here."""
        return self._running_by_organisation.get(organisation, 0)

    def wake(self) -> None:
        """Ask for decisions soon; many calls cost one round."""
        self._wake.set()

    def run(self) -> None:
        """Take decisions until stopped."""
        while True:
            tick_s = TICK_S if self.scheduler.has_queued() else IDLE_TICK_S
            self._wake.wait(seconds_until_tick(tick_s))
            self._wake.clear()
            self._take_decisions()
            self.after_round()

    def submit(self, job: Job) -> Refusal | None:
        """Queue a job, or return why it is refused as not run."""
        verdict = self.scheduler.submit(task_of(job), time.monotonic())
        if isinstance(verdict, Refusal):
            return verdict
        if job.tries == 0:
            self._budgets.on_request(job.submission.queue)
        self._jobs.add(job)
        # Deciding here saves a switch to the dispatching greenlet and back.
        self._take_decisions()
        return None

    def cancel(self, job: Job) -> None:
        """Cancel a job: at once while queued, at the worker while running."""
        job.cancel_requested = True
        if self.scheduler.cancel([task_id_of(job)], time.monotonic()):
            self._settle(
                job, NotRun(Refusal(RefusalReason.CANCELLED, "cancelled by the caller"))
            )
            return
        for attempt, address in list(job.address_by_attempt.items()):
            gevent.spawn(self._client.cancel, address, f"{job.id}.{attempt}")

    def withdraw(self, job: Job) -> bool:
        """Drop a queued job without a verdict, as another entry runs it."""
        if not self.scheduler.cancel([task_id_of(job)], time.monotonic()):
            return False
        self._jobs.remove(job)
        job.hand_over()
        return True

    def adopt_queues(self, queues: Iterable[Queue]) -> None:
        """Take over the budgets of a new configuration."""
        self._budgets.adopt(queues)

    def _take_decisions(self) -> None:
        if not self._may_dispatch():
            return
        for decision in self.scheduler.next_decisions(time.monotonic()):
            match decision:
                case Start(task, worker, resources):
                    self._begin(task, worker, resources)
                case Checkpoint(task_id, reason):
                    log_event("checkpoint", "DEBUG", task=task_id, reason=reason)
                    self._act_on_running(task_id, self._client.checkpoint)
                case Throttle(task_id):
                    self._act_on_running(task_id, self._throttle)
                case Expire(task, refusal):
                    job = self._jobs.job_by_id.get(request_id_of(task.id))
                    if job is not None:
                        self._settle(job, NotRun(refusal))

    def _throttle(self, address: str, task: str) -> object:
        return self._client.throttle(address, task, THROTTLE_FRACTION)

    def _act_on_running(
        self, task_id: str, action: Callable[[str, str], object]
    ) -> None:
        job = self._jobs.job_by_id.get(request_id_of(task_id))
        if job is None:
            return
        for attempt, address in list(job.address_by_attempt.items()):
            gevent.spawn(action, address, f"{job.id}.{attempt}")

    def _begin(self, task: Task, worker: str, resources: Resources) -> None:
        job = self._jobs.job_by_id.get(request_id_of(task.id))
        address = self._address_of(worker)
        if job is None or address is None:
            self.scheduler.finished(task.id, Outcome.STOPPED, time.monotonic())
            return
        organisation = task.organisation
        self._running_by_organisation[organisation] = self.running(organisation) + 1
        self.running_tasks += 1
        gevent.spawn(self._run, job, task, Placement(worker, address, resources))

    def _run(self, job: Job, task: Task, placement: Placement) -> None:
        state = AttemptState()
        if job.submission.idempotent and not job.is_recorded:
            hedge_after_s = HEDGE_DELAY_S + HEDGE_FACTOR * job.submission.run_s
            state.hedge = gevent.spawn_later(
                hedge_after_s, self._hedge, job, placement, state
            )
        end: AttemptEnd = Lost("the attempt was interrupted")
        try:
            end = self.runner.run(
                job, placement, lambda: self._doubt(job, placement, state)
            )
        finally:
            organisation = task.organisation
            self._running_by_organisation[organisation] = self.running(organisation) - 1
            self.running_tasks -= 1
            state.stop_timers()
            self._finish(job, task, placement, end, state.is_repeated)
            if self.scheduler.has_queued():
                self.wake()

    def _hedge(self, job: Job, placement: Placement, state: AttemptState) -> None:
        """Start a second copy of a slow idempotent request elsewhere."""
        if state.is_repeated or job.verdict is not None or job.tries:
            return
        queue = job.submission.queue
        if self._budgets.hedge(queue).try_spend():
            self._metrics.hedges.labels(queue).inc()
            state.is_repeated = self._repeat(job, placement.worker)

    def _doubt(self, job: Job, placement: Placement, state: AttemptState) -> None:
        """Act on an attempt whose worker does not answer."""
        if job.submission.idempotent and not job.is_recorded:
            if not state.is_repeated:
                state.is_repeated = self._retry(job, placement.worker)
            return
        message = f"worker {placement.worker} does not answer"
        state.give_up = gevent.spawn_later(
            DOUBT_S, self._settle_unrecorded, job, MayHaveRun(message)
        )

    def _finish(
        self,
        job: Job,
        task: Task,
        placement: Placement,
        end: AttemptEnd,
        is_repeated: bool,
    ) -> None:
        now = time.monotonic()
        self._metrics.starts.labels(type(end).__name__.lower()).inc()
        if isinstance(end, Failed | Stopped | Lost):
            job.may_have_started = True
        if isinstance(end, Answered | Failed) and not job.is_recorded:
            has_failed = isinstance(end, Failed)
            self.on_outcome(placement.worker, job.submission.queue, has_failed)
        match end:
            case Answered(answer):
                self.scheduler.finished(task.id, Outcome.DONE, now)
                self._settle(job, Ran(answer))
            case Failed():
                self.scheduler.finished(task.id, Outcome.FAILED, now)
                self._retry_or_give_up(
                    job, placement, is_repeated, "the task failed after it had started"
                )
            case Refused(reason, free):
                self._requeue(job, task, placement, reason, free, is_repeated)
            case NotSent(reason):
                log_event("start_not_sent", "DEBUG", request=job.id, reason=reason)
                self._requeue(job, task, placement, None, None, is_repeated)
            case Stopped(checkpoint):
                self._resume(job, task, placement, checkpoint, is_repeated)
            case Lost(message):
                self.scheduler.finished(task.id, Outcome.FAILED, now)
                self._retry_or_give_up(job, placement, is_repeated, message)

    def _requeue(
        self,
        job: Job,
        task: Task,
        placement: Placement,
        reason: StartRefusal | None,
        free: Resources | None,
        is_repeated: bool,
    ) -> None:
        """Queue a job again whose start certainly had no effect."""
        now = time.monotonic()
        self.scheduler.finished(task.id, Outcome.REFUSED_BY_WORKER, now)
        if reason is StartRefusal.DRAINING or reason is StartRefusal.UNREACHABLE:
            self.scheduler.observe_worker(placement.worker, False, free, "", now)
        elif free is not None:
            self.scheduler.observe_worker(placement.worker, True, free, "", now)
        job.tries += 1
        if job.is_foreign:
            self.scheduler.cancel([task.id], now)
            self._jobs.remove(job)
            job.hand_over()
            return
        self._release_claim(job)
        if job.verdict is not None or is_repeated:
            self.scheduler.cancel([task.id], now)
            return
        if reason is StartRefusal.BAD_REQUEST or job.cancel_requested:
            self.scheduler.cancel([task.id], now)
            message = "the worker rejected the request"
            if job.cancel_requested:
                message = "cancelled by the caller"
            self._settle(job, NotRun(Refusal(RefusalReason.CANCELLED, message)))
            return
        if job.tries > MAX_TRIES and not job.is_recorded:
            self.scheduler.cancel([task.id], now)
            message = f"no worker accepted the task in {MAX_TRIES} tries"
            self._settle(job, NotRun(Refusal(RefusalReason.NO_WORKER, message, 1.0)))
            return
        self.scheduler.requeue(task.id, placement.worker)

    def _resume(
        self,
        job: Job,
        task: Task,
        placement: Placement,
        checkpoint: str,
        is_repeated: bool,
    ) -> None:
        """Go on from a checkpoint, or decide about a task that was stopped."""
        now = time.monotonic()
        self.scheduler.finished(task.id, Outcome.STOPPED, now)
        is_requeued = bool(self.scheduler.is_queued(task.id))
        if job.cancel_requested:
            self.scheduler.cancel([task.id], now)
            self._settle(job, MayHaveRun("cancelled while it was running"))
            return
        if checkpoint:
            job.checkpoint = checkpoint
            self._release_claim(job)
            if is_repeated:
                self.scheduler.cancel([task.id], now)
            elif not is_requeued:
                self._submit_again(job)
            return
        if is_requeued:
            self.scheduler.cancel([task.id], now)
        self._retry_or_give_up(
            job, placement, is_repeated, "the worker stopped the task while it ran"
        )

    def _retry_or_give_up(
        self, job: Job, placement: Placement, is_repeated: bool, message: str
    ) -> None:
        if is_repeated or job.verdict is not None:
            return
        if job.submission.idempotent and self._retry(job, placement.worker):
            return
        self._settle(job, MayHaveRun(message))

    def _retry(self, job: Job, worker: str) -> bool:
        """Run an idempotent job elsewhere if its queue's budget allows."""
        if job.verdict is not None or job.cancel_requested:
            return False
        queue = job.submission.queue
        if not self._budgets.retry(queue).try_spend():
            return False
        self._metrics.retries.labels(queue).inc()
        return self._repeat(job, worker)

    def _repeat(self, job: Job, worker: str) -> bool:
        # The attempt that is repeated has failed, or has not answered yet.
        job.may_have_started = True
        job.copies += 1
        job.excluded_workers.add(worker)
        self._release_claim(job)
        return self._submit_again(job)

    def _submit_again(self, job: Job) -> bool:
        job.tries += 1
        refusal = self.submit(job)
        if refusal is None:
            return True
        log_event("retry_refused", request=job.id, reason=refusal.reason)
        return False

    def _release_claim(self, job: Job) -> None:
        if job.is_recorded:
            self._release(job, job.attempt)

    def _settle_unrecorded(self, job: Job, verdict: Verdict) -> None:
        if not job.is_recorded:
            self._settle(job, verdict)

    def _settle(self, job: Job, verdict: Verdict) -> None:
        if not self._settlement.settle(job, verdict):
            return
        # A copy of the job that still waits need not run.
        self.scheduler.cancel([task_id_of(job)], time.monotonic())
        self._on_settled(job)

    def observe_report(self, worker: str, report: TaskReport) -> None:
        """Take over the free capacity that comes with an answer."""
        now = time.monotonic()
        self.scheduler.observe_worker(worker, True, report.free, report.boot_id, now)
