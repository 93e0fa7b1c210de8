"""Useful work with wrong declarations, bad jobs and bad workers.

User B's shape with three entries and callers who ask for 1.3 times the fleet.
Declared processors, memory and run time are each wrong by a factor between 1/4
and 4 that is fixed per organisation and queue, times up to 1.25 either way per job,
within 1/4 to 4. Of all jobs 2.5 % declare more than any worker has and 2.5 %
crash everywhere; two workers fail every task. Usage reports lag by 2 s. The
baseline with perfect information knows real sizes, bad jobs and bad workers.
"""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import Resources
from lycheeloom.sched import Task

from .comparison import compare, schedulers
from .entries import Entries, Observer, Policy
from .fakes import Job
from .fleets import QUEUES, USER_B_SIZE, WEIGHTS, total_cores, user_fleet
from .load import begin_steady_load
from .report import Row

OFFERED = 1.3
MEAN_RUN_S = 1.0
WARM_UP_S = 30.0
MEASURED_S = 90.0
GOAL = 90.0
IMPOSSIBLE_PART = 0.025
CRASHING_PART = 0.025
BAD_WORKERS = ("north-0", "west-3")
MAX_FACTOR = 4.0
JOB_NOISE = 1.25
TOO_LARGE = Resources(1024, 1024 * 1024)


class GoodputRecorder(Observer):
    """Sums the real processor time of tasks that ended well."""

    def __init__(self) -> None:
        self.good_core_s = 0.0

    def ended(self, task: Task, job: Job, good: bool, now: float) -> None:
        """Count a task that ended well."""
        if good and now >= WARM_UP_S:
            self.good_core_s += job.size.cores * job.run_s


class Declarations:
    """What callers declare instead of what their jobs need."""

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
        self, organisation: str, queue: str, job: Job
    ) -> tuple[Resources, float]:
        """Return the declared size and run time of a job."""
        if self._random.random() < IMPOSSIBLE_PART:
            return TOO_LARGE, job.run_s
        cores, memory, run = (
            self._noisy(factor) for factor in self._factors[organisation, queue]
        )
        size = Resources(
            min(USER_B_SIZE.cores, job.size.cores * cores),
            min(USER_B_SIZE.memory_mb, int(job.size.memory_mb * memory)),
        )
        return size, job.run_s * run

    def _noisy(self, factor: float) -> float:
        noisy = factor * JOB_NOISE ** self._random.uniform(-1, 1)
        return min(MAX_FACTOR, max(1 / MAX_FACTOR, noisy))


def measure(
    config: FleetConfig,
    seed: int,
    wrong: bool,
    policies: list[Policy],
    coordinated: bool,
) -> float:
    """Return the useful processor seconds of one run."""
    recorder = GoodputRecorder()
    entries = Entries(config, policies, recorder, coordinated)
    if wrong:
        for name in BAD_WORKERS:
            entries.workers.fail_everything(name)
    cores = total_cores(user_fleet(USER_B_SIZE))
    declarations = Declarations(seed)
    begin_steady_load(
        entries,
        seed,
        cores,
        OFFERED,
        (1, 2),
        MEAN_RUN_S,
        declare=declarations.declare if wrong else None,
        crashing=CRASHING_PART if wrong else 0.0,
    )
    entries.clock.run(WARM_UP_S + MEASURED_S)
    return recorder.good_core_s


def run(seed: int) -> list[Row]:
    """Measure all policies against perfect information."""
    config = user_fleet(USER_B_SIZE)
    known = {n: i for n, i in config.instance_by_id.items() if n not in BAD_WORKERS}
    known_config = replace(config, instance_by_id=known)
    informed = schedulers(known_config, seed)
    perfect = measure(known_config, seed, False, informed, True)
    ours, first, equal = compare(config, seed, partial(measure, config, seed, True))
    return [
        Row(
            "goodput, of a scheduler with perfect information",
            f"at least {GOAL:g} %",
            100 * ours / perfect,
            100 * ours / perfect >= GOAL,
            100 * first / perfect,
            100 * equal / perfect,
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
