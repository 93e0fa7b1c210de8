"""Whether this process may rely on its state and start tasks."""

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
# A longer gap between two ticks means that the process did not run.
MAX_TICK_GAP_S = 1.0
# Positions of a peer that this process has not replayed up to yet.
MAX_POSITIONS = 16


class FreshBy(StrEnum):
    """What made the process fresh, or why it is not."""

    LOG = "log"
    RELAY = "relay"
    MAJORITY = "majority"
    STALE = "stale"
    NOT_A_MEMBER = "not_a_member"


class Freshness:
    """Evidence that the replayed state is recent, on this process's clock.

    Each piece of evidence has the time at which a request was sent whose answer
    proves it; it holds for ``FRESHNESS_S`` from then. Evidence from before a
    pause of the process does not count.
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
        self._ticked_at = clock()
        self.resumed_at = clock()
        self.pauses = 0
        self._confirmed_at: dict[str, float] = {}
        self._confirmations_by_peer: dict[str, deque[tuple[int, float]]] = {}
        self._relayed_at = -math.inf
        self._positions_by_peer: dict[str, deque[tuple[int, float]]] = {}

    def confirm(self, peer: str, sent_at: float, next_offset: int) -> None:
        """A peer that counts this process as a member answered a heartbeat.

        The confirmation counts once this process has replayed what the peer had:
        a process that was paused is confirmed at once when it resumes, and would
        otherwise act on the state from before its pause.
        """
        confirmations = self._confirmations_by_peer.setdefault(
            peer, deque(maxlen=MAX_POSITIONS)
        )
        confirmations.append((next_offset, sent_at))
        self._take_reached_confirmations()

    def note_position(self, peer: str, read_at: float, next_offset: int) -> None:
        """A peer had read the log up to ``next_offset`` at or after ``read_at``."""
        positions = self._positions_by_peer.setdefault(
            peer, deque(maxlen=MAX_POSITIONS)
        )
        positions.append((next_offset, read_at))
        self._take_reached_positions()

    def forget(self, peer: str) -> None:
        """Drop evidence from a peer that is no longer a member."""
        self._confirmed_at.pop(peer, None)
        self._confirmations_by_peer.pop(peer, None)
        self._positions_by_peer.pop(peer, None)

    def tick(self) -> None:
        """Detect a pause of the process; called every ``TICK_S``."""
        now = self._clock()
        if now - self._ticked_at > MAX_TICK_GAP_S:
            self.resumed_at = now
            self.pauses += 1
        self._ticked_at = now

    def run(self) -> None:
        """Tick until stopped."""
        while True:
            self.tick()
            gevent.sleep(seconds_until_tick(TICK_S))

    def is_fresh(self) -> bool:
        """Tell whether tasks may be started and requests accepted now."""
        return self.explain() not in (FreshBy.STALE, FreshBy.NOT_A_MEMBER)

    def explain(self) -> FreshBy:
        """Return what makes the process fresh now, or why it is not."""
        # The check may run before the tick that would notice a pause.
        self.tick()
        if not self._tail.state.members.is_active(self._own_incarnation()):
            return FreshBy.NOT_A_MEMBER
        self._take_reached_positions()
        self._take_reached_confirmations()
        oldest = max(self._clock() - FRESHNESS_S, self.resumed_at)
        if self._tail.last_read_sent_at >= oldest:
            return FreshBy.LOG
        if self._relayed_at >= oldest:
            return FreshBy.RELAY
        if self._majority_at() >= oldest:
            return FreshBy.MAJORITY
        return FreshBy.STALE

    def _take_reached_positions(self) -> None:
        for positions in self._positions_by_peer.values():
            while positions and positions[0][0] <= self._tail.next_offset:
                self._relayed_at = max(self._relayed_at, positions.popleft()[1])

    def _take_reached_confirmations(self) -> None:
        for peer, confirmations in self._confirmations_by_peer.items():
            while confirmations and confirmations[0][0] <= self._tail.next_offset:
                sent_at = confirmations.popleft()[1]
                known_at = self._confirmed_at.get(peer, -math.inf)
                self._confirmed_at[peer] = max(sent_at, known_at)

    def _majority_at(self) -> float:
        """Return since when the latest majority has confirmed this process."""
        own = self._own_incarnation()
        members = [member.incarnation for member in self._tail.state.members.active()]
        needed = len(members) // 2
        if needed == 0:
            # The only member is a majority by itself.
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
