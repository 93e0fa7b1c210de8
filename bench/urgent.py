"""How soon urgent tasks start on a full fleet.

User A's shape with three entries and callers who ask for 1.6 times the fleet.
A fifth of the tasks can be checkpointed, which takes 0.3 s. One task in 200 is
urgent and needs 4 to 16 processors.
"""

from __future__ import annotations

import random

from lycheeloom.model.resources import Resources
from lycheeloom.sched import Scheduler, Task

from .baselines import EqualSplit, FirstComeFirstServed
from .entries import Entries, Policy
from .fakes import Job
from .fleets import QUEUES, USER_A_SIZE, WEIGHTS, user_fleet
from .load import Arrivals, TeamLoad
from .report import Row

ENTRIES = 3
OFFERED = 1.6
# Long tasks, so that waiting for one to end is not enough.
MEAN_RUN_S = 2.0
WARM_UP_S = 20.0
END_S = 80.0
URGENT_PER_S = 5.0
GOAL_S = 1.8


class UrgentRecorder:
    """Keeps the delays between submission and start of urgent tasks."""

    def __init__(self) -> None:
        self.delays_s: list[float] = []
        self.waiting: dict[str, float] = {}

    def offered(self, task: Task, job: Job, now: float) -> None:
        """Offered work is not used here."""

    def submitted(self, task: Task, job: Job, now: float) -> None:
        """Note when an urgent task came."""
        if task.urgent:
            self.waiting[task.id] = now

    def started(self, task: Task, job: Job, worker: str, now: float) -> None:
        """Note the delay of an urgent task."""
        if task.urgent:
            self.delays_s.append(now - self.waiting.pop(task.id))

    def ended(self, task: Task, job: Job, good: bool, now: float) -> None:
        """Ends are not used here."""

    def dropped(self, task: Task, job: Job, now: float) -> None:
        """No task has a deadline here."""


def measure(policies: list[Policy], seed: int, coordinated: bool) -> float:
    """Return the 99th percentile of the delay in seconds."""
    config = user_fleet(USER_A_SIZE)
    recorder = UrgentRecorder()
    entries = Entries(config, policies, recorder, coordinated)
    cores = sum(i.size.cores for i in config.instance_by_id.values())
    for n, weight in enumerate(WEIGHTS):
        load = TeamLoad(
            f"team{n}",
            (1, 2, 4),
            2048,
            (1.0,) * len(QUEUES),
            (1.0,) * ENTRIES,
            OFFERED * weight / sum(WEIGHTS),
        )
        arrivals = Arrivals(
            entries,
            load,
            QUEUES,
            cores,
            MEAN_RUN_S,
            f"{seed}/{n}",
            lambda queue, now: 1.0,
            1.0,
            checkpointable=0.2,
        )
        arrivals.begin()
    _submit_urgent(entries, seed)
    entries.clock.run(END_S)
    # Tasks that still wait count with the delay that they already have.
    delays_s = recorder.delays_s + [END_S - at for at in recorder.waiting.values()]
    delays_s.sort()
    return delays_s[int(0.99 * len(delays_s))]


def _submit_urgent(entries: Entries, seed: int) -> None:
    rng = random.Random(f"{seed}/urgent")
    at = WARM_UP_S
    number = 0
    while at < END_S - 5:
        at += rng.expovariate(URGENT_PER_S)
        number += 1
        size = Resources(rng.choice((4, 8, 16)), 16 * 1024)
        task = Task(
            f"urgent-{number}",
            f"team{rng.randrange(len(WEIGHTS))}",
            rng.choice(QUEUES),
            size,
            0.5,
            at,
            idempotent=True,
            urgent=True,
        )
        entry = rng.randrange(ENTRIES)
        entries.clock.at(at, _submitter(entries, entry, task, Job(size, 0.5)))


def _submitter(entries: Entries, entry: int, task: Task, job: Job):
    return lambda: entries.submit(entry, task, job)


def run(seed: int) -> list[Row]:
    """Measure all policies."""
    config = user_fleet(USER_A_SIZE)
    ours = measure([Scheduler(config, seed * 100 + n) for n in range(3)], seed, True)
    first = measure([FirstComeFirstServed(config) for _ in range(3)], seed, False)
    split = [EqualSplit(config, seed * 100 + n, n, ENTRIES) for n in range(ENTRIES)]
    equal = measure(split, seed, False)
    return [
        Row(
            "delay of urgent tasks, 99th percentile",
            f"at most {GOAL_S:g} s",
            ours,
            ours <= GOAL_S,
            first,
            equal,
            "s",
        )
    ]
