"""Events that explain what the scheduler did and why.

``str()`` of an event is a sentence for operators. ``at`` is the time of the event in
seconds of the entry's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from lycheeloom.model.resources import Resources


def describe(resources: Resources) -> str:
    """Format resources, for example as ``2 cores, 4096 MB and 1 accelerators``."""
    text = f"{resources.cores:g} cores, {resources.memory_mb} MB"
    if resources.accelerators:
        text += f" and {resources.accelerators} accelerators"
    return text


@dataclass(frozen=True, slots=True)
class TaskQueued:
    """A task was queued, for the first time or again."""

    at: float
    queue: str
    reason: str

    def __str__(self) -> str:
        return f"Queued on {self.queue}: {self.reason}."


@dataclass(frozen=True, slots=True)
class TaskStarted:
    """A task was started; ``borrowed`` if not in its queue's own pool."""

    at: float
    worker: str
    pool: str
    need: Resources
    borrowed: bool

    def __str__(self) -> str:
        loan = ", borrowed" if self.borrowed else ""
        size = describe(self.need)
        return f"Started on {self.worker} (pool {self.pool}{loan}) with {size}."


@dataclass(frozen=True, slots=True)
class PreemptionRequested:
    """A running task was asked to checkpoint or to slow down.

    ``action`` is "checkpoint" or "throttle".
    """

    at: float
    action: str
    reason: str

    def __str__(self) -> str:
        return f"Asked to {self.action} because of {self.reason}."


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task ended, or was removed before it had started on any worker."""

    at: float
    worker: str
    outcome: str

    def __str__(self) -> str:
        return f"Ended on {self.worker}: {self.outcome}."


@dataclass(frozen=True, slots=True)
class WorkerReserved:
    """A worker was reserved for a task that fitted on no worker.

    It is expected to have room for the task at ``expected_at``.
    """

    at: float
    worker: str
    expected_at: float

    def __str__(self) -> str:
        wait_s = max(0.0, self.expected_at - self.at)
        return f"Worker {self.worker} is reserved; room expected in {wait_s:.1f} s."


@dataclass(frozen=True, slots=True)
class TaskWaiting:
    """A task has not started yet, for the given reason."""

    at: float
    reason: str

    def __str__(self) -> str:
        return f"Waiting: {self.reason}."


@dataclass(frozen=True, slots=True)
class TaskRefused:
    """A task of an organisation was refused without running."""

    at: float
    task_id: str
    reason: str
    message: str

    def __str__(self) -> str:
        return f"Task {self.task_id} was refused ({self.reason}): {self.message}."


@dataclass(frozen=True, slots=True)
class OrganisationStatus:
    """How much an organisation uses of its fair share and of its granted slots."""

    at: float
    organisation: str
    running: int
    queued: int
    granted: int
    share: float
    fair_share: float

    def __str__(self) -> str:
        return (
            f"Organisation {self.organisation} runs {self.running} of "
            f"{self.granted} granted tasks "
            f"here and has {self.queued} queued; over the fleet it uses "
            f"{self.share:.1%} where its fair share is {self.fair_share:.1%}."
        )


@dataclass(frozen=True, slots=True)
class WorkerOnProbation:
    """A worker entered probation, for failures here or by a fleet-wide decision."""

    at: float
    worker: str

    def __str__(self) -> str:
        return f"Worker {self.worker} failed every task and only gets trials."


@dataclass(frozen=True, slots=True)
class WorkerReturned:
    """A worker left probation."""

    at: float
    worker: str

    def __str__(self) -> str:
        return f"Worker {self.worker} passed its trials and is used again."


@dataclass(frozen=True, slots=True)
class RackLost:
    """All workers of a rack became unavailable together."""

    at: float
    rack: str
    workers: tuple[str, ...]

    def __str__(self) -> str:
        return f"Rack {self.rack} is lost with {len(self.workers)} workers."


@dataclass(frozen=True, slots=True)
class ZoneChanged:
    """Operators took a zone out of service or back into it."""

    at: float
    zone: str
    out: bool

    def __str__(self) -> str:
        if self.out:
            return f"Zone {self.zone} is out of service; nothing starts there."
        return f"Zone {self.zone} is back; its load is ramped up."


TaskEvent = (
    TaskQueued
    | TaskStarted
    | PreemptionRequested
    | TaskEnded
    | WorkerReserved
    | TaskWaiting
    | TaskRefused
)
FleetEvent = WorkerOnProbation | WorkerReturned | RackLost | ZoneChanged
OrganisationEvent = OrganisationStatus | TaskRefused
