"""Records of the replicated log, the only means by which processes agree.

Each record states the precondition under which it takes effect at its offset.
``lycheeloom.state`` replays the records and checks their preconditions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .resources import NO_RESOURCES, Resources


class VoteReason(StrEnum):
    """Why a member votes to expel another one.

    ``SILENT``: it sends neither heartbeats nor batches. ``GONE``: its instance has
    also disappeared from the platform's instance list; one vote is enough then.
    """

    SILENT = "silent"
    GONE = "gone"


class Duty(StrEnum):
    """Work that a single process at a time does for the whole fleet."""

    MAINTENANCE = "maintenance"
    SNAPSHOT = "snapshot"
    HOUSEKEEPING = "housekeeping"


class MoveStage(StrEnum):
    """Stages of moving or maintaining one instance, in order.

    ``JOINED`` and ``ABANDONED`` are final; only a planned or draining move can be
    abandoned.
    """

    PLANNED = "planned"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    JOINED = "joined"
    ABANDONED = "abandoned"


class Health(StrEnum):
    """Health of an instance as decided by the maintenance controller."""

    IN_SERVICE = "in_service"
    PROBATION = "probation"
    REBOOTING = "rebooting"
    GIVEN_UP = "given_up"


class WaveState(StrEnum):
    """State of a maintenance wave; ``ABSENT`` before it exists."""

    ABSENT = "absent"
    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


class Outcome(StrEnum):
    """How a recorded request ended."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A JSON merge patch of the configuration.

    It takes effect only if ``expected_version`` is the current version.
    """

    expected_version: int
    patch: str
    operator: str = ""


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """A new incarnation of an entry joins; older ones on its instance are expelled."""

    instance: str
    incarnation: str
    address: str
    zone: str
    program_version: str = ""


@dataclass(frozen=True, slots=True)
class MemberVote:
    """The author's vote to expel ``target``."""

    target: str
    reason: VoteReason


@dataclass(frozen=True, slots=True)
class MemberRefuted:
    """The author is alive, so the votes to expel it are cleared."""


@dataclass(frozen=True, slots=True)
class MemberLeft:
    """The author has no running tasks left and leaves the members."""


@dataclass(frozen=True, slots=True)
class GrantsReclaimed:
    """The grants of a member expelled at offset ``expelled_at`` are free again."""

    target: str
    expelled_at: int


@dataclass(frozen=True, slots=True)
class GrantRequested:
    """The author asks for up to ``count`` more running slots of an organisation."""

    organisation: str
    count: int


@dataclass(frozen=True, slots=True)
class GrantReturned:
    """The author returns ``count`` running slots of an organisation."""

    organisation: str
    count: int


@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A request that is recorded so that it survives the loss of every entry."""

    request_id: str
    organisation: str
    queue: str
    payload: bytes
    idempotent: bool = False
    idempotency_key: str = ""
    body_digest: bytes = b""
    resources: Resources = NO_RESOURCES
    run_ms: int = 0
    urgent: bool = False
    checkpointable: bool = False


@dataclass(frozen=True, slots=True)
class RequestClaimed:
    """The author is about to start ``attempt`` on ``worker``."""

    request_id: str
    attempt: int
    worker: str
    worker_boot: str


@dataclass(frozen=True, slots=True)
class RequestReleased:
    """The attempt did not run or may be repeated, so the request is pending again.

    If ``checkpoint`` is set, the next attempt resumes from it.
    """

    request_id: str
    attempt: int
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """The attempt ended; ``answer`` is its complete answer."""

    request_id: str
    attempt: int
    outcome: Outcome
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """A pending request ends with the outcome ``NOT_RUN``."""

    request_id: str


@dataclass(frozen=True, slots=True)
class AnswersExpired:
    """Answers of requests that finished at or below ``through_offset`` are deleted.

    ``queue`` limits this to one queue; empty means all queues.
    """

    through_offset: int
    queue: str = ""


@dataclass(frozen=True, slots=True)
class DutyClaimed:
    """The author renews its claim to a duty, or takes over from a silent holder.

    ``expected_renewal`` is the offset of the last claim or renewal that the
    author has seen; a takeover has no effect if the holder has renewed since.
    """

    duty: Duty
    expected_epoch: int
    expected_renewal: int = 0


@dataclass(frozen=True, slots=True)
class MoveStep:
    """The move or maintenance of ``instance`` enters its next stage."""

    instance: str
    move_id: str
    stage: MoveStage
    duty_epoch: int
    to_pool: str = ""
    reboot: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class InstanceHealth:
    """The holder of the maintenance duty changes the health of an instance."""

    instance: str
    health: Health
    duty_epoch: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class WaveCommand:
    """An operator changes the state of a maintenance wave.

    It takes effect only if the current state is ``expected``.
    """

    wave_id: str
    expected: WaveState
    wanted: WaveState
    pools: tuple[str, ...] = ()
    urgent: bool = False
    reboot: bool = True
    operator: str = ""


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """One part of a snapshot of the state through ``covers_offset``."""

    snapshot_id: str
    covers_offset: int
    index: int
    count: int
    digest: bytes
    payload: bytes


@dataclass(frozen=True, slots=True)
class CopiedRecord:
    """A record that is appended again in its original encoding.

    ``encoded`` is a batch that contains only this record. Decoding the record and
    encoding it again would drop fields that newer program versions have added. A
    reader of the log gets the original record, never a ``CopiedRecord``.
    """

    encoded: bytes


@dataclass(frozen=True, slots=True)
class UnknownRecord:
    """A record of a kind that only newer program versions know.

    It is skipped and counted.
    """


Record = (
    ConfigChanged
    | MemberJoined
    | MemberVote
    | MemberRefuted
    | MemberLeft
    | GrantsReclaimed
    | GrantRequested
    | GrantReturned
    | RequestSubmitted
    | RequestClaimed
    | RequestReleased
    | RequestFinished
    | RequestCancelled
    | AnswersExpired
    | DutyClaimed
    | MoveStep
    | InstanceHealth
    | WaveCommand
    | SnapshotChunk
    | CopiedRecord
    | UnknownRecord
)


@dataclass(frozen=True, slots=True)
class Batch:
    """Records that are appended together.

    ``sequence`` numbers the batches of one author, with an increment of one.
    """

    author: str
    sequence: int
    records: tuple[Record, ...]
