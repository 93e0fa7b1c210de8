"""The leader's work: starts tasks, follows them and records what has ended."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field

import gevent
from gevent.event import Event
from gevent.pool import Pool as GreenletPool

from lycheeloom.jobs.fleet import Fleet, Run, RunState, WorkerState
from lycheeloom.jobs.model import (
    EndedTask,
    EndKind,
    Policy,
    RunningTask,
    Step,
    TaskKey,
    Worker,
)
from lycheeloom.jobs.placement import fits
from lycheeloom.jobs.planner import AdvisedWorkers, Planner, Start
from lycheeloom.jobs.records import Kind, Record, encode, key_of
from lycheeloom.jobs.table import Applied
from lycheeloom.jobs.work import JobWork
from lycheeloom.model.resources import Resources
from lycheeloom.telemetry import log_event

from . import metrics
from .clock import steady_s, wall_ms
from .ports import CallOutcome, CallReply, TaskLists, WorkerPort
from .replica import Replica
from .worker_link import (
    CLOCK_RATE_MARGIN,
    LAPSE_MARGIN_S,
    WORKER_LEASE_S,
    WorkerLink,
)
from .writer import Commit, LeaderWriter

# Starts are planned together if their reasons come this close to each other.
PLAN_PAUSE_S = 0.005
# Planning also happens without a reason, for due times and holds that end.
PLAN_INTERVAL_S = 0.2
# A stopped run is gone from the worker's lists within this time.
STOP_SETTLE_S = 0.25
STOP_RETRY_S = 0.2
# A run whose progress stands still for this long is stopped and started anew.
STALL_S = 2.0
STALL_HOLD_S = 6.0
# A worker without room by its own word gets no start for this long.
NO_ROOM_HOLD_S = 0.1
REFUSED_HOLD_S = 0.5
# Longer than any worker runs on under leases of the leader before.
TAKEOVER_LAPSE_S = WORKER_LEASE_S * CLOCK_RATE_MARGIN + LAPSE_MARGIN_S
# An entry that vanished from the list of workers may still come back.
MISSING_S = 2.5
MAX_CALLS = 64


@dataclass(slots=True)
class View:
    """What the platform says: policy, workers and zones taken out."""

    policy: Policy = field(default_factory=Policy)
    worker_by_id: dict[str, Worker] = field(default_factory=dict)
    zones_out: frozenset[str] = frozenset()
    # Sizes and labels of all workers seen so far: what none of them can run is
    # impossible, and not only short of room.
    capacities_seen: set[Resources] = field(default_factory=set)
    labels_seen: set[str] = field(default_factory=set)

    def note_worker(self, worker: Worker) -> None:
        """Take over a worker's newest description."""
        self.worker_by_id[worker.worker_id] = worker
        self.capacities_seen.add(worker.capacity)
        self.labels_seen |= worker.labels

    def find_impossible(self, steps: Sequence[Step]) -> str:
        """Return why a step can never run, or an empty string.

        Without any worker seen nothing is known to be impossible.
        """
        if not self.capacities_seen:
            return ""
        for number, step in enumerate(steps):
            if step.label and step.label not in self.labels_seen:
                return f"steps.{number}: no worker has the label {step.label!r}"
            if not any(fits(step.need, size) for size in self.capacities_seen):
                return f"steps.{number}: no worker is large enough for one task"
        return ""


class Dispatcher:
    """Runs while this instance leads."""

    def __init__(
        self,
        workers: WorkerPort,
        replica: Replica,
        writer: LeaderWriter,
        view: View,
    ) -> None:
        self.fleet = Fleet()
        self.work_by_id: dict[str, JobWork] = {}
        self.link_by_id: dict[str, WorkerLink] = {}
        self.view = view
        self.writer = writer
        self.planner = Planner(self.fleet)
        self.advised = AdvisedWorkers()
        self._workers = workers
        self.replica = replica
        self._began_s = steady_s()
        self._wake = Event()
        self._changed_jobs: set[str] = set()
        # Durable no sooner than every record handed over so far.
        self._last_commit: Commit | None = None
        self._inherited: set[str] = set()
        # Jobs that have ended under this leader and are still in the table.
        self._closed_jobs: set[str] = set()
        self._missing_since: dict[str, float] = {}
        self._greenlets: list[gevent.Greenlet] = []
        self._calls = GreenletPool(MAX_CALLS)

    def run(self, beside: Iterable[Callable[[], None]] = ()) -> None:
        """Lead until fenced, with the tasks given running beside."""
        for job_id in self.replica.table.entry_by_id:
            self._open_job(job_id, inherited=True)
        self.replica.listen(self._on_applied)
        self._spawn(self.writer.run)
        for task in beside:
            self._spawn(task)
        try:
            while not self.writer.is_fenced:
                self.follow_view()
                self._check_links()
                if self.writer.may_act:
                    self._plan()
                self._wake.wait(PLAN_INTERVAL_S)
                self._wake.clear()
                gevent.sleep(PLAN_PAUSE_S)
        finally:
            self.replica.remove_listener(self._on_applied)
            for link in self.link_by_id.values():
                link.is_stopped = True
            gevent.killall(self._greenlets, block=False)
            self._calls.kill(block=False)

    def wake(self) -> None:
        """Plan soon."""
        self._wake.set()

    def follow_view(self) -> None:
        """Take over which workers the platform lists."""
        now_s = steady_s()
        for worker in self.view.worker_by_id.values():
            self._missing_since.pop(worker.worker_id, None)
            self._follow_worker(worker)
        for worker_id in list(self.link_by_id):
            if worker_id in self.view.worker_by_id:
                continue
            since_s = self._missing_since.setdefault(worker_id, now_s)
            link = self.link_by_id[worker_id]
            if now_s - since_s > MISSING_S and link.failing_for_s and link.has_lapsed:
                self._drop_worker(worker_id, "not listed")

    def stop_run(self, run: Run, reason: str) -> None:
        """Stop a run and wait until the worker no longer has it."""
        if run.state is RunState.STOPPING:
            return
        run.state = RunState.STOPPING
        run.stop_reason = reason
        run.settle_after_s = math.inf
        log_event(
            "task_stop",
            task=run.task,
            run=run.run,
            worker=run.worker_id,
            reason=reason,
        )
        self._calls.spawn(self._stop_until_answered, run)

    # Jobs

    def _on_applied(self, applied: Applied) -> None:
        match applied.kind:
            case Kind.JOB:
                self._open_job(applied.name, inherited=False)
            case Kind.CANCELLATION:
                self._cancel_job(applied.name)
            case Kind.PROGRESS if applied.name not in self.replica.table.entry_by_id:
                self._closed_jobs.discard(applied.name)
                return
            case _:
                return
        self.wake()

    def _open_job(self, job_id: str, *, inherited: bool) -> None:
        entry = self.replica.table.entry_by_id.get(job_id)
        if entry is None or entry.job is None or job_id in self.work_by_id:
            return
        if job_id in self._closed_jobs:
            # A repeated record; the table may not show the job's end yet.
            return
        work = JobWork(entry.job, entry.progress)
        if work.is_final:
            return
        self.work_by_id[job_id] = work
        self.planner.note_job(work, self.view.policy)
        if inherited:
            self._inherited.add(job_id)
        if entry.cancelled:
            self._cancel_job(job_id)
            return
        log_event(
            "job_opened",
            job=job_id,
            queue=entry.job.queue,
            tasks=sum(step.count for step in entry.job.steps),
            age_ms=wall_ms() - entry.job.accepted_ms,
            inherited=inherited,
        )

    def _cancel_job(self, job_id: str) -> None:
        work = self.work_by_id.get(job_id)
        if work is None or work.is_final:
            return
        work.cancel()
        self._close_job(work)

    def _close_job(self, work: JobWork) -> None:
        job_id = work.job.job_id
        work.finished_ms = wall_ms()
        log_event("job_ended", job=job_id, state=work.state.value)
        for run in self.fleet.runs_of_job(job_id):
            self.stop_run(run, f"job {work.state.value}")
        self._changed_jobs.add(job_id)
        self._flush()
        del self.work_by_id[job_id]
        self._closed_jobs.add(job_id)
        self.planner.forget_job(job_id)
        self.advised.forget_job(job_id)

    def _flush(self) -> None:
        """Hand the progress of changed jobs to the writer."""
        records = []
        for job_id in self._changed_jobs:
            work = self.work_by_id.get(job_id)
            if work is None:
                continue
            records.append(
                Record(key_of(Kind.PROGRESS, job_id), encode(work.progress()))
            )
        self._changed_jobs.clear()
        if records:
            self._last_commit = self.writer.write(records)

    # Workers

    def _follow_worker(self, worker: Worker) -> None:
        link = self.link_by_id.get(worker.worker_id)
        if link is not None and link.worker.born_ms != worker.born_ms:
            if worker.born_ms < link.worker.born_ms:
                return
            self._drop_worker(worker.worker_id, "started again")
            link = None
        if link is None:
            self.fleet.add_worker(worker)
            link = WorkerLink(
                worker,
                self._workers,
                self.writer.token,
                lambda: self.writer.may_act,
                self._on_lists,
                self._on_reply,
                self._watch_closely,
            )
            self.link_by_id[worker.worker_id] = link
            self._spawn(link.run)
            return
        if link.worker != worker:
            link.worker = worker
            self.fleet.add_worker(worker)
            self.wake()

    def _drop_worker(self, worker_id: str, reason: str) -> None:
        link = self.link_by_id.pop(worker_id)
        link.is_stopped = True
        runs = self.fleet.remove_worker(worker_id)
        self._missing_since.pop(worker_id, None)
        log_event("worker_dropped", worker=worker_id, reason=reason, runs=len(runs))
        for run in runs:
            self._put_back(run, reason)
        self.wake()

    def _check_links(self) -> None:
        for link in self.link_by_id.values():
            state = self.fleet.state_by_id[link.worker.worker_id]
            if link.failing_for_s > 0:
                state.is_listed = False
            if state.run_by_task and link.has_lapsed and not link.is_first_listing:
                log_event("worker_lapsed", worker=link.worker.worker_id)
                for run in list(state.run_by_task.values()):
                    self.fleet.remove_run(run)
                    self._put_back(run, "lease lapsed")

    def _on_reply(self, link: WorkerLink, outcome: CallOutcome) -> None:
        if outcome is CallOutcome.FENCED:
            self._note_fenced(link.worker.worker_id)
        elif outcome is CallOutcome.GONE and link.worker.worker_id in self.link_by_id:
            self._drop_worker(link.worker.worker_id, "another life answers")

    def _note_fenced(self, worker_id: str) -> None:
        log_event("leader_fenced", level="WARNING", worker=worker_id)
        self.writer.is_fenced = True
        self.wake()

    def _watch_closely(self, link: WorkerLink) -> bool:
        state = self.fleet.state_by_id.get(link.worker.worker_id)
        if state is None:
            return False
        return any(
            run.state is RunState.STOPPING or run.step.target_ms
            for run in state.run_by_task.values()
        )

    # Lists of workers

    def _on_lists(
        self, link: WorkerLink, lists: TaskLists, sent_s: float
    ) -> Commit | None:
        worker_id = link.worker.worker_id
        if lists.born_ms and lists.born_ms != link.worker.born_ms:
            self._drop_worker(worker_id, "lists of another life")
            return None
        state = self.fleet.state_by_id[worker_id]
        ended = [end for end in lists.ended if end.number > link.taken]
        for end in ended:
            self._take_end(link, end)
            link.taken = max(link.taken, end.number)
        listed: set[TaskKey] = set()
        for row in lists.running:
            listed.add(row.task)
            self._take_running(link, row)
        for run in list(state.run_by_task.values()):
            if run.task not in listed and sent_s > run.settle_after_s:
                self.fleet.remove_run(run)
                self._put_back(run, run.stop_reason or "not listed")
        if not state.is_listed:
            state.is_listed = True
            log_event("worker_listed", worker=worker_id, running=len(lists.running))
            self.wake()
        if not ended:
            return None
        self.wake()
        self._flush()
        return self._last_commit

    def _take_end(self, link: WorkerLink, end: EndedTask) -> None:
        worker_id = link.worker.worker_id
        run = self.fleet.find_run(worker_id, end.task, end.run)
        if run is not None:
            self.fleet.remove_run(run)
        work = self.work_by_id.get(end.task.job_id)
        metrics.TASKS_ENDED.labels(end.kind.value).inc()
        log_event(
            "task_ended",
            task=end.task,
            run=end.run,
            worker=worker_id,
            how=end.kind.value,
            known=run is not None,
        )
        if work is None or (run is None and not link.is_first_listing):
            return
        work.note_run(end.run)
        queue = self.view.policy.queue_by_name.get(work.job.queue)
        if queue is not None:
            work.max_attempts = queue.max_attempts
        if work.note_end(end.task, end.kind, end.checkpoint):
            self._changed_jobs.add(work.job.job_id)
        # Services that are restarted whenever they end say nothing of a worker.
        is_trial = run is not None and not run.step.long_running
        if is_trial and end.kind in (EndKind.DONE, EndKind.FAILED):
            succeeded = end.kind is EndKind.DONE
            self.fleet.note_outcome(worker_id, succeeded, steady_s())
        if end.kind is EndKind.FAILED:
            self.planner.failed_on_by_task[end.task].add(worker_id)
        if work.is_final:
            self._close_job(work)
        elif end.kind is EndKind.DONE:
            self._stop_copies(end.task)
        elif end.task not in self.fleet.runs_by_task:
            work.put_back(end.task, end.checkpoint)

    def _stop_copies(self, task: TaskKey) -> None:
        for copy in list(self.fleet.runs_by_task.get(task, ())):
            self.stop_run(copy, "another copy is done")

    def _take_running(self, link: WorkerLink, row: RunningTask) -> None:
        worker_id = link.worker.worker_id
        now_s = steady_s()
        run = self.fleet.find_run(worker_id, row.task, row.run)
        if run is None:
            run = self._adopt(link, row)
            if run is None:
                return
        if row.percent != run.percent or run.percent >= 100:
            run.percent, run.moved_s = row.percent, now_s
        if row.checkpoint:
            run.checkpoint = row.checkpoint
        run.figure = row.figure
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.moved_s = now_s
        stalled = now_s - run.moved_s > STALL_S
        if stalled and run.state is RunState.RUNNING and not run.step.long_running:
            state = self.fleet.state_by_id[worker_id]
            state.held_until_s = now_s + STALL_HOLD_S
            self.stop_run(run, "no progress")

    def _adopt(self, link: WorkerLink, row: RunningTask) -> Run | None:
        """Take over a run of an earlier leader, or stop one nobody needs."""
        worker_id = link.worker.worker_id
        work = self.work_by_id.get(row.task.job_id)
        step_key = (row.task.occurrence, row.task.step)
        step_work = work.work_by_step.get(step_key) if work else None
        wanted = (
            step_work is not None
            and row.task.index not in step_work.done
            and row.task not in self.fleet.runs_by_task
        )
        if not wanted:
            self._calls.spawn(self._stop_unknown, link.worker, row)
            return None
        work.note_run(row.run)
        if row.task.index in step_work.waiting:
            step_work.waiting.remove(row.task.index)
        now_s = steady_s()
        run = Run(
            row.task,
            row.run,
            worker_id,
            step_work.step,
            work.job.organisation,
            work.job.queue,
            RunState.RUNNING,
            now_s,
            row.checkpoint,
            moved_s=now_s,
            settle_after_s=now_s,
        )
        self.fleet.add_run(run)
        if work.note_begun():
            self._changed_jobs.add(work.job.job_id)
        log_event("task_adopted", task=row.task, run=row.run, worker=worker_id)
        return run

    def _put_back(self, run: Run, reason: str) -> None:
        work = self.work_by_id.get(run.task.job_id)
        if work is None or run.task in self.fleet.runs_by_task:
            return
        log_event("task_waits_again", task=run.task, run=run.run, reason=reason)
        work.put_back(run.task, run.checkpoint)
        self.wake()

    # Starts and stops

    def _plan(self) -> None:
        now_s = steady_s()
        unsettled = self._unsettled_pools(now_s)
        policy = self.view.policy
        works = [
            work
            for work in self.work_by_id.values()
            if work.job.job_id not in self._inherited
            or self._pool_of(work, policy) not in unsettled
        ]
        starts = self.planner.plan(
            works, policy, self.view.zones_out, now_s, wall_ms(), self.advised
        )
        for start in starts:
            self._begin(start, now_s)

    def _unsettled_pools(self, now_s: float) -> Collection[str]:
        """Return pools in which runs of the leader before may be unknown."""
        if not self._inherited:
            return ()
        if now_s - self._began_s > TAKEOVER_LAPSE_S:
            self._inherited.clear()
            return ()
        pools = {
            state.worker.pool
            for state in self.fleet.state_by_id.values()
            if not state.is_listed
        }
        if not pools and self.fleet.state_by_id:
            self._inherited.clear()
        return pools if self.fleet.state_by_id else set(self.view.policy.pool_by_name)

    @staticmethod
    def _pool_of(work: JobWork, policy: Policy) -> str:
        queue = policy.queue_by_name.get(work.job.queue)
        return queue.pool if queue else ""

    def _begin(self, start: Start, now_s: float) -> None:
        run = Run(
            start.task,
            start.run,
            start.worker_id,
            start.step,
            start.organisation,
            start.queue,
            RunState.STARTING,
            now_s,
            start.checkpoint,
            moved_s=now_s,
        )
        self.fleet.add_run(run)
        gevent.spawn(self._start, start, run)

    def _start(self, start: Start, run: Run) -> None:
        link = self.link_by_id.get(start.worker_id)
        deadline_ms = link.grant() if link else None
        if link is None or deadline_ms is None or not self.writer.may_act:
            self._give_back(run, "no link")
            return
        key = (start.task.job_id, (start.task.occurrence, start.task.step))
        ticket, _ = self.advised.ticket_by_key.get((*key, start.worker_id), ("", 0.0))
        began_s = steady_s()
        reply = self._workers.start(
            link.worker, start, self.writer.token, deadline_ms, ticket
        )
        if self.writer.is_fenced:
            return
        link.note_clock(reply.clock_ms)
        self._settle_start(start, run, link, reply, began_s)

    def _settle_start(
        self,
        start: Start,
        run: Run,
        link: WorkerLink,
        reply: CallReply,
        began_s: float,
    ) -> None:
        state = self.fleet.state_by_id.get(start.worker_id)
        now_s = steady_s()
        log_event(
            "task_start",
            task=start.task,
            run=start.run,
            worker=start.worker_id,
            token=self.writer.token,
            outcome=reply.outcome.value,
            reason=reply.reason,
            took_ms=(now_s - began_s) * 1000,
        )
        metrics.START_SECONDS.labels(reply.outcome.value).observe(now_s - began_s)
        match reply.outcome:
            case CallOutcome.DONE:
                self._note_started(start, run, now_s)
            case CallOutcome.FENCED:
                self._note_fenced(start.worker_id)
            case CallOutcome.UNKNOWN:
                if run.state is RunState.STARTING:
                    self.stop_run(run, "start not answered")
            case CallOutcome.GONE:
                self._on_reply(link, reply.outcome)
            case CallOutcome.BAD_TICKET:
                key = (start.task.occurrence, start.task.step)
                self.advised.ticket_by_key.pop(
                    (start.task.job_id, key, start.worker_id), None
                )
                self._give_back(run, "ticket")
            case outcome:
                if state is not None:
                    self._hold_worker(state, outcome, now_s)
                self._give_back(run, outcome.value)

    def _note_started(self, start: Start, run: Run, now_s: float) -> None:
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.moved_s = now_s
            run.settle_after_s = now_s
        work = self.work_by_id.get(start.task.job_id)
        if work is None:
            self.stop_run(run, "job has ended")
        elif work.note_begun():
            waited_s = (wall_ms() - work.job.accepted_ms) / 1000
            metrics.FIRST_START_SECONDS.observe(max(0.0, waited_s))
            self._changed_jobs.add(work.job.job_id)
            self._flush()

    def _hold_worker(
        self, state: WorkerState, outcome: CallOutcome, now_s: float
    ) -> None:
        match outcome:
            case CallOutcome.NO_ROOM:
                hold_s = NO_ROOM_HOLD_S
            case CallOutcome.OLD_RUN:
                return
            case _:
                hold_s = REFUSED_HOLD_S
        state.held_until_s = max(state.held_until_s, now_s + hold_s)

    def _give_back(self, run: Run, reason: str) -> None:
        """Undo a start that has certainly not happened."""
        state = self.fleet.state_by_id.get(run.worker_id)
        if state is None or state.run_by_task.get(run.task) is not run:
            return
        self.fleet.remove_run(run)
        self._put_back(run, reason)

    def _stop_until_answered(self, run: Run) -> None:
        while not self.writer.is_fenced:
            link = self.link_by_id.get(run.worker_id)
            state = self.fleet.state_by_id.get(run.worker_id)
            if link is None or state is None:
                return
            if state.run_by_task.get(run.task) is not run:
                return
            if self.writer.may_act:
                reply = self._workers.stop(
                    link.worker, str(run.task), run.run, self.writer.token
                )
                if reply.outcome is CallOutcome.DONE:
                    run.settle_after_s = steady_s() + STOP_SETTLE_S
                    return
                if reply.outcome in (CallOutcome.FENCED, CallOutcome.GONE):
                    self._on_reply(link, reply.outcome)
                    return
            gevent.sleep(STOP_RETRY_S)

    def _stop_unknown(self, worker: Worker, row: RunningTask) -> None:
        reply = self._workers.stop(worker, str(row.task), row.run, self.writer.token)
        log_event(
            "task_stop",
            task=row.task,
            run=row.run,
            worker=worker.worker_id,
            reason="not wanted",
            outcome=reply.outcome.value,
        )

    def _spawn(self, target, *args) -> None:
        self._greenlets.append(gevent.spawn(target, *args))
