"""Spare capacity: how much is needed and which moves provide it.

The declared need must stay covered after the loss of any one failure domain, a
zone or a rack. A spare instance can replace any lost instance of its own size, so
each size is planned separately. For one size, let ``T`` instances be present, of
which ``T_z`` are in the lost domain ``z``, and let pool ``p`` have ``n_pz``
instances in ``z`` and a surplus of ``e_p`` over its need. Then the need ``N`` is
covered exactly if

    sum over p of max(0, e_p - n_pz)  <=  T - T_z - N      for each z,

because a surplus that stays in its pool cannot help elsewhere. Moves change the
left side only; a negative right side means that the fleet is short of instances.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import Resources

from .size_plan import Member, SizePlan, domains_of
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
    """The moves to make, the remaining shortages, and the need of each size."""

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
    """Return how many instances beyond the need cover the loss of any one domain."""
    return sum(max(0, (need.least or need.present) - need.needed) for need in needs)


class BufferPlanner:
    """Plans the fewest moves that cover every need, over the whole fleet.

    The counts are kept between plans, so that a further plan for the same
    configuration is cheap if little has changed.
    """

    def __init__(self, config: FleetConfig):
        self.config = config
        size_by_pool = pool_sizes(config)
        members: dict[Resources, list[Member]] = defaultdict(list)
        for name, instance in config.instance_by_id.items():
            zone, rack = instance.zone, instance.rack
            members[instance.size].append(
                (name, instance.pool, (zone, rack), *domains_of(zone, rack))
            )
        self._plan_by_size = {}
        for size in sorted(members, key=lambda item: (item.cores, item.memory_mb)):
            pools = {
                pool for pool, its_size in size_by_pool.items() if its_size == size
            }
            self._plan_by_size[size] = SizePlan(config, members[size], pools)

    def plan(
        self, pool_by_instance: Mapping[str, str], unusable: frozenset[str]
    ) -> BufferPlan:
        """Plan for instances in these pools, without the ``unusable`` ones."""
        moves: list[BufferMove] = []
        shortages: list[Shortage] = []
        needs: list[SizeNeed] = []
        for size, size_plan in self._plan_by_size.items():
            size_plan.update(pool_by_instance, unusable)
            size_moves, size_shortages, need = size_plan.plan(size)
            moves += size_moves
            shortages += size_shortages
            needs.append(need)
        return BufferPlan(tuple(moves), tuple(shortages), tuple(needs))


def pool_sizes(config: FleetConfig) -> dict[str, Resources]:
    """Return the instance size of each pool, the most common size in it.

    A pool without instances in the configuration takes the most common size of
    the fleet, so that its need is not overlooked.
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
