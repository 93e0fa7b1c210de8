"""Data classes for jobs, workers and the current policy."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lycheeloom.model.resources import NO_RESOURCES, Resources


class JobState(Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclass(frozen=True, slots=True)
class Step:
    """A group of identical tasks of a job and their placement constraints.

    Resources are per task.
    """

    count: int
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    # Estimated duration of one task.
    estimated_ms: int = 0
    # Indexes of the steps that must be complete before this one starts.
    after: tuple[int, ...] = ()
    # Tasks report checkpoints, from which their next runs continue.
    checkpointing: bool = False
    # All tasks start together, with the same run number, or none does.
    gang: bool = False
    # The tasks of a gang are placed in one rack if one has room for all.
    same_rack: bool = False
    # Label that the worker must have; an empty string requires none.
    label: str = ""
    # Preferred rack, the one that holds the data; an empty string prefers none.
    rack: str = ""
    # Maximum tasks of one occurrence of the step on one worker; 0 for no limit.
    max_per_worker: int = 0
    speculative: bool = False
    # The tasks form a service: they run until the job is cancelled, and those that end
    # are restarted.
    long_running: bool = False
    image: str = ""
    # Tail latency target of a long-running task; 0 for none.
    target_ms: int = 0
    # Tasks reserve no CPU and use only the CPU time left idle by other tasks.
    fills: bool = False
    # Maximum tasks that the scheduler may make unavailable at the same time; 0 for
    # no limit.
    may_miss: int = 0

    @property
    def reservation(self) -> Resources:
        """Return the resources that one task reserves on its worker."""
        cores = 0.0 if self.fills else self.cpu_milli / 1000
        return Resources(cores, self.memory_mb, self.accelerators)

    @property
    def limit_use(self) -> Resources:
        """Return the resources that one task uses of its organisation's limit.

        Filling tasks reserve no CPU, but their CPU counts here.
        """
        return Resources(self.cpu_milli / 1000, self.memory_mb, self.accelerators)


@dataclass(frozen=True, slots=True)
class Job:
    """A job as accepted; it never changes afterwards.

    The steps of a repeated job run once in each of its occurrences, which are due at
    regular intervals.
    """

    job_id: str
    queue: str
    organisation: str
    specification: str
    steps: tuple[Step, ...]
    # Unix time of acceptance by the clock of the accepting instance.
    accepted_ms: int = 0
    # Number of scheduled occurrences; 0 for a job that runs once, immediately.
    repetitions: int = 0
    # Unix time at which the first occurrence is due.
    first_run_ms: int = 0
    interval_ms: int = 0
    # Rejections of this id that the accepting instance knew of.
    rejections: int = 0
    # Unix time of the first attempt to submit the job; 0 if that was the accepted one.
    first_offered_ms: int = 0

    @property
    def offered_ms(self) -> int:
        """Return the Unix time of the first attempt to submit the job.

        Deadlines and ranks count from it, so that a job that returns after a rejection
        is not placed behind jobs that came later.
        """
        return self.first_offered_ms or self.accepted_ms

    @property
    def occurrences(self) -> int:
        """Return how many times the job's steps are to run."""
        return max(1, self.repetitions)

    def due_ms(self, occurrence: int) -> int:
        """Return the earliest start of an occurrence as Unix time in ms.

        Returns 0 for a job that is not repeated.
        """
        if not self.repetitions:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms

    def due_occurrences(self, now_ms: float) -> int:
        """Return how many occurrences are due; ``now_ms`` is Unix time."""
        if not self.repetitions:
            return 1
        if now_ms < self.first_run_ms:
            return 0
        if not self.interval_ms:
            return self.repetitions
        passed_intervals = int((now_ms - self.first_run_ms) // self.interval_ms)
        return min(self.repetitions, passed_intervals + 1)


@dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Identifies one task: job, occurrence, step and index within the step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> TaskKey | None:
        """Parse a key such as ``"5c0e7a21d94b36f8.0.1.17"``; None if malformed."""
        parts = text.split(".")
        if len(parts) != 4:
            return None
        try:
            return cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
        except ValueError:
            return None


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """Duration of a call to the advice service and validity of its tickets.

    A call takes ``decision_ms``, and ``each_worker_ms`` for each worker named in it.
    """

    decision_ms: float
    each_worker_ms: float
    validity_ms: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue in the current configuration."""

    name: str
    host: str
    path_prefix: str
    # Pool whose workers run the tasks of the queue.
    pool: str
    # 0 is the highest priority.
    priority: int = 0
    max_attempts: int = 1
    # A job is to finish within ``stretch`` times the estimated duration of its
    # longest chain of steps, plus ``target_latency_ms``.
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    # Callers need no API key; their jobs have no organisation.
    open_to_all: bool = False
    # Set if tasks may start only on workers that the advice service allows.
    advice: AdviceTerms | None = None


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of instances."""

    name: str
    # The instances of the pool are switched off: they run no tasks and cost nothing.
    standby: bool = False
    # Workers reject tasks that do not fit.
    rejects_overload: bool = True


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation that submits jobs, with its API keys and resource limit."""

    name: str
    keys: frozenset[str]
    # Relative share of a fully used fleet, and the number of jobs per second up to
    # which the planner does not rank jobs behind those of other organisations.
    weight: float = 1.0
    # Limit on the resources in use; a component of 0 means unlimited.
    upper_limit: Resources = NO_RESOURCES

    def allows(self, used: Resources, need: Resources) -> bool:
        """Return whether ``used`` plus ``need`` stays within the upper limit."""
        total = used + need
        limit = self.upper_limit
        return (
            (not limit.cores or total.cores <= limit.cores)
            and (not limit.memory_mb or total.memory_mb <= limit.memory_mb)
            and (not limit.accelerators or total.accelerators <= limit.accelerators)
        )


@dataclass(frozen=True, slots=True)
class Policy:
    """The current configuration, indexed by name; its version is 0 before the first."""

    version: int = 0
    queue_by_name: Mapping[str, Queue] = field(default_factory=dict)
    pool_by_name: Mapping[str, Pool] = field(default_factory=dict)
    organisation_by_name: Mapping[str, Organisation] = field(default_factory=dict)
    # Name of the organisation by API key.
    organisation_by_key: Mapping[str, str] = field(default_factory=dict)
    max_body_bytes: int = 262_144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of ``host`` with the longest prefix of ``path``, if any."""
        best = None
        for queue in self.queue_by_name.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


@dataclass(frozen=True, slots=True)
class Worker:
    """One incarnation of a process that runs tasks on an instance."""

    worker_id: str
    # Unix time at which this incarnation started, 0 if unknown; a restarted worker
    # keeps its id.
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
    """A run that a worker reports as running."""

    task: TaskKey
    # Run number; later runs of a task have higher numbers.
    run: int
    checkpoint: str
    # Progress; 100 while a long-running task is available.
    percent: int
    # Tail latency in ms for a task with a latency target, otherwise cores in use.
    latency_or_cores: float


class EndKind(Enum):
    """Reason for the end of a run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    # The lease of the run expired.
    LAPSED = "lapsed"
    # Another task of the gang ended.
    BROKEN = "broken"
    # The other tasks of the gang did not start in time.
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that a worker reports as ended.

    ``number`` counts the ends of runs on this worker.
    """

    number: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str
