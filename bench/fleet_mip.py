"""Optimal buffer plans from a mixed integer program, for comparison."""

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
class FleetCounts:
    """Counts of instances of one size.

    ``held`` counts instances by pool and location, a pair of zone and rack.
    ``needed`` is the need of every pool but the spare pool, which is named
    ``spare``.
    """

    held: Mapping[tuple[str, tuple[str, str]], int]
    needed: Mapping[str, int]

    @property
    def locations(self) -> list[tuple[str, str]]:
        return sorted({location for _, location in self.held})

    def in_location(self) -> Counter:
        """Return the number of instances at each location."""
        total: Counter = Counter()
        for (_, location), count in self.held.items():
            total[location] += count
        return total


def possible_losses(locations: Iterable[tuple[str, str]]) -> list[frozenset]:
    """Return the sets of locations that fail together: none, a zone or a rack."""
    locations = list(locations)
    zones = {zone for zone, _ in locations}
    losses = [frozenset()]
    losses += [
        frozenset(item for item in locations if item[0] == zone) for zone in zones
    ]
    losses += [frozenset([item]) for item in locations]
    return losses


def least_cost(fleet: FleetCounts) -> int | None:
    """Return the fewest instances in service that cover every loss.

    Returns None if there is no optimal solution within the time limit.
    """
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


def least_moves(fleet: FleetCounts) -> int | None:
    """Return the fewest pool changes that cover every loss.

    Returns None if there is no optimal solution within the time limit.
    """
    solver = _Solver(fleet)
    staying_counts = {}
    moved_counts = []
    counts_after = dict.fromkeys(
        ((p, item) for p in solver.pools for item in fleet.locations), 0
    )
    for (pool, location), held in fleet.held.items():
        staying = solver.integer(held)
        staying_counts[pool, location] = staying
        counts_after[pool, location] += staying
        leaving = 0
        for target in solver.pools:
            if target == pool:
                continue
            moving = solver.integer(held)
            moved_counts.append(moving)
            leaving += moving
            counts_after[target, location] += moving
        solver.model.addConstr(staying + leaving == held)
    for pool, needed in fleet.needed.items():
        in_pool = sum(counts_after[pool, location] for location in fleet.locations)
        solver.model.addConstr(in_pool >= needed)
    solver.cover(counts_after)
    return solver.minimise(sum(moved_counts))


def _new_model() -> highspy.Highs:
    """Create a model; its banner goes to standard error to keep it out of JSON."""
    sys.stdout.flush()
    saved_stdout = os.dup(1)
    os.dup2(2, 1)
    try:
        model = highspy.Highs()
        # The C library buffers the banner until it is flushed.
        ctypes.CDLL(None).fflush(None)
    finally:
        os.dup2(saved_stdout, 1)
        os.close(saved_stdout)
    model.silent()
    return model


class _Solver:
    def __init__(self, fleet: FleetCounts):
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
        """Require that the remaining spares cover the shortfall after any one loss."""
        for lost in possible_losses(self.fleet.locations):
            left = [item for item in self.fleet.locations if item not in lost]
            uncovered = 0
            for pool, needed in self.fleet.needed.items():
                shortfall = self.model.addVariable(lb=0, ub=max(needed, 0))
                serving = sum(count[pool, location] for location in left)
                self.model.addConstr(shortfall + serving >= needed)
                uncovered += shortfall
            spares = sum(count["spare", location] for location in left)
            self.model.addConstr(uncovered - spares <= 0)

    def minimise(self, objective) -> int | None:
        self.model.minimize(objective)
        if self.model.getModelStatus() != highspy.HighsModelStatus.kOptimal:
            return None
        return round(self.model.getInfo().objective_function_value)
