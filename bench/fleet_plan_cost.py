"""Processor time and memory of planning at several fleet sizes.

Processor time, as other work on the machine must not change the figures.
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
# Workers and pools: today, ten times that, and the planned size.
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
    world, controller = _running_wave(document)
    times_ms = _step_times_ms(world, controller)
    cuts = quantiles(times_ms, n=100)
    naive_s = _naive_step_s(world)
    return {
        "workers": workers,
        "pools": pools,
        "full plan s": round(full_s, 4),
        "full plan, a third astray s": round(_disordered_plan_s(document, seed), 4),
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
    world, controller = _running_wave(document)
    controller.hear()
    view = controller.view()
    begun = time.process_time()
    controller.planner.step(view, world.now_s)
    return time.process_time() - begun


def _disordered_plan_s(document: dict, seed: int) -> float:
    """Time a plan for a fleet of which a third is in random pools."""
    rng = random.Random(seed)
    config = SimulatedFleet(document).state.config
    pools = {name: item.pool for name, item in config.instance_by_id.items()}
    for name in rng.sample(sorted(pools), len(pools) // 3):
        pools[name] = rng.choice(sorted(config.pool_by_id))
    begun = time.process_time()
    plan_with_returns(BufferPlanner(config), pools, frozenset())
    return time.process_time() - begun


def _running_wave(document: dict) -> tuple[SimulatedFleet, Controller]:
    world = SimulatedFleet(document)
    for number, name in enumerate(world.workers):
        # Unequal drains, so that moves do not go on in step.
        world.drain_by_instance[name] = 30.0 + number % 61
    controller = Controller(world, "controller")
    wave = WaveCommand("wave", WaveState.ABSENT, WaveState.RUNNING)
    world.append("operator", [wave])
    return world, controller


def _step_times_ms(world: SimulatedFleet, controller: Controller) -> list[float]:
    """Time the steps after the first of a wave in which instances also fail."""
    controller.tick(STEP_S)
    # As the daemon does after recovery.
    gc.collect()
    gc.freeze()
    names = sorted(world.workers)
    times_ms = []
    for number in range(STEPS):
        if number % 20 == 10:
            world.fail([names[number % len(names)]])
        controller.hear()
        view = controller.view()
        begun = time.process_time()
        plan = controller.planner.step(view, world.now_s)
        times_ms.append((time.process_time() - begun) * 1000)
        world.apply_plan(controller.author, plan)
        world.advance(STEP_S)
    gc.unfreeze()
    return times_ms


def _naive_step_s(world: SimulatedFleet) -> float:
    """Naive baseline: a new planner that plans everything at each step."""
    config = world.state.config
    begun = time.process_time()
    plan_buffers(config, world.state.maintenance.pool_by_instance)
    controller = Controller(world, "naive")
    controller.hear()
    controller.planner.step(controller.view(), world.now_s)
    return time.process_time() - begun


def _planner_bytes(document: dict) -> int:
    """Return the memory that a planner takes in its first steps, without the
    replayed state, which the controller holds in any case."""
    world, controller = _running_wave(document)
    gc.collect()
    tracemalloc.start()
    for number in range(MEMORY_STEPS):
        controller.hear()
        controller.planner.step(controller.view(), world.now_s + number)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size
