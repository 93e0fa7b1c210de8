"""Spare capacity: how much is needed and which moves provide it.

The declared need must stay covered after the loss of any one zone or rack. A
spare instance can replace any lost instance of its own size, so sizes are
planned separately. For one size, with ``T`` instances of which ``T_z`` are in
the lost place ``z``, and pools ``p`` with a surplus of ``e_p`` over their need
of which ``n_pz`` instances are in ``z``, the need ``N`` is covered exactly if

    sum over p of max(0, e_p - n_pz)  <=  T - T_z - N      for each z,

because only a surplus that stays in its pool cannot help elsewhere. Moves
change the left side only; a negative right side means that the fleet is short.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import Resources

from .size_plan import Member, SizePlan, places_of
from .spare_need import (
    BufferMove,
    Shortage,
    SizeNeed,
    least_in_service,
    least_layout,
)

__all__ = [
    "BufferMove",
    "BufferPlan",
    "BufferPlanner",
    "least_in_service",
    "least_layout",
    "plan_buffers",
    "wanted_buffer",
]


@dataclass(frozen=True, slots=True)
class BufferPlan:
    """The moves wanted, what would still be lacking, and the need by size."""

    moves: tuple[BufferMove, ...] = ()
    shortages: tuple[Shortage, ...] = ()
    needs: tuple[SizeNeed, ...] = ()


def plan_buffers(
    config: FleetConfig,
    pool_by_instance: Mapping[str, str],
    unusable: frozenset[str] = frozenset(),
) -> BufferPlan:
    """Plan once for a fleet; see ``BufferPlanner``."""
    return BufferPlanner(config).plan(pool_by_instance, unusable)


def wanted_buffer(needs: Iterable[SizeNeed]) -> int:
    """Return how many instances beyond the need cover the loss of any one place."""
    return sum(max(0, (need.least or need.present) - need.needed) for need in needs)


class BufferPlanner:
    """Plans the fewest moves that cover every need, over the whole fleet.

    It keeps its counts from plan to plan, so that a further plan for the same
    configuration costs little where little has changed.
    """

    def __init__(self, config: FleetConfig):
        self.config = config
        size_by_pool = pool_sizes(config)
        members: dict[Resources, list[Member]] = defaultdict(list)
        for name, instance in config.instance_by_id.items():
            zone, rack = instance.zone, instance.rack
            members[instance.size].append(
                (name, instance.pool, (zone, rack), *places_of(zone, rack))
            )
        self._plan_by_size = {}
        for size in sorted(members, key=lambda item: (item.cores, item.memory_mb)):
            pools = {pool for pool, its in size_by_pool.items() if its == size}
            self._plan_by_size[size] = SizePlan(config, members[size], pools)

    def plan(
        self, pool_by_instance: Mapping[str, str], unusable: frozenset[str]
    ) -> BufferPlan:
        """Plan for instances in these pools; ``unusable`` ones do not count."""
        moves: list[BufferMove] = []
        shortages: list[Shortage] = []
        needs: list[SizeNeed] = []
        for size, size_plan in self._plan_by_size.items():
            size_plan.update(pool_by_instance, unusable)
            its_moves, its_shortages, need = size_plan.plan(size)
            moves += its_moves
            shortages += its_shortages
            needs.append(need)
        return BufferPlan(tuple(moves), tuple(shortages), tuple(needs))


def pool_sizes(config: FleetConfig) -> dict[str, Resources]:
    """Return the instance size of each pool: the most common in its own.

    A pool that has no instance in the configuration takes the most common size
    of the fleet, so that its need is not overlooked.
    """
    counts: dict[str, Counter[Resources]] = defaultdict(Counter)
    for instance in config.instance_by_id.values():
        counts[instance.pool][instance.size] += 1
    fleet: Counter[Resources] = sum(counts.values(), Counter())
    if not fleet:
        return {}
    return {
        pool: (counts.get(pool) or fleet).most_common(1)[0][0]
        for pool in config.pool_by_id
    }
