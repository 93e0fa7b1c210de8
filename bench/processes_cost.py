"""Cost of an entry: processor time, memory and control traffic."""

from __future__ import annotations

import json
import signal
import statistics
import time
from collections import Counter
from collections.abc import Callable

import gevent
import psutil

from lycheeloom.operator import Published

from .processes_config import Publisher
from .processes_entry import BYTES_KEY
from .processes_fleet import (
    INTERACTIVE_QUEUE,
    SHAPE_BY_WORKERS,
    BenchFleet,
    running_bench_fleet,
)
from .processes_load import Caller, lookup_body, run_at_rate
from .processes_stats import fit_line, machine_load

WINDOW_S = 10.0
LOAD_PER_ENTRY_PER_S = 20
CHANGES = 40
CHANGES_PER_DAY = 8100
BUDGET = {"cpu_percent": 3.5, "memory_mb": 256, "bytes_per_s": 24_000}
# Workers and entries: all sizes at 9 entries, then fewer entries at the largest
# and smallest size.
SIZES = [(30, 9), (300, 9), (1500, 9), (5100, 9), (5100, 3), (5100, 6), (30, 3)]
SIZES += [(30, 6)]


def measure(sizes: list[tuple[int, int]]) -> dict:
    """Measure a fleet of each size; a row holds the mean of its entries.

    ``sizes`` are pairs of workers and entries.
    """
    rows = [_measure_fleet(workers, entries) for workers, entries in sizes]
    return {"rows": rows, "fits": _fits(rows), "budget": BUDGET}


def _measure_fleet(workers: int, entries: int) -> dict:
    with running_bench_fleet(
        SHAPE_BY_WORKERS[workers], entries, counting=True
    ) as bench_fleet:
        row = {"workers": workers, "entries": entries, "load": machine_load()}
        idle = measure_window(bench_fleet, lambda: gevent.sleep(WINDOW_S))
        row |= {f"idle_{name}": value for name, value in idle.items()}
        loaded = measure_window(bench_fleet, lambda: _run_load(bench_fleet))
        row |= {f"loaded_{name}": value for name, value in loaded.items()}
        row["operator_change_s"] = round(_operator_change_s(bench_fleet), 2)
        operator = bench_fleet.operator(hand_over=False)
        operator.refresh()
        publisher = Publisher(bench_fleet.log(), operator.version)
        changed = measure_window(
            bench_fleet, lambda: _publish_changes(bench_fleet, publisher)
        )
        extra_cpu = (changed["cpu_percent"] - idle["cpu_percent"]) / 100
        row["change_cpu_ms"] = round(extra_cpu * changed["seconds"] * 1000 / CHANGES, 1)
        changes_share = row["change_cpu_ms"] / 1000 * CHANGES_PER_DAY / 86_400 * 100
        row["changes_cpu_percent"] = round(changes_share, 2)
        row["memory_mb"] = round(
            statistics.mean(
                psutil.Process(program.process.pid).memory_info().rss / 1e6
                for program in bench_fleet.entries
            )
        )
        row["publish_s"] = round(bench_fleet.publish_s, 2)
        return row


def measure_window(bench_fleet: BenchFleet, work: Callable[[], object]) -> dict:
    """Return the mean processor time and control traffic of an entry during ``work``.

    Traffic with callers is not control traffic.
    """
    bytes_before = _bytes_by_kind(bench_fleet)
    cpu_before, began_at = bench_fleet.cpu_s(), time.monotonic()
    work()
    seconds = time.monotonic() - began_at
    used_cpu_s = [
        after - before
        for after, before in zip(bench_fleet.cpu_s(), cpu_before, strict=True)
    ]
    transferred = _bytes_by_kind(bench_fleet) - bytes_before
    per_entry = seconds * len(bench_fleet.entries)
    row = {
        "seconds": round(seconds, 1),
        "cpu_percent": round(statistics.mean(used_cpu_s) / seconds * 100, 2),
        "cpu_percent_max": round(max(used_cpu_s) / seconds * 100, 2),
    }
    control = {kind: size for kind, size in transferred.items() if kind != "callers"}
    row["bytes_per_s"] = round(sum(control.values()) / per_entry)
    for kind in ("peers", "log", "workers", "instances"):
        row[f"{kind}_bytes_per_s"] = round(control.get(kind, 0) / per_entry)
    return row


def _run_load(bench_fleet: BenchFleet) -> None:
    caller = Caller(bench_fleet.addresses, INTERACTIVE_QUEUE)
    tokens = list(bench_fleet.token_by_organisation.values())
    rate = LOAD_PER_ENTRY_PER_S * len(bench_fleet.entries)
    run_at_rate(
        rate,
        WINDOW_S,
        lambda number: caller.call(tokens[number % len(tokens)], lookup_body(20)),
    )
    if caller.count_by_verdict["ran"] < 0.9 * sum(caller.count_by_verdict.values()):
        raise RuntimeError(
            f"the entries did not serve the load: {caller.count_by_verdict}, "
            f"refusals {caller.count_by_refusal}"
        )


def _publish_changes(bench_fleet: BenchFleet, publisher: Publisher) -> None:
    for number in range(CHANGES):
        publisher.publish(
            {"organisations": {"organisation-1": {"upper_limit": 91 + number % 7}}}
        )
        gevent.sleep(0.25)


def _operator_change_s(bench_fleet: BenchFleet) -> float:
    """Return the seconds of one change, including the hand-over to the entries."""
    began_at = time.monotonic()
    result = bench_fleet.operator().change(
        lambda draft: draft.set_limit("organisation-1", 77), accept_warnings=True
    )
    if not isinstance(result, Published):
        raise RuntimeError(f"the change was not published: {result}")
    return time.monotonic() - began_at


def _bytes_by_kind(bench_fleet: BenchFleet) -> Counter:
    """Return the bytes of all entries by the kind of the peer."""
    kind_by_peer = {
        "callers": "callers",
        "peers": "peers",
        "closed": "closed",
        bench_fleet.fleet.platform.log: "log",
        bench_fleet.fleet.platform.instances: "instances",
    }
    kind_by_peer |= dict.fromkeys(
        bench_fleet.fleet.platform.workers.values(), "workers"
    )
    for program in bench_fleet.entries:
        program.signal(signal.SIGUSR1)
    gevent.sleep(0.3)
    total: Counter = Counter()
    for program in bench_fleet.entries:
        for peer, size in _last_byte_counts(program.log_path.read_text()).items():
            total[kind_by_peer.get(peer, "peers")] += size
    return total


def _last_byte_counts(text: str) -> dict[str, int]:
    lines = [line for line in text.splitlines() if line.startswith(f'{{"{BYTES_KEY}"')]
    return json.loads(lines[-1])[BYTES_KEY] if lines else {}


def _fits(rows: list[dict]) -> list[dict]:
    """Fit lines over the workers at 9 entries, and over the entries at two sizes."""
    fits = []
    names = ["idle_cpu_percent", "idle_bytes_per_s", "memory_mb", "change_cpu_ms"]
    names += ["loaded_cpu_percent", "loaded_bytes_per_s", "publish_s"]
    names += ["operator_change_s"]
    groups = [("workers", "entries", 9), ("entries", "workers", 30)]
    groups += [("entries", "workers", 5100)]
    for over, fixed, value in groups:
        group = [row for row in rows if row[fixed] == value]
        if len({row[over] for row in group}) < 3:
            continue
        for name in names:
            fit = fit_line([row[over] for row in group], [row[name] for row in group])
            fits.append(
                {
                    "figure": name,
                    "over": over,
                    "at": f"{value} {fixed}",
                    "base": round(fit.base, 3),
                    "slope_per_1000": round(fit.slope * 1000, 3),
                    "largest_error": round(fit.largest_error, 3),
                }
            )
    return fits
