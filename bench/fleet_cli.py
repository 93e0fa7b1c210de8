"""Measurements of the maintenance planner.

``python -m bench.fleet_cli <command> [--json] [--seed N]``
"""

from __future__ import annotations

import argparse
import json

from tabulate import tabulate

from . import fleet_buffers, fleet_plan_cost, fleet_rollout

COMMANDS = {
    "buffers": fleet_buffers.measure,
    "rollout": fleet_rollout.measure,
    "plan-cost": fleet_plan_cost.measure,
}


def main(arguments: list[str] | None = None) -> int:
    """Run one measurement and print it as a table or as JSON."""
    parser = argparse.ArgumentParser(prog="bench.fleet_cli", description=__doc__)
    parser.add_argument("command", choices=sorted(COMMANDS))
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--seed", type=int, default=1, help="seed of the random fleets")
    options = parser.parse_args(arguments)
    result = COMMANDS[options.command](options.seed)
    if options.json:
        print(json.dumps(result))
        return 0
    print(f"{result['command']}, seed {result['seed']}")
    # Transposed, as there are few rows with many figures.
    rows = result["rows"]
    print(tabulate([[name, *(row[name] for row in rows)] for name in rows[0]]))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
