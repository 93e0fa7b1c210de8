"""Processor time and memory of planning at several fleet sizes.

Processor time is measured because other load on the machine does not change it.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from statistics import quantiles

from lycheeloom.fleet.buffers import BufferPlanner, plan_buffers
from lycheeloom.fleet.rebalance import plan_with_returns
from lycheeloom.model.records import WaveCommand, WaveState

from .fleet_simulation import Controller, SimulatedFleet, large_fleet

FULL_GOAL_S = 2.0
STEP_GOAL_MS = 20.0
# Workers and pools: the current size, ten times that, and the design size.
SIZES = ((30, 5), (300, 14), (5100, 139))
STEPS = 600
STEP_S = 2.0
MEMORY_STEPS = 5


def measure(seed: int) -> dict:
    """Time a full plan and the steps of a running wave."""
    rows = [_measure_size(workers, pools, seed) for workers, pools in SIZES]
    return {"command": "plan-cost", "seed": seed, "rows": rows}


def _measure_size(workers: int, pools: int, seed: int) -> dict:
    document = large_fleet(seed, workers, pools)
    full_s = _full_plan_s(document)
    fleet, controller = _running_wave(document)
    times_ms = _step_times_ms(fleet, controller)
    cuts = quantiles(times_ms, n=100)
    naive_s = _naive_step_s(fleet)
    return {
        "workers": workers,
        "pools": pools,
        "full plan s": round(full_s, 4),
        "full plan, a third astray s": round(_shuffled_plan_s(document, seed), 4),
        "full goal s": FULL_GOAL_S,
        "step p50 ms": round(cuts[49], 2),
        "step p99 ms": round(cuts[98], 2),
        "step max ms": round(max(times_ms), 2),
        "step goal ms": STEP_GOAL_MS,
        "plan anew each step ms": round(naive_s * 1000, 2),
        "planner MB": round(_planner_bytes(document) / 1e6, 2),
    }


def _full_plan_s(document: dict) -> float:
    """Time the first step of a new controller: wave, buffers and repair."""
    fleet, controller = _running_wave(document)
    controller.observe_workers()
    view = controller.view()
    started_at = time.process_time()
    controller.planner.step(view, fleet.now_s)
    return time.process_time() - started_at


def _shuffled_plan_s(document: dict, seed: int) -> float:
    """Time a plan for a fleet with a third of its instances in random pools."""
    rng = random.Random(seed)
    config = SimulatedFleet(document).state.config
    pools = {name: item.pool for name, item in config.instance_by_id.items()}
    for name in rng.sample(sorted(pools), len(pools) // 3):
        pools[name] = rng.choice(sorted(config.pool_by_id))
    started_at = time.process_time()
    plan_with_returns(BufferPlanner(config), pools, frozenset())
    return time.process_time() - started_at


def _running_wave(document: dict) -> tuple[SimulatedFleet, Controller]:
    fleet = SimulatedFleet(document)
    for number, name in enumerate(fleet.workers):
        # Unequal drain times, so that the moves are not synchronised.
        fleet.drain_s_by_instance[name] = 30.0 + number % 61
    controller = Controller(fleet, "controller")
    wave = WaveCommand("wave", WaveState.ABSENT, WaveState.RUNNING)
    fleet.append("operator", [wave])
    return fleet, controller


def _step_times_ms(fleet: SimulatedFleet, controller: Controller) -> list[float]:
    """Time the steps of a wave in which instances fail, without the first step."""
    controller.tick(STEP_S)
    # The daemon does the same after recovery.
    gc.collect()
    gc.freeze()
    names = sorted(fleet.workers)
    times_ms = []
    for number in range(STEPS):
        if number % 20 == 10:
            fleet.fail([names[number % len(names)]])
        controller.observe_workers()
        view = controller.view()
        started_at = time.process_time()
        plan = controller.planner.step(view, fleet.now_s)
        times_ms.append((time.process_time() - started_at) * 1000)
        fleet.apply_plan(controller.author, plan)
        fleet.advance(STEP_S)
    gc.unfreeze()
    return times_ms


def _naive_step_s(fleet: SimulatedFleet) -> float:
    """Naive baseline: a new planner that plans everything in each step."""
    config = fleet.state.config
    started_at = time.process_time()
    plan_buffers(config, fleet.state.maintenance.pool_by_instance)
    controller = Controller(fleet, "naive")
    controller.observe_workers()
    controller.planner.step(controller.view(), fleet.now_s)
    return time.process_time() - started_at


def _planner_bytes(document: dict) -> int:
    """Return the memory that a planner allocates in its first steps.

    The replayed state is not included, as every controller holds it.
    """
    fleet, controller = _running_wave(document)
    gc.collect()
    tracemalloc.start()
    for number in range(MEMORY_STEPS):
        controller.observe_workers()
        controller.planner.step(controller.view(), fleet.now_s + number)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size
