"""The buffer plan of one instance size; places are zones and racks."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import Resources

from .spare_need import BufferMove, Shortage, SizeNeed, least_in_service

Place = tuple[str, str]
# Name, configured pool, location (zone and rack), zone place and rack place.
Member = tuple[str, str, Place, Place, Place]


def places_of(zone: str, rack: str) -> tuple[Place, Place]:
    """Return the zone and the rack of a location as places that can be lost."""
    return ("zone", zone), ("rack", f"{zone}/{rack}")


class SizePlan:
    """The plan of one instance size; places are zones and racks."""

    def __init__(self, config: FleetConfig, members: Sequence[Member], pools: set[str]):
        self._members = members
        self._spare_pools = sorted(
            name for name, pool in config.pool_by_id.items() if pool.spare
        )
        # Pools of another size neither need nor hold instances of this one.
        self._needed = {
            name: config.pool_by_id[name].needed
            for name in sorted(pools)
            if not config.pool_by_id[name].spare
        }
        self._planned_for = self._needed.keys() | set(self._spare_pools)
        self._sum_needed = sum(self._needed.values())
        self._pool_of: dict[str, str] = {}
        self._count: Counter[str] = Counter()
        self._held: dict[str, Counter[Place]] = defaultdict(Counter)
        self._group: dict[str, dict[Place, list[str]]] = defaultdict(
            lambda: defaultdict(list)
        )
        self._total: Counter[Place] = Counter()
        self._racks: dict[str, Counter[str]] = defaultdict(Counter)
        self._size = 0

    def update(
        self, pool_by_instance: Mapping[str, str], unusable: frozenset[str]
    ) -> None:
        """Take in which instances changed pools, were lost or came back."""
        for member in self._members:
            name = member[0]
            pool = pool_by_instance.get(name, member[1])
            if name in unusable or pool not in self._planned_for:
                pool = ""
            last = self._pool_of.get(name, "")
            if pool == last:
                continue
            if last:
                self._count_in(member, last, -1)
                self._group[last][member[2]].remove(name)
            if pool:
                self._count_in(member, pool, 1)
                self._group[pool][member[2]].append(name)
            self._pool_of[name] = pool

    def _count_in(self, member: Member, pool: str, change: int) -> None:
        _, _, location, zone, rack = member
        self._size += change
        self._racks[location[0]][location[1]] += change
        self._count[pool] += change
        self._total[zone] += change
        self._total[rack] += change
        held = self._held[pool]
        held[zone] += change
        held[rack] += change

    def plan(
        self, size: Resources
    ) -> tuple[list[BufferMove], list[Shortage], SizeNeed]:
        """Return the moves, what they leave short, and the need."""
        moves = self._fill_needs()
        if self._spare_pools:
            moves += self._release_surplus()
        found = [move for move, _ in moves], self._shortages(size), self._need(size)
        for move, location in reversed(moves):
            self._shift(move.instance, location, move.to_pool, move.from_pool)
        return found

    def _need(self, size: Resources) -> SizeNeed:
        """Return the least number of instances that covers the need."""
        counts = {zone: list(racks.values()) for zone, racks in self._racks.items()}
        least = least_in_service(self._sum_needed, counts)
        return SizeNeed(size, self._sum_needed, self._size, least)

    def _shortages(self, size: Resources) -> list[Shortage]:
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

    def _fill_needs(self) -> list[tuple[BufferMove, Place]]:
        moves = []
        for pool in sorted(self._needed, key=self._excess):
            while self._excess(pool) < 0:
                source = self._best_surplus() or self._spare_for(pool)
                if source is None:
                    return moves
                moves.append(self._move(*source, pool))
        return moves

    def _release_surplus(self) -> list[tuple[BufferMove, Place]]:
        moves: list[tuple[BufferMove, Place]] = []
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

    def _violations(self, strict: bool = False) -> dict[Place, tuple[int, int]]:
        """Return by how much each violated place is over its allowance.

        Moves cannot mend a lack of instances, so unless ``strict`` an
        allowance counts as at least 0.
        """
        excess = {pool: max(0, self._excess(pool)) for pool in self._needed}
        surplus = sum(excess.values())
        local: Counter[Place] = Counter()
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
        self, violations: Mapping[Place, int] | None = None
    ) -> tuple[str, Place] | None:
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
                    for place in places_of(*location)
                    if held[place] < excess
                )
                if (gain - loss, excess) > best_gain:
                    best, best_gain = (pool, location), (gain - loss, excess)
        return best

    def _spare_for(self, pool: str) -> tuple[str, Place] | None:
        """Return the spare location where the pool has the fewest instances."""
        held = self._held[pool]
        choices = [
            ([held[place] for place in places_of(*location)], spare, location)
            for spare in self._spare_pools
            for location, names in self._group[spare].items()
            if names
        ]
        if not choices:
            return None
        _, spare, location = min(choices)
        return spare, location

    def _move(
        self, source: str, location: Place, target: str
    ) -> tuple[BufferMove, Place]:
        name = self._group[source][location][-1]
        self._shift(name, location, source, target)
        return BufferMove(name, source, target), location

    def _shift(self, name: str, location: Place, source: str, target: str) -> None:
        self._group[source][location].remove(name)
        self._group[target][location].append(name)
        self._count[source] -= 1
        self._count[target] += 1
        for place in places_of(*location):
            self._held[source][place] -= 1
            self._held[target][place] += 1
