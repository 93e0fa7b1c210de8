"""Time until a new entry is ready, from a snapshot or from the log alone."""

from __future__ import annotations

import statistics
import time

from lycheeloom.clients import Appended
from lycheeloom.log.snapshot import split_snapshot
from lycheeloom.model.records import Batch
from lycheeloom.wire import encode_batch

from .processes_config import Publisher
from .processes_fleet import SHAPE_BY_WORKERS, BenchFleet, running_bench_fleet
from .processes_stats import fit_line, machine_load

REPEATS = 3
GOAL_S = 5.0


def measure(workers: int, count: int) -> dict:
    """Time starts after 0, ``count`` / 2 and ``count`` changes and from a snapshot."""
    rows = []
    with running_bench_fleet(SHAPE_BY_WORKERS[workers], 1) as bench_fleet:
        operator = bench_fleet.operator(hand_over=False)
        operator.refresh()
        publisher = Publisher(bench_fleet.log(), operator.version)
        published = 0
        for change_count in (0, count // 2, count):
            _publish_changes(publisher, change_count - published)
            published = change_count
            rows.append(_time_starts(bench_fleet, "log alone", change_count))
        snapshot_bytes = _write_snapshot(bench_fleet)
        rows.append(
            _time_starts(bench_fleet, "snapshot", 0)
            | {"snapshot_bytes": snapshot_bytes}
        )
        _publish_changes(publisher, count // 2)
        rows.append(_time_starts(bench_fleet, "snapshot", count // 2))
    fit = fit_line([row["changes"] for row in rows[:3]], [r["p50_s"] for r in rows[:3]])
    return {
        "rows": rows,
        "workers": workers,
        "goal_s": GOAL_S,
        "base_s": round(fit.base, 2),
        "ms_per_change": round(fit.slope * 1000, 1),
    }


def _publish_changes(publisher: Publisher, count: int) -> None:
    for number in range(count):
        limit = 91 + (publisher.version + number) % 7
        publisher.publish({"organisations": {"organisation-1": {"upper_limit": limit}}})


def _time_starts(bench_fleet: BenchFleet, source: str, changes: int) -> dict:
    """Time starts of an entry; ``source`` and ``changes`` only label the row."""
    durations_s = []
    for _ in range(REPEATS):
        began_at = time.monotonic()
        name = f"late-{len(bench_fleet.fleet.programs)}"
        program = bench_fleet.fleet.start_entry(name, "zone-0")
        bench_fleet.fleet.wait_ready([program])
        durations_s.append(time.monotonic() - began_at)
        program.terminate()
    return {
        "source": source,
        "changes": changes,
        "p50_s": round(statistics.median(durations_s), 2),
        "max_s": round(max(durations_s), 2),
        "load": machine_load(),
    }


def _write_snapshot(bench_fleet: BenchFleet) -> int:
    """Write a snapshot as the duty holder does; return its size in bytes."""
    operator = bench_fleet.operator(hand_over=False)
    operator.refresh()
    state = operator.view.state
    dump = state.dump_snapshot()
    chunks = split_snapshot("bench", state.next_offset - 1, dump)
    for number, chunk in enumerate(chunks, 1):
        answer = bench_fleet.log().append(
            encode_batch(Batch("snapshot", number, (chunk,)))
        )
        if not isinstance(answer, Appended):
            raise RuntimeError(f"the log did not append the snapshot: {answer}")
    return len(dump)
