"""The log tail, which keeps the fleet state up to date."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import gevent
from loguru import logger

from lycheeloom.clients import Expired, ReadBatches, Unavailable
from lycheeloom.model.records import Batch
from lycheeloom.state import AppliedBatch, FleetState
from lycheeloom.wire import BadBatch, decode_batch

from .backoff import Backoff
from .client import LogClient
from .recovery import RecoveryFailed, recover
from .ring import BatchRing

# A long poll ends well within FRESHNESS_S (1.5 s), as freshness counts from the
# time the read was sent.
LONG_POLL_S = 0.25
# Minimum time between reads. With several hundred appends per second every long poll
# would return at once; this limits a reader to 25 reads per second.
READ_INTERVAL_S = 0.04
READ_LIMIT = 1000
# The log cuts answers off at 4 MiB; an answer below half of that reached its end.
FULL_ANSWER_BYTES = 2 * 1024 * 1024
# A read on a dead connection ends early enough for another read on a new connection
# within FRESHNESS_S. While the log is slow the margin grows, as reading records late is
# better than not reading them.
READ_MARGIN_S = 0.5
MAX_READ_MARGIN_S = 8.0
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class ReplayedBatch:
    """A batch that was applied at ``offset``, as passed to listeners."""

    offset: int
    batch: Batch
    encoded: bytes
    applied: AppliedBatch


class OfferResult(Enum):
    """Result of ``LogTail.offer``.

    ``KNOWN`` means that the batch had been replayed before, ``GAP`` that batches
    before it are missing.
    """

    APPLIED = "applied"
    KNOWN = "known"
    GAP = "gap"


class LogTail:
    """Keeps a ``FleetState`` up to date from the log and from peers.

    ``state`` is replaced when the log has dropped offsets that were not read yet, so
    keep a reference to the tail, not to the state.
    """

    def __init__(
        self,
        client: LogClient,
        state: FleetState,
        *,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        ring: BatchRing | None = None,
    ) -> None:
        self.state = state
        self.ring = ring or BatchRing()
        # When the last read that reached the end of the log was sent.
        self.last_read_sent_at = -math.inf
        self.undecodable_batches = 0
        self.failed_reads = 0
        self.resets = 0
        self._client = client
        self._clock = clock
        self._backoff = Backoff(
            INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S, rng or random.Random()
        )
        self._listeners: list[Callable[[ReplayedBatch], None]] = []
        self._reset_listeners: list[Callable[[FleetState], None]] = []
        self._margin_s = READ_MARGIN_S
        self._greenlet: gevent.Greenlet | None = None

    @property
    def next_offset(self) -> int:
        """The offset after the last replayed batch."""
        return self.state.next_offset

    def add_listener(self, listener: Callable[[ReplayedBatch], None]) -> None:
        """Call ``listener`` after each applied batch; it must not block."""
        self._listeners.append(listener)

    def add_reset_listener(self, listener: Callable[[FleetState], None]) -> None:
        """Call ``listener`` after the state is replaced from a snapshot."""
        self._reset_listeners.append(listener)

    def start(self) -> None:
        """Start reading in a greenlet."""
        self._greenlet = gevent.spawn(self.run)

    def stop(self) -> None:
        """Stop the greenlet."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def run(self) -> None:
        """Read and replay until stopped."""
        while True:
            gevent.sleep(self.step())

    def step(self) -> float:
        """Read once, replay and return the delay before the next read, in seconds."""
        sent_at = self._clock()
        first = self.next_offset
        answer = self._client.read(
            first, READ_LIMIT, LONG_POLL_S, margin_s=self._margin_s
        )
        took_s = self._clock() - sent_at
        match answer:
            case ReadBatches():
                self._backoff.reset()
                self._margin_s = max(READ_MARGIN_S, 2 * (took_s - LONG_POLL_S))
                return self._apply_answer(answer, first, sent_at)
            case Expired():
                return self._reload_from_snapshot()
            case Unavailable():
                self.failed_reads += 1
                if took_s >= self._margin_s:
                    self._margin_s = min(MAX_READ_MARGIN_S, 2 * self._margin_s)
        return self._backoff.next_delay_s()

    def offer(self, offset: int, encoded: bytes) -> OfferResult:
        """Apply a batch from the log or a peer if it is at the next offset."""
        if offset < self.next_offset:
            return OfferResult.KNOWN
        if offset > self.next_offset:
            return OfferResult.GAP
        self._apply(offset, encoded)
        return OfferResult.APPLIED

    def _apply_answer(self, answer: ReadBatches, first: int, sent_at: float) -> float:
        for offset, encoded in enumerate(answer.batches, answer.first):
            # A peer may have relayed some of these batches in the meantime.
            self.offer(offset, encoded)
        size = sum(len(encoded) for encoded in answer.batches)
        reached_end = len(answer.batches) < READ_LIMIT and size < FULL_ANSWER_BYTES
        if not reached_end:
            return 0.0
        if answer.first == first:
            self.last_read_sent_at = sent_at
        if not answer.batches:
            return 0.0
        return max(0.0, sent_at + READ_INTERVAL_S - self._clock())

    def _apply(self, offset: int, encoded: bytes) -> None:
        batch = decode_batch(encoded)
        self.ring.add(offset, encoded)
        if isinstance(batch, BadBatch):
            self.undecodable_batches += 1
            self.state.skip(offset)
            return
        applied = self.state.apply(offset, batch)
        replayed = ReplayedBatch(offset, batch, encoded, applied)
        for listener in self._listeners:
            self._notify(listener, replayed)

    def _notify(self, listener: Callable, argument: object) -> None:
        # An exception in one listener must not stop replay, on which freshness and all
        # other listeners depend.
        try:
            listener(argument)
        except Exception:
            logger.exception("event=listener_failed offset={}", self.next_offset)

    def _reload_from_snapshot(self) -> float:
        """Replace the state from a snapshot after the log dropped unread offsets."""
        recovered = recover(self._client)
        if isinstance(recovered, RecoveryFailed):
            self.failed_reads += 1
            return self._backoff.next_delay_s()
        if recovered.next_offset > self.next_offset:
            self.state = recovered
            self.resets += 1
            for listener in self._reset_listeners:
                self._notify(listener, recovered)
        return 0.0
