"""Explains the state of tasks and organisations by typed events."""

from __future__ import annotations

from .events import (
    OrganisationEvent,
    OrganisationStatus,
    TaskEvent,
    TaskWaiting,
    describe,
)
from .state import SchedulerState
from .tasks import TaskRecord, TaskState


def explain_task(
    state: SchedulerState, task_id: str, now: float
) -> tuple[TaskEvent, ...]:
    """Return the events of a task and, if it waits, the reason."""
    record = state.record_by_id.get(task_id)
    if record is None:
        return tuple(state.events_by_ended_task.get(task_id, ()))
    if record.state is TaskState.RUNNING:
        return tuple(record.events)
    return (*record.events, TaskWaiting(now, _waiting_reason(state, record)))


def explain_organisation(
    state: SchedulerState, organisation: str, now: float
) -> tuple[OrganisationEvent, ...]:
    """Return the status of an organisation and its latest refusals."""
    status = OrganisationStatus(
        now,
        organisation,
        state.shares.running(organisation),
        state.queues.count_by_organisation[organisation],
        state.grant_by_organisation.get(organisation, 0),
        state.shares.share(organisation),
        state.shares.fair_share(organisation),
    )
    return (status, *state.refusals_by_organisation.get(organisation, ()))


def _waiting_reason(state: SchedulerState, record: TaskRecord) -> str:
    task = record.task
    if record.state is TaskState.AWAITING_REQUEUE:
        return "a worker refused the task and it is about to be queued again"
    if not state.may_run(task.organisation):
        granted = state.grant_by_organisation.get(task.organisation, 0)
        return f"organisation {task.organisation} uses all {granted} running slots "
        "granted here"
    pool = state.queues.home_pool(task.queue)
    need = state.need(task, pool)
    if not any(need.fits_in(size) for size in state.workers.worker_sizes(pool)):
        return f"no worker of pool {pool} is large enough for {describe(need)}"
    queued = state.queues.queued(task.organisation, task.queue)
    share = state.shares.share(task.organisation)
    fair = state.shares.fair_share(task.organisation)
    return (
        f"pool {pool} has no room for {describe(need)}; organisation "
        f"{task.organisation} has {queued} tasks queued on {task.queue} and uses "
        f"{share:.1%} of the fleet where its fair share is {fair:.1%}"
    )
