"""Work done while a zone leaves and returns, and starts in it.

User A's shape: five pools of six workers with 64 cores over three zones, three
entries. Callers ask for 95 % of the whole fleet, so that the remaining two
zones are full while the third is out. Each entry hears of a change of
configuration after up to 2 s. A fifth of the tasks can be checkpointed.
"""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial

from lycheeloom.model.config import FleetConfig, ZoneState
from lycheeloom.sched import Task

from .comparison import compare
from .entries import Entries, Observer, Policy
from .fakes import Job
from .fleets import USER_A_SIZE, ZONES, total_cores, user_fleet
from .load import begin_steady_load
from .report import Row

OUT_ZONE = "z1"
OFFERED = 0.95
MEAN_RUN_S = 1.0
OUT_AT_S = 60.0
BACK_AT_S = 120.0
END_S = 150.0
MAX_PUBLISH_S = 2.0
START_BOUND_S = 3.0
RETURN_BOUND_S = 5.0
OUT_GOAL = 95.0
BACK_GOAL = 99.0


class ZoneRecorder(Observer):
    """Integrates the processors in use and notes starts in the zone."""

    def __init__(self, config: FleetConfig) -> None:
        self.busy_core_s = 0.0
        self.late_starts = 0
        self._config = config
        self._busy = 0.0
        self._updated_at = 0.0

    def started(self, task: Task, job: Job, worker: str, now: float) -> None:
        """Count the processors and check the zone."""
        self.advance(now)
        self._busy += job.size.cores
        zone = self._config.instance_by_id[worker].zone
        if zone == OUT_ZONE and OUT_AT_S + START_BOUND_S < now < BACK_AT_S:
            self.late_starts += 1

    def ended(self, task: Task, job: Job, good: bool, now: float) -> None:
        """Give back the processors."""
        self.advance(now)
        self._busy -= job.size.cores

    def advance(self, now: float) -> None:
        """Integrate up to a time."""
        self.busy_core_s += self._busy * (now - self._updated_at)
        self._updated_at = now


def measure(seed: int, policies: list[Policy], coordinated: bool) -> dict[str, float]:
    """Return the work done in each phase and the late starts."""
    config = user_fleet(USER_A_SIZE)
    recorder = ZoneRecorder(config)
    entries = Entries(config, policies, recorder, coordinated)
    cores = total_cores(config)
    begin_steady_load(
        entries, seed, cores, OFFERED, (1, 2, 4), MEAN_RUN_S, checkpointable=0.2
    )
    _publish(entries, config, seed)
    remaining = sum(
        i.size.cores for i in config.instance_by_id.values() if i.zone != OUT_ZONE
    )
    normal = _mean(entries, recorder, OUT_AT_S - 30, OUT_AT_S)
    out = _mean(entries, recorder, OUT_AT_S + START_BOUND_S, BACK_AT_S)
    after = []
    begin = BACK_AT_S + RETURN_BOUND_S
    while begin < END_S:
        after.append(_mean(entries, recorder, begin, begin + 5))
        begin += 5
    return {
        "out": 100 * out / min(remaining, OFFERED * cores),
        "back": 100 * min(after) / normal,
        "late": recorder.late_starts,
    }


def _publish(entries: Entries, config: FleetConfig, seed: int) -> None:
    """Let each entry hear of both changes after a random delay."""
    rng = random.Random(f"{seed}/publish")
    zones = dict(config.zone_by_id)
    zones[OUT_ZONE] = replace(zones[OUT_ZONE], state=ZoneState.OUT)
    for at, changed in (
        (OUT_AT_S, replace(config, version=2, zone_by_id=zones)),
        (BACK_AT_S, replace(config, version=3)),
    ):
        for entry in range(len(entries.policies)):
            delay = rng.uniform(0, MAX_PUBLISH_S)
            entries.clock.at(at + delay, _setter(entries, entry, changed))


def _setter(entries: Entries, entry: int, config: FleetConfig):
    def set_config() -> None:
        entries.policies[entry].set_config(config, entries.clock.now)
        entries.step(entry)

    return set_config


def _mean(entries: Entries, recorder: ZoneRecorder, begin: float, end: float) -> float:
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
    ours, first, equal = compare(config, seed, partial(measure, seed))
    return [
        Row(
            f"work while {ZONES[1]} is out, of what remaining capacity allows",
            f"at least {OUT_GOAL:g} %",
            ours["out"],
            ours["out"] >= OUT_GOAL,
            first["out"],
            equal["out"],
            "%",
        ),
        Row(
            "work from 5 s after its return, of normal, worst 5 s",
            f"at least {BACK_GOAL:g} %",
            ours["back"],
            ours["back"] >= BACK_GOAL,
            first["back"],
            equal["back"],
            "%",
        ),
        Row(
            "starts in the zone later than 3 s after it was taken out",
            "0",
            ours["late"],
            ours["late"] == 0,
            first["late"],
            equal["late"],
        ),
    ]
