"""Max-min entitlements by water-filling, independent of the scheduler.

The level of all teams is raised together by a linear program until some team
cannot rise further; that team is frozen and the others go on.
"""

from __future__ import annotations

from collections.abc import Mapping

import highspy
import numpy as np

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import NO_RESOURCES, Resources

DIMENSIONS = ("cores", "memory_mb")
EPSILON = 1e-9


class WaterFilling:
    """Computes entitlements for changing demands on one fleet."""

    def __init__(self, config: FleetConfig) -> None:
        self._config = config
        self.total = NO_RESOURCES
        for instance in config.instance_by_id.values():
            self.total = self.total + instance.size

    def shares(self, demand: Mapping[tuple[str, str], Resources]) -> dict[str, float]:
        """Return the entitled dominant share per team.

        ``demand`` is what each team runs and has waiting on each queue. All
        pools lend to all queues, so the fleet counts as a whole.
        """
        wanted = {
            key: amount.dominant_share(self.total) for key, amount in demand.items()
        }
        wanted = {key: share for key, share in wanted.items() if share > EPSILON}
        teams = sorted({team for team, _ in wanted})
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
        wanted: Mapping[tuple[str, str], float],
        demand: Mapping[tuple[str, str], Resources],
        teams: list[str],
    ) -> _Program:
        rows: list[tuple[dict[int, float], float]] = []
        for number, share in enumerate(wanted.values()):
            rows.append(({number: 1.0}, share))
        for name in DIMENSIONS:
            total = getattr(self.total, name)
            terms = {
                number: getattr(demand[key], name) / total / share
                for number, (key, share) in enumerate(wanted.items())
            }
            rows.append((terms, 1.0))
        weights = [self._config.team_by_id[team].share for team in teams]
        by_team = [
            [n for n, (t, _) in enumerate(wanted) if t == team] for team in teams
        ]
        return _Program(len(wanted), rows, teams, weights, by_team)


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
