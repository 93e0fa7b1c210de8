"""Paces the planning rounds of a leader and shows when it cannot keep up."""

from __future__ import annotations

import math

import gevent
from gevent.event import Event

from lycheeloom.telemetry import log_event

from . import metrics
from .clock import steady_s

# Minimum pause before a planning round, so that events in quick succession share one.
PLAN_PAUSE_S = 0.005
# Without events there is a planning round at this interval, for occurrences that have
# become due and backoffs that have expired.
PLAN_INTERVAL_S = 0.2
# A leader does not keep up if a round begins this late or takes so long. Polls and
# lease renewals of the workers are then late too.
LATE_S = 0.5
# The line about a late leader is written at most this often.
LATE_LOG_INTERVAL_S = 1.0


class RoundTimer:
    """Waits for planning rounds and measures how late they begin.

    A round is due ``PLAN_PAUSE_S`` after the first event or after ``PLAN_INTERVAL_S``.
    The pause is at least ``pause_factor`` times as long as the last round, so that
    polls, orders and renewals of leases get their part of the processor: with a factor
    of 1, as much as the rounds. A round begins later than it
    is due while other greenlets are busy, or the process does not run at all.
    """

    def __init__(self, pause_factor: float = 1.0) -> None:
        self._pause_factor = pause_factor
        self._wake = Event()
        self._woken_s = 0.0
        self._due_s = math.inf
        self._begun_s = 0.0
        # Duration of the last round.
        self._round_s = 0.0
        self._logged_s = -math.inf

    def wake(self) -> None:
        """Make a round due."""
        if not self._wake.is_set():
            self._woken_s = steady_s()
            self._wake.set()

    def begin(self) -> None:
        """Note that a round begins."""
        self._begun_s = steady_s()

    def end(self, starts: int, workers: int) -> None:
        """Note that a round has ended; report it if it was late.

        ``starts`` is the number of tasks that it has planned to start.
        """
        now_s = steady_s()
        late_s = max(0.0, self._begun_s - self._due_s)
        round_s = self._round_s = now_s - self._begun_s
        metrics.LEADER_LATE_SECONDS.observe(late_s)
        metrics.LEADER_ROUND_SECONDS.observe(round_s)
        if max(late_s, round_s) <= LATE_S:
            return
        if now_s - self._logged_s < LATE_LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        log_event(
            "leader_late",
            level="WARNING",
            late_s=late_s,
            round_s=round_s,
            starts=starts,
            workers=workers,
        )

    def wait(self) -> None:
        """Wait until the next round."""
        ended_s = steady_s()
        pause_s = max(PLAN_PAUSE_S, self._pause_factor * self._round_s)
        self._wake.wait(PLAN_INTERVAL_S)
        self._due_s = ended_s + PLAN_INTERVAL_S
        if self._wake.is_set():
            self._due_s = min(self._due_s, max(ended_s, self._woken_s))
        self._due_s += pause_s
        self._wake.clear()
        gevent.sleep(pause_s)
