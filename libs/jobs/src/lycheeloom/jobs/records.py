"""Encoding and keys of the job records in the store."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from pathlib import Path

import capnp

from lycheeloom.wire.checksum import add_checksum, strip_checksum
from lycheeloom.wire.structs import from_struct, to_fields

from .model import Job, JobState

# Tasks that share one record of a job's progress. With a failure and a checkpoint of
# each task, the record has less than half of the size that the store accepts.
TASKS_PER_PART = 1_024

_SCHEMA = capnp.load(str(Path(__file__).with_name("jobs.capnp")))


class Kind(Enum):
    """Type of a record; the value is the first character of the record's key."""

    JOB = "j"
    CANCELLATION = "x"
    PROGRESS = "p"
    PROGRESS_PART = "q"
    LEADER = "L"
    WAVE = "w"
    ORDER = "o"
    BID = "b"
    LOAD = "r"
    REJECTION = "d"


@dataclass(frozen=True, slots=True)
class TaskFailures:
    """Failed runs of a task.

    ``runs`` holds the numbers of these runs, so that no failure is counted twice: a
    worker reports an end until a leader has acknowledged it, so a new leader may
    receive an end that its predecessor has already counted. Records written by earlier
    versions contain only the count.
    """

    index: int
    count: int = 0
    runs: tuple[int, ...] = ()

    def with_run(self, run: int) -> TaskFailures:
        """Return a copy with one more failed run."""
        return TaskFailures(self.index, self.count + 1, (*self.runs, run))


@dataclass(frozen=True, slots=True)
class TaskCheckpoint:
    """The latest checkpoint of a task."""

    index: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StepProgress:
    """Progress of one occurrence of a step.

    ``done`` is a bit set of the tasks that are done; the lowest bit of the first byte
    stands for task 0.
    """

    occurrence: int
    step: int
    done: bytes
    failures: tuple[TaskFailures, ...] = ()
    checkpoints: tuple[TaskCheckpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class JobProgress:
    """Progress of a job, stored so that a new leader can continue the job.

    ``highest_run`` is the highest run number of its tasks, and ``finished_ms`` the Unix
    time at which the job ended, 0 before that. ``steps`` is empty for a job of more
    than ``TASKS_PER_PART`` tasks; see ``ProgressPart``.
    """

    state: JobState
    highest_run: int = 0
    steps: tuple[StepProgress, ...] = ()
    finished_ms: int = 0


@dataclass(frozen=True, slots=True)
class ProgressPart:
    """Progress of some of the tasks of a job that has many.

    Part N covers ``TASKS_PER_PART`` tasks in the order of ``TaskNumbering``, beginning
    with task N times ``TASKS_PER_PART``. ``done``, and the indexes of ``failures`` and
    ``checkpoints``, count from that task.
    """

    done: bytes
    failures: tuple[TaskFailures, ...] = ()
    checkpoints: tuple[TaskCheckpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The instance that leads and its fencing token.

    With ``resigned``, the instance has stopped leading and others may take over
    immediately.
    """

    token: int
    instance: str
    resigned: bool = False
    # Processor capacity of the instance; 0 in records of earlier versions.
    cores: float = 0.0


@dataclass(frozen=True, slots=True)
class LeadBid:
    """A request to the leader with this token to hand over to a larger instance.

    ``cores`` is the processor capacity of the instance that asks.
    """

    token: int
    cores: float


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """Ids of the instances of a wave whose maintenance has begun."""

    begun: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class InstanceOrder:
    """The last move or maintenance order for an instance, and its Unix time in ms.

    ``wave`` is empty for a move, and in records of earlier versions.
    """

    at_ms: int
    wave: str = ""


@dataclass(frozen=True, slots=True)
class Cancellation:
    """Unix time in ms at which a caller cancelled a job.

    Records of earlier versions cannot be decoded, but cancel the job all the same.
    """

    at_ms: int


@dataclass(frozen=True, slots=True)
class Rejection:
    """A rejection of a job for lack of capacity.

    ``count`` is the number of rejections of the id that the rejecting instance knew of,
    this one included. ``first_offered_ms`` is the Unix time of the first attempt to
    submit the job, and ``at_ms`` that of this rejection.
    """

    count: int
    first_offered_ms: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class OrganisationWait:
    """Time until a job of an organisation would start, by its share of the pool."""

    organisation: str
    wait_ms: int


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """Time until a job that an overloaded queue accepts now would start.

    Jobs of organisations that are not among ``organisations`` start at once.
    """

    queue: str
    wait_ms: int
    organisations: tuple[OrganisationWait, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The overloaded queues, as measured by the leader with this fencing token."""

    token: int
    queues: tuple[QueueLoad, ...] = ()


@dataclass(frozen=True, slots=True)
class Record:
    """A record of a compacted log; an empty value deletes the key."""

    key: str
    value: bytes

    @property
    def size_bytes(self) -> int:
        """Return the size of the record in the store.

        Besides key and value, these are the length of the key in one byte and the
        length of the record in four.
        """
        return len(self.key.encode()) + len(self.value) + 5


_STRUCT_BY_TYPE = {
    Job: _SCHEMA.Job,
    JobProgress: _SCHEMA.JobProgress,
    ProgressPart: _SCHEMA.ProgressPart,
    LeaderRecord: _SCHEMA.LeaderRecord,
    LeadBid: _SCHEMA.LeadBid,
    InstanceOrder: _SCHEMA.InstanceOrder,
    WaveProgress: _SCHEMA.WaveProgress,
    Cancellation: _SCHEMA.Cancellation,
    Rejection: _SCHEMA.Rejection,
    LoadReport: _SCHEMA.LoadReport,
}


def key_of(kind: Kind, name: str = "") -> str:
    """Return the key of a record: ``key_of(Kind.JOB, "5c0e")`` is ``"j5c0e"``."""
    return kind.value + name


def part_key(job_id: str, number: int) -> str:
    """Return the key of a part of a job's progress, such as ``"q5c0e.3"``."""
    return key_of(Kind.PROGRESS_PART, f"{job_id}.{number}")


def smaller_versions(
    progress: JobProgress | ProgressPart,
) -> Iterator[JobProgress | ProgressPart]:
    """Yield progress with all details, then with ever fewer.

    First the checkpoints are left out, then the numbers of failed runs. Without its
    checkpoint, a task that starts again does so from the beginning; without the number,
    a failure that a worker reports to two leaders counts twice.
    """
    yield progress
    without_checkpoints = _with_fewer_details(progress, keeps_runs=True)
    yield without_checkpoints
    yield _with_fewer_details(without_checkpoints, keeps_runs=False)


def _with_fewer_details(
    progress: JobProgress | ProgressPart, *, keeps_runs: bool
) -> JobProgress | ProgressPart:
    match progress:
        case JobProgress(steps=steps):
            return replace(
                progress,
                steps=tuple(_strip(step, keeps_runs=keeps_runs) for step in steps),
            )
        case ProgressPart():
            return _strip(progress, keeps_runs=keeps_runs)


def _strip(
    progress: StepProgress | ProgressPart, *, keeps_runs: bool
) -> StepProgress | ProgressPart:
    failures = progress.failures
    if not keeps_runs:
        failures = tuple(replace(failure, runs=()) for failure in failures)
    return replace(progress, failures=failures, checkpoints=())


def encode(
    value: Job
    | JobProgress
    | ProgressPart
    | LeaderRecord
    | LeadBid
    | InstanceOrder
    | WaveProgress
    | Cancellation
    | Rejection
    | LoadReport,
) -> bytes:
    """Serialise a value, prefixed with a checksum."""
    message = _STRUCT_BY_TYPE[type(value)].new_message(**to_fields(value))
    return add_checksum(message.to_bytes())


def decode(value_type: type, data: bytes):
    """Deserialise a value of type ``value_type``; None if the data is invalid."""
    message_bytes = strip_checksum(data)
    if message_bytes is None:
        return None
    try:
        with _STRUCT_BY_TYPE[value_type].from_bytes(message_bytes) as message:
            return from_struct(value_type, message)
    except (capnp.KjException, ValueError):
        return None
