"""Deviation of each organisation from its max-min entitlement on a full fleet.

The fleet has the shape of user B: five pools of six workers with 16 cores, three
entries that exchange usage every 0.5 s, and six organisations of unequal weight.
Each organisation sends most of its requests to one entry. One organisation asks
for less than its share, another one needs mostly memory. In the phase "full load"
the demand on every queue exceeds its capacity. In the phase "surges" the arrival
rate of one queue after the other is five times its mean, and a twentieth of the
mean otherwise. The demand of an organisation is what it runs plus what has waited
longer than a slot takes to become free; its entitlement is the max-min share for
that demand.
"""

from __future__ import annotations

from collections import defaultdict
from functools import partial

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import Resources
from lycheeloom.sched import Task

from .comparison import ENTRIES, compare
from .entitlement import WaterFilling
from .entries import Observer, SchedulingPolicy, SimulatedEntries
from .fakes import TaskBehaviour
from .fleets import QUEUES, USER_B_SIZE, WEIGHTS, user_fleet
from .load import Arrivals, OrganisationLoad
from .report import Row

MEAN_RUN_S = 1.0
WARM_UP_S = 20
FULL_S = 240
SURGE_S = 240
# Length of the surge of one queue.
SURGE_LENGTH_S = 8.0
WINDOW_S = 60
WINDOW_STEP_S = 5
SAMPLE_S = 0.5
# Tasks are not preempted, so even the first task of a queue waits for a free slot.
# A task counts as unmet demand when it has waited longer than this.
SLOT_WAIT_S = 0.25
FULL_GOAL_PERCENT = 3.0
SURGE_GOAL_PERCENT = 5.0


class ShareRecorder(Observer):
    """Records what each organisation runs and has queued.

    Refused tasks are not part of the demand.
    """

    def __init__(self) -> None:
        self.running: dict[str, Resources] = defaultdict(Resources)
        self._running_by_queue: dict[tuple[str, str], Resources] = defaultdict(
            Resources
        )
        self._queued: dict[str, tuple[Task, TaskBehaviour, float]] = {}

    def submitted(self, task: Task, behaviour: TaskBehaviour, now: float) -> None:
        """Add a queued task."""
        self._queued[task.id] = (task, behaviour, now)

    def started(
        self, task: Task, behaviour: TaskBehaviour, worker: str, now: float
    ) -> None:
        """Move a task from queued to running."""
        del self._queued[task.id]
        self.running[task.organisation] += behaviour.size
        self._running_by_queue[task.organisation, task.queue] += behaviour.size

    def ended(
        self, task: Task, behaviour: TaskBehaviour, succeeded: bool, now: float
    ) -> None:
        """Remove a running task."""
        self.running[task.organisation] -= behaviour.size
        self._running_by_queue[task.organisation, task.queue] -= behaviour.size

    def dropped(self, task: Task, behaviour: TaskBehaviour, now: float) -> None:
        """Remove a queued task."""
        del self._queued[task.id]

    def demand(self, now: float) -> dict[tuple[str, str], Resources]:
        """Return the running and the unmet demand by organisation and queue."""
        demand = defaultdict(Resources, self._running_by_queue)
        for task, behaviour, since in self._queued.values():
            if now - since > SLOT_WAIT_S:
                demand[task.organisation, task.queue] += behaviour.size
        return demand


def organisation_loads(is_full: bool) -> list[OrganisationLoad]:
    """Return the load of the six organisations."""
    loads = []
    for n, weight in enumerate(WEIGHTS):
        fair_share = weight / sum(WEIGHTS)
        # Every organisation but organisation1 asks for much more than its fair share.
        offered = 0.4 * fair_share if n == 1 else fair_share + 0.3
        if not is_full and n != 1:
            offered = fair_share + 0.05
        queue_mix = tuple(float((n + q) % 5 + 1) for q in range(5))
        preferred_entry = n % ENTRIES
        entry_mix = tuple(0.7 if e == preferred_entry else 0.15 for e in range(ENTRIES))
        memory_per_core = 8 * 1024 if n == 4 else 2 * 1024
        cores = (1.0,) if n == 4 else (1.0, 1.0, 2.0)
        loads.append(
            OrganisationLoad(
                f"organisation{n}",
                cores,
                memory_per_core,
                queue_mix,
                entry_mix,
                offered,
            )
        )
    return loads


def surge_factor(queue: str, now: float) -> float:
    """Return 5 for the queue that surges now and 1/20 for the others."""
    turn = int(now / SURGE_LENGTH_S) % len(QUEUES)
    return 5.0 if QUEUES[turn] == queue else 0.05


def measure(
    config: FleetConfig,
    seed: int,
    is_full: bool,
    policies: list[SchedulingPolicy],
    coordinated: bool,
) -> dict[str, float]:
    """Return each organisation's largest deviation in percent over any 60 s window."""
    recorder = ShareRecorder()
    entries = SimulatedEntries(config, policies, recorder, coordinated)
    water_filling = WaterFilling(config)
    total = water_filling.total
    for load in organisation_loads(is_full):
        factor = (lambda queue, now: 1.0) if is_full else surge_factor
        arrivals = Arrivals(
            entries,
            load,
            QUEUES,
            total.cores,
            MEAN_RUN_S,
            f"{seed}/{load.organisation}",
            factor,
            1.0 if is_full else 5.0,
        )
        arrivals.start()
    length_s = WARM_UP_S + (FULL_S if is_full else SURGE_S)
    actual: dict[str, list[float]] = defaultdict(list)
    entitled: dict[str, list[float]] = defaultdict(list)
    time = 0.0
    while time < length_s:
        time += SAMPLE_S
        entries.clock.run(time)
        shares = water_filling.shares(recorder.demand(time))
        for organisation in config.organisation_by_id:
            running = recorder.running[organisation]
            actual[organisation].append(running.dominant_share(water_filling.total))
            entitled[organisation].append(shares.get(organisation, 0.0))
    return {
        organisation: _worst_window(actual[organisation], entitled[organisation])
        for organisation in config.organisation_by_id
    }


def _worst_window(actual: list[float], entitled: list[float]) -> float:
    window = int(WINDOW_S / SAMPLE_S)
    first_start = int(WARM_UP_S / SAMPLE_S)
    step = int(WINDOW_STEP_S / SAMPLE_S)
    worst = 0.0
    for start in range(first_start, len(actual) - window + 1, step):
        used = sum(actual[start : start + window])
        entitled_sum = sum(entitled[start : start + window])
        if entitled_sum > 0:
            worst = max(worst, 100.0 * abs(used - entitled_sum) / entitled_sum)
    return worst


def run(seed: int) -> list[Row]:
    """Measure all policies in both phases."""
    config = user_fleet(USER_B_SIZE)
    rows = []
    for is_full, goal in ((True, FULL_GOAL_PERCENT), (False, SURGE_GOAL_PERCENT)):
        phase = "full load" if is_full else "surges"
        scheduled, first_come, equal_split = compare(
            config, seed, partial(measure, config, seed, is_full)
        )
        for organisation, worst in scheduled.items():
            weight = config.organisation_by_id[organisation].share
            rows.append(
                Row(
                    f"{phase}: {organisation} (weight {weight:g}), worst 60 s window",
                    f"within {goal:g} %",
                    worst,
                    worst <= goal,
                    first_come[organisation],
                    equal_split[organisation],
                    "%",
                )
            )
    return rows
