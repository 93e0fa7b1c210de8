"""Measurements with real processes: ``python -m bench.processes_cli COMMAND``."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
from importlib import import_module  # noqa: E402

from tabulate import tabulate  # noqa: E402

from .processes_cost import SIZES as COST_SIZES  # noqa: E402
from .processes_stats import machine_load  # noqa: E402


def main() -> int:
    """Run one measurement and print its rows as tables or as JSON."""
    options = _parse_arguments()
    load_before = machine_load()
    result = _run(options)
    result |= {"load_before": load_before, "load_after": machine_load()}
    if options.json:
        print(json.dumps(result))
        return 0
    for name, value in result.items():
        if isinstance(value, list):
            print(tabulate([_as_strings(row) for row in value], headers="keys"))
        else:
            print(f"{name}: {value}")
    return 0


def _run(options: argparse.Namespace) -> dict:
    module = import_module(f"bench.processes_{options.command}")
    match options.command:
        case "cost":
            sizes = COST_SIZES
            if options.workers:
                sizes = [(options.workers, options.entries)]
            return module.measure(sizes)
        case "config" | "recovery":
            return module.measure(options.workers or 5100, options.count)
        case "outage":
            return module.measure(options.seconds, is_tight=options.tight)
    return module.measure()


def _as_strings(row: dict) -> dict:
    return {name: str(item) for name, item in row.items()}


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench.processes_cli")
    commands = parser.add_subparsers(dest="command", required=True)
    names = ("cost", "config", "outage", "recovery", "appends", "latency", "urgent")
    names += ("controller",)
    for name in names:
        command = commands.add_parser(name)
        command.add_argument("--json", action="store_true")
        if name in ("cost", "config", "recovery"):
            command.add_argument("--workers", type=int, help="number of workers")
        if name == "cost":
            command.add_argument("--entries", type=int, default=9)
        if name in ("config", "recovery"):
            command.add_argument(
                "--count", type=int, default=100, help="number of changes"
            )
        if name == "outage":
            command.add_argument("--seconds", type=float, default=30.0)
            command.add_argument(
                "--tight", action="store_true", help="few running slots, long lookups"
            )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
