"""Previews a maintenance wave from the configuration alone."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from lycheeloom.model.config import FleetConfig, Instance


@dataclass(frozen=True, slots=True)
class WavePreview:
    """Rounds of instances that the availability budgets let rest together.

    ``never`` are instances that a budget of 0 keeps from being maintained.
    """

    rounds: tuple[tuple[str, ...], ...]
    never: tuple[str, ...]

    @property
    def instance_count(self) -> int:
        """How many instances the wave maintains."""
        return sum(len(names) for names in self.rounds)

    def duration_s(self, drain_s: float, reboot_s: float) -> float:
        """Return how long the wave takes if each round takes this long."""
        return len(self.rounds) * (drain_s + reboot_s)


def preview_wave(config: FleetConfig, pools: Sequence[str] = ()) -> WavePreview:
    """Plan a wave over pools, or over all pools if none are named.

    The controller decides by what is really available; this preview assumes
    that no instance fails and that every round takes equally long.
    """
    wanted = [
        instance
        for instance in config.instance_by_id.values()
        if not pools or instance.pool in pools
    ]
    # Neighbours in a rack follow each other, so that racks are done in turn.
    waiting = sorted(wanted, key=lambda item: (item.zone, item.rack, item.id))
    never = tuple(item.id for item in waiting if not _Round(config).take(item))
    waiting = [item for item in waiting if item.id not in set(never)]
    rounds = []
    while waiting:
        current = _Round(config)
        left = [item for item in waiting if not current.take(item)]
        taken = {item.id for item in waiting} - {item.id for item in left}
        rounds.append(tuple(item.id for item in waiting if item.id in taken))
        waiting = left
    return WavePreview(tuple(rounds), never)


class _Round:
    def __init__(self, config: FleetConfig) -> None:
        self._config = config
        self._by_pool: Counter[str] = Counter()
        self._by_rack: Counter[tuple[str, str]] = Counter()
        self._by_zone: Counter[str] = Counter()

    def take(self, instance: Instance) -> bool:
        """Add an instance to the round if all budgets allow it."""
        pool = self._config.pool_by_id[instance.pool]
        zone_budget = self._config.zone_by_id[instance.zone].max_unavailable
        rack = (instance.pool, instance.rack)
        if (
            self._by_pool[instance.pool] >= pool.max_unavailable
            or self._by_rack[rack] >= pool.max_unavailable_per_rack
            or self._by_zone[instance.zone]
            >= (math.inf if zone_budget is None else zone_budget)
        ):
            return False
        self._by_pool[instance.pool] += 1
        self._by_rack[rack] += 1
        self._by_zone[instance.zone] += 1
        return True
