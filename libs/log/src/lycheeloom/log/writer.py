"""Group commit of records to the log."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import Event

from lycheeloom.clients import (
    Appended,
    AppendRefusal,
    AppendRefused,
    AppendUnknown,
)
from lycheeloom.model.limits import COMMIT_INTERVAL_S, MAX_BATCH_BYTES
from lycheeloom.model.records import Batch, Record
from lycheeloom.state import FleetState
from lycheeloom.wire import encode_batch

from .backoff import Backoff
from .client import LogClient
from .outcomes import Effective, NoEffect, NotWritten, Pending, Priority, Unknown
from .queue import RecordQueue, record_size_bound
from .tail import LogTail, Replayed

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 2.0
# Acknowledged batches whose replay is awaited; more than this means that the
# tail is stuck, and writing on would only grow the backlog. 10 s of batches.
MAX_AWAITING_REPLAY = 200


@dataclass(slots=True)
class _Flight:
    """A sealed batch. Its bytes and sequence stay the same in every attempt."""

    author: str
    sequence: int
    records: list[Pending]
    encoded: bytes
    # An attempt without a clear answer may still reach the log at any time.
    may_be_written: bool = False

    @property
    def key(self) -> tuple[str, int]:
        return self.author, self.sequence


class LogWriter:
    """Appends records in batches and reports their outcome from replay.

    One batch is unanswered at a time: a later sequence number that overtook an
    earlier one would void the earlier batch. A refused batch is taken apart
    again, so its records can still be withdrawn; a batch with an unclear answer
    is repeated unchanged until the tail has replayed it.
    """

    def __init__(
        self,
        client: LogClient,
        author: str,
        tail: LogTail,
        *,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        commit_interval_s: float = COMMIT_INTERVAL_S,
    ) -> None:
        self.author = author
        self.appended_batches = 0
        self.unknown_answers = 0
        self.refused_answers = 0
        self._client = client
        self._clock = clock
        self._commit_interval_s = commit_interval_s
        self._backoff = Backoff(FIRST_RETRY_S, LONGEST_RETRY_S, rng or random.Random())
        self._queue = RecordQueue()
        self._last_sequence = 0
        self._unanswered: _Flight | None = None
        self._awaiting_replay: dict[tuple[str, int], _Flight] = {}
        self._work = Event()
        self._greenlet: gevent.Greenlet | None = None
        tail.add_listener(self._on_replayed)
        tail.add_reset_listener(self._on_reset)

    @property
    def queued_records(self) -> int:
        """How many records wait to be sent."""
        return len(self._queue)

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits to be sent, answered or replayed."""
        return not (len(self._queue) or self._unanswered or self._awaiting_replay)

    def append(self, record: Record, priority: Priority = Priority.REQUEST) -> Pending:
        """Queue a record; never blocks."""
        pending = Pending(record, priority, record_size_bound(record))
        self._queue.add(pending)
        self._work.set()
        return pending

    def change_author(self, author: str) -> None:
        """Write under a new incarnation; unsent records are not written.

        A batch of the old incarnation without a clear answer is still repeated
        until it is replayed, so that its outcome becomes known.
        """
        self._queue.fail_all("the author was replaced")
        self.author = author
        self._last_sequence = 0

    def start(self) -> None:
        """Start the greenlet."""
        self._greenlet = gevent.spawn(self.run)

    def stop(self) -> None:
        """Stop the greenlet and settle what has no outcome yet."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._queue.fail_all("the writer stopped")
        for flight in [self._unanswered, *self._awaiting_replay.values()]:
            if flight is not None:
                self._settle_all(flight, Unknown("the writer stopped"))
        self._unanswered = None
        self._awaiting_replay.clear()

    def run(self) -> None:
        """Send batches until stopped."""
        while True:
            self._work.wait()
            gevent.sleep(self.step())

    def step(self) -> float:
        """Send at most one batch and return the delay before the next, in s."""
        if len(self._awaiting_replay) >= MAX_AWAITING_REPLAY:
            return self._commit_interval_s
        flight = self._unanswered or self._seal()
        if flight is None:
            if not len(self._queue):
                self._work.clear()
            return 0.0
        self._unanswered = flight
        sent_at = self._clock()
        answer = self._client.append(flight.encoded)
        if self._unanswered is not flight:
            # The tail replayed the batch before its answer came.
            self._backoff.reset()
            return self._rest_of_interval_s(sent_at)
        match answer:
            case Appended():
                self._unanswered = None
                self._awaiting_replay[flight.key] = flight
                self.appended_batches += 1
                self._backoff.reset()
                return self._rest_of_interval_s(sent_at)
            case AppendUnknown():
                flight.may_be_written = True
                self.unknown_answers += 1
            case AppendRefused(reason):
                self.refused_answers += 1
                self._handle_refusal(flight, reason)
        return max(self._backoff.next_delay_s(), self._rest_of_interval_s(sent_at))

    def _seal(self) -> _Flight | None:
        records = self._queue.take_batch()
        try:
            return self._encode(records)
        except ValueError:
            # Rare, so only then is each record tried alone.
            return self._encode([item for item in records if _can_encode(item)])

    def _encode(self, records: list[Pending]) -> _Flight | None:
        if not records:
            return None
        sequence = self._last_sequence + 1
        batch = Batch(self.author, sequence, tuple(item.record for item in records))
        encoded = encode_batch(batch)
        self._last_sequence = sequence
        for pending in records:
            pending.is_sent = True
        return _Flight(self.author, sequence, records, encoded)

    def _rest_of_interval_s(self, sent_at: float) -> float:
        return max(0.0, sent_at + self._commit_interval_s - self._clock())

    def _handle_refusal(self, flight: _Flight, reason: AppendRefusal) -> None:
        if flight.may_be_written:
            return
        self._unanswered = None
        if flight.author != self.author:
            self._settle_all(flight, NotWritten("the author was replaced"))
            return
        # The refused batch is in no log, so its sequence number is free again.
        self._last_sequence -= 1
        if reason is not AppendRefusal.TOO_LARGE:
            self._queue.put_back(flight.records)
            return
        if len(flight.records) == 1:
            self._settle_all(flight, NotWritten(reason))
            return
        smaller = max(MAX_BATCH_BYTES // 16, self._queue.max_batch_bytes // 2)
        self._queue.max_batch_bytes = smaller
        self._queue.put_back(flight.records)

    def _on_replayed(self, replayed: Replayed) -> None:
        key = replayed.batch.author, replayed.batch.sequence
        flight = self._take_flight(key)
        if flight is None:
            return
        effects = replayed.applied.effective
        for pending, is_effective in zip(flight.records, effects, strict=True):
            kind = Effective if is_effective else NoEffect
            pending.settle(kind(replayed.offset))

    def _take_flight(self, key: tuple[str, int]) -> _Flight | None:
        flight = self._unanswered
        if flight is not None and flight.key == key:
            self._unanswered = None
            return flight
        return self._awaiting_replay.pop(key, None)

    def _on_reset(self, state: FleetState) -> None:
        """Settle batches whose replay lies before the snapshot now in use."""
        flights = [self._unanswered, *self._awaiting_replay.values()]
        for flight in flights:
            if flight is None or state.last_sequence(flight.author) < flight.sequence:
                continue
            self._take_flight(flight.key)
            self._settle_all(flight, Unknown("replayed within a snapshot"))

    def _settle_all(self, flight: _Flight, outcome: NotWritten | Unknown) -> None:
        for pending in flight.records:
            pending.settle(outcome)


def _can_encode(pending: Pending) -> bool:
    """Tell whether a record can be encoded; settle it as not written if not."""
    try:
        encode_batch(Batch("", 1, (pending.record,)))
    except ValueError as error:
        pending.settle(NotWritten(str(error)))
        return False
    return True
