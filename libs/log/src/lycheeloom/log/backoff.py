"""Delays between attempts."""

from __future__ import annotations

import random


class Backoff:
    """Doubling delays with jitter between ``first_s`` and ``longest_s``."""

    def __init__(self, first_s: float, longest_s: float, rng: random.Random) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._rng = rng
        self._failures = 0

    def next_delay_s(self) -> float:
        """Return the delay after one more failure."""
        exponent = min(self._failures, 20)
        self._failures += 1
        bound = min(self._longest_s, self._first_s * 2**exponent)
        # Half of the delay is random, so that processes that failed together
        # do not come back together.
        return bound * (0.5 + self._rng.random() / 2)

    def reset(self) -> None:
        """Start again with the first delay after a success."""
        self._failures = 0
