"""Reconciles the leader's state with the runs that workers report."""

from __future__ import annotations

from collections.abc import Callable, Collection

from lycheeloom.jobs.fleet import Fleet, Run, RunState
from lycheeloom.jobs.model import EndedTask, EndKind, RunningTask, TaskKey
from lycheeloom.jobs.stall_limits import STALL_S
from lycheeloom.telemetry import log_event

from . import metrics
from .clock import steady_s
from .job_registry import JobRegistry
from .ports import TaskLists
from .rating_recorder import RatingRecorder
from .task_orders import START_NOT_ANSWERED, TaskOrders
from .worker_link import WorkerLink
from .writer import Commit

# The worker of a stalled run gets no tasks for this long.
STALL_BACKOFF_S = 6.0


class ListReconciler:
    """Updates the fleet and the jobs from the run lists of workers.

    A worker lists its running runs, and the ends that the leader has not acknowledged,
    some at a time. Until the last of them is listed, a run that the worker does not
    list may have ended, so its task must not start again.
    ``on_restart`` is called with the start time, in Unix milliseconds, of another
    incarnation that has sent the lists.
    """

    def __init__(
        self,
        fleet: Fleet,
        registry: JobRegistry,
        orders: TaskOrders,
        ratings: RatingRecorder,
        on_restart: Callable[[WorkerLink, int], None],
        wake: Callable[[], None],
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._orders = orders
        self._ratings = ratings
        self._on_restart = on_restart
        self._wake = wake

    def reconcile(
        self, link: WorkerLink, lists: TaskLists, sent_s: float
    ) -> Commit | None:
        """Process lists that were requested at ``sent_s``.

        Returns the commit that must be durable before the worker may forget the ended
        runs, or None if there is nothing to wait for.
        """
        worker_id = link.worker.worker_id
        if lists.is_from_other_incarnation(link.worker):
            self._on_restart(link, lists.started_ms)
            return None
        state = self._fleet.state_by_id[worker_id]
        ended = [end for end in lists.ended if end.number > link.newest_end]
        for end in ended:
            self._process_end(worker_id, end)
            link.newest_end = max(link.newest_end, end.number)
        listed: set[TaskKey] = set()
        for row in lists.running:
            listed.add(row.task)
            self._process_running(link, row, sent_s)
        self._ratings.note_list(worker_id, steady_s())
        state.has_unlisted_ends = lists.has_more_ends
        if not lists.has_more_ends:
            self._process_complete_lists(worker_id, listed, sent_s)
        if not ended:
            return None
        self._wake()
        self._registry.flush()
        return self._registry.last_commit

    def _process_complete_lists(
        self, worker_id: str, listed: Collection[TaskKey], sent_s: float
    ) -> None:
        """Release the runs that a worker does not have any more.

        ``listed`` contains the tasks of its running runs in lists that were requested
        at ``sent_s``. Its ended runs have been processed.
        """
        state = self._fleet.state_by_id[worker_id]
        for run in list(state.run_by_task.values()):
            if run.task in listed or sent_s <= run.gone_if_unlisted_after_s:
                continue
            if run.state is RunState.UNSURE:
                # The start may still be in flight; the stop makes the worker reject it.
                self._orders.stop_run(run, START_NOT_ANSWERED)
            else:
                self._fleet.remove_run(run)
                self._registry.put_back(run, run.stop_reason or "not listed")
        if not state.has_current_lists:
            state.has_current_lists = True
            log_event("worker_listed", worker=worker_id, running=len(listed))
            self._wake()

    def _process_end(self, worker_id: str, end: EndedTask) -> None:
        run = self._fleet.find_run(worker_id, end.task, end.run)
        if run is not None:
            self._fleet.remove_run(run)
            self._ratings.note_end(run, end.kind, steady_s())
        active_job = self._registry.active_job_by_id.get(end.task.job_id)
        metrics.TASKS_ENDED.labels(end.kind.value).inc()
        log_event(
            "task_ended",
            is_routine=run is not None and end.kind is EndKind.DONE,
            task=end.task,
            run=end.run,
            worker=worker_id,
            how=end.kind.value,
            known=run is not None,
        )
        # The run may be unknown: an earlier leader has started it, or it was released
        # when its lease expired. Its end counts all the same, since the worker forgets
        # the end once it is acknowledged.
        if active_job is None:
            return
        active_job.note_run(end.run)
        self._registry.refresh_max_attempts(active_job)
        if active_job.note_end(end.task, end.run, end.kind, end.checkpoint):
            self._registry.note_changed(active_job)
        # Long-running tasks are restarted whenever they end, so their ends say nothing
        # about the worker.
        counts_for_worker = run is not None and not run.step.long_running
        if counts_for_worker and end.kind in (EndKind.DONE, EndKind.FAILED):
            succeeded = end.kind is EndKind.DONE
            self._fleet.note_outcome(worker_id, succeeded, steady_s())
        if end.kind is EndKind.FAILED:
            self._registry.planner.failed_workers_by_task[end.task].add(worker_id)
        if active_job.is_final:
            self._registry.close_job(active_job)
        elif active_job.is_done(end.task):
            self._stop_other_runs(end.task)
        elif end.task not in self._fleet.runs_by_task:
            active_job.put_back(end.task, end.checkpoint)

    def _stop_other_runs(self, task: TaskKey) -> None:
        for other_run in list(self._fleet.runs_by_task.get(task, ())):
            self._orders.stop_run(other_run, "another run is done")

    def _process_running(
        self, link: WorkerLink, row: RunningTask, sent_s: float
    ) -> None:
        worker_id = link.worker.worker_id
        now_s = steady_s()
        run = self._fleet.find_run(worker_id, row.task, row.run)
        if run is None:
            run = self._adopt(link, row)
            if run is None:
                return
        run.is_listed = True
        # A run at 100 percent cannot make further progress and is not stalled.
        if row.percent != run.percent or run.percent >= 100:
            run.percent, run.progress_changed_s = row.percent, now_s
        if row.checkpoint:
            run.checkpoint = row.checkpoint
        run.latency_or_cores = row.latency_or_cores
        if run.state in (RunState.STARTING, RunState.UNSURE):
            run.state = RunState.RUNNING
            run.progress_changed_s = now_s
        self._ratings.note_progress(run, now_s)
        if run.state is not RunState.RUNNING or run.step.long_running:
            return
        stood_s = now_s - run.progress_changed_s
        if stood_s > STALL_S or self._ratings.has_stalled_early(run, sent_s, now_s):
            state = self._fleet.state_by_id[worker_id]
            state.backoff_until_s = now_s + STALL_BACKOFF_S
            self._ratings.note_stall(run, stood_s, now_s)
            self._orders.stop_run(run, "no progress")

    def _adopt(self, link: WorkerLink, row: RunningTask) -> Run | None:
        """Add a listed run that the fleet lacks, or stop it if it is not needed.

        Returns the added run, which an earlier leader has started, or None.
        """
        worker_id = link.worker.worker_id
        active_job = self._registry.active_job_by_id.get(row.task.job_id)
        step_tasks = active_job.find_tasks(row.task) if active_job else None
        is_needed = (
            step_tasks is not None
            and row.task.index not in step_tasks.done
            and row.task not in self._fleet.runs_by_task
        )
        if not is_needed:
            self._orders.stop_listed(link, row)
            return None
        active_job.note_run(row.run)
        active_job.remove_waiting(row.task)
        now_s = steady_s()
        run = Run(
            row.task,
            row.run,
            worker_id,
            step_tasks.step,
            active_job.job.organisation,
            active_job.job.queue,
            RunState.RUNNING,
            now_s,
            row.checkpoint,
            progress_changed_s=now_s,
            is_adopted=True,
            gone_if_unlisted_after_s=now_s,
        )
        self._fleet.add_run(run)
        self._registry.note_begun(active_job)
        log_event("task_adopted", task=row.task, run=row.run, worker=worker_id)
        return run
