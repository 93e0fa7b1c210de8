"""Random but repeatable arrivals of tasks at the entries."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lycheeloom.model.resources import Resources
from lycheeloom.sched import Task

from .entries import Entries
from .fakes import Job
from .fleets import QUEUES, WEIGHTS

MIN_RUN_S = 0.1
MAX_RUN_S = 5.0


@dataclass(frozen=True, slots=True)
class OrganisationLoad:
    """What one organisation sends: sizes, queue and entry probabilities."""

    organisation: str
    cores: tuple[float, ...]
    memory_mb_per_core: int
    queue_mix: tuple[float, ...]
    entry_mix: tuple[float, ...]
    # Part of the fleet's processors that the organisation asks for on average.
    offered: float


def constant_rate(queue: str, now: float) -> float:
    """Return a factor that leaves the rate of a queue as it is."""
    return 1.0


class Arrivals:
    """Submits the tasks of one organisation as a Poisson process.

    ``factor(queue, now)`` scales the rate of a queue over time.
    """

    def __init__(
        self,
        entries: Entries,
        load: OrganisationLoad,
        queues: tuple[str, ...],
        fleet_cores: float,
        mean_run_s: float,
        seed: str,
        factor: Callable[[str, float], float] = constant_rate,
        max_factor: float = 1.0,
        declare: Callable[[str, str, Job], tuple[Resources, float]] | None = None,
        checkpointable: float = 0.0,
        crashing: float = 0.0,
    ) -> None:
        self._entries = entries
        self._load = load
        self._queues = queues
        self._mean_run_s = mean_run_s
        self._random = random.Random(seed)
        self._factor = factor
        self._max_factor = max_factor
        self._declare = declare
        self._checkpointable = checkpointable
        self._crashing = crashing
        mean_cores = sum(load.cores) / len(load.cores)
        base_rate = load.offered * fleet_cores / (mean_cores * mean_run_s)
        self._rate = base_rate * max_factor
        self._number = 0

    def begin(self) -> None:
        """Schedule the first arrival."""
        self._schedule()

    def _schedule(self) -> None:
        delay = self._random.expovariate(self._rate)
        self._entries.clock.at(self._entries.clock.now + delay, self._arrive)

    def _arrive(self) -> None:
        rng = self._random
        now = self._entries.clock.now
        queue = rng.choices(self._queues, self._load.queue_mix)[0]
        entry = rng.choices(range(len(self._load.entry_mix)), self._load.entry_mix)[0]
        cores = rng.choice(self._load.cores)
        run_s = min(MAX_RUN_S, max(MIN_RUN_S, rng.expovariate(1 / self._mean_run_s)))
        accepted = rng.random() * self._max_factor < self._factor(queue, now)
        self._schedule()
        if not accepted:
            return
        size = Resources(cores, int(cores * self._load.memory_mb_per_core))
        crashes = rng.random() < self._crashing
        self._submit(entry, queue, Job(size, run_s, crashes), now)

    def _submit(self, entry: int, queue: str, job: Job, now: float) -> None:
        self._number += 1
        declared, run_s = job.size, job.run_s
        if self._declare is not None:
            declared, run_s = self._declare(self._load.organisation, queue, job)
        task = Task(
            f"{self._load.organisation}-{self._number}",
            self._load.organisation,
            queue,
            declared,
            run_s,
            now,
            idempotent=True,
            checkpointable=self._random.random() < self._checkpointable,
        )
        self._entries.submit(entry, task, job)


def begin_steady_load(
    entries: Entries,
    seed: int,
    fleet_cores: float,
    offered: float,
    task_cores: tuple[float, ...],
    mean_run_s: float,
    **options: Any,
) -> None:
    """Let organisations ask by weight for a part of the fleet's processors all the
    time.

    Each organisation uses all queues and all entries evenly, with 2 GB per core. The
    options are those of ``Arrivals``.
    """
    queue_mix = (1.0,) * len(QUEUES)
    entry_mix = (1.0,) * len(entries.policies)
    for n, weight in enumerate(WEIGHTS):
        part = offered * weight / sum(WEIGHTS)
        load = OrganisationLoad(
            f"organisation{n}", task_cores, 2048, queue_mix, entry_mix, part
        )
        arrivals = Arrivals(
            entries, load, QUEUES, fleet_cores, mean_run_s, f"{seed}/{n}", **options
        )
        arrivals.begin()
