"""Processors in use and task starts while a zone is out of service and returns.

The fleet has the shape of user A: five pools of six workers with 64 cores in
three zones, and three entries. Callers ask for 95 % of the whole fleet, so the
two remaining zones are full while the third is out. Each entry receives a change
of the configuration after up to 2 s. A fifth of the tasks can be checkpointed.
"""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial

from lycheeloom.model.config import FleetConfig, ZoneState
from lycheeloom.sched import Task

from .comparison import compare
from .entries import Observer, SchedulingPolicy, SimulatedEntries
from .fakes import TaskBehaviour
from .fleets import USER_A_SIZE, ZONES, total_cores, user_fleet
from .load import start_steady_load
from .report import Row

OUT_ZONE = "z1"
OFFERED = 0.95
MEAN_RUN_S = 1.0
OUT_AT_S = 60.0
BACK_AT_S = 120.0
END_S = 150.0
MAX_PUBLISH_S = 2.0
START_DEADLINE_S = 3.0
RETURN_DEADLINE_S = 5.0
OUT_GOAL_PERCENT = 95.0
BACK_GOAL_PERCENT = 99.0


class ZoneRecorder(Observer):
    """Integrates the processors in use and counts late starts in the zone."""

    def __init__(self, config: FleetConfig) -> None:
        self.busy_core_s = 0.0
        self.late_starts = 0
        self._config = config
        self._busy = 0.0
        self._updated_at = 0.0

    def started(
        self, task: Task, behaviour: TaskBehaviour, worker: str, now: float
    ) -> None:
        """Add the processors of a task and check its zone."""
        self.advance(now)
        self._busy += behaviour.size.cores
        zone = self._config.instance_by_id[worker].zone
        if zone == OUT_ZONE and OUT_AT_S + START_DEADLINE_S < now < BACK_AT_S:
            self.late_starts += 1

    def ended(
        self, task: Task, behaviour: TaskBehaviour, succeeded: bool, now: float
    ) -> None:
        """Subtract the processors of a task."""
        self.advance(now)
        self._busy -= behaviour.size.cores

    def advance(self, now: float) -> None:
        """Integrate up to a time."""
        self.busy_core_s += self._busy * (now - self._updated_at)
        self._updated_at = now


def measure(
    seed: int, policies: list[SchedulingPolicy], coordinated: bool
) -> dict[str, float]:
    """Return the processors in use in percent of each goal, and the late starts."""
    config = user_fleet(USER_A_SIZE)
    recorder = ZoneRecorder(config)
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
    _schedule_config_changes(entries, config, seed)
    remaining_cores = sum(
        i.size.cores for i in config.instance_by_id.values() if i.zone != OUT_ZONE
    )
    normal_cores = _mean_busy_cores(entries, recorder, OUT_AT_S - 30, OUT_AT_S)
    out_cores = _mean_busy_cores(
        entries, recorder, OUT_AT_S + START_DEADLINE_S, BACK_AT_S
    )
    cores_after_return = []
    begin = BACK_AT_S + RETURN_DEADLINE_S
    while begin < END_S:
        cores_after_return.append(_mean_busy_cores(entries, recorder, begin, begin + 5))
        begin += 5
    return {
        "out": 100 * out_cores / min(remaining_cores, OFFERED * cores),
        "back": 100 * min(cores_after_return) / normal_cores,
        "late": recorder.late_starts,
    }


def _schedule_config_changes(
    entries: SimulatedEntries, config: FleetConfig, seed: int
) -> None:
    """Give both changes to each entry after a random delay."""
    rng = random.Random(f"{seed}/publish")
    zones = dict(config.zone_by_id)
    zones[OUT_ZONE] = replace(zones[OUT_ZONE], state=ZoneState.OUT)
    for at, changed in (
        (OUT_AT_S, replace(config, version=2, zone_by_id=zones)),
        (BACK_AT_S, replace(config, version=3)),
    ):
        for entry in range(len(entries.policies)):
            delay = rng.uniform(0, MAX_PUBLISH_S)
            entries.clock.call_at(at + delay, _config_setter(entries, entry, changed))


def _config_setter(entries: SimulatedEntries, entry: int, config: FleetConfig):
    def set_config() -> None:
        entries.policies[entry].set_config(config, entries.clock.now)
        entries.step(entry)

    return set_config


def _mean_busy_cores(
    entries: SimulatedEntries, recorder: ZoneRecorder, begin: float, end: float
) -> float:
    """Return the mean number of busy processors in a time span."""
    entries.clock.run(begin)
    recorder.advance(begin)
    before = recorder.busy_core_s
    entries.clock.run(end)
    recorder.advance(end)
    return (recorder.busy_core_s - before) / (end - begin)


def run(seed: int) -> list[Row]:
    """Measure all policies."""
    config = user_fleet(USER_A_SIZE)
    scheduled, first_come, equal_split = compare(config, seed, partial(measure, seed))
    return [
        Row(
            f"work while {ZONES[1]} is out, of what remaining capacity allows",
            f"at least {OUT_GOAL_PERCENT:g} %",
            scheduled["out"],
            scheduled["out"] >= OUT_GOAL_PERCENT,
            first_come["out"],
            equal_split["out"],
            "%",
        ),
        Row(
            "work from 5 s after its return, of normal, worst 5 s",
            f"at least {BACK_GOAL_PERCENT:g} %",
            scheduled["back"],
            scheduled["back"] >= BACK_GOAL_PERCENT,
            first_come["back"],
            equal_split["back"],
            "%",
        ),
        Row(
            "starts in the zone later than 3 s after it was taken out",
            "0",
            scheduled["late"],
            scheduled["late"] == 0,
            first_come["late"],
            equal_split["late"],
        ),
    ]
