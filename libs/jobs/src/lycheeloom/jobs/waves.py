"""Chooses the next instances of a maintenance wave to drain."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

# Maintenance of all instances should have begun after this fraction of the wave's time
# limit.
BEGIN_FRACTION = 0.75
# Maximum instances of one pool that are unavailable at the same time while the wave is
# on schedule: tasks that may not share a worker need room on the other instances.
MAX_AWAY_PER_POOL = 1


@dataclass(frozen=True, slots=True)
class WaveInstance:
    """An instance of a wave whose maintenance has not begun."""

    instance_id: str
    pool: str
    # Number of runs on the instance, which would have to end or move.
    run_count: int
    # Fraction of the pool's CPU cores that is reserved.
    pool_cpu_use: float
    # The instance is switched off, so its maintenance disrupts no task.
    is_standby: bool


@dataclass(frozen=True, slots=True)
class WaveTime:
    """Elapsed and allowed time of a wave, in seconds."""

    elapsed_s: float
    time_limit_s: float
    # Duration of a round: the time from choosing an instance until it is back in
    # service.
    round_s: float


def choose_next(
    pending: Collection[WaveInstance],
    away_by_pool: Mapping[str, int],
    max_unavailable: int,
    time: WaveTime,
) -> list[str]:
    """Return the ids of the instances to drain now, the least disruptive first.

    ``away_by_pool`` counts the instances that are being drained or maintained, and
    ``max_unavailable`` is the limit for all pools together. While the wave is on
    schedule, only one instance of a pool is unavailable at a time. In a late wave, more
    instances of a pool are, up to the limit.
    """
    allowed = max_unavailable - sum(away_by_pool.values())
    if allowed <= 0 or not pending:
        return []
    time_left_s = time.time_limit_s * BEGIN_FRACTION - time.elapsed_s
    rounds_left = max(1, math.floor(time_left_s / time.round_s))
    pending_by_pool = Counter(
        instance.pool for instance in pending if not instance.is_standby
    )
    chosen: list[str] = []
    away = Counter(away_by_pool)
    for instance in sorted(pending, key=_disruption):
        if len(chosen) >= allowed:
            break
        max_away = max(
            MAX_AWAY_PER_POOL, math.ceil(pending_by_pool[instance.pool] / rounds_left)
        )
        if not instance.is_standby and away[instance.pool] >= max_away:
            continue
        chosen.append(instance.instance_id)
        away[instance.pool] += 1
    return chosen


def _disruption(instance: WaveInstance) -> tuple[bool, float, int, str]:
    """Return a sort key that is lowest for the least disruptive instance."""
    return (
        not instance.is_standby,
        instance.pool_cpu_use,
        instance.run_count,
        instance.instance_id,
    )
