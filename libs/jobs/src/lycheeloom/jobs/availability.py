"""Which long-running tasks an order may end without breaking their step's budget."""

from __future__ import annotations

from .active_job import JobWork
from .fleet import Fleet, Run, RunState
from .model import TaskKey

FULL_PERCENT = 100
# A task that has made no progress for this long does not come to work soon. Lists
# of runs are up to a second old.
STUCK_S = 3.0


def away_tasks(fleet: Fleet, work: JobWork, occurrence: int, step: int) -> set[int]:
    """Return the tasks of a long-running step that are not at work."""
    step_work = work.work_by_step[occurrence, step]
    return {
        index
        for index in range(step_work.step.count)
        if not _is_at_work(fleet, TaskKey(work.job.job_id, occurrence, step, index))
    }


def may_end(fleet: Fleet, work: JobWork, run: Run, now_s: float) -> bool:
    """Tell whether the budget of the run's step allows an order to end it.

    A task that was not at work in the newest list may be by now, so it counts as
    if it were, unless it has long been stuck.
    """
    step = run.step
    if not step.long_running or not step.may_miss:
        return True
    away = away_tasks(fleet, work, run.task.occurrence, run.task.step)
    if run.task.index in away and _is_stuck(fleet, run, now_s):
        return True
    return len(away - {run.task.index}) < step.may_miss


def _is_stuck(fleet: Fleet, run: Run, now_s: float) -> bool:
    return (
        run.state is RunState.RUNNING
        and fleet.state_by_id[run.worker_id].is_listed
        and now_s - run.moved_s > STUCK_S
    )


def _is_at_work(fleet: Fleet, task: TaskKey) -> bool:
    return any(
        run.state is RunState.RUNNING
        and run.percent >= FULL_PERCENT
        # A worker that does not answer may have ended with all that ran there.
        and fleet.state_by_id[run.worker_id].is_listed
        for run in fleet.runs_by_task.get(task, ())
    )
