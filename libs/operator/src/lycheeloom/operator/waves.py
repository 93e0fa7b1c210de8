"""Previews a maintenance wave from the configuration alone."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lycheeloom.fleet.budgets import BudgetUsage, Layout
from lycheeloom.model.config import FleetConfig, Instance


@dataclass(frozen=True, slots=True)
class WavePreview:
    """The rounds of a wave; the instances of one round are maintained together.

    ``never_maintained`` are the instances that do not fit even into an empty round,
    because a budget allows 0 unavailable instances, or because their pool and the
    spare pool have no more instances than they need.
    """

    rounds: tuple[tuple[str, ...], ...]
    never_maintained: tuple[str, ...]

    @property
    def instance_count(self) -> int:
        """The number of instances that the wave maintains."""
        return sum(len(names) for names in self.rounds)

    def duration_s(self, drain_s: float, reboot_s: float) -> float:
        """Return the seconds of the wave if each round takes ``drain_s + reboot_s``."""
        return len(self.rounds) * (drain_s + reboot_s)


def preview_wave(config: FleetConfig, pools: Sequence[str] = ()) -> WavePreview:
    """Plan a wave over the given pools, or over all pools if none are given.

    The controller decides by actual availability. This preview assumes that no
    instance fails and that every round takes equally long.
    """
    selected = [
        instance
        for instance in config.instance_by_id.values()
        if not pools or instance.pool in pools
    ]
    # Sorted by zone and rack, so that the wave works through one rack after another.
    remaining = sorted(selected, key=lambda item: (item.zone, item.rack, item.id))
    # Without recorded pools, instances count for the pools of the configuration.
    layout = Layout(config, {})
    never_maintained = tuple(
        item.id for item in remaining if not _Round(layout).try_add(item)
    )
    remaining = [item for item in remaining if item.id not in set(never_maintained)]
    rounds = []
    while remaining:
        current = _Round(layout)
        deferred = [item for item in remaining if not current.try_add(item)]
        added = {item.id for item in remaining} - {item.id for item in deferred}
        rounds.append(tuple(item.id for item in remaining if item.id in added))
        remaining = deferred
    return WavePreview(tuple(rounds), never_maintained)


class _Round:
    """Instances that the budgets of the controller allow to be maintained together."""

    def __init__(self, layout: Layout) -> None:
        self._usage = BudgetUsage(layout, ())

    def try_add(self, instance: Instance) -> bool:
        """Add an instance to the round if all budgets allow it."""
        if self._usage.blocking_limit(instance.id) is not None:
            return False
        self._usage.take(instance.id)
        return True
