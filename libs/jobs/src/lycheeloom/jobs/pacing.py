"""Decides how fast filling tasks work beside tasks that serve."""

from __future__ import annotations

# Latency above this part of its target slows the filling tasks beside it.
SLOW_DOWN_RATIO = 0.9
# Below this part they are let go faster again.
SPEED_UP_RATIO = 0.6
# Each look above the target leaves this part of the pace: from 100 to below 10
# percent within three looks, well within the time a target may be exceeded.
SLOW_DOWN_FACTOR = 0.4
SPEED_UP_STEP = 10
# Below this pace the filling tasks rest altogether.
MIN_PACE_PERCENT = 10


def next_pace(percent: int, worst_latency_ratio: float) -> int:
    """Return the pace of filling tasks for the next look.

    ``worst_latency_ratio`` is the highest latency beside them as a part of its target:
    ``next_pace(100, 1.2)`` is 40, ``next_pace(40, 0.3)`` is 50.
    """
    if worst_latency_ratio > SLOW_DOWN_RATIO:
        slower = int(percent * SLOW_DOWN_FACTOR)
        return slower if slower >= MIN_PACE_PERCENT else 0
    if worst_latency_ratio < SPEED_UP_RATIO:
        return min(100, percent + SPEED_UP_STEP)
    return percent
