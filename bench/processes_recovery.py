"""Time until a new entry is ready, from a snapshot or from the log alone."""

from __future__ import annotations

import statistics
import time

from lycheeloom.clients import Appended
from lycheeloom.log.snapshot import split_snapshot
from lycheeloom.model.records import Batch
from lycheeloom.wire import encode_batch

from .processes_config import Publisher
from .processes_fleet import SHAPES, World, running_world
from .processes_stats import fit_line, machine_load

REPEATS = 3
GOAL_S = 5.0


def measure(workers: int, count: int) -> dict:
    """Start entries after 0, ``count`` / 2 and ``count`` further changes."""
    rows = []
    with running_world(SHAPES[workers], 1) as world:
        operator = world.operator(hands_over=False)
        operator.refresh()
        publisher = Publisher(world.log(), operator.version)
        published = 0
        for target in (0, count // 2, count):
            _change(publisher, target - published)
            published = target
            rows.append(_start(world, "log alone", target))
        size = _write_snapshot(world)
        rows.append(_start(world, "snapshot", 0) | {"snapshot_bytes": size})
        _change(publisher, count // 2)
        rows.append(_start(world, "snapshot", count // 2))
    fit = fit_line([row["changes"] for row in rows[:3]], [r["p50_s"] for r in rows[:3]])
    return {
        "rows": rows,
        "workers": workers,
        "goal_s": GOAL_S,
        "base_s": round(fit.base, 2),
        "ms_per_change": round(fit.slope * 1000, 1),
    }


def _change(publisher: Publisher, count: int) -> None:
    for number in range(count):
        limit = 91 + (publisher.version + number) % 7
        publisher.publish({"organisations": {"organisation-1": {"upper_limit": limit}}})


def _start(world: World, source: str, changes: int) -> dict:
    times = []
    for _ in range(REPEATS):
        began_at = time.monotonic()
        name = f"late-{len(world.fleet.programs)}"
        program = world.fleet.start_entry(name, "zone-0")
        world.fleet.wait_ready([program])
        times.append(time.monotonic() - began_at)
        program.terminate()
    return {
        "source": source,
        "changes": changes,
        "p50_s": round(statistics.median(times), 2),
        "max_s": round(max(times), 2),
        "load": machine_load(),
    }


def _write_snapshot(world: World) -> int:
    """Write a snapshot as the holder of the duty would; return its size."""
    operator = world.operator(hands_over=False)
    operator.refresh()
    state = operator.view.state
    dump = state.dump_snapshot()
    chunks = split_snapshot("bench", state.next_offset - 1, dump)
    for number, chunk in enumerate(chunks, 1):
        answer = world.log().append(encode_batch(Batch("snapshot", number, (chunk,))))
        if not isinstance(answer, Appended):
            raise RuntimeError(f"snapshot: {answer}")
    return len(dump)
