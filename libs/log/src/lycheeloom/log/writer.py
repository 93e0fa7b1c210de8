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
from .outcomes import Effective, NoEffect, NotWritten, PendingRecord, Priority, Unknown
from .queue import RecordQueue, record_size_bound
from .tail import LogTail, ReplayedBatch

INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
# Limit of acknowledged batches that are not replayed yet, 10 s of batches. At the limit
# the tail is stuck, and further appends would only grow the backlog.
MAX_AWAITING_REPLAY = 200


@dataclass(slots=True)
class _SealedBatch:
    """An encoded batch. Its bytes and sequence number are the same in every attempt."""

    author: str
    sequence: int
    records: list[PendingRecord]
    encoded: bytes
    # Set after an append whose result is unknown: it may still reach the log at any
    # time.
    may_be_written: bool = False

    @property
    def key(self) -> tuple[str, int]:
        return self.author, self.sequence


class LogWriter:
    """Appends records in batches and reports their outcome from replay.

    One batch is in flight at a time: if a later sequence number overtook an earlier
    one, the earlier batch would have no effect. The records of a refused batch return
    to the queue, so they can still be withdrawn. A batch whose append has an unknown
    result is repeated unchanged until the tail has replayed it.
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
        self._backoff = Backoff(
            INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S, rng or random.Random()
        )
        self._queue = RecordQueue()
        self._last_sequence = 0
        self._in_flight: _SealedBatch | None = None
        self._awaiting_replay: dict[tuple[str, int], _SealedBatch] = {}
        self._has_work = Event()
        self._greenlet: gevent.Greenlet | None = None
        tail.add_listener(self._on_replayed)
        tail.add_reset_listener(self._on_reset)

    @property
    def queued_records(self) -> int:
        """How many records wait to be sent."""
        return len(self._queue)

    @property
    def is_idle(self) -> bool:
        """Whether no record waits to be sent, acknowledged or replayed."""
        return not (len(self._queue) or self._in_flight or self._awaiting_replay)

    def append(
        self, record: Record, priority: Priority = Priority.REQUEST
    ) -> PendingRecord:
        """Queue a record; never blocks."""
        pending = PendingRecord(record, priority, record_size_bound(record))
        self._queue.add(pending)
        self._has_work.set()
        return pending

    def change_author(self, author: str) -> None:
        """Write as a new incarnation; unsent records are settled as not written.

        A batch of the old incarnation whose append has an unknown result is still
        repeated until it is replayed, so that its outcome becomes known.
        """
        self._queue.fail_all("the author was replaced")
        self.author = author
        self._last_sequence = 0

    def start(self) -> None:
        """Start sending in a greenlet."""
        self._greenlet = gevent.spawn(self.run)

    def stop(self) -> None:
        """Stop the greenlet and settle all records without an outcome."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._queue.fail_all("the writer stopped")
        for sealed in [self._in_flight, *self._awaiting_replay.values()]:
            if sealed is not None:
                self._settle_all(sealed, Unknown("the writer stopped"))
        self._in_flight = None
        self._awaiting_replay.clear()

    def run(self) -> None:
        """Send batches until stopped."""
        while True:
            self._has_work.wait()
            gevent.sleep(self.step())

    def step(self) -> float:
        """Send at most one batch and return the delay before the next, in seconds."""
        if len(self._awaiting_replay) >= MAX_AWAITING_REPLAY:
            return self._commit_interval_s
        sealed = self._in_flight or self._seal_next()
        if sealed is None:
            if not len(self._queue):
                self._has_work.clear()
            return 0.0
        self._in_flight = sealed
        sent_at = self._clock()
        answer = self._client.append(sealed.encoded)
        if self._in_flight is not sealed:
            # The tail replayed the batch before the append was answered.
            self._backoff.reset()
            return self._remaining_interval_s(sent_at)
        match answer:
            case Appended():
                self._in_flight = None
                self._awaiting_replay[sealed.key] = sealed
                self.appended_batches += 1
                self._backoff.reset()
                return self._remaining_interval_s(sent_at)
            case AppendUnknown():
                sealed.may_be_written = True
                self.unknown_answers += 1
            case AppendRefused(reason):
                self.refused_answers += 1
                self._handle_refusal(sealed, reason)
        return max(self._backoff.next_delay_s(), self._remaining_interval_s(sent_at))

    def _seal_next(self) -> _SealedBatch | None:
        records = self._queue.take_batch()
        try:
            return self._encode(records)
        except ValueError:
            # A record cannot be encoded. This is rare, so records are tested one by one
            # only now.
            return self._encode([item for item in records if _can_encode(item)])

    def _encode(self, records: list[PendingRecord]) -> _SealedBatch | None:
        if not records:
            return None
        sequence = self._last_sequence + 1
        batch = Batch(self.author, sequence, tuple(item.record for item in records))
        encoded = encode_batch(batch)
        self._last_sequence = sequence
        for pending in records:
            pending.is_sent = True
        return _SealedBatch(self.author, sequence, records, encoded)

    def _remaining_interval_s(self, sent_at: float) -> float:
        return max(0.0, sent_at + self._commit_interval_s - self._clock())

    def _handle_refusal(self, sealed: _SealedBatch, reason: AppendRefusal) -> None:
        if sealed.may_be_written:
            return
        self._in_flight = None
        if sealed.author != self.author:
            self._settle_all(sealed, NotWritten("the author was replaced"))
            return
        # The refused batch is not in the log, so its sequence number can be reused.
        self._last_sequence -= 1
        if reason is not AppendRefusal.TOO_LARGE:
            self._queue.put_back(sealed.records)
            return
        if len(sealed.records) == 1:
            self._settle_all(sealed, NotWritten(reason))
            return
        smaller = max(MAX_BATCH_BYTES // 16, self._queue.max_batch_bytes // 2)
        self._queue.max_batch_bytes = smaller
        self._queue.put_back(sealed.records)

    def _on_replayed(self, replayed: ReplayedBatch) -> None:
        key = replayed.batch.author, replayed.batch.sequence
        sealed = self._pop_sealed(key)
        if sealed is None:
            return
        effects = replayed.applied.effective
        for pending, is_effective in zip(sealed.records, effects, strict=True):
            kind = Effective if is_effective else NoEffect
            pending.settle(kind(replayed.offset))

    def _pop_sealed(self, key: tuple[str, int]) -> _SealedBatch | None:
        sealed = self._in_flight
        if sealed is not None and sealed.key == key:
            self._in_flight = None
            return sealed
        return self._awaiting_replay.pop(key, None)

    def _on_reset(self, state: FleetState) -> None:
        """Settle batches that the new state covers but the tail did not replay."""
        sealed_batches = [self._in_flight, *self._awaiting_replay.values()]
        for sealed in sealed_batches:
            if sealed is None or state.last_sequence(sealed.author) < sealed.sequence:
                continue
            self._pop_sealed(sealed.key)
            self._settle_all(sealed, Unknown("replayed within a snapshot"))

    def _settle_all(self, sealed: _SealedBatch, outcome: NotWritten | Unknown) -> None:
        for pending in sealed.records:
            pending.settle(outcome)


def _can_encode(pending: PendingRecord) -> bool:
    """Tell whether a record can be encoded; if not, settle it as not written."""
    try:
        encode_batch(Batch("", 1, (pending.record,)))
    except ValueError as error:
        pending.settle(NotWritten(str(error)))
        return False
    return True
