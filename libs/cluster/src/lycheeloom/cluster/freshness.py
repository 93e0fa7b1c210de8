"""Freshness: whether this process may rely on its state and start tasks."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Callable
from enum import StrEnum

import gevent

from lycheeloom.log import LogTail
from lycheeloom.model.limits import FRESHNESS_S
from lycheeloom.model.ticks import seconds_until_tick

TICK_S = 0.1
# A longer gap between two ticks means that the process was paused.
MAX_TICK_GAP_S = 1.0
# Limit of positions, and of confirmations, kept for one peer until this process has
# replayed the log up to them.
MAX_PENDING_PER_PEER = 16


class FreshnessReason(StrEnum):
    """Why the process is fresh; ``STALE`` and ``NOT_A_MEMBER`` say why it is not."""

    LOG = "log"
    RELAY = "relay"
    MAJORITY = "majority"
    STALE = "stale"
    NOT_A_MEMBER = "not_a_member"


class Freshness:
    """Collects evidence that the replayed state is recent.

    Evidence is the answer to a log read or to a heartbeat. It holds for
    ``FRESHNESS_S`` from the time the read or heartbeat was sent, on this process's
    clock. Evidence from before a pause of the process does not count.
    """

    def __init__(
        self,
        tail: LogTail,
        own_incarnation: Callable[[], str],
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._tail = tail
        self._own_incarnation = own_incarnation
        self._clock = clock
        self._last_tick_at = clock()
        self.resumed_at = clock()
        self.pauses = 0
        self._confirmed_at: dict[str, float] = {}
        # Pairs of a next offset to be replayed and the send time of a heartbeat.
        self._confirmations_by_peer: dict[str, deque[tuple[int, float]]] = {}
        self._relayed_at = -math.inf
        # Pairs of a next offset to be replayed and the time of a peer's log read.
        self._positions_by_peer: dict[str, deque[tuple[int, float]]] = {}

    def add_confirmation(self, peer: str, sent_at: float, next_offset: int) -> None:
        """Add a peer's confirmation that this process is a member.

        The peer had replayed the log up to ``next_offset`` when it answered a
        heartbeat sent at ``sent_at``. The confirmation counts once this process has
        replayed as much: peers confirm a process at once when it resumes from a pause,
        and it would otherwise act on the state from before its pause.
        """
        confirmations = self._confirmations_by_peer.setdefault(
            peer, deque(maxlen=MAX_PENDING_PER_PEER)
        )
        confirmations.append((next_offset, sent_at))
        self._apply_reached_confirmations()

    def add_position(self, peer: str, read_at: float, next_offset: int) -> None:
        """Add that at ``read_at`` or later a peer had read up to ``next_offset``."""
        positions = self._positions_by_peer.setdefault(
            peer, deque(maxlen=MAX_PENDING_PER_PEER)
        )
        positions.append((next_offset, read_at))
        self._apply_reached_positions()

    def drop_peer(self, peer: str) -> None:
        """Drop the evidence from a peer that is no longer a member."""
        self._confirmed_at.pop(peer, None)
        self._confirmations_by_peer.pop(peer, None)
        self._positions_by_peer.pop(peer, None)

    def tick(self) -> None:
        """Detect a pause of the process; to be called every ``TICK_S``."""
        now = self._clock()
        if now - self._last_tick_at > MAX_TICK_GAP_S:
            self.resumed_at = now
            self.pauses += 1
        self._last_tick_at = now

    def run(self) -> None:
        """Call ``tick`` every ``TICK_S`` until stopped."""
        while True:
            self.tick()
            gevent.sleep(seconds_until_tick(TICK_S))

    def is_fresh(self) -> bool:
        """Tell whether tasks may be started and requests accepted now."""
        return self.explain() not in (
            FreshnessReason.STALE,
            FreshnessReason.NOT_A_MEMBER,
        )

    def explain(self) -> FreshnessReason:
        """Return why the process is fresh now, or why it is not."""
        # After a pause this may run before the next regular tick.
        self.tick()
        if not self._tail.state.members.is_active(self._own_incarnation()):
            return FreshnessReason.NOT_A_MEMBER
        self._apply_reached_positions()
        self._apply_reached_confirmations()
        cutoff = max(self._clock() - FRESHNESS_S, self.resumed_at)
        if self._tail.last_read_sent_at >= cutoff:
            return FreshnessReason.LOG
        if self._relayed_at >= cutoff:
            return FreshnessReason.RELAY
        if self._majority_confirmed_at() >= cutoff:
            return FreshnessReason.MAJORITY
        return FreshnessReason.STALE

    def _apply_reached_positions(self) -> None:
        for positions in self._positions_by_peer.values():
            while positions and positions[0][0] <= self._tail.next_offset:
                self._relayed_at = max(self._relayed_at, positions.popleft()[1])

    def _apply_reached_confirmations(self) -> None:
        for peer, confirmations in self._confirmations_by_peer.items():
            while confirmations and confirmations[0][0] <= self._tail.next_offset:
                sent_at = confirmations.popleft()[1]
                known_at = self._confirmed_at.get(peer, -math.inf)
                self._confirmed_at[peer] = max(sent_at, known_at)

    def _majority_confirmed_at(self) -> float:
        """Return the latest time since which a majority has confirmed heartbeats."""
        own = self._own_incarnation()
        members = [member.incarnation for member in self._tail.state.members.active()]
        needed = len(members) // 2
        if needed == 0:
            # A single member is a majority by itself.
            return self._clock()
        times = sorted(
            (
                self._confirmed_at.get(member, -math.inf)
                for member in members
                if member != own
            ),
            reverse=True,
        )
        return times[needed - 1]
