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

# Interval of the checks for a pause of the process.
TICK_S = 0.1
# If two checks are further apart, the process was paused.
MAX_TICK_GAP_S = 1.0
# Number of positions, and of confirmations, that are kept for one peer until this
# process has replayed the log up to them; the oldest are dropped first.
MAX_PENDING_PER_PEER = 16


class FreshnessReason(StrEnum):
    """Why the process is fresh or not.

    It is fresh by its own log reads (``LOG``), by batches from a peer that reads the
    log (``RELAY``) or by confirmations of a majority of the members (``MAJORITY``). It
    is not fresh without recent evidence (``STALE``) or if it is ``NOT_A_MEMBER``.
    """

    LOG = "log"
    RELAY = "relay"
    MAJORITY = "majority"
    STALE = "stale"
    NOT_A_MEMBER = "not_a_member"


class Freshness:
    """Collects evidence that the replayed state is recent.

    There are three kinds of evidence: a log read of this process that reached the end
    of the log; a position, which says up to where and when a peer had read the log; and
    confirmations, in which peers say that this process is a member. Confirmations count
    only from a majority of the members. Positions and confirmations count once this
    process has replayed the log up to the same offset as the peer.

    Evidence holds for ``FRESHNESS_S`` from the time the read or heartbeat was sent, on
    this process's clock. Evidence from before a pause of the process does not count.
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
        # Send time of the latest heartbeat that each peer has confirmed.
        self._confirmed_at_by_peer: dict[str, float] = {}
        # Confirmations that do not count yet: pairs of the offset to be reached and the
        # send time of the heartbeat.
        self._confirmations_by_peer: dict[str, deque[tuple[int, float]]] = {}
        # Time of the latest log read of a peer that this process has caught up with.
        self._relayed_at = -math.inf
        # Positions that do not count yet: pairs of the offset to be reached and the
        # time of the peer's log read.
        self._positions_by_peer: dict[str, deque[tuple[int, float]]] = {}

    def add_confirmation(self, peer: str, sent_at: float, next_offset: int) -> None:
        """Add a peer's confirmation that this process is a member.

        The peer had replayed the log up to ``next_offset`` when it answered a
        heartbeat sent at ``sent_at``. The confirmation counts once this process has
        replayed as much. Without that condition, a process that resumes from a pause
        would get confirmations immediately and act on its state from before the pause.
        """
        confirmations = self._confirmations_by_peer.setdefault(
            peer, deque(maxlen=MAX_PENDING_PER_PEER)
        )
        confirmations.append((next_offset, sent_at))
        self._apply_reached_confirmations()

    def add_position(self, peer: str, read_at: float, next_offset: int) -> None:
        """Add a peer's position in the log.

        The peer sent a read that reached the end of the log at ``read_at`` or later,
        and has replayed the log up to ``next_offset``.
        """
        positions = self._positions_by_peer.setdefault(
            peer, deque(maxlen=MAX_PENDING_PER_PEER)
        )
        positions.append((next_offset, read_at))
        self._apply_reached_positions()

    def drop_peer(self, peer: str) -> None:
        """Drop the confirmations and waiting positions of a peer that is no member."""
        self._confirmed_at_by_peer.pop(peer, None)
        self._confirmations_by_peer.pop(peer, None)
        self._positions_by_peer.pop(peer, None)

    def tick(self) -> None:
        """Detect a pause of the process; to be called every ``TICK_S``.

        More than ``MAX_TICK_GAP_S`` between two calls counts as a pause.
        """
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
        # After a pause this method may run before the next regular call of ``tick``.
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
                previous_at = self._confirmed_at_by_peer.get(peer, -math.inf)
                self._confirmed_at_by_peer[peer] = max(sent_at, previous_at)

    def _majority_confirmed_at(self) -> float:
        """Return the latest time for which a majority of the members has confirmed.

        Each peer of the majority has confirmed a heartbeat sent at that time or later.
        """
        own = self._own_incarnation()
        members = [member.incarnation for member in self._tail.state.members.active()]
        # With this process itself these peers are a majority.
        needed_peers = len(members) // 2
        if needed_peers == 0:
            # A single member is a majority by itself.
            return self._clock()
        confirmed_times = sorted(
            (
                self._confirmed_at_by_peer.get(member, -math.inf)
                for member in members
                if member != own
            ),
            reverse=True,
        )
        return confirmed_times[needed_peers - 1]
