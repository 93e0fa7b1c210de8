"""Demonstration: two fleets on one machine, with failures, in under a minute.

For each fleet it starts stand-ins for the platform and 6 entries in 3 availability
zones, sends requests of several organisations, revokes a key, takes a zone out of
service and back, kills an entry and replaces it. Exits with 1 if a result differs from
its expected count.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from tabulate import tabulate  # noqa: E402

from lycheeloom.clients import LogClient  # noqa: E402
from lycheeloom.operator import (  # noqa: E402
    ConfigFile,
    Draft,
    Entries,
    InForce,
    Operator,
    Published,
    read_config,
)

from .callers import Callers, CallKind  # noqa: E402
from .processes import HANDOVER_TOKEN, Fleet, Program, running_fleet  # noqa: E402
from .results import (  # noqa: E402
    ResultRow,
    ZoneOutPeriod,
    count_results,
    peak_by_organisation,
)

EXAMPLES = Path(__file__).parent.parent / "examples"
CONFIGS = [EXAMPLES / "user-a.toml", EXAMPLES / "user-b.toml"]
ENTRIES_PER_ZONE = 2
CALLS_PER_S = 40
OVERNIGHT_REQUESTS = 40
# One organisation gets this upper limit, which is below its demand.
LOW_UPPER_LIMIT = 4
LOAD_DURATION_S = 26.0
# Times of the changes and failures, from the start of the load.
REVOKE_AT_S = 4.0
ZONE_OUT_AT_S = 7.0
ZONE_BACK_AT_S = 13.0
KILL_AT_S = 16.0
REPLACE_AT_S = 17.5
END_OF_CALLS_TIMEOUT_S = 40.0


class Demo:
    """One run of the demonstration: a fleet, its callers and an operator."""

    def __init__(self, fleet: Fleet, config_path: Path, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.document = self._read_document(config_path)
        self.zones = list(self.document["zones"])
        self.organisations = list(self.document["organisations"])
        self.queues = [q for q in self.document["queues"] if q != "overnight"]
        self.entries: list[Program] = []
        self.zone_out_periods: list[ZoneOutPeriod] = []
        self.revoked_at_by_organisation: dict[str, float] = {}
        self.key_by_organisation: dict[str, str] = {}
        self.operator = self._make_operator()
        self.callers = Callers(self._addresses, {}, seed)

    def _read_document(self, config_path: Path) -> dict:
        platform = self.fleet.start_platform(config_path)
        file = read_config(str(config_path))
        if not isinstance(file, ConfigFile):
            raise SystemExit(str(file))
        for name, instance in file.document["instances"].items():
            instance["address"] = platform.workers[name]
        limited = list(file.document["organisations"])[1]
        file.document["organisations"][limited]["upper_limit"] = LOW_UPPER_LIMIT
        return file.document

    def _make_operator(self) -> Operator:
        entries = Entries.at(self._addresses(), HANDOVER_TOKEN)
        return Operator(LogClient(self.fleet.platform.log), entries, "demo")

    def _addresses(self) -> list[str]:
        return [program.address for program in self.entries]

    def report(self, text: str) -> None:
        """Print a progress message."""
        print(f"{self.document['name']}: {text}", flush=True)

    def start(self) -> None:
        """Publish the configuration, start the entries and create the API keys."""
        result = self.operator.publish(self.document, 0, accept_warnings=True)
        require(result, Published)
        for index in range(ENTRIES_PER_ZONE * len(self.zones)):
            zone = self.zones[index % len(self.zones)]
            self.entries.append(self.fleet.start_entry(f"entry-{index + 1}", zone))
        ready_s = self.fleet.wait_ready(self.entries)
        self.report(f"{len(self.entries)} entries ready after {ready_s:.1f} s")
        self.operator = self._make_operator()
        tokens = {}

        def grant(draft: Draft) -> None:
            for organisation in self.organisations:
                key = draft.grant_key(organisation)
                tokens[organisation] = key.token
                self.key_by_organisation[organisation] = key.id

        self.publish_change(
            grant, f"granted a key to each of {len(self.organisations)} organisations"
        )
        self.callers.token_by_organisation.update(tokens)

    def publish_change(self, edit: object, text: str) -> float:
        """Publish a change of the configuration and return when it was accepted."""
        result = self.operator.change(edit, accept_warnings=True)
        accepted_at = time.monotonic()
        require(result, Published)
        in_force = self.operator.wait_in_force(result.version, 10)
        took_s = time.monotonic() - accepted_at
        state = "everywhere" if isinstance(in_force, InForce) else "not everywhere"
        self.report(
            f"{text}: version {result.version}, in force {state} after {took_s:.2f} s"
        )
        return accepted_at

    def run_events(self) -> None:
        """Make the configuration changes and cause the failures at their times."""
        started_at = time.monotonic()
        self._sleep_until(started_at + REVOKE_AT_S)
        organisation = self.organisations[-1]
        key = self.key_by_organisation[organisation]
        self.revoked_at_by_organisation[organisation] = self.publish_change(
            lambda draft: draft.withdraw_key(key),
            f"revoked the key of organisation {organisation}",
        )
        self._sleep_until(started_at + ZONE_OUT_AT_S)
        zone = self.zones[0]
        out_at = self.publish_change(
            lambda draft: draft.take_zone_out(zone), f"took zone {zone} out of service"
        )
        self._sleep_until(started_at + ZONE_BACK_AT_S)
        in_at = time.monotonic()
        self.publish_change(
            lambda draft: draft.bring_zone_in(zone), f"brought zone {zone} in"
        )
        self.zone_out_periods.append(ZoneOutPeriod(zone, out_at, in_at))
        self._sleep_until(started_at + KILL_AT_S)
        killed_entry = self.entries[0]
        killed_entry.kill()
        self.report(f"killed {killed_entry.name}")
        self._sleep_until(started_at + REPLACE_AT_S)
        replacement = self.fleet.start_entry(killed_entry.name, zone)
        ready_s = self.fleet.wait_ready([replacement])
        self.entries[0] = replacement
        self.report(f"replaced {killed_entry.name}, ready after {ready_s:.1f} s")
        self.operator = self._make_operator()

    def run_load(self) -> None:
        """Send the overnight requests, then lookups and bookings at a fixed rate."""
        for index in range(OVERNIGHT_REQUESTS):
            organisation = self.organisations[index % (len(self.organisations) - 1)]
            self.callers.send(CallKind.OVERNIGHT, organisation, "overnight", 1500)
        started_at = time.monotonic()
        for index in range(int(LOAD_DURATION_S * CALLS_PER_S)):
            self._sleep_until(started_at + index / CALLS_PER_S)
            organisation = self.rng.choice(self.organisations)
            queue = self.rng.choice(self.queues)
            kind = CallKind.BOOKING if self.rng.random() < 0.2 else CallKind.LOOKUP
            self.callers.send(kind, organisation, queue, self.rng.choice((20, 50, 200)))

    def collect_results(self) -> list[ResultRow]:
        """Wait until all calls have ended and return the counts."""
        self.callers.wait_all(END_OF_CALLS_TIMEOUT_S)
        ledger = self.fleet.ledger()
        limits = {
            organisation: self.document["organisations"][organisation]["upper_limit"]
            for organisation in self.organisations
        }
        rows = count_results(
            self.callers.calls,
            ledger,
            limits,
            self.zone_out_periods,
            self.revoked_at_by_organisation,
        )
        peak = peak_by_organisation(ledger).get(self.organisations[1], 0)
        name = f"peak running tasks with an upper limit of {LOW_UPPER_LIMIT}"
        return [*rows, ResultRow(name, peak, LOW_UPPER_LIMIT)]

    def _sleep_until(self, at: float) -> None:
        gevent.sleep(max(0.0, at - time.monotonic()))


def require(result: object, kind: type) -> None:
    """Exit if the result of an operator's change is not of the expected type."""
    if not isinstance(result, kind):
        raise SystemExit(f"expected {kind.__name__}, got {result}")


def run_fleet(config_path: Path, seed: int) -> list[ResultRow]:
    """Run the demonstration with one fleet and return its counts."""
    with running_fleet() as fleet:
        demo = Demo(fleet, config_path, seed)
        demo.start()
        load = gevent.spawn(demo.run_load)
        events = gevent.spawn(demo.run_events)
        gevent.joinall([load, events], raise_error=True)
        rows = demo.collect_results()
        failed_stops = sum(entry.terminate() != 0 for entry in demo.entries)
    rows.append(ResultRow("entries that did not shut down cleanly", failed_stops, 0))
    return rows


def print_result(rows_by_fleet: dict[str, list[ResultRow]]) -> bool:
    """Print the counts of all fleets; returns whether all are as expected."""
    columns = list(rows_by_fleet.values())
    table = [
        [rows[0].name, *(row.count for row in rows), rows[0].expected]
        for rows in zip(*columns, strict=True)
    ]
    print(tabulate(table, headers=("count", *rows_by_fleet, "expected"), missingval=""))
    unexpected = [
        f"{fleet}: {row.name}"
        for fleet, rows in rows_by_fleet.items()
        for row in rows
        if not row.is_ok
    ]
    print(
        "all counts are as expected"
        if not unexpected
        else f"unexpected counts: {', '.join(unexpected)}"
    )
    return not unexpected


def main() -> int:
    """Run the demonstration with each fleet and return the exit status."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--config", type=Path, nargs="+", default=CONFIGS)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    runs = [gevent.spawn(run_fleet, path, arguments.seed) for path in arguments.config]
    try:
        gevent.joinall(runs, raise_error=True)
    finally:
        # If one fleet fails, this also stops the programs of the others.
        gevent.killall(runs)
    names = [path.stem for path in arguments.config]
    rows_by_fleet = {name: run.get() for name, run in zip(names, runs, strict=True)}
    return 0 if print_result(rows_by_fleet) else 1


if __name__ == "__main__":
    sys.exit(main())
