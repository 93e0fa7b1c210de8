"""Goodput with wrong declarations, crashing tasks and failing workers.

The fleet has the shape of user B and three entries; callers ask for 1.3 times its
capacity. Declared processors, memory and run time are each wrong by a factor
between 1/4 and 4 that is fixed per organisation and queue. Each task multiplies
it by a random factor between 1/1.25 and 1.25, within the same bounds. Of all
tasks, 2.5 % declare more than any worker has and 2.5 % crash on every worker; two
workers fail every task. Usage reports arrive 2 s late. The baseline with perfect
information has true declarations, no crashing tasks and only working workers.
"""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import Resources
from lycheeloom.sched import Task

from .comparison import compare, schedulers
from .entries import Observer, SchedulingPolicy, SimulatedEntries
from .fakes import TaskBehaviour
from .fleets import QUEUES, USER_B_SIZE, WEIGHTS, total_cores, user_fleet
from .load import start_steady_load
from .report import Row

OFFERED = 1.3
MEAN_RUN_S = 1.0
WARM_UP_S = 30.0
MEASURED_S = 90.0
GOAL_PERCENT = 90.0
IMPOSSIBLE_FRACTION = 0.025
CRASHING_FRACTION = 0.025
BAD_WORKERS = ("north-0", "west-3")
MAX_FACTOR = 4.0
TASK_NOISE_FACTOR = 1.25
OVERSIZED = Resources(1024, 1024 * 1024)


class GoodputRecorder(Observer):
    """Sums the actual processor time of the tasks that succeeded."""

    def __init__(self) -> None:
        self.useful_core_s = 0.0

    def ended(
        self, task: Task, behaviour: TaskBehaviour, succeeded: bool, now: float
    ) -> None:
        """Add a task that succeeded after the warm-up."""
        if succeeded and now >= WARM_UP_S:
            self.useful_core_s += behaviour.size.cores * behaviour.run_s


class Declarations:
    """Draws the wrong sizes and run times that callers declare."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"{seed}/declarations")
        self._factors: dict[tuple[str, str], tuple[float, float, float]] = {}
        for n in range(len(WEIGHTS)):
            for queue in QUEUES:
                exponents = [self._random.uniform(-1, 1) for _ in range(3)]
                self._factors[f"organisation{n}", queue] = tuple(
                    MAX_FACTOR**exponent for exponent in exponents
                )

    def declare(
        self, organisation: str, queue: str, behaviour: TaskBehaviour
    ) -> tuple[Resources, float]:
        """Return the declared size and run time of a task."""
        if self._random.random() < IMPOSSIBLE_FRACTION:
            return OVERSIZED, behaviour.run_s
        cores, memory, run = (
            self._with_noise(factor) for factor in self._factors[organisation, queue]
        )
        size = Resources(
            min(USER_B_SIZE.cores, behaviour.size.cores * cores),
            min(USER_B_SIZE.memory_mb, int(behaviour.size.memory_mb * memory)),
        )
        return size, behaviour.run_s * run

    def _with_noise(self, factor: float) -> float:
        noisy = factor * TASK_NOISE_FACTOR ** self._random.uniform(-1, 1)
        return min(MAX_FACTOR, max(1 / MAX_FACTOR, noisy))


def measure(
    config: FleetConfig,
    seed: int,
    has_faults: bool,
    policies: list[SchedulingPolicy],
    coordinated: bool,
) -> float:
    """Return the useful processor seconds of one run.

    ``has_faults`` adds wrong declarations, crashing tasks and failing workers.
    """
    recorder = GoodputRecorder()
    entries = SimulatedEntries(config, policies, recorder, coordinated)
    if has_faults:
        for name in BAD_WORKERS:
            entries.workers.fail_all_tasks(name)
    cores = total_cores(user_fleet(USER_B_SIZE))
    declarations = Declarations(seed)
    start_steady_load(
        entries,
        seed,
        cores,
        OFFERED,
        (1, 2),
        MEAN_RUN_S,
        declare=declarations.declare if has_faults else None,
        crashing_fraction=CRASHING_FRACTION if has_faults else 0.0,
    )
    entries.clock.run(WARM_UP_S + MEASURED_S)
    return recorder.useful_core_s


def run(seed: int) -> list[Row]:
    """Compare all policies with a scheduler that has perfect information."""
    config = user_fleet(USER_B_SIZE)
    working_instances = {
        n: i for n, i in config.instance_by_id.items() if n not in BAD_WORKERS
    }
    working_config = replace(config, instance_by_id=working_instances)
    informed_schedulers = schedulers(working_config, seed)
    perfect = measure(working_config, seed, False, informed_schedulers, True)
    scheduled, first_come, equal_split = compare(
        config, seed, partial(measure, config, seed, True)
    )
    return [
        Row(
            "goodput, of a scheduler with perfect information",
            f"at least {GOAL_PERCENT:g} %",
            100 * scheduled / perfect,
            100 * scheduled / perfect >= GOAL_PERCENT,
            100 * first_come / perfect,
            100 * equal_split / perfect,
            "%",
        ),
        Row(
            "useful processors, perfect information",
            "",
            perfect / MEASURED_S,
            None,
            unit="cores",
        ),
    ]
