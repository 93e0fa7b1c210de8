"""Max-min entitlements by water-filling, independent of the scheduler.

The level of all teams is raised together by a linear program until some team
cannot rise further; that team is frozen and the others go on.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import highspy
import numpy as np

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import NO_RESOURCES, Resources

DIMENSIONS = ("cores", "memory_mb")
EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class Want:
    """Work of a team on a queue; ``pool`` is set where it already runs."""

    team: str
    queue: str
    pool: str = ""


class WaterFilling:
    """Computes entitlements for changing demands on one fleet."""

    def __init__(self, config: FleetConfig) -> None:
        self._config = config
        self.total = NO_RESOURCES
        self._capacity: dict[str, Resources] = {}
        for instance in config.instance_by_id.values():
            self.total = self.total + instance.size
            held = self._capacity.get(instance.pool, NO_RESOURCES)
            self._capacity[instance.pool] = held + instance.size

    def shares(self, demand: Mapping[Want, Resources]) -> dict[str, float]:
        """Return the entitled dominant share per team.

        Running tasks count in the pool where they run, because tasks are not
        moved between pools; waiting ones may use any pool that its own queues
        do not need, or a spare one.
        """
        wanted = {
            key: amount.dominant_share(self.total) for key, amount in demand.items()
        }
        wanted = {key: share for key, share in wanted.items() if share > EPSILON}
        teams = sorted({key.team for key in wanted})
        frozen: dict[str, float] = {}
        if not teams:
            return frozen
        lp = self._program(wanted, demand, teams)
        while len(frozen) < len(teams):
            level, blocked = lp.raise_level(frozen)
            for team in blocked:
                frozen[team] = level * self._config.team_by_id[team].share
        return frozen

    def _program(
        self,
        wanted: Mapping[Want, float],
        demand: Mapping[Want, Resources],
        teams: list[str],
    ) -> _Program:
        uses = [(w, p) for w in wanted for p in self._capacity if w.pool in ("", p)]
        rows: list[tuple[dict[int, float], float]] = []
        for want, share in wanted.items():
            mine = {n: 1.0 for n, (w, _) in enumerate(uses) if w is want}
            rows.append((mine, share))
        for pool, capacity in self._capacity.items():
            for name in DIMENSIONS:
                part = getattr(capacity, name) / getattr(self.total, name)
                own_demand = 0.0
                every: dict[int, float] = {}
                foreign: dict[int, float] = {}
                for n, (want, place) in enumerate(uses):
                    if place != pool:
                        continue
                    share = getattr(demand[want], name) / getattr(self.total, name)
                    every[n] = share / wanted[want]
                    if self._config.queue_by_id[want.queue].pool == pool:
                        own_demand += share
                    elif not want.pool:
                        foreign[n] = every[n]
                rows.append((every, part))
                # Only spare pools start others' work before their own.
                if not self._config.pool_by_id[pool].spare:
                    rows.append((foreign, max(0.0, part - own_demand)))
        weights = [self._config.team_by_id[team].share for team in teams]
        by_team = [[n for n, u in enumerate(uses) if u[0].team == t] for t in teams]
        return _Program(len(uses), rows, teams, weights, by_team)


class _Program:
    """One linear program whose team rows change from round to round."""

    def __init__(
        self,
        uses: int,
        rows: list[tuple[dict[int, float], float]],
        teams: list[str],
        weights: list[float],
        uses_by_team: list[list[int]],
    ) -> None:
        self._teams = teams
        self._weights = weights
        self._level = uses
        self._first_team_row = len(rows)
        solver = highspy.Highs()
        solver.setOptionValue("output_flag", False)
        infinity = highspy.kHighsInf
        solver.addVars(uses + 1, np.zeros(uses + 1), np.full(uses + 1, infinity))
        solver.changeColCost(uses, -1.0)
        for terms, bound in rows:
            indexes = np.array(list(terms), dtype=np.int32)
            values = np.array(list(terms.values()))
            solver.addRow(-infinity, bound, len(terms), indexes, values)
        for own, weight in zip(uses_by_team, weights, strict=True):
            indexes = np.array([*own, uses], dtype=np.int32)
            values = np.array([1.0] * len(own) + [-weight])
            solver.addRow(0.0, infinity, len(indexes), indexes, values)
        self._solver = solver

    def raise_level(self, frozen: Mapping[str, float]) -> tuple[float, list[str]]:
        """Return the highest level of the other teams and who blocks it."""
        solver = self._solver
        for number, team in enumerate(self._teams):
            if team in frozen:
                row = self._first_team_row + number
                solver.changeCoeff(row, self._level, 0.0)
                bound = frozen[team] * (1 - EPSILON)
                solver.changeRowBounds(row, bound, highspy.kHighsInf)
        solver.run()
        solution = solver.getSolution()
        level = solution.col_value[self._level]
        blocked = []
        for number, team in enumerate(self._teams):
            dual = solution.row_dual[self._first_team_row + number]
            if team not in frozen and abs(dual) > EPSILON:
                blocked.append(team)
        return level, blocked or [t for t in self._teams if t not in frozen]
