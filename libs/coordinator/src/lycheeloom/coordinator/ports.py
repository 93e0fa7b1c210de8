"""What the coordinator needs of the platform it runs on."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from lycheeloom.jobs.model import EndedTask, RunningTask, Worker
from lycheeloom.jobs.planner import Start
from lycheeloom.jobs.records import Record

# An append that takes longer counts as not answered.
APPEND_TIMEOUT_S = 0.8


@dataclass(frozen=True, slots=True)
class Appended:
    """Records are durable; ``end`` is the offset behind them."""

    end: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """A writer with a higher token has written; nothing was appended."""


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """The condition did not hold: the log ends at ``end``."""

    end: int


@dataclass(frozen=True, slots=True)
class NotAppended:
    """Certainly nothing was appended."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The records may have been appended, now or later."""

    reason: str


AppendResult = Appended | Fenced | ConditionFailed | NotAppended | AppendUnknown


@dataclass(frozen=True, slots=True)
class Producer:
    """Identifies an append, so that a repetition has no second effect."""

    token: int
    sequence: int


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Records with their offsets, and the offset to read from next."""

    records: tuple[tuple[int, Record], ...]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class RecordsDropped:
    """The log no longer has the records asked for."""

    first_kept: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """No answer that can be used."""

    reason: str


ReadResult = RecordsRead | RecordsDropped | ReadFailed


class Log(Enum):
    """The two logs of jobs.

    The leader has one for itself: when the store is slow, its renewals do not
    queue behind what callers hand in.
    """

    CALLERS = "callers"
    LEADER = "leader"


class StorePort(Protocol):
    """The durable logs of jobs, and the log that elects the leader.

    Appends with a producer go to the leader's log, others to that of the callers.
    """

    def append(
        self,
        records: Sequence[Record],
        producer: Producer | None = None,
        timeout_s: float = APPEND_TIMEOUT_S,
    ) -> AppendResult: ...

    def read(self, log: Log, offset: int, wait_s: float) -> ReadResult: ...

    def newest(self, log: Log) -> RecordsRead | ReadFailed: ...

    def claim_lead(self, at: int, instance: str) -> AppendResult: ...

    def write_wave_state(self, wave: str, state: str) -> AppendResult: ...


class CallOutcome(Enum):
    """How an order to a worker or about an instance ended."""

    DONE = "done"
    # A higher fencing token is known there.
    FENCED = "fenced"
    # The run number is not higher than one that was stopped or has ended.
    OLD_RUN = "old_run"
    # The lease had ended by the worker's clock.
    LATE = "late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    # Another life answers at the address.
    GONE = "gone"
    # The other side has done nothing and may do so later.
    REFUSED = "refused"
    # The order itself was not accepted.
    INVALID = "invalid"
    NOT_SENT = "not_sent"
    # The order may have been carried out, or may be later.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallReply:
    """The outcome of an order, with the worker's clock if it answered."""

    outcome: CallOutcome
    reason: str = ""
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TaskLists:
    """What a worker says of its runs; ``started_ms`` names the life that answers."""

    clock_ms: int
    started_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class WorkerPort(Protocol):
    """Orders to workers."""

    def start(
        self, worker: Worker, start: Start, token: int, deadline_ms: int, ticket: str
    ) -> CallReply: ...

    def stop(self, worker: Worker, task: str, run: int, token: int) -> CallReply: ...

    def pace(
        self, worker: Worker, task: str, run: int, percent: int, token: int
    ) -> CallReply: ...

    def renew_and_list(
        self,
        worker: Worker,
        token: int,
        seen: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> TaskLists | CallReply: ...


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets by worker, and how long they are valid."""

    ticket_by_worker: dict[str, str]
    validity_s: float


class AdvicePort(Protocol):
    """The service that knows which workers may run a step."""

    def advise(
        self, step: str, worker_ids: Sequence[str], timeout_s: float
    ) -> Advice | CallReply: ...


class InstanceState(Enum):
    """What an instance does."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Instance:
    """An instance of the platform and the worker it runs."""

    instance_id: str
    pool: str
    state: InstanceState
    zone: str
    worker_id: str


class InstancePort(Protocol):
    """Moves and maintenance of instances."""

    def list_instances(self) -> tuple[Instance, ...] | CallReply: ...

    def move(self, instance_id: str, pool: str, token: int) -> CallReply: ...

    def maintain(self, instance_id: str, wave: str, token: int) -> CallReply: ...
