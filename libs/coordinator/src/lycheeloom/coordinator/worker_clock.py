"""The clock of one incarnation of a worker, as its answers show it."""

from __future__ import annotations

from .clock import steady_s

# Slowest rate of a worker's clock that is taken for that of the same incarnation. It is
# lower than any allowed rate, so that a rounded time does not raise a doubt.
MIN_CLOCK_RATE = 0.95
CLOCK_TOLERANCE_MS = 50.0


class WorkerClock:
    """Estimates the time of a worker's monotonic clock from the latest answer.

    The clock starts anew with each incarnation of the worker, so a time that lies
    before the one to be expected shows that another incarnation has answered. ::

        clock = WorkerClock()
        clock.note(60_000, sent_s=steady_s())
        # 60,250.0 a quarter of a second later
        clock.estimate_ms(steady_s())
    """

    def __init__(self) -> None:
        # Time in ms by the worker's clock, and in s when the answer arrived.
        self._reading: tuple[float, float] | None = None

    def estimate_ms(self, at_s: float) -> float | None:
        """Return the worker's time at a time of the monotonic clock, if it is known.

        The worker's clock is not ahead of the estimate by more than its answer took.
        """
        if self._reading is None:
            return None
        clock_ms, read_s = self._reading
        return clock_ms + (at_s - read_s) * 1000

    def note(self, clock_ms: float, sent_s: float) -> bool:
        """Store the time in an answer to a call that was sent at ``sent_s``.

        Returns False, without effect, if another incarnation may have answered.
        """
        if not self._is_plausible(clock_ms, sent_s):
            return False
        self._reading = (clock_ms, steady_s())
        return True

    def _is_plausible(self, clock_ms: float, sent_s: float) -> bool:
        if self._reading is None:
            return True
        known_ms, read_s = self._reading
        # Negative if the call was under way when the known time was read.
        elapsed_ms = (sent_s - read_s) * 1000
        rate = MIN_CLOCK_RATE if elapsed_ms > 0 else 1.0
        return clock_ms >= known_ms + elapsed_ms * rate - CLOCK_TOLERANCE_MS
