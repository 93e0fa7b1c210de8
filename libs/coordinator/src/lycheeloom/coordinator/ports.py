"""Protocols and data classes through which the coordinator uses the platform."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from lycheeloom.jobs.model import EndedTask, RunningTask, Worker
from lycheeloom.jobs.planner import Start
from lycheeloom.jobs.records import Record

# An append without an answer within this time has an unknown outcome.
APPEND_TIMEOUT_S = 0.8


@dataclass(frozen=True, slots=True)
class Appended:
    """The records are durable; ``end`` is the offset after the last of them."""

    end: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """A writer with a higher fencing token has written; nothing was appended."""


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """The expected end of the log was wrong: the log ends at ``end``."""

    end: int


@dataclass(frozen=True, slots=True)
class NotAppended:
    """The append definitely had no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The records may have been appended, or may still be."""

    reason: str


AppendResult = Appended | Fenced | ConditionFailed | NotAppended | AppendUnknown


@dataclass(frozen=True, slots=True)
class Producer:
    """Identifies an append, so that repeating it has no further effect."""

    token: int
    sequence: int


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Records with their offsets, the next offset to read and the end of the log."""

    records: tuple[tuple[int, Record], ...]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class RecordsDropped:
    """The requested records have been removed; the log starts at ``first_kept``."""

    first_kept: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The read failed or its answer was invalid."""

    reason: str


ReadResult = RecordsRead | RecordsDropped | ReadFailed


class Log(Enum):
    """The two logs of job records.

    The leader has its own log, so that its lease renewals do not queue behind
    submissions of callers when the store is slow.
    """

    CALLERS = "callers"
    LEADER = "leader"


class StorePort(Protocol):
    """The durable logs of job records, and the log used for leader election.

    Appends with a producer go to the leader's log, others to the callers' log.
    """

    def append(
        self,
        records: Sequence[Record],
        producer: Producer | None = None,
        timeout_s: float = APPEND_TIMEOUT_S,
    ) -> AppendResult: ...

    def read(self, log: Log, offset: int, wait_s: float) -> ReadResult:
        """Read records from ``offset``, waiting up to ``wait_s`` if there are none."""
        ...

    def newest(self, log: Log) -> RecordsRead | ReadFailed:
        """Read the latest record of each key."""
        ...

    def claim_lead(self, at: int, instance: str) -> AppendResult:
        """Append to the election log if it ends at ``at``.

        The new end is the fencing token. ``ConditionFailed`` holds the actual end.
        """
        ...

    def write_wave_state(self, wave: str, state: str) -> AppendResult:
        """Record the state of a wave for the operator."""
        ...


class CallOutcome(Enum):
    """Outcome of an order for a worker or an instance."""

    DONE = "done"
    # The receiver knows a higher fencing token.
    FENCED = "fenced"
    # The run number is not higher than that of a run that was stopped or has ended.
    OLD_RUN = "old_run"
    # The lease had already expired by the worker's clock.
    LATE = "late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    # Another incarnation of the worker answered.
    GONE = "gone"
    # The receiver did nothing but may accept the order later.
    REFUSED = "refused"
    # The order is invalid.
    INVALID = "invalid"
    NOT_SENT = "not_sent"
    # The order may have been carried out, or may still be.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallReply:
    """The outcome of an order, with the worker's clock in ms if it answered."""

    outcome: CallOutcome
    reason: str = ""
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TaskLists:
    """Running and ended runs as reported by a worker.

    ``started_ms`` identifies the incarnation that answered; 0 if unknown.
    """

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
    ) -> TaskLists | CallReply:
        """Renew the worker's lease until ``deadline_ms`` and list its runs.

        Acknowledges the ends up to number ``seen``. The worker waits up to ``wait_ms``
        for another one. Without a deadline the lease is not renewed.
        """
        ...


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets by worker id, with their validity."""

    ticket_by_worker: dict[str, str]
    validity_s: float


class AdvicePort(Protocol):
    """The service that decides which workers may run a step."""

    def advise(
        self, step: str, worker_ids: Sequence[str], timeout_s: float
    ) -> Advice | CallReply: ...


class InstanceState(Enum):
    """Operational state of an instance."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Instance:
    """An instance of the platform and its worker; no ``worker_id`` if it has none."""

    instance_id: str
    pool: str
    state: InstanceState
    zone: str
    worker_id: str


class InstancePort(Protocol):
    """Lists instances, moves them between pools and orders their maintenance."""

    def list_instances(self) -> tuple[Instance, ...] | CallReply: ...

    def move(self, instance_id: str, pool: str, token: int) -> CallReply: ...

    def maintain(self, instance_id: str, wave: str, token: int) -> CallReply: ...
