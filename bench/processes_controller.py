"""Cost of a controller, and of an entry in a fleet whose workers all run."""

from __future__ import annotations

import json
import signal
import time
from collections import Counter
from dataclasses import replace

import gevent
import psutil
from demo.processes import Program

from lycheeloom.model.records import WaveState
from lycheeloom.operator import WaveChanged
from lycheeloom.standins import free_address

from .processes_cost import measure_window as measure_entries
from .processes_entry import BYTES_KEY
from .processes_fleet import SHAPE_BY_WORKERS, BenchFleet, cpu_s, running_bench_fleet
from .processes_stats import fit_line, machine_load

# All workers are stand-ins, as a controller would repair those that do not answer.
SIZES = (30, 300, 1000)
SETTLE_S = 8.0
WINDOW_S = 15.0
ENTRY_FIGURES = ("cpu_percent", "workers_bytes_per_s", "instances_bytes_per_s")
FITTED_FIGURES = (
    "idle_cpu_percent",
    "wave_cpu_percent",
    "memory_mb",
    "idle_bytes_per_s",
)
FITTED_FIGURES += (
    "wave_bytes_per_s",
    "entry_cpu_percent",
    "entry_instances_bytes_per_s",
)


def measure() -> dict:
    """Measure one controller and one entry at several fleet sizes."""
    rows = [_measure_size(workers) for workers in SIZES]
    fits = [
        _fit_row(name, fit_line(SIZES, [row[name] for row in rows]))
        for name in FITTED_FIGURES
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
    shape = replace(
        SHAPE_BY_WORKERS[30], workers=workers, stand_in_worker_count=workers
    )
    shape = replace(shape, pools=max(5, workers // 36))
    with running_bench_fleet(shape, 1, counting=True) as bench_fleet:
        row = {"workers": workers, "load": machine_load()}
        entry_figures = measure_entries(bench_fleet, lambda: gevent.sleep(WINDOW_S))
        row |= {f"entry_{name}": entry_figures[name] for name in ENTRY_FIGURES}
        controller = _start_controller(bench_fleet)
        gevent.sleep(SETTLE_S)
        row |= _measure_controller(bench_fleet, controller, "idle")
        result = bench_fleet.operator().command_wave("bench", WaveState.RUNNING)
        if not isinstance(result, WaveChanged):
            raise RuntimeError(f"the wave was not started: {result}")
        row |= _measure_controller(bench_fleet, controller, "wave")
        process = psutil.Process(controller.process.pid)
        row["memory_mb"] = round(process.memory_info().rss / 1e6)
        return row


def _start_controller(bench_fleet: BenchFleet) -> Program:
    fleet = bench_fleet.fleet
    settings = {
        "instance": "entry-1",
        "zone": "zone-0",
        "listen": free_address(),
        "log": fleet.platform.log,
        "instances": fleet.platform.instances,
    }
    path = fleet._write_settings("controller", settings)
    program = fleet._spawn("controller", ["bench.processes_entry", "controller", path])
    program.address = settings["listen"]
    return program


def _measure_controller(
    bench_fleet: BenchFleet, controller: Program, name: str
) -> dict:
    before, cpu_before = _bytes_by_kind(bench_fleet, controller), cpu_s(controller)
    began_at = time.monotonic()
    gevent.sleep(WINDOW_S)
    seconds = time.monotonic() - began_at
    used_cpu_s = cpu_s(controller) - cpu_before
    transferred = _bytes_by_kind(bench_fleet, controller) - before
    row = {f"{name}_cpu_percent": round(used_cpu_s / seconds * 100, 2)}
    row[f"{name}_bytes_per_s"] = round(sum(transferred.values()) / seconds)
    for kind, size in sorted(transferred.items()):
        row[f"{name}_{kind}_bytes_per_s"] = round(size / seconds)
    return row


def _bytes_by_kind(bench_fleet: BenchFleet, controller: Program) -> Counter:
    platform = bench_fleet.fleet.platform
    kind_by_peer = dict.fromkeys(platform.workers.values(), "workers")
    kind_by_peer |= {platform.log: "log", platform.instances: "instances"}
    controller.signal(signal.SIGUSR1)
    gevent.sleep(0.3)
    lines = controller.log_path.read_text().splitlines()
    counts = [line for line in lines if line.startswith(f'{{"{BYTES_KEY}"')]
    total: Counter = Counter()
    if counts:
        for peer, size in json.loads(counts[-1])[BYTES_KEY].items():
            total[kind_by_peer.get(peer, "other")] += size
    return total
