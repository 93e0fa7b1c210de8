"""Cost of an entry: processor time, memory and bytes for control."""

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
from .processes_entry import MARK
from .processes_fleet import INTERACTIVE, SHAPES, World, running_world
from .processes_load import Caller, lookup, run_at_rate
from .processes_stats import fit_line, machine_load

WINDOW_S = 10.0
LOAD_PER_ENTRY_PER_S = 20
CHANGES = 40
CHANGES_PER_DAY = 8100
BUDGET = {"cpu_percent": 3.5, "memory_mb": 256, "bytes_per_s": 24_000}
# Sizes at 9 entries, then numbers of entries at the smallest and largest size.
POINTS = [(30, 9), (300, 9), (1500, 9), (5100, 9), (5100, 3), (5100, 6), (30, 3)]
POINTS += [(30, 6)]


def measure(points: list[tuple[int, int]]) -> dict:
    """Measure entries in each fleet; each row is the mean of its entries."""
    rows = [_measure_fleet(workers, entries) for workers, entries in points]
    return {"rows": rows, "fits": _fits(rows), "budget": BUDGET}


def _measure_fleet(workers: int, entries: int) -> dict:
    with running_world(SHAPES[workers], entries, counting=True) as world:
        row = {"workers": workers, "entries": entries, "load": machine_load()}
        idle = measure_window(world, lambda: gevent.sleep(WINDOW_S))
        row |= {f"idle_{name}": value for name, value in idle.items()}
        loaded = measure_window(world, lambda: _load(world))
        row |= {f"loaded_{name}": value for name, value in loaded.items()}
        row["operator_change_s"] = round(_operator_change_s(world), 2)
        operator = world.operator(hands_over=False)
        operator.refresh()
        publisher = Publisher(world.log(), operator.version)
        changed = measure_window(world, lambda: _change(world, publisher))
        extra = (changed["cpu_percent"] - idle["cpu_percent"]) / 100
        row["change_cpu_ms"] = round(extra * changed["seconds"] * 1000 / CHANGES, 1)
        share = row["change_cpu_ms"] / 1000 * CHANGES_PER_DAY / 86_400 * 100
        row["changes_cpu_percent"] = round(share, 2)
        row["memory_mb"] = round(
            statistics.mean(
                psutil.Process(program.process.pid).memory_info().rss / 1e6
                for program in world.entries
            )
        )
        row["publish_s"] = round(world.publish_s, 2)
        return row


def measure_window(world: World, work: Callable[[], object]) -> dict:
    """Return what the entries used on average while ``work`` went on."""
    bytes_before = _bytes_by_kind(world)
    cpu_before, began_at = world.cpu_s(), time.monotonic()
    work()
    seconds = time.monotonic() - began_at
    used = [
        after - before for after, before in zip(world.cpu_s(), cpu_before, strict=True)
    ]
    sent = _bytes_by_kind(world) - bytes_before
    per_entry = seconds * len(world.entries)
    row = {
        "seconds": round(seconds, 1),
        "cpu_percent": round(statistics.mean(used) / seconds * 100, 2),
        "cpu_percent_max": round(max(used) / seconds * 100, 2),
    }
    control = {kind: size for kind, size in sent.items() if kind != "callers"}
    row["bytes_per_s"] = round(sum(control.values()) / per_entry)
    for kind in ("peers", "log", "workers", "instances"):
        row[f"{kind}_bytes_per_s"] = round(control.get(kind, 0) / per_entry)
    return row


def _load(world: World) -> None:
    caller = Caller(world.addresses, INTERACTIVE)
    tokens = list(world.token_by_organisation.values())
    rate = LOAD_PER_ENTRY_PER_S * len(world.entries)
    run_at_rate(
        rate,
        WINDOW_S,
        lambda number: caller.call(tokens[number % len(tokens)], lookup(20)),
    )
    if caller.ended["ran"] < 0.9 * sum(caller.ended.values()):
        raise RuntimeError(f"load was not served: {caller.ended} {caller.refused}")


def _change(world: World, publisher: Publisher) -> None:
    for number in range(CHANGES):
        publisher.publish(
            {"organisations": {"organisation-1": {"upper_limit": 91 + number % 7}}}
        )
        gevent.sleep(0.25)


def _operator_change_s(world: World) -> float:
    """Return the time of one change by a new operator command, hand-over included."""
    began_at = time.monotonic()
    result = world.operator().change(
        lambda draft: draft.set_limit("organisation-1", 77), accept_warnings=True
    )
    if not isinstance(result, Published):
        raise RuntimeError(f"not published: {result}")
    return time.monotonic() - began_at


def _bytes_by_kind(world: World) -> Counter:
    """Return the bytes of all entries by what is at the other end."""
    kind_by_end = {
        "callers": "callers",
        "peers": "peers",
        "closed": "closed",
        world.fleet.platform.log: "log",
        world.fleet.platform.instances: "instances",
    }
    kind_by_end |= dict.fromkeys(world.fleet.platform.workers.values(), "workers")
    for program in world.entries:
        program.signal(signal.SIGUSR1)
    gevent.sleep(0.3)
    total: Counter = Counter()
    for program in world.entries:
        for end, size in _last_count(program.log_path.read_text()).items():
            total[kind_by_end.get(end, "peers")] += size
    return total


def _last_count(text: str) -> dict[str, int]:
    lines = [line for line in text.splitlines() if line.startswith(f'{{"{MARK}"')]
    return json.loads(lines[-1])[MARK] if lines else {}


def _fits(rows: list[dict]) -> list[dict]:
    """Return lines over the workers at 9 entries and over the entries."""
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
