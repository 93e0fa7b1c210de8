"""Data classes of jobs, workers and the policy in force."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lycheeloom.model.resources import NO_RESOURCES, Resources


class JobState(Enum):
    """What callers are told about a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclass(frozen=True, slots=True)
class Step:
    """A number of equal tasks of a job and the conditions under which they run."""

    count: int
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimated_ms: int = 0
    # Indexes of steps whose tasks must all be done first.
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    # All tasks run together, under one run number, or not at all.
    gang: bool = False
    same_rack: bool = False
    # A label that the worker must have; empty for none.
    label: str = ""
    # The rack near the data; empty for none.
    rack: str = ""
    # Most tasks of one occurrence of the step on one worker; 0 for no limit.
    max_per_worker: int = 0
    speculative: bool = False
    # Tasks run until the job is cancelled.
    long_running: bool = False
    image: str = ""
    # Tail latency that a long-running task must keep; 0 for none.
    target_ms: int = 0
    # Tasks use the processor time that others leave and reserve none.
    fills: bool = False
    # Tasks that may be unavailable at once through actions of the system.
    may_miss: int = 0

    @property
    def need(self) -> Resources:
        """Return what one task reserves on its worker."""
        cores = 0.0 if self.fills else self.cpu_milli / 1000
        return Resources(cores, self.memory_mb, self.accelerators)

    @property
    def use(self) -> Resources:
        """Return what one task counts against its organisation's limit."""
        return Resources(self.cpu_milli / 1000, self.memory_mb, self.accelerators)


@dataclass(frozen=True, slots=True)
class Job:
    """A job as it was accepted."""

    job_id: str
    queue: str
    organisation: str
    specification: str
    steps: tuple[Step, ...]
    # Time of acceptance by the accepting instance's clock, since 1970.
    accepted_ms: int = 0
    # Number of occurrences with due times; 0 for a job that runs once, at once.
    repetitions: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repetitions)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may begin, in milliseconds since 1970."""
        if not self.repetitions:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """The name of one task."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, name: str) -> TaskKey | None:
        """Read a name such as ``"5c0e7a21d94b36f8.0.1.17"``; None if it is none."""
        parts = name.split(".")
        if len(parts) != 4:
            return None
        try:
            return cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
        except ValueError:
            return None


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """What a call to the advice service costs on a queue that needs it."""

    decision_ms: float
    each_worker_ms: float
    validity_ms: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the configuration in force."""

    name: str
    host: str
    path_prefix: str
    # The pool whose workers run the queue's tasks.
    pool: str
    # 0 comes first.
    priority: int = 0
    max_attempts: int = 1
    # The objective is this many times the longest chain of work, and a latency.
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    open_to_all: bool = False
    advice: AdviceTerms | None = None


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of instances."""

    name: str
    # Instances in it are switched off and cost nothing.
    standby: bool = False
    # Workers reject what does not fit.
    rejects_overload: bool = True


@dataclass(frozen=True, slots=True)
class Organisation:
    """Who may submit jobs, and what its tasks may use at once."""

    name: str
    keys: frozenset[str]
    # Share of a full fleet, and jobs a second that are served as usual.
    weight: float = 1.0
    # A component of 0 is unlimited.
    upper_limit: Resources = NO_RESOURCES

    def allows(self, used: Resources, need: Resources) -> bool:
        """Tell whether ``need`` may be added to what the organisation runs."""
        total = used + need
        limit = self.upper_limit
        return (
            (not limit.cores or total.cores <= limit.cores)
            and (not limit.memory_mb or total.memory_mb <= limit.memory_mb)
            and (not limit.accelerators or total.accelerators <= limit.accelerators)
        )


@dataclass(frozen=True, slots=True)
class Policy:
    """The configuration in force, by name."""

    version: int = 0
    queue_by_name: Mapping[str, Queue] = field(default_factory=dict)
    pool_by_name: Mapping[str, Pool] = field(default_factory=dict)
    organisation_by_name: Mapping[str, Organisation] = field(default_factory=dict)
    organisation_by_key: Mapping[str, str] = field(default_factory=dict)
    max_body_bytes: int = 262_144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that ``path`` begins with."""
        best = None
        for queue in self.queue_by_name.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


@dataclass(frozen=True, slots=True)
class Worker:
    """One life of an instance that runs tasks."""

    worker_id: str
    # Start of this life; a worker may start again under its id.
    started_ms: int
    pool: str
    address: str
    zone: str
    capacity: Resources
    labels: frozenset[str] = frozenset()
    rack: str = ""
    draining: bool = False


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that a worker lists as running."""

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    # Tail latency in ms for a task with a target, cores in use for others.
    latency_or_cores: float


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    # Another member of its gang ended.
    BROKEN = "broken"
    # The other members of its gang did not come.
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that a worker lists as ended; ``number`` rises with each end."""

    number: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str
