"""Tasks, the decisions about them, and the usage reported for them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from lycheeloom.model.resources import NO_RESOURCES, Resources
from lycheeloom.model.verdict import Refusal


@dataclass(frozen=True, slots=True)
class Task:
    """One attempt to run a request.

    ``resources`` and ``run_s``, the run time in seconds, are as declared by the
    caller. ``submitted_at`` and ``deadline`` are seconds of the entry's monotonic
    clock; the task must start before ``deadline``. An ``idempotent`` task may
    run again after a failure. The task must not start on ``excluded_workers``.
    """

    id: str
    organisation: str
    queue: str
    resources: Resources = NO_RESOURCES
    run_s: float = 1.0
    submitted_at: float = 0.0
    deadline: float | None = None
    idempotent: bool = False
    urgent: bool = False
    checkpointable: bool = False
    excluded_workers: frozenset[str] = frozenset()


class Outcome(StrEnum):
    """How a started task ended."""

    DONE = "done"
    FAILED = "failed"
    # The worker refused the task without running it.
    REFUSED_BY_WORKER = "refused_by_worker"
    # Stopped before it was done; queued again if the scheduler asked for a checkpoint.
    STOPPED = "stopped"


class PreemptionReason(StrEnum):
    """Why a running task is checkpointed or throttled."""

    # Operators took the zone of the task's worker out of service.
    ZONE_OUT = "zone_out"
    # An urgent task needs the capacity or the running slot.
    URGENT = "urgent"
    # The task borrows capacity of a pool whose own queues need it back.
    LOAN_RETURN = "loan_return"
    # The task is batch work, and other work of the pool's own queues waits.
    BATCH_YIELD = "batch_yield"


@dataclass(frozen=True, slots=True)
class Accepted:
    """A submitted task is queued."""


@dataclass(frozen=True, slots=True)
class Held:
    """A submitted task is queued, but may have to wait until a worker is moved.

    Its queue's own pool and the spare pools have no worker that is large enough, but
    another pool has.
    """

    message: str


@dataclass(frozen=True, slots=True)
class Start:
    """Start ``task`` on ``worker`` and reserve ``resources`` there.

    ``resources`` is the corrected size, which replaces the declared size in the
    request to the worker.
    """

    task: Task
    worker: str
    resources: Resources = NO_RESOURCES


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Checkpoint and stop a running task, which is then queued again."""

    task_id: str
    reason: PreemptionReason


@dataclass(frozen=True, slots=True)
class Throttle:
    """Slow down a running task that cannot be checkpointed."""

    task_id: str


@dataclass(frozen=True, slots=True)
class Expire:
    """Refuse a task that waits for its start and will not run.

    The deadline of the task has passed, or its queue was removed from the
    configuration or closed to its organisation.
    """

    task: Task
    refusal: Refusal


Decision = Start | Checkpoint | Throttle | Expire


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Peak resources and run time of one task, reported with a delay.

    ``ended`` is False in the report of a task that still runs.
    """

    task_id: str
    peak: Resources
    run_s: float
    ended: bool = True


@dataclass(frozen=True, slots=True)
class OrganisationUsage:
    """What one entry runs and has queued for an organisation.

    ``queued`` counts all queued tasks, ``queued_by_queue`` only those that peers should
    leave capacity for: tasks of queues on which the organisation has waited for some
    time, as long as its grant at the entry allows one more start. The mapping is also
    empty if the entry did not send it.
    """

    running: Resources = NO_RESOURCES
    queued: int = 0
    queued_by_queue: Mapping[str, int] = field(default_factory=dict)


class TaskState(StrEnum):
    """The stages of a task in the scheduler.

    ``ENDED`` also marks the record of a task that was removed from its subqueue.
    """

    QUEUED = "queued"
    RUNNING = "running"
    # A worker refused the task, which waits for the call of ``Scheduler.requeue``.
    AWAITING_REQUEUE = "parked"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class TaskRecord:
    """The scheduler's mutable state of one task."""

    task: Task
    # Order of submission; a task that is queued again keeps its number.
    sequence: int
    # Reset when the task is queued again after a refusal, kept after a checkpoint.
    queued_at: float
    state: TaskState = TaskState.QUEUED
    # Empty until the task starts.
    worker: str = ""
    # Reserved on the worker.
    need: Resources = NO_RESOURCES
    started_at: float = 0.0
    expected_end: float = 0.0
    # Workers that refused the task, on which it does not start for a while.
    excluded: frozenset[str] = frozenset()
    # A checkpoint was requested and the task has not ended yet.
    checkpointing: bool = False
    throttled: bool = False
    # When another task first started ahead of this one, which fitted on no worker.
    passed_over_at: float | None = None
    # The pool that ``worker`` was in when the task started.
    pool: str = ""
    # The task runs outside its queue's own pool or is batch work, so that it may be
    # preempted for tasks that take precedence in the pool.
    reclaimable: bool = False
    # Latest events, the oldest first.
    events: list = field(default_factory=list)
