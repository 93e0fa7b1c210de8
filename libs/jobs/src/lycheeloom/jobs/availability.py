"""Checks that stopping a run keeps enough tasks of its step available."""

from __future__ import annotations

from .active_job import ActiveJob
from .fleet import Fleet, Run, RunState
from .model import TaskKey

# Progress that the run of a long-running task reports while the task is available.
READY_PERCENT = 100
# A run without progress for this long is stuck: its task is not expected to become
# available soon. Longer than the age of the run lists, which is up to a second.
STUCK_S = 3.0


def unavailable_tasks(
    fleet: Fleet, active_job: ActiveJob, occurrence: int, step: int
) -> set[int]:
    """Return the indexes of the tasks of a long-running step that are unavailable."""
    return {
        index
        for index in range(active_job.job.steps[step].count)
        if not _is_available(
            fleet, TaskKey(active_job.job.job_id, occurrence, step, index)
        )
    }


def may_stop(fleet: Fleet, active_job: ActiveJob, run: Run, now_s: float) -> bool:
    """Return whether the unavailability budget of the step allows stopping a run.

    The budget is the number of tasks of the step that may be unavailable at the same
    time, ``may_miss``. A task that the latest list shows as unavailable may have become
    available since, so stopping it uses the budget too, unless its run is stuck.
    """
    step = run.step
    if not step.long_running or not step.may_miss:
        return True
    unavailable = unavailable_tasks(
        fleet, active_job, run.task.occurrence, run.task.step
    )
    if run.task.index in unavailable and _is_stuck(fleet, run, now_s):
        return True
    return len(unavailable - {run.task.index}) < step.may_miss


def _is_stuck(fleet: Fleet, run: Run, now_s: float) -> bool:
    return (
        run.state is RunState.RUNNING
        and fleet.state_by_id[run.worker_id].has_current_lists
        and now_s - run.progress_changed_s > STUCK_S
    )


def _is_available(fleet: Fleet, task: TaskKey) -> bool:
    return any(
        run.state is RunState.RUNNING
        and run.percent >= READY_PERCENT
        # A worker that does not respond may have ended together with its runs.
        and fleet.state_by_id[run.worker_id].has_current_lists
        for run in fleet.runs_by_task.get(task, ())
    )
