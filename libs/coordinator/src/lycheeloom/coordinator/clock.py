"""Clocks of the coordinator."""

from __future__ import annotations

import time


def steady_s() -> float:
    """Return monotonic time in seconds, including time spent in system suspend.

    A leader that was suspended must notice that its lease has expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
