"""How close each organisation comes to its max-min entitlement on a full fleet.

User B's shape: five pools of six workers with 16 cores, three entries that
exchange usage every 0.5 s, six organisations of unequal weight. Organisations send most
of their requests to one entry. One organisation asks for less than its share, one
needs mostly memory. ``full`` keeps every queue above capacity; ``surges`` lets
each queue in turn surge to five times its mean and drops it to a twentieth in
between. An organisation's demand at a time is what it runs and what has waited for more
than the next free slot; its entitlement is the max-min share for that demand.
"""

from __future__ import annotations

from collections import defaultdict
from functools import partial

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import Resources
from lycheeloom.sched import Task

from .comparison import ENTRIES, compare
from .entitlement import WaterFilling
from .entries import Entries, Observer, Policy
from .fakes import Job
from .fleets import QUEUES, USER_B_SIZE, WEIGHTS, user_fleet
from .load import Arrivals, OrganisationLoad
from .report import Row

MEAN_RUN_S = 1.0
WARM_UP_S = 20
FULL_S = 240
SURGE_S = 240
# "Some seconds" of surge for each queue in turn.
SURGE_LENGTH_S = 8.0
WINDOW_S = 60
WINDOW_STEP_S = 5
SAMPLE_S = 0.5
# Tasks are not preempted, so even the first in line waits for a slot to come
# free. Work counts as unmet demand when it has waited longer than this.
SLOT_WAIT_S = 0.25
FULL_GOAL = 3.0
SURGE_GOAL = 5.0


class ShareRecorder(Observer):
    """Keeps what each organisation runs and has queued.

    Refused work is not wanted from the fleet.
    """

    def __init__(self) -> None:
        self.running: dict[str, Resources] = defaultdict(Resources)
        self._placed: dict[tuple[str, str], Resources] = defaultdict(Resources)
        self._queued: dict[str, tuple[Task, Job, float]] = {}

    def submitted(self, task: Task, job: Job, now: float) -> None:
        """Count a task as queued."""
        self._queued[task.id] = (task, job, now)

    def started(self, task: Task, job: Job, worker: str, now: float) -> None:
        """Count a task as running."""
        del self._queued[task.id]
        self.running[task.organisation] += job.size
        self._placed[task.organisation, task.queue] += job.size

    def ended(self, task: Task, job: Job, good: bool, now: float) -> None:
        """Count a task out."""
        self.running[task.organisation] -= job.size
        self._placed[task.organisation, task.queue] -= job.size

    def dropped(self, task: Task, job: Job, now: float) -> None:
        """Count a queued task out."""
        del self._queued[task.id]

    def demand(self, now: float) -> dict[tuple[str, str], Resources]:
        """Return what runs, and what has waited for more than a free slot."""
        demand = defaultdict(Resources, self._placed)
        for task, job, since in self._queued.values():
            if now - since > SLOT_WAIT_S:
                demand[task.organisation, task.queue] += job.size
        return demand


def organisation_loads(full: bool) -> list[OrganisationLoad]:
    """Return the six organisations' requests."""
    loads = []
    for n, weight in enumerate(WEIGHTS):
        fair = weight / sum(WEIGHTS)
        # Every organisation but organisation1 asks for much more than its fair share.
        offered = 0.4 * fair if n == 1 else fair + 0.3
        if not full and n != 1:
            offered = fair + 0.05
        mix = tuple(float((n + q) % 5 + 1) for q in range(5))
        favourite = n % ENTRIES
        entry_mix = tuple(0.7 if e == favourite else 0.15 for e in range(ENTRIES))
        memory = 8 * 1024 if n == 4 else 2 * 1024
        cores = (1.0,) if n == 4 else (1.0, 1.0, 2.0)
        loads.append(
            OrganisationLoad(f"organisation{n}", cores, memory, mix, entry_mix, offered)
        )
    return loads


def surge_factor(queue: str, now: float) -> float:
    """Return 5 for the queue whose turn it is and 1/20 for the others."""
    turn = int(now / SURGE_LENGTH_S) % len(QUEUES)
    return 5.0 if QUEUES[turn] == queue else 0.05


def measure(
    config: FleetConfig,
    seed: int,
    full: bool,
    policies: list[Policy],
    coordinated: bool,
) -> dict[str, float]:
    """Return each organisation's worst deviation in percent over 60 s windows."""
    recorder = ShareRecorder()
    entries = Entries(config, policies, recorder, coordinated)
    water = WaterFilling(config)
    total = water.total
    for load in organisation_loads(full):
        factor = (lambda queue, now: 1.0) if full else surge_factor
        arrivals = Arrivals(
            entries,
            load,
            QUEUES,
            total.cores,
            MEAN_RUN_S,
            f"{seed}/{load.organisation}",
            factor,
            1.0 if full else 5.0,
        )
        arrivals.begin()
    length_s = WARM_UP_S + (FULL_S if full else SURGE_S)
    actual: dict[str, list[float]] = defaultdict(list)
    entitled: dict[str, list[float]] = defaultdict(list)
    time = 0.0
    while time < length_s:
        time += SAMPLE_S
        entries.clock.run(time)
        shares = water.shares(recorder.demand(time))
        for organisation in config.organisation_by_id:
            running = recorder.running[organisation]
            actual[organisation].append(running.dominant_share(water.total))
            entitled[organisation].append(shares.get(organisation, 0.0))
    return {
        organisation: _worst_window(actual[organisation], entitled[organisation])
        for organisation in config.organisation_by_id
    }


def _worst_window(actual: list[float], entitled: list[float]) -> float:
    window = int(WINDOW_S / SAMPLE_S)
    first = int(WARM_UP_S / SAMPLE_S)
    step = int(WINDOW_STEP_S / SAMPLE_S)
    worst = 0.0
    for begin in range(first, len(actual) - window + 1, step):
        got = sum(actual[begin : begin + window])
        due = sum(entitled[begin : begin + window])
        if due > 0:
            worst = max(worst, 100.0 * abs(got - due) / due)
    return worst


def run(seed: int) -> list[Row]:
    """Measure all policies in both phases."""
    config = user_fleet(USER_B_SIZE)
    rows = []
    for full, goal in ((True, FULL_GOAL), (False, SURGE_GOAL)):
        phase = "full load" if full else "surges"
        ours, first, equal = compare(config, seed, partial(measure, config, seed, full))
        for organisation, worst in ours.items():
            weight = config.organisation_by_id[organisation].share
            rows.append(
                Row(
                    f"{phase}: {organisation} (weight {weight:g}), worst 60 s window",
                    f"within {goal:g} %",
                    worst,
                    worst <= goal,
                    first[organisation],
                    equal[organisation],
                    "%",
                )
            )
    return rows
