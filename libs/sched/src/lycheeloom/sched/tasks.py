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

    ``resources`` and ``run_s`` are as declared by the caller. ``submitted_at``
    and ``deadline`` are seconds of the entry's monotonic clock; the task must
    start before ``deadline``. ``excluded_workers`` are never offered the task.
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
    REFUSED_BY_WORKER = "refused_by_worker"
    STOPPED = "stopped"


class PreemptionReason(StrEnum):
    """Why a running task is asked to checkpoint or is throttled."""

    ZONE_OUT = "zone_out"
    URGENT = "urgent"
    LOAN_RETURN = "loan_return"
    BATCH_YIELD = "batch_yield"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The task is queued."""


@dataclass(frozen=True, slots=True)
class Held:
    """The task is queued, but no worker that it may use now is large enough."""

    message: str


@dataclass(frozen=True, slots=True)
class Start:
    """Start ``task`` on ``worker`` and reserve ``resources`` there.

    ``resources`` is the corrected size; it replaces the declared one in the
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
    """A queued task is refused without running.

    Its deadline has passed, or its queue is gone or closed to its organisation.
    """

    task: Task
    refusal: Refusal


Decision = Start | Checkpoint | Throttle | Expire


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage of one task, reported with a delay: peak resources and run time."""

    task_id: str
    peak: Resources
    run_s: float
    ended: bool = True


@dataclass(frozen=True, slots=True)
class OrganisationUsage:
    """What one entry runs and has queued for an organisation.

    ``queued_by_queue`` counts only tasks that the entry's grant allows it to start;
    peers leave capacity for these. It is empty if the entry did not send it.
    """

    running: Resources = NO_RESOURCES
    queued: int = 0
    queued_by_queue: Mapping[str, int] = field(default_factory=dict)


class TaskState(StrEnum):
    """The stages of a task in the scheduler."""

    QUEUED = "queued"
    RUNNING = "running"
    # Refused by a worker; waits for ``Scheduler.requeue``.
    AWAITING_REQUEUE = "parked"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class TaskRecord:
    """The scheduler's mutable state of one task."""

    task: Task
    sequence: int
    queued_at: float
    state: TaskState = TaskState.QUEUED
    worker: str = ""
    need: Resources = NO_RESOURCES
    started_at: float = 0.0
    expected_end: float = 0.0
    excluded: frozenset[str] = frozenset()
    # A checkpoint was requested and the task has not ended yet.
    checkpointing: bool = False
    throttled: bool = False
    # When another task was first started instead, because this one did not fit.
    passed_over_at: float | None = None
    # The pool that ``worker`` was in when the task started.
    pool: str = ""
    # Runs outside its queue's own pool or is batch work, so it may be preempted.
    reclaimable: bool = False
    events: list = field(default_factory=list)
