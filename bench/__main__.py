"""Measures scheduling decisions: ``python -m bench <command>``."""

from __future__ import annotations

import argparse
import sys

from . import decision_cost, shares, urgent, wrong_sizes, zones
from .report import print_rows

COMMANDS = {
    "shares": shares,
    "zones": zones,
    "wrong-sizes": wrong_sizes,
    "decision-cost": decision_cost,
    "urgent": urgent,
}


def main() -> int:
    """Run one measurement; return 1 if a goal does not hold."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("command", choices=COMMANDS)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--seed", type=int, default=1, help="random seed (1)")
    options = parser.parse_args()
    rows = COMMANDS[options.command].run(options.seed)
    print_rows(f"{options.command}, seed {options.seed}", rows, options.json)
    return 1 if any(row.holds is False for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
