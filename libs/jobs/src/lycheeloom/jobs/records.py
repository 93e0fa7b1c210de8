"""Records of jobs in the store and their keys."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import capnp

from lycheeloom.wire.checksum import add_checksum, strip_checksum
from lycheeloom.wire.structs import from_struct, to_fields

from .model import Job, JobState

_SCHEMA = capnp.load(str(Path(__file__).with_name("jobs.capnp")))


class Kind(Enum):
    """The first character of a record's key tells what it holds."""

    JOB = "j"
    CANCELLATION = "x"
    PROGRESS = "p"
    LEADER = "L"
    WAVE = "w"
    ORDER = "o"


@dataclass(frozen=True, slots=True)
class TaskFailures:
    """How many runs of a task have ended as failed.

    ``runs`` names them: a worker lists an end until a leader has confirmed it, so
    a later leader may see an end that is counted already. Records of earlier
    versions have a count alone.
    """

    index: int
    count: int = 0
    runs: tuple[int, ...] = ()

    def with_run(self, run: int) -> TaskFailures:
        """Return the failures with one more run."""
        return TaskFailures(self.index, self.count + 1, (*self.runs, run))


@dataclass(frozen=True, slots=True)
class TaskCheckpoint:
    """The newest checkpoint of a task that is not running."""

    index: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StepProgress:
    """Which tasks of one occurrence of a step are done."""

    occurrence: int
    step: int
    done: bytes
    failures: tuple[TaskFailures, ...] = ()
    checkpoints: tuple[TaskCheckpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class JobProgress:
    """How far a job is; the record that survives a change of leader."""

    state: JobState
    highest_run: int = 0
    steps: tuple[StepProgress, ...] = ()
    finished_ms: int = 0


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Who leads and with which fencing token."""

    token: int
    instance: str
    resigned: bool = False


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """Instances of a wave whose maintenance has begun."""

    begun: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class InstanceOrder:
    """When a leader last ordered an instance to move or to be maintained."""

    at_ms: int


@dataclass(frozen=True, slots=True)
class Record:
    """A record of a keyed topic; an empty value removes the key."""

    key: str
    value: bytes


_STRUCT_BY_TYPE = {
    Job: _SCHEMA.Job,
    JobProgress: _SCHEMA.JobProgress,
    LeaderRecord: _SCHEMA.LeaderRecord,
    InstanceOrder: _SCHEMA.InstanceOrder,
    WaveProgress: _SCHEMA.WaveProgress,
}


def key_of(kind: Kind, name: str = "") -> str:
    """Return the key of a record: ``key_of(Kind.JOB, "5c0e")`` is ``"j5c0e"``."""
    return kind.value + name


def encode(
    value: Job | JobProgress | LeaderRecord | InstanceOrder | WaveProgress,
) -> bytes:
    """Serialise a value with a checksum in front."""
    message = _STRUCT_BY_TYPE[type(value)].new_message(**to_fields(value))
    return add_checksum(message.to_bytes())


def decode(kind: type, data: bytes):
    """Read a value of type ``kind``; None if the bytes hold none."""
    unsealed = strip_checksum(data)
    if unsealed is None:
        return None
    try:
        with _STRUCT_BY_TYPE[kind].from_bytes(unsealed) as message:
            return from_struct(kind, message)
    except (capnp.KjException, ValueError):
        return None
