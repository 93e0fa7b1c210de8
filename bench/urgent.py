"""Delay until urgent tasks start on a full fleet.

The fleet has the shape of user A and three entries; callers ask for 1.6 times
its capacity. A fifth of the tasks can be checkpointed, which takes 0.3 s. One
task in 200 is urgent and needs 4 to 16 processors.
"""

from __future__ import annotations

import random
from functools import partial

from lycheeloom.model.resources import Resources
from lycheeloom.sched import Task

from .comparison import ENTRIES, compare
from .entries import Observer, SchedulingPolicy, SimulatedEntries
from .fakes import TaskBehaviour
from .fleets import QUEUES, USER_A_SIZE, WEIGHTS, total_cores, user_fleet
from .load import start_steady_load
from .report import Row

OFFERED = 1.6
# Long enough that waiting for a task to end would miss the goal.
MEAN_RUN_S = 2.0
WARM_UP_S = 20.0
END_S = 80.0
URGENT_PER_S = 5.0
GOAL_S = 1.8


class UrgentRecorder(Observer):
    """Records the delays between submission and start of urgent tasks.

    No task has a deadline here, so none is dropped.
    """

    def __init__(self) -> None:
        self.delays_s: list[float] = []
        self.waiting: dict[str, float] = {}

    def submitted(self, task: Task, behaviour: TaskBehaviour, now: float) -> None:
        """Record the time of submission of an urgent task."""
        if task.urgent:
            self.waiting[task.id] = now

    def started(
        self, task: Task, behaviour: TaskBehaviour, worker: str, now: float
    ) -> None:
        """Record the delay of an urgent task."""
        if task.urgent:
            self.delays_s.append(now - self.waiting.pop(task.id))


def measure(seed: int, policies: list[SchedulingPolicy], coordinated: bool) -> float:
    """Return the 99th percentile of the delay of urgent tasks in seconds."""
    config = user_fleet(USER_A_SIZE)
    recorder = UrgentRecorder()
    entries = SimulatedEntries(config, policies, recorder, coordinated)
    cores = total_cores(config)
    start_steady_load(
        entries,
        seed,
        cores,
        OFFERED,
        (1, 2, 4),
        MEAN_RUN_S,
        checkpointable_fraction=0.2,
    )
    _submit_urgent(entries, seed)
    entries.clock.run(END_S)
    # Tasks that still wait are included with their delay so far.
    delays_s = recorder.delays_s + [END_S - at for at in recorder.waiting.values()]
    delays_s.sort()
    return delays_s[int(0.99 * len(delays_s))]


def _submit_urgent(entries: SimulatedEntries, seed: int) -> None:
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
        entries.clock.call_at(
            at, _submitter(entries, entry, task, TaskBehaviour(size, 0.5))
        )


def _submitter(
    entries: SimulatedEntries, entry: int, task: Task, behaviour: TaskBehaviour
):
    return lambda: entries.submit(entry, task, behaviour)


def run(seed: int) -> list[Row]:
    """Measure all policies."""
    config = user_fleet(USER_A_SIZE)
    scheduled, first_come, equal_split = compare(config, seed, partial(measure, seed))
    return [
        Row(
            "delay of urgent tasks, 99th percentile",
            f"at most {GOAL_S:g} s",
            scheduled,
            scheduled <= GOAL_S,
            first_come,
            equal_split,
            "s",
        )
    ]
