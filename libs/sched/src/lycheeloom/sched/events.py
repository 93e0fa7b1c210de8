"""Typed events that explain decisions; ``str()`` gives a sentence for operators."""

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
    """A checkpoint or a throttle of a running task was requested."""

    at: float
    action: str
    reason: str

    def __str__(self) -> str:
        return f"Asked to {self.action} because of {self.reason}."


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A started task ended."""

    at: float
    worker: str
    outcome: str

    def __str__(self) -> str:
        return f"Ended on {self.worker}: {self.outcome}."


@dataclass(frozen=True, slots=True)
class WorkerReserved:
    """A worker is reserved for a task that does not fit anywhere now."""

    at: float
    worker: str
    expected_at: float

    def __str__(self) -> str:
        wait_s = max(0.0, self.expected_at - self.at)
        return f"Worker {self.worker} is reserved; room expected in {wait_s:.1f} s."


@dataclass(frozen=True, slots=True)
class TaskWaiting:
    """Why a queued task has not started yet."""

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
    """How much an organisation uses of its fair share and of its running slots."""

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
    """A worker entered probation, by its failures here or by a fleet-wide decision."""

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
