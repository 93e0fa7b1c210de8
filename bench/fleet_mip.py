"""Exact buffer plans from a mixed integer program, for comparison."""

from __future__ import annotations

import ctypes
import os
import sys
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import highspy

TIME_LIMIT_S = 60.0


@dataclass(frozen=True)
class SmallFleet:
    """Instance counts by pool and location, of one size.

    ``held`` counts instances by pool and (zone, rack); ``needed`` has the pools
    other than the spare pool, which is called ``spare``.
    """

    held: Mapping[tuple[str, tuple[str, str]], int]
    needed: Mapping[str, int]

    @property
    def locations(self) -> list[tuple[str, str]]:
        return sorted({location for _, location in self.held})

    def in_location(self) -> Counter:
        """Return the instances of each location."""
        total: Counter = Counter()
        for (_, location), count in self.held.items():
            total[location] += count
        return total


def losses(locations: Iterable[tuple[str, str]]) -> list[frozenset]:
    """Return the sets of locations that one failure takes away."""
    locations = list(locations)
    zones = {zone for zone, _ in locations}
    found = [frozenset()]
    found += [
        frozenset(item for item in locations if item[0] == zone) for zone in zones
    ]
    found += [frozenset([item]) for item in locations]
    return found


def least_cost(fleet: SmallFleet) -> int | None:
    """Return the fewest instances in service that cover every loss."""
    solver = _Solver(fleet)
    count = {
        (pool, location): solver.integer(held)
        for pool in solver.pools
        for location, held in fleet.in_location().items()
    }
    for location, held in fleet.in_location().items():
        used = sum(count[pool, location] for pool in solver.pools)
        solver.model.addConstr(used <= held)
    for pool, needed in fleet.needed.items():
        in_pool = sum(count[pool, location] for location in fleet.locations)
        solver.model.addConstr(in_pool >= needed)
    solver.cover(count)
    return solver.minimise(sum(count.values()))


def least_moves(fleet: SmallFleet) -> int | None:
    """Return the fewest pool changes that cover every loss."""
    solver = _Solver(fleet)
    kept = {}
    moved = []
    after = dict.fromkeys(
        ((p, item) for p in solver.pools for item in fleet.locations), 0
    )
    for (pool, location), held in fleet.held.items():
        stay = solver.integer(held)
        kept[pool, location] = stay
        after[pool, location] += stay
        leaving = 0
        for target in solver.pools:
            if target == pool:
                continue
            going = solver.integer(held)
            moved.append(going)
            leaving += going
            after[target, location] += going
        solver.model.addConstr(stay + leaving == held)
    for pool, needed in fleet.needed.items():
        in_pool = sum(after[pool, location] for location in fleet.locations)
        solver.model.addConstr(in_pool >= needed)
    solver.cover(after)
    return solver.minimise(sum(moved))


def _new_model() -> highspy.Highs:
    """Create a model; its banner goes to standard error, not into JSON."""
    sys.stdout.flush()
    kept = os.dup(1)
    os.dup2(2, 1)
    try:
        model = highspy.Highs()
        # The banner waits in the C library's buffer until it is flushed.
        ctypes.CDLL(None).fflush(None)
    finally:
        os.dup2(kept, 1)
        os.close(kept)
    model.silent()
    return model


class _Solver:
    def __init__(self, fleet: SmallFleet):
        self.fleet = fleet
        self.pools = [*fleet.needed, "spare"]
        self.model = _new_model()
        self.model.setOptionValue("time_limit", TIME_LIMIT_S)
        self.model.setOptionValue("mip_rel_gap", 0.0)
        self.model.setOptionValue("threads", 1)

    def integer(self, upper: int):
        return self.model.addVariable(
            lb=0, ub=upper, type=highspy.HighsVarType.kInteger
        )

    def cover(self, count) -> None:
        """Require that spares elsewhere replace what any one loss takes."""
        for lost in losses(self.fleet.locations):
            left = [item for item in self.fleet.locations if item not in lost]
            lacking = 0
            for pool, needed in self.fleet.needed.items():
                short = self.model.addVariable(lb=0, ub=max(needed, 0))
                serving = sum(count[pool, location] for location in left)
                self.model.addConstr(short + serving >= needed)
                lacking += short
            spares = sum(count["spare", location] for location in left)
            self.model.addConstr(lacking - spares <= 0)

    def minimise(self, objective) -> int | None:
        self.model.minimize(objective)
        if self.model.getModelStatus() != highspy.HighsModelStatus.kOptimal:
            return None
        return round(self.model.getInfo().objective_function_value)
