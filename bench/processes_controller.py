"""Cost of a controller, and of an entry whose workers all answer and are listed."""

from __future__ import annotations

import json
import signal
import time
from collections import Counter
from dataclasses import replace

import gevent
import psutil
from demo.processes import Program, free_address

from lycheeloom.model.records import WaveState
from lycheeloom.operator import WaveChanged

from .processes_cost import measure_window as entry_window
from .processes_entry import MARK
from .processes_fleet import SHAPES, World, cpu_s, running_world
from .processes_stats import fit_line, machine_load

# All workers are stand-ins here: a controller repairs those that are silent.
SIZES = (30, 300, 1000)
SETTLE_S = 8.0
WINDOW_S = 15.0
ENTRY_FIGURES = ("cpu_percent", "workers_bytes_per_s", "instances_bytes_per_s")
FITTED = ("idle_cpu_percent", "wave_cpu_percent", "memory_mb", "idle_bytes_per_s")
FITTED += ("wave_bytes_per_s", "entry_cpu_percent", "entry_instances_bytes_per_s")


def measure() -> dict:
    """Measure one controller beside one entry at several sizes."""
    rows = [_measure_size(workers) for workers in SIZES]
    fits = [
        _fit_row(name, fit_line(SIZES, [row[name] for row in rows])) for name in FITTED
    ]
    return {"rows": rows, "fits": fits}


def _fit_row(name: str, fit) -> dict:
    return {
        "figure": name,
        "base": round(fit.base, 3),
        "slope_per_1000": round(fit.slope * 1000, 3),
        "largest_error": round(fit.largest_error, 3),
    }


def _measure_size(workers: int) -> dict:
    shape = replace(SHAPES[30], workers=workers, served=workers)
    shape = replace(shape, pools=max(5, workers // 36))
    with running_world(shape, 1, counting=True) as world:
        row = {"workers": workers, "load": machine_load()}
        entry = entry_window(world, lambda: gevent.sleep(WINDOW_S))
        row |= {f"entry_{name}": entry[name] for name in ENTRY_FIGURES}
        controller = _start(world)
        gevent.sleep(SETTLE_S)
        row |= _window(world, controller, "idle")
        result = world.operator().command_wave("bench", WaveState.RUNNING)
        if not isinstance(result, WaveChanged):
            raise RuntimeError(f"wave: {result}")
        row |= _window(world, controller, "wave")
        process = psutil.Process(controller.process.pid)
        row["memory_mb"] = round(process.memory_info().rss / 1e6)
        return row


def _start(world: World) -> Program:
    fleet = world.fleet
    values = {
        "instance": "entry-1",
        "zone": "zone-0",
        "listen": free_address(),
        "log": fleet.platform.log,
        "instances": fleet.platform.instances,
    }
    path = fleet._write_settings("controller", values)
    program = fleet._spawn("controller", ["bench.processes_entry", "controller", path])
    program.address = values["listen"]
    return program


def _window(world: World, controller: Program, name: str) -> dict:
    before, cpu_before = _bytes_by_kind(world, controller), cpu_s(controller)
    began_at = time.monotonic()
    gevent.sleep(WINDOW_S)
    seconds = time.monotonic() - began_at
    cpu = cpu_s(controller) - cpu_before
    moved = _bytes_by_kind(world, controller) - before
    row = {f"{name}_cpu_percent": round(cpu / seconds * 100, 2)}
    row[f"{name}_bytes_per_s"] = round(sum(moved.values()) / seconds)
    for kind, size in sorted(moved.items()):
        row[f"{name}_{kind}_bytes_per_s"] = round(size / seconds)
    return row


def _bytes_by_kind(world: World, controller: Program) -> Counter:
    platform = world.fleet.platform
    kind_by_end = dict.fromkeys(platform.workers.values(), "workers")
    kind_by_end |= {platform.log: "log", platform.instances: "instances"}
    controller.signal(signal.SIGUSR1)
    gevent.sleep(0.3)
    lines = controller.log_path.read_text().splitlines()
    counts = [line for line in lines if line.startswith(f'{{"{MARK}"')]
    total: Counter = Counter()
    if counts:
        for end, size in json.loads(counts[-1])[MARK].items():
            total[kind_by_end.get(end, "other")] += size
    return total
