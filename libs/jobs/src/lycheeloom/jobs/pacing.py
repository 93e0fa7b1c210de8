"""Limits the CPU use of filling tasks that run next to latency-sensitive ones."""

from __future__ import annotations

# Filling tasks are slowed while a latency exceeds this fraction of its target.
SLOW_DOWN_RATIO = 0.9
# Filling tasks are sped up while all latencies are below this fraction of their
# targets.
SPEED_UP_RATIO = 0.6
# Factor applied to the pace at each measurement above ``SLOW_DOWN_RATIO``. It reduces
# the pace from 100 to below 10 percent within three measurements, well within the time
# for which a target may be exceeded.
SLOW_DOWN_FACTOR = 0.4
SPEED_UP_INCREMENT_PERCENT = 10
# Filling tasks are paused instead of running below this pace.
MIN_PACE_PERCENT = 10


def next_pace(percent: int, worst_latency_ratio: float) -> int:
    """Return the pace of filling tasks in percent until the next measurement.

    ``worst_latency_ratio`` is the highest ratio of latency to target on the worker:
    ``next_pace(100, 1.2)`` is 40, ``next_pace(40, 0.3)`` is 50.
    """
    if worst_latency_ratio > SLOW_DOWN_RATIO:
        slower = int(percent * SLOW_DOWN_FACTOR)
        return slower if slower >= MIN_PACE_PERCENT else 0
    if worst_latency_ratio < SPEED_UP_RATIO:
        return min(100, percent + SPEED_UP_INCREMENT_PERCENT)
    return percent
