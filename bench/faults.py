"""A long run of random faults against real processes, judged afterwards.

``python -m bench.faults --seed 1 --minutes 5`` starts stand-ins and entries,
lets callers work while faults are drawn from the seed, heals everything,
collects all batch answers and checks the invariants. It prints each step, so
that the choices of a seed can be followed, and exits with 1 if one was broken.
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
from .fault_steps import Steps  # noqa: E402

ENTRIES = 6
CALLERS_PER_ORGANISATION = 10
STEP_INTERVAL_S = (0.3, 2.5)
VERSION_INTERVAL_S = 0.5
# Reclaiming a lost entry's grants takes 20 s and looking its claims up 60 s.
COLLECT_TIMEOUT_S = 150.0
CONTROLLERS = ("c0", "c1")
KINDS = ("lookup", "booking", "keyed", "batch")


class Callers:
    """Callers of all organisations; each waits for its answer before the next call."""

    def __init__(self, world: FaultFleet, seed: int) -> None:
        self._world = world
        self._is_over = False
        self._greenlets = [
            gevent.spawn(
                self._run,
                organisation,
                random.Random(f"{seed} {organisation} {number}"),
            )
            for organisation in LIMIT_BY_ORGANISATION
            for number in range(CALLERS_PER_ORGANISATION)
        ]
        self._watch = gevent.spawn(self._watch_versions)

    def stop(self) -> None:
        """End after the calls under way."""
        self._is_over = True
        gevent.joinall([*self._greenlets, self._watch], raise_error=True)

    def _run(self, organisation: str, rng: random.Random) -> None:
        while not self._is_over:
            gevent.sleep(rng.expovariate(1 / 0.3))
            entries = sorted(self._world.serving_entries)
            if entries:
                self._call_once(organisation, rng, entries)

    def _call_once(
        self, organisation: str, rng: random.Random, entries: list[str]
    ) -> None:
        world = self._world
        # Some callers go on with a key after it was revoked.
        own = [
            key
            for key, owner in world.organisation_by_key.items()
            if owner == organisation
        ]
        key = rng.choice(own[-4:])
        entry = rng.choice(entries)
        # Long tasks cross lease renewals and pauses.
        work_ms = rng.choice([5, 20, 50, 100, 200, 400, 1500, 3000, 9000])
        match rng.choices(KINDS, (4, 2, 3, 3))[0]:
            case "keyed":
                self._call_keyed(entry, key, rng, entries, work_ms)
            case "batch":
                world.submit("batch", entry, key, work_ms=work_ms)
            case kind:
                world.submit(kind, entry, key, work_ms=min(work_ms, 3000))

    def _call_keyed(
        self, entry: str, key: str, rng: random.Random, entries: list[str], work_ms: int
    ) -> None:
        """Send a booking and repeat it through another entry under its key."""
        work = self._world.new_work_id()
        options: dict[str, Any] = {
            "work": work,
            "work_ms": min(work_ms, 3000),
            "idempotency_key": work,
        }
        first = gevent.spawn(self._world.submit, "keyed", entry, key, **options)
        if rng.random() < 0.5:
            gevent.sleep(rng.random() * 0.3)
            self._world.submit("keyed", rng.choice(entries), key, **options)
        if first.get().verdict != "ran":
            gevent.sleep(rng.random())
            self._world.submit("keyed", rng.choice(entries), key, **options)

    def _watch_versions(self) -> None:
        while not self._is_over:
            self._world.record_versions()
            gevent.sleep(VERSION_INTERVAL_S)


def run(
    seed: int,
    minutes: float,
    entries: int = ENTRIES,
    logs: Path | None = None,
    log_retention_s: float | None = None,
) -> dict[str, Any]:
    """Make one run and return its figures and every broken invariant.

    With a limited retention of the log, two controllers run beside the entries:
    what lasts longer than the retention rests on their snapshots.
    """
    with running_fleet() as fleet:
        world = FaultFleet(fleet, entries, log_retention_s=log_retention_s)
        world.start()
        for name in CONTROLLERS if log_retention_s is not None else ():
            world.start_controller(name)
        steps = Steps(world, random.Random(seed))
        callers = Callers(world, seed)
        started_at = time.monotonic()
        while time.monotonic() - started_at < minutes * 60:
            gevent.sleep(steps.rng.uniform(*STEP_INTERVAL_S))
            passed_s = time.monotonic() - started_at
            print(f"{passed_s:7.1f} s  {steps.run_one()}", file=sys.stderr, flush=True)
        callers.stop()
        steps.heal()
        world.wait_ready()
        collect_s = collect_all(world, steps.rng, COLLECT_TIMEOUT_S)
        world.record_versions()
        ledger = fleet.ledger()
        problems = check_history(world.history, ledger, LIMIT_BY_ORGANISATION)
        problems += find_errors(fleet.folder)
        if logs is not None:
            keep(logs, fleet.folder, world, ledger)
        return summarize(seed, minutes, world, steps, ledger, collect_s, problems)


def keep(logs: Path, folder: Path, world: FaultFleet, ledger: list) -> None:
    """Keep the logs of the programs, the notes and the ledger of a run."""
    logs.mkdir(parents=True, exist_ok=True)
    for path in folder.glob("*.log"):
        shutil.copy(path, logs)
    history = asdict(world.history) | {"ledger": ledger}
    (logs / "notes.json").write_text(json.dumps(history, indent=1))


def find_errors(folder: Path) -> list[str]:
    """Return the last lines of each traceback that a program logged."""
    problems = []
    for path in sorted(folder.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()
        for index, line in enumerate(lines):
            if line.startswith("Traceback"):
                end = "\n".join(lines[index : index + 60])
                problems.append(f"{path.name}: {end}")
    return problems[:5]


def summarize(
    seed: int,
    minutes: float,
    world: FaultFleet,
    steps: Steps,
    ledger: list[dict[str, Any]],
    collect_s: float,
    problems: list[str],
) -> dict[str, Any]:
    """Return the figures of a run."""
    calls = world.history.calls
    return {
        "seed": seed,
        "minutes": minutes,
        "steps": len(steps.done),
        "steps_by_kind": dict(Counter(step.split()[0] for step in steps.done)),
        "calls": len(calls),
        "verdicts": {kind: _verdicts(calls, kind) for kind in KINDS},
        "reasons": dict(
            Counter(str(call.document.get("reason")) for call in calls if _is_bad(call))
        ),
        "starts": len(ledger),
        "publications": len(world.history.publications),
        "cancellations": len(world.history.cancelled),
        "peaks": peak_by_organisation(ledger),
        "collected_after_s": round(collect_s, 1),
        "problems": problems,
    }


def _is_bad(call: CallRecord) -> bool:
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
        "--log-retention-s", type=float, help="also run two controllers"
    )
    parser.add_argument("--logs", type=Path, help="folder for logs and notes")
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
