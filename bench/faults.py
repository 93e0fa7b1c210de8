"""Injects random faults into real processes, then checks the invariants.

``python -m bench.faults --seed 1 --minutes 5`` starts stand-ins and entries and
lets callers send requests while it injects faults that are drawn from the seed.
It then undoes all faults, collects the answers to all batch requests and checks
the invariants. Each step is printed to standard error, so that the choices of a
seed can be followed. The exit status is 1 if an invariant was violated.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from dataclasses import asdict  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
from demo.processes import running_fleet  # noqa: E402

from .fault_document import LIMIT_BY_ORGANISATION  # noqa: E402
from .fault_fleet import CallRecord, FaultFleet, collect_all  # noqa: E402
from .fault_oracle import check_history, peak_by_organisation  # noqa: E402
from .fault_steps import FaultInjector  # noqa: E402

ENTRIES = 6
CALLERS_PER_ORGANISATION = 10
STEP_INTERVAL_S = (0.3, 2.5)
VERSION_INTERVAL_S = 0.5
# Reclaiming the grants of a lost entry takes 20 s, looking up its claims 60 s.
COLLECT_TIMEOUT_S = 150.0
CONTROLLERS = ("c0", "c1")
CALL_KINDS = ("lookup", "booking", "keyed", "batch")


class Callers:
    """Runs closed-loop callers of all organisations until they are stopped.

    Each caller waits for its answer before the next call.
    """

    def __init__(self, fault_fleet: FaultFleet, seed: int) -> None:
        self._fault_fleet = fault_fleet
        self._is_stopped = False
        self._greenlets = [
            gevent.spawn(
                self._run,
                organisation,
                random.Random(f"{seed} {organisation} {number}"),
            )
            for organisation in LIMIT_BY_ORGANISATION
            for number in range(CALLERS_PER_ORGANISATION)
        ]
        self._version_recorder = gevent.spawn(self._record_versions)

    def stop(self) -> None:
        """Stop the callers and wait for their current calls."""
        self._is_stopped = True
        gevent.joinall([*self._greenlets, self._version_recorder], raise_error=True)

    def _run(self, organisation: str, rng: random.Random) -> None:
        while not self._is_stopped:
            gevent.sleep(rng.expovariate(1 / 0.3))
            entries = sorted(self._fault_fleet.serving_entries)
            if entries:
                self._call_once(organisation, rng, entries)

    def _call_once(
        self, organisation: str, rng: random.Random, entries: list[str]
    ) -> None:
        fault_fleet = self._fault_fleet
        # The latest keys may include revoked ones, which some callers go on using.
        own_keys = [
            key
            for key, owner in fault_fleet.organisation_by_key.items()
            if owner == organisation
        ]
        key = rng.choice(own_keys[-4:])
        entry = rng.choice(entries)
        # Long tasks outlast lease renewals and pauses of entries.
        work_ms = rng.choice([5, 20, 50, 100, 200, 400, 1500, 3000, 9000])
        match rng.choices(CALL_KINDS, (4, 2, 3, 3))[0]:
            case "keyed":
                self._call_keyed(entry, key, rng, entries, work_ms)
            case "batch":
                fault_fleet.submit("batch", entry, key, work_ms=work_ms)
            case kind:
                fault_fleet.submit(kind, entry, key, work_ms=min(work_ms, 3000))

    def _call_keyed(
        self, entry: str, key: str, rng: random.Random, entries: list[str], work_ms: int
    ) -> None:
        """Send a booking and repeat it with the same key, perhaps at another entry."""
        work = self._fault_fleet.new_work_id()
        options: dict[str, Any] = {
            "work": work,
            "work_ms": min(work_ms, 3000),
            "idempotency_key": work,
        }
        first = gevent.spawn(self._fault_fleet.submit, "keyed", entry, key, **options)
        if rng.random() < 0.5:
            gevent.sleep(rng.random() * 0.3)
            self._fault_fleet.submit("keyed", rng.choice(entries), key, **options)
        if first.get().verdict != "ran":
            gevent.sleep(rng.random())
            self._fault_fleet.submit("keyed", rng.choice(entries), key, **options)

    def _record_versions(self) -> None:
        while not self._is_stopped:
            self._fault_fleet.record_versions()
            gevent.sleep(VERSION_INTERVAL_S)


def run(
    seed: int,
    minutes: float,
    entries: int = ENTRIES,
    logs: Path | None = None,
    log_retention_s: float | None = None,
) -> dict[str, Any]:
    """Make one run and return its figures and every violation of an invariant.

    With a limited retention of the log, two controllers run beside the entries,
    because records older than the retention are recovered from their snapshots.
    """
    with running_fleet() as fleet:
        fault_fleet = FaultFleet(fleet, entries, log_retention_s=log_retention_s)
        fault_fleet.start()
        for name in CONTROLLERS if log_retention_s is not None else ():
            fault_fleet.start_controller(name)
        injector = FaultInjector(fault_fleet, random.Random(seed))
        callers = Callers(fault_fleet, seed)
        started_at = time.monotonic()
        while time.monotonic() - started_at < minutes * 60:
            gevent.sleep(injector.rng.uniform(*STEP_INTERVAL_S))
            passed_s = time.monotonic() - started_at
            print(
                f"{passed_s:7.1f} s  {injector.run_step()}", file=sys.stderr, flush=True
            )
        callers.stop()
        injector.heal()
        fault_fleet.wait_ready()
        collect_s = collect_all(fault_fleet, injector.rng, COLLECT_TIMEOUT_S)
        fault_fleet.record_versions()
        ledger = fleet.ledger()
        problems = check_history(fault_fleet.history, ledger, LIMIT_BY_ORGANISATION)
        problems += find_tracebacks(fleet.folder)
        if logs is not None:
            save_logs(logs, fleet.folder, fault_fleet, ledger)
        return summarize(
            seed, minutes, fault_fleet, injector, ledger, collect_s, problems
        )


def save_logs(logs: Path, folder: Path, fault_fleet: FaultFleet, ledger: list) -> None:
    """Save the logs of the programs, the history and the ledger of a run."""
    logs.mkdir(parents=True, exist_ok=True)
    for path in folder.glob("*.log"):
        shutil.copy(path, logs)
    history = asdict(fault_fleet.history) | {"ledger": ledger}
    (logs / "notes.json").write_text(json.dumps(history, indent=1))


def find_tracebacks(folder: Path) -> list[str]:
    """Return the first five logged tracebacks, each cut off after 60 lines."""
    problems = []
    for path in sorted(folder.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()
        for index, line in enumerate(lines):
            if line.startswith("Traceback"):
                excerpt = "\n".join(lines[index : index + 60])
                problems.append(f"{path.name}: {excerpt}")
    return problems[:5]


def summarize(
    seed: int,
    minutes: float,
    fault_fleet: FaultFleet,
    injector: FaultInjector,
    ledger: list[dict[str, Any]],
    collect_s: float,
    problems: list[str],
) -> dict[str, Any]:
    """Return the report of a run."""
    calls = fault_fleet.history.calls
    return {
        "seed": seed,
        "minutes": minutes,
        "steps": len(injector.descriptions),
        "steps_by_kind": dict(
            Counter(step.split()[0] for step in injector.descriptions)
        ),
        "calls": len(calls),
        "verdicts": {kind: _verdicts(calls, kind) for kind in CALL_KINDS},
        "reasons": dict(
            Counter(
                str(call.document.get("reason"))
                for call in calls
                if _has_no_result(call)
            )
        ),
        "starts": len(ledger),
        "publications": len(fault_fleet.history.publications),
        "cancellations": len(fault_fleet.history.cancelled),
        "peaks": peak_by_organisation(ledger),
        "collected_after_s": round(collect_s, 1),
        "problems": problems,
    }


def _has_no_result(call: CallRecord) -> bool:
    return call.verdict in ("not_run", "may_have_run")


def _verdicts(calls: list[CallRecord], kind: str) -> dict[str, int]:
    return dict(Counter(call.verdict for call in calls if call.kind == kind))


def main() -> int:
    """Run once with the options of the command line."""
    parser = argparse.ArgumentParser(prog="bench.faults", description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, default=2.0)
    parser.add_argument("--entries", type=int, default=ENTRIES, choices=range(6, 10))
    parser.add_argument(
        "--log-retention-s",
        type=float,
        help="retention of the log; also runs two controllers",
    )
    parser.add_argument(
        "--logs", type=Path, help="folder for the logs and the recorded history"
    )
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    options = parser.parse_args()
    report = run(
        options.seed,
        options.minutes,
        options.entries,
        options.logs,
        options.log_retention_s,
    )
    problems = report.pop("problems")
    if options.json:
        print(json.dumps(report | {"problems": problems}))
        return 1 if problems else 0
    for name, value in report.items():
        print(f"{name}: {value}")
    for problem in problems:
        print(f"BROKEN {problem}")
    print(f"{len(problems)} broken")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
