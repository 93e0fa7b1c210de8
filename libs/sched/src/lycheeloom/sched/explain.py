"""Explains tasks and teams with typed events."""

from __future__ import annotations

from .events import TaskEvent, TaskWaiting, TeamEvent, TeamStatus, describe
from .state import SchedulerState
from .tasks import TaskRecord, TaskState


def explain_task(
    state: SchedulerState, task_id: str, now: float
) -> tuple[TaskEvent, ...]:
    """Return the events of a task and, if it waits, why."""
    record = state.record_by_id.get(task_id)
    if record is None:
        return tuple(state.ended_events.get(task_id, ()))
    if record.state is TaskState.RUNNING:
        return tuple(record.events)
    return (*record.events, TaskWaiting(now, _why_waiting(state, record)))


def explain_team(state: SchedulerState, team: str, now: float) -> tuple[TeamEvent, ...]:
    """Return the standing of a team and its latest refusals."""
    status = TeamStatus(
        now,
        team,
        state.shares.running(team),
        state.queues.count_by_team[team],
        state.grant_by_team.get(team, 0),
        state.shares.share(team),
        state.shares.fair_share(team),
    )
    return (status, *state.refusals_by_team.get(team, ()))


def _why_waiting(state: SchedulerState, record: TaskRecord) -> str:
    task = record.task
    if record.state is TaskState.PARKED:
        return "a worker refused the task and it is about to be queued again"
    if not state.may_run(task.team):
        granted = state.grant_by_team.get(task.team, 0)
        return f"team {task.team} uses all {granted} running slots granted here"
    pool = state.queues.home_pool(task.queue)
    need = state.need(task, pool)
    if not any(need.fits_in(size) for size in state.workers.sizes(pool)):
        return f"no worker of pool {pool} is large enough for {describe(need)}"
    queued = state.queues.queued(task.team, task.queue)
    share = state.shares.share(task.team)
    fair = state.shares.fair_share(task.team)
    return (
        f"pool {pool} has no room for {describe(need)}; team {task.team} has "
        f"{queued} tasks queued on {task.queue} and uses {share:.1%} of the fleet "
        f"where its fair share is {fair:.1%}"
    )
