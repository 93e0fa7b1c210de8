"""Delays between retries."""

from __future__ import annotations

import random


class Backoff:
    """Exponential backoff with jitter, from ``initial_s`` up to ``max_s``."""

    def __init__(self, initial_s: float, max_s: float, rng: random.Random) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._rng = rng
        self._failures = 0

    def next_delay_s(self) -> float:
        """Return the delay to wait after another failure."""
        exponent = min(self._failures, 20)
        self._failures += 1
        max_delay_s = min(self._max_s, self._initial_s * 2**exponent)
        # Half of the delay is random, so that processes that failed at the same
        # time do not retry at the same time.
        return max_delay_s * (0.5 + self._rng.random() / 2)

    def reset(self) -> None:
        """Restart at the initial delay after a success."""
        self._failures = 0
