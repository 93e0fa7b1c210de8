"""Prints results as a table or as JSON."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

from tabulate import tabulate


@dataclass(frozen=True, slots=True)
class Row:
    """One measured quantity with its goal and the values of the baselines.

    ``holds`` tells whether the goal is met; it is None without a goal.
    """

    measure: str
    goal: str
    measured: float
    holds: bool | None
    first_come: float | None = None
    equal_split: float | None = None
    unit: str = ""


def print_rows(title: str, rows: list[Row], as_json: bool) -> None:
    """Print the rows as a table, or as one JSON document."""
    if as_json:
        document = {"title": title, "rows": [asdict(row) for row in rows]}
        print(json.dumps(document, indent=2))
        return
    table = [
        [
            row.measure,
            row.goal,
            _number(row.measured, row.unit),
            {True: "yes", False: "NO", None: ""}[row.holds],
            _number(row.first_come, row.unit),
            _number(row.equal_split, row.unit),
        ]
        for row in rows
    ]
    headers = ["measure", "goal", "measured", "holds", "first come", "equal split"]
    print(title)
    print(tabulate(table, headers=headers))


def _number(value: float | None, unit: str) -> str:
    if value is None:
        return "-"
    if unit == "%":
        return f"{value:.2f} %"
    return f"{value:.4g} {unit}".strip()
