"""Availability budgets: how many instances may be out of service at once.

Planned and unplanned unavailability count together. Each pool, each rack of a
pool and each availability zone has a budget.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from lycheeloom.model.config import FleetConfig, ZoneState
from lycheeloom.model.records import Health

from .view import ENDED_STAGES, HealthState, Move


class LimitKind(StrEnum):
    """The kind of limit that keeps an instance in service."""

    POOL = "pool"
    RACK = "rack"
    ZONE = "zone"
    LAST_SPARE = "last_spare"
    NEED = "need"


@dataclass(frozen=True, slots=True)
class Limit:
    """A limit that allows no further instance to leave service.

    ``scope`` names the pool, rack or zone. ``current`` counts instances out of
    service, except for ``NEED`` (instances in service, against the ``allowed``
    minimum) and ``LAST_SPARE`` (spare instances, against the pools' shortfall).
    """

    kind: LimitKind
    scope: str
    current: int
    allowed: int


class Layout:
    """The location of each instance and the members of each pool, rack and zone.

    A layout holds until the configuration or the pool of an instance changes.
    Each location is a (pool, rack, zone) tuple.
    """

    def __init__(self, config: FleetConfig, pool_by_instance: Mapping[str, str]):
        self.config = config
        self.pool_by_instance = dict(pool_by_instance)
        self.location_by_instance: dict[str, tuple[str, str, str]] = {}
        self.members_by_pool: dict[str, list[str]] = defaultdict(list)
        self.members_by_rack: dict[str, list[str]] = defaultdict(list)
        self.members_by_zone: dict[str, list[str]] = defaultdict(list)
        for name, instance in config.instance_by_id.items():
            pool = self.pool_by_instance.get(name, instance.pool)
            # Rack names may repeat in different zones.
            rack = f"{instance.zone}/{instance.rack}"
            self.location_by_instance[name] = (pool, rack, instance.zone)
            self.members_by_pool[pool].append(name)
            self.members_by_rack[rack].append(name)
            self.members_by_zone[instance.zone].append(name)
        # No task starts in a zone that operators took out of service.
        self.out_of_service = frozenset(
            name
            for zone_id, zone in config.zone_by_id.items()
            if zone.state is ZoneState.OUT
            for name in self.members_by_zone.get(zone_id, ())
        )
        self.size_by_pool = {
            name: len(self.members_by_pool.get(name, ())) for name in config.pool_by_id
        }
        self.has_spare_pool = any(pool.spare for pool in config.pool_by_id.values())

    def matches(self, config: FleetConfig, pool_by_instance: Mapping[str, str]) -> bool:
        """Tell whether the layout still holds for these inputs."""
        return self.config is config and self.pool_by_instance == pool_by_instance


class BudgetUsage:
    """The instances out of service now, counted against every budget.

    ``blocking_limit`` returns the limit that keeps an instance in service;
    ``take`` counts an instance as out of service.
    """

    def __init__(self, layout: Layout, out: Iterable[str]):
        self._layout = layout
        self._out: set[str] = set()
        self._out_by_pool: dict[str, int] = defaultdict(int)
        self._out_by_rack: dict[tuple[str, str], int] = defaultdict(int)
        self._out_by_zone: dict[str, int] = defaultdict(int)
        self._spares = self._shortfall = 0
        for pool_id, pool in layout.config.pool_by_id.items():
            size = layout.size_by_pool[pool_id]
            if pool.spare:
                self._spares += size - pool.needed
            else:
                self._shortfall += max(0, pool.needed - size)
        for instance in out:
            self.take(instance)

    def is_out(self, instance: str) -> bool:
        """Tell whether the instance is counted as out of service."""
        return instance in self._out

    def take(self, instance: str) -> None:
        """Count an instance as out of service, unless it is counted already."""
        location = self._layout.location_by_instance.get(instance)
        if location is None or instance in self._out:
            return
        pool, rack, zone = location
        self._out.add(instance)
        self._out_by_pool[pool] += 1
        self._out_by_rack[pool, rack] += 1
        self._out_by_zone[zone] += 1
        config = self._layout.config.pool_by_id.get(pool)
        if config is None:
            return
        if config.spare:
            self._spares -= 1
        elif self.available(pool) < config.needed:
            self._shortfall += 1

    def take_recorded_out(
        self,
        health_by_instance: Mapping[str, HealthState],
        move_by_instance: Mapping[str, Move],
    ) -> None:
        """Count the instances that the log records as unhealthy or in an open move."""
        for name, state in health_by_instance.items():
            if state.health is not Health.IN_SERVICE:
                self.take(name)
        for name, move in move_by_instance.items():
            if move.stage not in ENDED_STAGES:
                self.take(name)

    def available(self, pool: str) -> int:
        """Return the number of instances of the pool in service."""
        return self._layout.size_by_pool[pool] - self._out_by_pool[pool]

    def remaining_pool_budget(self, pool: str) -> int:
        """Return how many more instances of a pool its own budget allows out."""
        budget = self._layout.config.pool_by_id[pool].max_unavailable
        return budget - self._out_by_pool[pool]

    def blocking_limit(self, instance: str, to_pool: str = "") -> Limit | None:
        """Return the limit that keeps an instance in service, None if there is none.

        ``to_pool`` is the pool that the instance is to join, if it changes pools.
        """
        return self._limit_exceeded_by(instance, 1, to_pool)

    def exceeded_limit(self, instance: str, to_pool: str = "") -> Limit | None:
        """Return a limit that is exceeded already with the instance out of service."""
        return self._limit_exceeded_by(instance, 0, to_pool)

    def _limit_exceeded_by(
        self, instance: str, more: int, to_pool: str
    ) -> Limit | None:
        config = self._layout.config
        pool_id, rack, zone_id = self._layout.location_by_instance[instance]
        pool = config.pool_by_id.get(pool_id)
        if pool is None:
            return None
        out = self._out_by_pool[pool_id]
        if out + more > pool.max_unavailable:
            return Limit(LimitKind.POOL, pool_id, out, pool.max_unavailable)
        out = self._out_by_rack[pool_id, rack]
        if out + more > pool.max_unavailable_per_rack:
            return Limit(LimitKind.RACK, rack, out, pool.max_unavailable_per_rack)
        zone = config.zone_by_id.get(zone_id)
        out = self._out_by_zone[zone_id]
        allowed = zone.max_unavailable if zone else None
        if allowed is not None and out + more > allowed:
            return Limit(LimitKind.ZONE, zone_id, out, allowed)
        return self._spare_limit_exceeded_by(pool_id, more, to_pool)

    def _spare_limit_exceeded_by(
        self, pool_id: str, more: int, to_pool: str
    ) -> Limit | None:
        """Return the limit on spares: every need covered and one spare left over.

        The shortfall does not keep a spare from joining a pool that is short.
        """
        pool = self._layout.config.pool_by_id[pool_id]
        if not self._layout.has_spare_pool:
            serving = self.available(pool_id)
            if serving - more < pool.needed:
                return Limit(LimitKind.NEED, pool_id, serving, pool.needed)
            return None
        spares, shortfall = self._spares, self._shortfall
        if pool.spare:
            spares -= more
            if to_pool and self._is_short(to_pool):
                shortfall = 0
        elif self.available(pool_id) - more < pool.needed:
            shortfall += more
        else:
            return None
        if spares - shortfall < 1:
            return Limit(LimitKind.LAST_SPARE, pool_id, spares, shortfall)
        return None

    def _is_short(self, pool_id: str) -> bool:
        pool = self._layout.config.pool_by_id.get(pool_id)
        return pool is not None and self.available(pool_id) < pool.needed
