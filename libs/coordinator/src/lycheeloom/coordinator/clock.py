"""Clocks of the coordinator."""

from __future__ import annotations

import time


def steady_s() -> float:
    """Return seconds of a clock that also counts time spent suspended.

    A leader that was suspended must see that its lease has ended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return milliseconds since 1970."""
    return time.time_ns() // 1_000_000
