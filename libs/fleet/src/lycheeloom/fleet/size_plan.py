"""The buffer plan of one instance size.

A failure domain is a zone or a rack, as a (kind, name) pair.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import Resources

from .spare_need import BufferMove, Shortage, SizeNeed, least_in_service

Domain = tuple[str, str]
# Name, home pool, location as (zone, rack), zone domain and rack domain.
Member = tuple[str, str, Domain, Domain, Domain]


def domains_of(zone: str, rack: str) -> tuple[Domain, Domain]:
    """Return the failure domains of a location, its zone and its rack."""
    return ("zone", zone), ("rack", f"{zone}/{rack}")


class SizePlan:
    """Counts the instances of one size and plans their moves between pools."""

    def __init__(self, config: FleetConfig, members: Sequence[Member], pools: set[str]):
        self._members = members
        self._spare_pools = sorted(
            name for name, pool in config.pool_by_id.items() if pool.spare
        )
        # Pools of other sizes neither need nor hold instances of this size.
        self._needed = {
            name: config.pool_by_id[name].needed
            for name in sorted(pools)
            if not config.pool_by_id[name].spare
        }
        self._planned_pools = self._needed.keys() | set(self._spare_pools)
        self._sum_needed = sum(self._needed.values())
        self._pool_by_instance: dict[str, str] = {}
        self._count_by_pool: Counter[str] = Counter()
        self._count_by_domain: dict[str, Counter[Domain]] = defaultdict(Counter)
        self._names_by_location: dict[str, dict[Domain, list[str]]] = defaultdict(
            lambda: defaultdict(list)
        )
        self._total_by_domain: Counter[Domain] = Counter()
        self._rack_counts_by_zone: dict[str, Counter[str]] = defaultdict(Counter)
        self._usable = 0

    def update(
        self, pool_by_instance: Mapping[str, str], unusable: frozenset[str]
    ) -> None:
        """Apply which instances changed pools, were lost or came back."""
        for member in self._members:
            name = member[0]
            pool = pool_by_instance.get(name, member[1])
            if name in unusable or pool not in self._planned_pools:
                pool = ""
            last = self._pool_by_instance.get(name, "")
            if pool == last:
                continue
            if last:
                self._count_in(member, last, -1)
                self._names_by_location[last][member[2]].remove(name)
            if pool:
                self._count_in(member, pool, 1)
                self._names_by_location[pool][member[2]].append(name)
            self._pool_by_instance[name] = pool

    def _count_in(self, member: Member, pool: str, change: int) -> None:
        _, _, location, zone, rack = member
        self._usable += change
        self._rack_counts_by_zone[location[0]][location[1]] += change
        self._count_by_pool[pool] += change
        self._total_by_domain[zone] += change
        self._total_by_domain[rack] += change
        held = self._count_by_domain[pool]
        held[zone] += change
        held[rack] += change

    def plan(
        self, size: Resources
    ) -> tuple[list[BufferMove], list[Shortage], SizeNeed]:
        """Return the moves, the shortages that they leave, and the need."""
        moves = self._fill_needs()
        if self._spare_pools:
            moves += self._release_surplus()
        result = [move for move, _ in moves], self._shortages(size), self._need(size)
        for move, location in reversed(moves):
            self._shift(move.instance, location, move.to_pool, move.from_pool)
        return result

    def _need(self, size: Resources) -> SizeNeed:
        """Return the least number of instances that covers the need."""
        counts = {
            zone: list(racks.values())
            for zone, racks in self._rack_counts_by_zone.items()
        }
        least = least_in_service(self._sum_needed, counts)
        return SizeNeed(size, self._sum_needed, self._usable, least)

    def _shortages(self, size: Resources) -> list[Shortage]:
        """Return the shortages that remain after the moves, worst first."""
        short = []
        spares = sum(self._count_by_pool[pool] for pool in self._spare_pools)
        lacking = sum(max(0, -self._excess(pool)) for pool in self._needed)
        if lacking > spares:
            short.append(Shortage(size, "", lacking - spares))
        if not self._spare_pools:
            return short
        for domain, (_, violation) in self._violations(strict=True).items():
            short.append(Shortage(size, " ".join(domain), violation))
        return sorted(short, key=lambda item: (-item.lacking, item.domain))

    def _fill_needs(self) -> list[tuple[BufferMove, Domain]]:
        moves = []
        for pool in sorted(self._needed, key=self._excess):
            while self._excess(pool) < 0:
                source = self._best_surplus() or self._spare_for(pool)
                if source is None:
                    return moves
                moves.append(self._move(*source, pool))
        return moves

    def _release_surplus(self) -> list[tuple[BufferMove, Domain]]:
        moves: list[tuple[BufferMove, Domain]] = []
        while True:
            violations = {
                domain: violation
                for domain, (_, violation) in self._violations().items()
            }
            source = self._best_surplus(violations) if violations else None
            if source is None:
                return moves
            moves.append(self._move(*source, self._spare_pools[0]))

    def _excess(self, pool: str) -> int:
        return self._count_by_pool[pool] - self._needed[pool]

    def _violations(self, strict: bool = False) -> dict[Domain, tuple[int, int]]:
        """Return the allowance of each violated domain and the excess over it.

        The allowance is the right side of the condition in ``buffers``. As moves
        cannot make up for missing instances, it counts as at least 0 unless
        ``strict``.
        """
        excess = {pool: max(0, self._excess(pool)) for pool in self._needed}
        surplus = sum(excess.values())
        local: Counter[Domain] = Counter()
        for pool, over in excess.items():
            if not over:
                continue
            for domain, held in self._count_by_domain[pool].items():
                local[domain] += min(over, held)
        found = {}
        for domain, total in self._total_by_domain.items():
            allowance = self._usable - total - self._sum_needed
            if not strict:
                allowance = max(0, allowance)
            violation = surplus - local[domain] - allowance
            if violation > 0:
                found[domain] = (allowance, violation)
        return found

    def _best_surplus(
        self, violations: Mapping[Domain, int] | None = None
    ) -> tuple[str, Domain] | None:
        """Return the pool and location whose surplus reduces the violations most."""
        if violations is None:
            violations = {
                domain: over for domain, (_, over) in self._violations().items()
            }
        weight = sum(violations.values())
        best, best_gain = None, (0 if violations else -1, 0)
        for pool in self._needed:
            excess = self._excess(pool)
            if excess <= 0:
                continue
            held = self._count_by_domain[pool]
            gain = weight - sum(
                violations.get(domain, 0)
                for domain, count in held.items()
                if count >= excess
            )
            for location, names in self._names_by_location[pool].items():
                if not names:
                    continue
                loss = sum(
                    violations.get(domain, 0)
                    for domain in domains_of(*location)
                    if held[domain] < excess
                )
                if (gain - loss, excess) > best_gain:
                    best, best_gain = (pool, location), (gain - loss, excess)
        return best

    def _spare_for(self, pool: str) -> tuple[str, Domain] | None:
        """Return the spare pool and location where ``pool`` has fewest instances."""
        held = self._count_by_domain[pool]
        choices = [
            ([held[domain] for domain in domains_of(*location)], spare, location)
            for spare in self._spare_pools
            for location, names in self._names_by_location[spare].items()
            if names
        ]
        if not choices:
            return None
        _, spare, location = min(choices)
        return spare, location

    def _move(
        self, source: str, location: Domain, target: str
    ) -> tuple[BufferMove, Domain]:
        name = self._names_by_location[source][location][-1]
        self._shift(name, location, source, target)
        return BufferMove(name, source, target), location

    def _shift(self, name: str, location: Domain, source: str, target: str) -> None:
        self._names_by_location[source][location].remove(name)
        self._names_by_location[target][location].append(name)
        self._count_by_pool[source] -= 1
        self._count_by_pool[target] += 1
        for domain in domains_of(*location):
            self._count_by_domain[source][domain] -= 1
            self._count_by_domain[target][domain] += 1
