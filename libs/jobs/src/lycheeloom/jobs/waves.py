"""Decides which instances of a maintenance wave are emptied next."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

# Part of a wave's time after which all of its instances should have begun.
DUE_PART = 0.75
# Instances of one pool that are away at once while the wave is on time: tasks
# that avoid each other need a place on the others.
POOL_AT_ONCE = 1


@dataclass(frozen=True, slots=True)
class WaveInstance:
    """An instance of a wave that has not begun its maintenance."""

    instance_id: str
    pool: str
    # Tasks that would have to end or move.
    runs: int
    # Part of the pool's processors that is in use.
    pool_use: float
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
    room = at_once - sum(away_by_pool.values())
    if room <= 0 or not left:
        return []
    time_left_s = time.within_s * DUE_PART - time.elapsed_s
    rounds_left = max(1, math.floor(time_left_s / time.round_s))
    left_by_pool = Counter(i.pool for i in left if not i.is_standby)
    chosen: list[str] = []
    away = Counter(away_by_pool)
    for instance in sorted(left, key=_disturbance):
        if len(chosen) >= room:
            break
        pool_at_once = max(
            POOL_AT_ONCE, math.ceil(left_by_pool[instance.pool] / rounds_left)
        )
        if not instance.is_standby and away[instance.pool] >= pool_at_once:
            continue
        chosen.append(instance.instance_id)
        away[instance.pool] += 1
    return chosen


def _disturbance(instance: WaveInstance) -> tuple[bool, float, int, str]:
    return (
        not instance.is_standby,
        instance.pool_use,
        instance.runs,
        instance.instance_id,
    )
