"""Decides which instances of a maintenance wave are emptied next."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

# Part of a wave's time after which all of its instances should have begun.
BEGIN_FRACTION = 0.75
# Instances of one pool that are away at once while the wave is on time: tasks
# that avoid each other need a place on the others.
MAX_AWAY_PER_POOL = 1


@dataclass(frozen=True, slots=True)
class WaveInstance:
    """An instance of a wave that has not begun its maintenance."""

    instance_id: str
    pool: str
    # Tasks that would have to end or move.
    run_count: int
    # Part of the pool's processors that is in use.
    pool_cpu_use: float
    # Switched off: its maintenance disturbs nobody.
    is_standby: bool


@dataclass(frozen=True, slots=True)
class WaveTime:
    """How far a wave's time has passed, in seconds."""

    elapsed_s: float
    within_s: float
    # From the choice of an instance to its return.
    round_s: float


def choose_next(
    left: Collection[WaveInstance],
    away_by_pool: Mapping[str, int],
    at_once: int,
    time: WaveTime,
) -> list[str]:
    """Return the instances to empty now, those that disturb least first.

    ``away_by_pool`` counts instances being emptied or maintained. While the wave
    is on time, a pool gives up one instance at a time; a late wave takes as many
    as it may.
    """
    remaining = at_once - sum(away_by_pool.values())
    if remaining <= 0 or not left:
        return []
    time_left_s = time.within_s * BEGIN_FRACTION - time.elapsed_s
    rounds_left = max(1, math.floor(time_left_s / time.round_s))
    left_by_pool = Counter(i.pool for i in left if not i.is_standby)
    chosen: list[str] = []
    away = Counter(away_by_pool)
    for instance in sorted(left, key=_disruption):
        if len(chosen) >= remaining:
            break
        max_away = max(
            MAX_AWAY_PER_POOL, math.ceil(left_by_pool[instance.pool] / rounds_left)
        )
        if not instance.is_standby and away[instance.pool] >= max_away:
            continue
        chosen.append(instance.instance_id)
        away[instance.pool] += 1
    return chosen


def _disruption(instance: WaveInstance) -> tuple[bool, float, int, str]:
    return (
        not instance.is_standby,
        instance.pool_cpu_use,
        instance.run_count,
        instance.instance_id,
    )
