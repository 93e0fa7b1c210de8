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
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import Resources

_Place = tuple[str, str]
# Name, configured pool, location (zone and rack), zone place and rack place.
_Member = tuple[str, str, tuple[str, str], _Place, _Place]


@dataclass(frozen=True, slots=True)
class BufferMove:
    """An instance that should change pools."""

    instance: str
    from_pool: str
    to_pool: str


@dataclass(frozen=True, slots=True)
class Shortage:
    """Instances of a size that are lacking if ``place`` is lost.

    An empty ``place`` means that they are lacking with nothing lost.
    """

    size: Resources
    place: str
    lacking: int


@dataclass(frozen=True, slots=True)
class SizeNeed:
    """The need of one instance size: ``least`` is the smallest number of
    instances in service that covers it, None if the racks cannot hold it."""

    size: Resources
    needed: int
    present: int
    least: int | None


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
    index: FleetIndex | None = None,
) -> BufferPlan:
    """Plan the fewest moves that cover every need, over the whole fleet.

    ``unusable`` instances are not counted. ``index`` saves time if it was built
    from the same configuration.
    """
    index = index or FleetIndex(config)
    size_by_pool = index.size_by_pool
    moves: list[BufferMove] = []
    shortages: list[Shortage] = []
    needs: list[SizeNeed] = []
    for size, members in index.members_by_size.items():
        pools = {pool for pool, its in size_by_pool.items() if its == size}
        usable = [item for item in members if item[0] not in unusable]
        plan = _SizePlan(config, pool_by_instance, usable, pools)
        moves += plan.solve()
        shortages += plan.shortages(size)
        needs.append(plan.need(size))
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


class FleetIndex:
    """Instances by size with their places, for one configuration."""

    def __init__(self, config: FleetConfig):
        self.config = config
        self.size_by_pool = pool_sizes(config)
        found: dict[Resources, list[_Member]] = defaultdict(list)
        for name, instance in config.instance_by_id.items():
            zone, rack = instance.zone, instance.rack
            found[instance.size].append(
                (name, instance.pool, (zone, rack), *_places(zone, rack))
            )
        order = sorted(found, key=lambda item: (item.cores, item.memory_mb))
        self.members_by_size = {size: found[size] for size in order}


def least_in_service(
    needed: int, rack_counts_by_zone: Mapping[str, Sequence[int]]
) -> int | None:
    """Return the fewest instances that leave ``needed`` after any loss.

    With a buffer of ``b`` instances no rack and no zone may hold more than
    ``b``. The sum of what the zones may hold, less ``b``, is concave in ``b``.
    """

    def covered(buffer: int) -> int:
        held = 0
        for counts in rack_counts_by_zone.values():
            held += min(buffer, sum(min(buffer, count) for count in counts))
        return held - buffer

    total = sum(sum(counts) for counts in rack_counts_by_zone.values())
    peak = _first(total, lambda buffer: covered(buffer + 1) <= covered(buffer))
    if covered(peak) < needed:
        return None
    return needed + _first(peak, lambda buffer: covered(buffer) >= needed)


def least_layout(
    needed: int, rack_counts_by_zone: Mapping[str, Sequence[int]]
) -> dict[str, list[int]] | None:
    """Return how many instances of each rack the least service uses.

    ``least_layout(2, {"a": [2], "b": [2]})`` gives ``{"a": [2], "b": [2]}``.
    """
    least = least_in_service(needed, rack_counts_by_zone)
    if least is None:
        return None
    buffer, left = least - needed, least
    layout: dict[str, list[int]] = {}
    for zone, counts in rack_counts_by_zone.items():
        room = min(buffer, left)
        layout[zone] = []
        for count in counts:
            used = min(buffer, count, room)
            layout[zone].append(used)
            room -= used
            left -= used
    return layout


def _first(limit: int, holds) -> int:
    """Return the first number up to ``limit`` from which ``holds`` is true."""
    low, high = 0, limit
    while low < high:
        middle = (low + high) // 2
        if holds(middle):
            high = middle
        else:
            low = middle + 1
    return low


class _SizePlan:
    """The plan of one instance size; places are zones and racks."""

    def __init__(
        self,
        config: FleetConfig,
        pool_by_instance: Mapping[str, str],
        members: Iterable[_Member],
        pools: set[str],
    ):
        self._spare_pools = sorted(
            name for name, pool in config.pool_by_id.items() if pool.spare
        )
        # Pools of another size neither need nor hold instances of this one.
        self._needed = {
            name: config.pool_by_id[name].needed
            for name in sorted(pools)
            if name in config.pool_by_id and not config.pool_by_id[name].spare
        }
        self._count: Counter[str] = Counter()
        self._held: dict[str, Counter[tuple[str, str]]] = defaultdict(Counter)
        self._group: dict[str, dict[tuple[str, str], list[str]]] = defaultdict(
            lambda: defaultdict(list)
        )
        self._total: Counter[tuple[str, str]] = Counter()
        self._racks: dict[str, Counter[str]] = defaultdict(Counter)
        self._size = 0
        for member in members:
            self._add(member, pool_by_instance)
        self._sum_needed = sum(self._needed.values())

    def _add(self, member: _Member, pool_by_instance: Mapping[str, str]) -> None:
        name, home, location, zone, rack = member
        pool = pool_by_instance.get(name, home)
        if pool not in self._needed and pool not in self._spare_pools:
            return
        self._size += 1
        self._racks[location[0]][location[1]] += 1
        self._count[pool] += 1
        held = self._held[pool]
        held[zone] += 1
        held[rack] += 1
        self._total[zone] += 1
        self._total[rack] += 1
        self._group[pool][location].append(name)

    def solve(self) -> list[BufferMove]:
        """Return the moves: first what pools lack now, then the buffers."""
        moves = self._fill_needs()
        if self._spare_pools:
            moves += self._release_surplus()
        return moves

    def need(self, size: Resources) -> SizeNeed:
        """Return the least number of instances that covers the need."""
        counts = {zone: list(racks.values()) for zone, racks in self._racks.items()}
        least = least_in_service(self._sum_needed, counts)
        return SizeNeed(size, self._sum_needed, self._size, least)

    def shortages(self, size: Resources) -> list[Shortage]:
        """Return what is lacking after the moves, worst first."""
        short = []
        spares = sum(self._count[pool] for pool in self._spare_pools)
        lacking = sum(max(0, -self._excess(pool)) for pool in self._needed)
        if lacking > spares:
            short.append(Shortage(size, "", lacking - spares))
        if not self._spare_pools:
            return short
        for place, (_, violation) in self._violations(strict=True).items():
            short.append(Shortage(size, " ".join(place), violation))
        return sorted(short, key=lambda item: (-item.lacking, item.place))

    def _fill_needs(self) -> list[BufferMove]:
        moves = []
        for pool in sorted(self._needed, key=self._excess):
            while self._excess(pool) < 0:
                source = self._best_surplus() or self._spare_for(pool)
                if source is None:
                    return moves
                moves.append(self._move(*source, pool))
        return moves

    def _release_surplus(self) -> list[BufferMove]:
        moves: list[BufferMove] = []
        while True:
            violations = {
                place: violation for place, (_, violation) in self._violations().items()
            }
            source = self._best_surplus(violations) if violations else None
            if source is None:
                return moves
            moves.append(self._move(*source, self._spare_pools[0]))

    def _excess(self, pool: str) -> int:
        return self._count[pool] - self._needed[pool]

    def _violations(self, strict: bool = False) -> dict[_Place, tuple[int, int]]:
        """Return by how much each violated place is over its allowance.

        Moves cannot mend a lack of instances, so unless ``strict`` an
        allowance counts as at least 0.
        """
        excess = {pool: max(0, self._excess(pool)) for pool in self._needed}
        surplus = sum(excess.values())
        local: Counter[tuple[str, str]] = Counter()
        for pool, over in excess.items():
            if not over:
                continue
            for place, held in self._held[pool].items():
                local[place] += min(over, held)
        found = {}
        for place, total in self._total.items():
            allowance = self._size - total - self._sum_needed
            if not strict:
                allowance = max(0, allowance)
            violation = surplus - local[place] - allowance
            if violation > 0:
                found[place] = (allowance, violation)
        return found

    def _best_surplus(
        self, violations: Mapping[_Place, int] | None = None
    ) -> tuple[str, tuple[str, str]] | None:
        """Return the pool and location whose surplus helps the most places."""
        if violations is None:
            violations = {
                place: over for place, (_, over) in self._violations().items()
            }
        weight = sum(violations.values())
        best, best_gain = None, (0 if violations else -1, 0)
        for pool in self._needed:
            excess = self._excess(pool)
            if excess <= 0:
                continue
            held = self._held[pool]
            gain = weight - sum(
                violations.get(place, 0)
                for place, count in held.items()
                if count >= excess
            )
            for location, names in self._group[pool].items():
                if not names:
                    continue
                loss = sum(
                    violations.get(place, 0)
                    for place in _places(*location)
                    if held[place] < excess
                )
                if (gain - loss, excess) > best_gain:
                    best, best_gain = (pool, location), (gain - loss, excess)
        return best

    def _spare_for(self, pool: str) -> tuple[str, tuple[str, str]] | None:
        """Return the spare location where the pool has the fewest instances."""
        held = self._held[pool]
        choices = [
            ([held[place] for place in _places(*location)], spare, location)
            for spare in self._spare_pools
            for location, names in self._group[spare].items()
            if names
        ]
        if not choices:
            return None
        _, spare, location = min(choices)
        return spare, location

    def _move(self, source: str, location: tuple[str, str], target: str) -> BufferMove:
        name = self._group[source][location].pop()
        self._group[target][location].append(name)
        self._count[source] -= 1
        self._count[target] += 1
        for place in _places(*location):
            self._held[source][place] -= 1
            self._held[target][place] += 1
        return BufferMove(name, source, target)


def _places(zone: str, rack: str) -> tuple[tuple[str, str], tuple[str, str]]:
    return ("zone", zone), ("rack", f"{zone}/{rack}")
