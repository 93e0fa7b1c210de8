"""Seeded random arrivals of tasks at the entries."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lycheeloom.model.resources import Resources
from lycheeloom.sched import Task

from .entries import SimulatedEntries
from .fakes import TaskBehaviour
from .fleets import QUEUES, WEIGHTS

MIN_RUN_S = 0.1
MAX_RUN_S = 5.0


@dataclass(frozen=True, slots=True)
class OrganisationLoad:
    """The load of one organisation: task sizes and weights of queues and entries."""

    organisation: str
    cores: tuple[float, ...]
    memory_mb_per_core: int
    queue_mix: tuple[float, ...]
    entry_mix: tuple[float, ...]
    # Mean demand as a fraction of the fleet's processors.
    offered: float


def constant_rate_factor(queue: str, now: float) -> float:
    """Return a factor that leaves the rate of a queue unchanged."""
    return 1.0


class Arrivals:
    """Submits the tasks of one organisation as a Poisson process.

    ``rate_factor(queue, now)`` scales the rate of a queue over time, up to
    ``max_rate_factor``: tasks are drawn at the highest rate and thinned out.
    ``declare`` returns the size and run time that the caller declares for a task.
    ``checkpointable_fraction`` and ``crashing_fraction`` are fractions of all tasks.
    """

    def __init__(
        self,
        entries: SimulatedEntries,
        load: OrganisationLoad,
        queues: tuple[str, ...],
        fleet_cores: float,
        mean_run_s: float,
        seed: str,
        rate_factor: Callable[[str, float], float] = constant_rate_factor,
        max_rate_factor: float = 1.0,
        declare: Callable[[str, str, TaskBehaviour], tuple[Resources, float]]
        | None = None,
        checkpointable_fraction: float = 0.0,
        crashing_fraction: float = 0.0,
    ) -> None:
        self._entries = entries
        self._load = load
        self._queues = queues
        self._mean_run_s = mean_run_s
        self._random = random.Random(seed)
        self._rate_factor = rate_factor
        self._max_rate_factor = max_rate_factor
        self._declare = declare
        self._checkpointable_fraction = checkpointable_fraction
        self._crashing_fraction = crashing_fraction
        mean_cores = sum(load.cores) / len(load.cores)
        base_rate = load.offered * fleet_cores / (mean_cores * mean_run_s)
        self._peak_rate = base_rate * max_rate_factor
        self._task_count = 0

    def start(self) -> None:
        """Schedule the first arrival; each arrival schedules the next one."""
        self._schedule()

    def _schedule(self) -> None:
        delay = self._random.expovariate(self._peak_rate)
        self._entries.clock.call_at(self._entries.clock.now + delay, self._arrive)

    def _arrive(self) -> None:
        rng = self._random
        now = self._entries.clock.now
        queue = rng.choices(self._queues, self._load.queue_mix)[0]
        entry = rng.choices(range(len(self._load.entry_mix)), self._load.entry_mix)[0]
        cores = rng.choice(self._load.cores)
        run_s = min(MAX_RUN_S, max(MIN_RUN_S, rng.expovariate(1 / self._mean_run_s)))
        is_kept = rng.random() * self._max_rate_factor < self._rate_factor(queue, now)
        self._schedule()
        if not is_kept:
            return
        size = Resources(cores, int(cores * self._load.memory_mb_per_core))
        crashes = rng.random() < self._crashing_fraction
        self._submit(entry, queue, TaskBehaviour(size, run_s, crashes), now)

    def _submit(
        self, entry: int, queue: str, behaviour: TaskBehaviour, now: float
    ) -> None:
        self._task_count += 1
        declared, run_s = behaviour.size, behaviour.run_s
        if self._declare is not None:
            declared, run_s = self._declare(self._load.organisation, queue, behaviour)
        task = Task(
            f"{self._load.organisation}-{self._task_count}",
            self._load.organisation,
            queue,
            declared,
            run_s,
            now,
            idempotent=True,
            checkpointable=self._random.random() < self._checkpointable_fraction,
        )
        self._entries.submit(entry, task, behaviour)


def start_steady_load(
    entries: SimulatedEntries,
    seed: int,
    fleet_cores: float,
    offered: float,
    task_cores: tuple[float, ...],
    mean_run_s: float,
    **options: Any,
) -> None:
    """Start a constant load that asks for the fraction ``offered`` of the processors.

    Organisations share it by weight. Each one uses all queues and all entries
    evenly, with 2 GB per core. The options are those of ``Arrivals``.
    """
    queue_mix = (1.0,) * len(QUEUES)
    entry_mix = (1.0,) * len(entries.policies)
    for n, weight in enumerate(WEIGHTS):
        offered_fraction = offered * weight / sum(WEIGHTS)
        load = OrganisationLoad(
            f"organisation{n}", task_cores, 2048, queue_mix, entry_mix, offered_fraction
        )
        arrivals = Arrivals(
            entries, load, QUEUES, fleet_cores, mean_run_s, f"{seed}/{n}", **options
        )
        arrivals.start()
