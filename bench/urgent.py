"""How soon urgent tasks start on a full fleet.

User A's shape with three entries and callers who ask for 1.6 times the fleet.
A fifth of the tasks can be checkpointed, which takes 0.3 s. One task in 200 is
urgent and needs 4 to 16 processors.
"""

from __future__ import annotations

import random
from functools import partial

from lycheeloom.model.resources import Resources
from lycheeloom.sched import Task

from .comparison import ENTRIES, compare
from .entries import Entries, Observer, Policy
from .fakes import Job
from .fleets import QUEUES, USER_A_SIZE, WEIGHTS, total_cores, user_fleet
from .load import begin_steady_load
from .report import Row

OFFERED = 1.6
# Long tasks, so that waiting for one to end is not enough.
MEAN_RUN_S = 2.0
WARM_UP_S = 20.0
END_S = 80.0
URGENT_PER_S = 5.0
GOAL_S = 1.8


class UrgentRecorder(Observer):
    """Keeps the delays between submission and start of urgent tasks.

    No task has a deadline here, so none is dropped.
    """

    def __init__(self) -> None:
        self.delays_s: list[float] = []
        self.waiting: dict[str, float] = {}

    def submitted(self, task: Task, job: Job, now: float) -> None:
        """Note when an urgent task came."""
        if task.urgent:
            self.waiting[task.id] = now

    def started(self, task: Task, job: Job, worker: str, now: float) -> None:
        """Note the delay of an urgent task."""
        if task.urgent:
            self.delays_s.append(now - self.waiting.pop(task.id))


def measure(seed: int, policies: list[Policy], coordinated: bool) -> float:
    """Return the 99th percentile of the delay in seconds."""
    config = user_fleet(USER_A_SIZE)
    recorder = UrgentRecorder()
    entries = Entries(config, policies, recorder, coordinated)
    cores = total_cores(config)
    begin_steady_load(
        entries, seed, cores, OFFERED, (1, 2, 4), MEAN_RUN_S, checkpointable=0.2
    )
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
            f"organisation{rng.randrange(len(WEIGHTS))}",
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
    ours, first, equal = compare(config, seed, partial(measure, seed))
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
