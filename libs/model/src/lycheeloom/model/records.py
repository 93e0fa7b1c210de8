"""Records of the platform's log, the only thing that processes agree through.

Each record states the precondition under which it takes effect at its offset;
``lycheeloom.state`` applies the rules.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .resources import NO_RESOURCES, Resources


class VoteReason(StrEnum):
    """Why a member votes to expel another one."""

    SILENT = "silent"
    GONE = "gone"


class Duty(StrEnum):
    """Work that one process does for all."""

    MAINTENANCE = "maintenance"
    SNAPSHOT = "snapshot"
    HOUSEKEEPING = "housekeeping"


class MoveStage(StrEnum):
    """Stages of moving or maintaining one instance, in order."""

    PLANNED = "planned"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    JOINED = "joined"
    ABANDONED = "abandoned"


class Health(StrEnum):
    """What the maintenance controller has decided about an instance."""

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
    """A JSON merge patch, in force if ``expected_version`` is current."""

    expected_version: int
    patch: str
    operator: str = ""


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """An entry incarnation joins; an older one on the instance is expelled."""

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
    """The author is alive; votes against it are cleared."""


@dataclass(frozen=True, slots=True)
class MemberLeft:
    """The author has no running task left and leaves."""


@dataclass(frozen=True, slots=True)
class GrantsReclaimed:
    """The grants of a member expelled at ``expelled_at`` are free again."""

    target: str
    expelled_at: int


@dataclass(frozen=True, slots=True)
class GrantRequested:
    """The author asks for up to ``count`` more running slots of an organisation."""

    organisation: str
    count: int


@dataclass(frozen=True, slots=True)
class GrantReturned:
    """The author gives back ``count`` running slots of an organisation."""

    organisation: str
    count: int


@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A request that must survive the loss of every entry."""

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
    """The author will start ``attempt`` on ``worker``."""

    request_id: str
    attempt: int
    worker: str
    worker_boot: str


@dataclass(frozen=True, slots=True)
class RequestReleased:
    """The attempt did not run, or may be repeated; the request is pending.

    With ``checkpoint`` the next attempt goes on where this one stopped.
    """

    request_id: str
    attempt: int
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """The attempt ended and ``answer`` is the whole answer."""

    request_id: str
    attempt: int
    outcome: Outcome
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """A pending request is finished as not run."""

    request_id: str


@dataclass(frozen=True, slots=True)
class AnswersExpired:
    """Answers finished at or below ``through_offset`` are dropped.

    ``queue`` limits this to one queue; empty means all.
    """

    through_offset: int
    queue: str = ""


@dataclass(frozen=True, slots=True)
class DutyClaimed:
    """The author renews a duty, or takes it over from a silent holder.

    ``expected_renewal`` is the offset of the last claim or renewal that the
    author has seen; a takeover has no effect if the holder renewed since.
    """

    duty: Duty
    expected_epoch: int
    expected_renewal: int = 0


@dataclass(frozen=True, slots=True)
class MoveStep:
    """The next stage of moving or maintaining ``instance``."""

    instance: str
    move_id: str
    stage: MoveStage
    duty_epoch: int
    to_pool: str = ""
    reboot: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class InstanceHealth:
    """A health decision of the maintenance duty."""

    instance: str
    health: Health
    duty_epoch: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class WaveCommand:
    """An operator's change of a maintenance wave."""

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
    """A record that is appended again as it was encoded, alone in a batch.

    Encoding what was decoded would drop fields of newer program versions. It is
    decoded as the record that was copied.
    """

    encoded: bytes


@dataclass(frozen=True, slots=True)
class UnknownRecord:
    """A record kind of a newer program version; it is skipped and counted."""


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
    """Records appended together; ``sequence`` grows by one for each author."""

    author: str
    sequence: int
    records: tuple[Record, ...]
