"""Records of the replicated log, the only means by which processes agree.

Every process replays the log in the same order and so reaches the same state. A
record takes effect only if its precondition holds in the state before its offset;
``lycheeloom.state`` checks the preconditions. The author of a record is the
incarnation that has appended it. A process gets a new incarnation at each start, and an
entry also when it joins again without a restart.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .resources import NO_RESOURCES, Resources


class VoteReason(StrEnum):
    """Why a member votes to expel another member, the target.

    ``SILENT``: the target sends neither heartbeats nor batches. ``GONE``: in addition,
    the instance of the target has disappeared from the platform's instance list. One
    vote with the reason ``GONE`` expels the target, otherwise a majority is needed.
    """

    SILENT = "silent"
    GONE = "gone"


class Duty(StrEnum):
    """Work that a single process at a time does for the whole fleet.

    The process holds the duty as a lease in the log (see ``DutyClaimed``).
    """

    MAINTENANCE = "maintenance"
    SNAPSHOT = "snapshot"
    HOUSEKEEPING = "housekeeping"


class MoveStage(StrEnum):
    """Stages of a move, which takes one instance to a pool, with or without a reboot.

    Maintenance of an instance is a move as well, usually with a reboot. The stages are
    in order, and ``REBOOTING`` is skipped without a reboot. ``JOINED`` and
    ``ABANDONED`` are final; only a planned or draining move can be abandoned.
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
    """State of a maintenance wave; ``ABSENT`` before the wave has been started.

    A wave maintains every instance of some pools.
    """

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
    """An operator changes the configuration by a JSON merge patch.

    The change takes effect only if ``expected_version`` is the current version.
    """

    expected_version: int
    patch: str
    operator: str = ""


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """A new incarnation of an entry becomes a member.

    Older incarnations on the same instance are expelled.
    """

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
    """The author is alive, so the votes to expel it are cleared.

    The record also shows that the author is alive to members that do not get its
    heartbeats.
    """


@dataclass(frozen=True, slots=True)
class MemberLeft:
    """The author has no running tasks left and ceases to be a member."""


@dataclass(frozen=True, slots=True)
class GrantsReclaimed:
    """The grants of a member that was expelled at ``expelled_at`` are free again.

    ``target`` is the incarnation of the member; ``expelled_at`` is an offset. Any
    process may append this record after ``RECLAIM_WAIT_S``.
    """

    target: str
    expelled_at: int


@dataclass(frozen=True, slots=True)
class GrantRequested:
    """The author asks for up to ``count`` more running slots of an organisation.

    The request replaces the author's earlier one, and the part of it that cannot be
    granted at once waits for free slots. A ``count`` of 0 withdraws it.
    """

    organisation: str
    count: int


@dataclass(frozen=True, slots=True)
class GrantReturned:
    """The author returns ``count`` running slots of an organisation."""

    organisation: str
    count: int


@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A request is recorded in the log, so that it survives the loss of every entry.

    The request is pending until a member claims it for an attempt. ``run_ms`` is the
    run time that the caller expects. An empty ``idempotency_key`` means that the caller
    has sent none.
    """

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
    """The author claims a pending request to start its next attempt on ``worker``.

    Attempts are numbered from 1. ``worker_boot`` is the boot id of the worker.
    """

    request_id: str
    attempt: int
    worker: str
    worker_boot: str


@dataclass(frozen=True, slots=True)
class RequestReleased:
    """The request of a claim is pending again, as it did not run or may run again.

    The next attempt resumes from ``checkpoint``; if that is empty, from the last
    checkpoint that was recorded, or else from the start.
    """

    request_id: str
    attempt: int
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """The claimed attempt has ended; ``answer`` is its complete answer.

    If the request has already finished with this outcome, the record only keeps the
    answer beyond the retention of the log.
    """

    request_id: str
    attempt: int
    outcome: Outcome
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """A pending request is cancelled and finishes with the outcome ``NOT_RUN``."""

    request_id: str


@dataclass(frozen=True, slots=True)
class AnswersExpired:
    """Requests that finished at or before ``through_offset`` and their answers expire.

    Only requests of ``queue`` expire; an empty ``queue`` means all queues. The record
    takes effect only if its author holds the housekeeping duty.
    """

    through_offset: int
    queue: str = ""


@dataclass(frozen=True, slots=True)
class DutyClaimed:
    """The author renews its hold of a duty, or takes the duty over.

    Each takeover raises the epoch of the duty by one; ``expected_epoch`` is the epoch
    before the claim. ``expected_renewal`` is the offset of the last claim or renewal
    that the author has seen: a takeover has no effect if the holder has renewed since.
    """

    duty: Duty
    expected_epoch: int
    expected_renewal: int = 0


@dataclass(frozen=True, slots=True)
class MoveStep:
    """The move of ``instance`` begins (stage ``PLANNED``) or enters its next stage.

    Replay uses ``to_pool``, ``reboot`` and ``reason`` only in the stage ``PLANNED``.
    The author must hold the maintenance duty under ``duty_epoch``.
    """

    instance: str
    move_id: str
    stage: MoveStage
    duty_epoch: int
    to_pool: str = ""
    reboot: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class InstanceHealth:
    """The holder of the maintenance duty changes the health of an instance.

    The author must hold the duty under ``duty_epoch``.
    """

    instance: str
    health: Health
    duty_epoch: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class WaveCommand:
    """An operator starts a maintenance wave or changes its state to ``wanted``.

    The command takes effect only if the current state is ``expected``. ``pools``,
    ``urgent`` and ``reboot`` apply only to the start; no pools means all pools.
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
    """One part of a snapshot of the state after the batch at ``covers_offset``.

    ``index`` is the number of the part, from 0, and ``count`` the number of parts.
    ``digest`` is the hash of the whole snapshot.
    """

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
    """A record of a kind, or with an enum value, that only newer versions know.

    Replay skips and counts such records.
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

    ``sequence`` numbers the batches of one author in steps of one. A batch whose number
    is not above that of the author's last batch has no effect, so a batch that is
    appended twice takes effect once.
    """

    author: str
    sequence: int
    records: tuple[Record, ...]
