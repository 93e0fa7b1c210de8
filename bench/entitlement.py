"""Max-min entitlements by water-filling, independent of the scheduler.

A linear program raises the share per weight, the level, of all organisations
together until one of them cannot rise further. That organisation is frozen at
its level, and the program raises the others again.
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
    """Computes entitlements on one fleet for any demand."""

    def __init__(self, config: FleetConfig) -> None:
        self._config = config
        self.total = NO_RESOURCES
        for instance in config.instance_by_id.values():
            self.total = self.total + instance.size

    def shares(self, demand: Mapping[tuple[str, str], Resources]) -> dict[str, float]:
        """Return the entitled dominant share per organisation.

        ``demand`` is the running and waiting demand by organisation and queue. Every
        queue may use every pool, so only the totals of the fleet matter.
        """
        wanted = {
            key: amount.dominant_share(self.total) for key, amount in demand.items()
        }
        wanted = {key: share for key, share in wanted.items() if share > EPSILON}
        organisations = sorted({organisation for organisation, _ in wanted})
        frozen: dict[str, float] = {}
        if not organisations:
            return frozen
        lp = self._build_program(wanted, demand, organisations)
        while len(frozen) < len(organisations):
            level, blocked = lp.raise_level(frozen)
            for organisation in blocked:
                frozen[organisation] = (
                    level * self._config.organisation_by_id[organisation].share
                )
        return frozen

    def _build_program(
        self,
        wanted: Mapping[tuple[str, str], float],
        demand: Mapping[tuple[str, str], Resources],
        organisations: list[str],
    ) -> _LinearProgram:
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
        weights = [
            self._config.organisation_by_id[organisation].share
            for organisation in organisations
        ]
        variables_by_organisation = [
            [n for n, (owner, _) in enumerate(wanted) if owner == organisation]
            for organisation in organisations
        ]
        return _LinearProgram(
            len(wanted), rows, organisations, weights, variables_by_organisation
        )


class _LinearProgram:
    """A linear program with a row for each organisation, changed when it is frozen."""

    def __init__(
        self,
        variable_count: int,
        rows: list[tuple[dict[int, float], float]],
        organisations: list[str],
        weights: list[float],
        variables_by_organisation: list[list[int]],
    ) -> None:
        self._organisations = organisations
        self._weights = weights
        self._level_column = variable_count
        self._first_organisation_row = len(rows)
        solver = highspy.Highs()
        solver.setOptionValue("output_flag", False)
        infinity = highspy.kHighsInf
        solver.addVars(
            variable_count + 1,
            np.zeros(variable_count + 1),
            np.full(variable_count + 1, infinity),
        )
        solver.changeColCost(variable_count, -1.0)
        for terms, bound in rows:
            indexes = np.array(list(terms), dtype=np.int32)
            values = np.array(list(terms.values()))
            solver.addRow(-infinity, bound, len(terms), indexes, values)
        for variables, weight in zip(variables_by_organisation, weights, strict=True):
            indexes = np.array([*variables, variable_count], dtype=np.int32)
            values = np.array([1.0] * len(variables) + [-weight])
            solver.addRow(0.0, infinity, len(indexes), indexes, values)
        self._solver = solver

    def raise_level(self, frozen: Mapping[str, float]) -> tuple[float, list[str]]:
        """Return the highest level of the organisations that are not frozen.

        Also returns those of them that cannot rise above it.
        """
        solver = self._solver
        for number, organisation in enumerate(self._organisations):
            if organisation in frozen:
                row = self._first_organisation_row + number
                solver.changeCoeff(row, self._level_column, 0.0)
                bound = frozen[organisation] * (1 - EPSILON)
                solver.changeRowBounds(row, bound, highspy.kHighsInf)
        solver.run()
        solution = solver.getSolution()
        level = solution.col_value[self._level_column]
        blocked = []
        for number, organisation in enumerate(self._organisations):
            dual = solution.row_dual[self._first_organisation_row + number]
            if organisation not in frozen and abs(dual) > EPSILON:
                blocked.append(organisation)
        return level, blocked or [
            name for name in self._organisations if name not in frozen
        ]
