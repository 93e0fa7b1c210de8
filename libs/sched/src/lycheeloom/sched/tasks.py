"""Tasks, usage reports and the decisions about them."""

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
    start before ``deadline``.
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
    """Why a running task is asked to checkpoint and make room."""

    ZONE_OUT = "zone_out"
    URGENT = "urgent"
    LOAN_RETURN = "loan_return"
    BATCH_YIELD = "batch_yield"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The task is queued."""


@dataclass(frozen=True, slots=True)
class Held:
    """The task is queued, but no worker it may use now is large enough."""

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
    """Checkpoint a running task; it is queued again once it has stopped."""

    task_id: str
    reason: PreemptionReason


@dataclass(frozen=True, slots=True)
class Throttle:
    """Slow down a running task that cannot be checkpointed."""

    task_id: str


@dataclass(frozen=True, slots=True)
class Expire:
    """A queued task is refused; it has not run."""

    task: Task
    refusal: Refusal


Decision = Start | Checkpoint | Throttle | Expire


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Lagged usage of one task: peak resources and run time so far."""

    task_id: str
    peak: Resources
    run_s: float
    ended: bool = True


@dataclass(frozen=True, slots=True)
class OrganisationUsage:
    """What one entry runs and has queued for an organisation.

    ``queued_by_queue`` counts only tasks that the entry's grant lets it start;
    peers leave capacity for these. It may be empty if it was not sent.
    """

    running: Resources = NO_RESOURCES
    queued: int = 0
    queued_by_queue: Mapping[str, int] = field(default_factory=dict)


class TaskState(StrEnum):
    """Where a task is in its life inside the scheduler."""

    QUEUED = "queued"
    RUNNING = "running"
    # Refused by a worker; waits for ``Scheduler.requeue``.
    AWAITING_REQUEUE = "parked"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class TaskRecord:
    """The scheduler's mutable notes on one task."""

    task: Task
    sequence: int
    queued_at: float
    state: TaskState = TaskState.QUEUED
    worker: str = ""
    need: Resources = NO_RESOURCES
    started_at: float = 0.0
    expected_end: float = 0.0
    excluded: frozenset[str] = frozenset()
    # Set while a Checkpoint decision has not ended the task yet.
    checkpointing: bool = False
    throttled: bool = False
    # When a task behind it was first started instead because it did not fit.
    passed_over_at: float | None = None
    # The pool of ``worker`` when the task started.
    pool: str = ""
    # Runs on a loan, or as batch work, and may be asked to make room.
    reclaimable: bool = False
    events: list = field(default_factory=list)
