"""Tests that a trial round agrees with the planner and changes nothing."""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Mapping
from dataclasses import fields, is_dataclass, replace
from enum import Enum

import pytest
from libs.jobs.tests.test_planner import (
    NOW_MS,
    make_active_job,
    make_policy,
    make_worker,
)

from lycheeloom.jobs.fleet import Fleet, Run, RunState
from lycheeloom.jobs.model import Job, Organisation, Step
from lycheeloom.jobs.overload import Service
from lycheeloom.jobs.planner import Planner
from lycheeloom.jobs.trial_round import CAN_START, CAN_START_BADLY_RATED, try_round
from lycheeloom.model.resources import NO_RESOURCES, Resources

# With 30 jobs, some are above the rate of their organisation: 2 jobs per second.
POLICY = replace(
    make_policy(target_latency_ms=600.0),
    organisation_by_name={"red": Organisation("red", frozenset(), 2.0)},
)
OWN_ID = "own"


class Leader:
    """A planner with its fleet of four workers and its jobs, and rounds on them."""

    def __init__(self, *, uses_overload_order: bool = False, jobs: int = 0) -> None:
        self.fleet = Fleet()
        for number in range(4):
            self.fleet.add_worker(make_worker(number)).has_current_lists = True
        self.planner = Planner(self.fleet, uses_overload_order=uses_overload_order)
        self.jobs = [
            make_active_job(
                Step(3, 2_000, 1_000, estimated_ms=500 + 40 * number),
                Step(1, 1_000, estimated_ms=100, after=(0,)),
                job_id=f"j{number:02d}",
                accepted_ms=NOW_MS - 300 * number,
            )
            for number in range(jobs)
        ]
        for active_job in self.jobs:
            self.planner.note_job(active_job, POLICY)

    def plan(self, now_ms: int = NOW_MS, policy=POLICY) -> list:
        """Plan one round and add its runs to the fleet."""
        starts = self.planner.plan(self.jobs, policy, (), 1.0, now_ms)
        for s in starts:
            target = (s.step, s.organisation, s.queue, RunState.RUNNING, 1.0)
            self.fleet.add_run(Run(s.task, s.run, s.worker_id, *target))
        return starts

    def end_half(self) -> None:
        """End every other run without a result, so that others have room."""
        for runs in list(self.fleet.runs_by_task.values())[::2]:
            self.fleet.remove_run(runs[0])

    def try_job(self, *steps: Step, now_ms: int = NOW_MS, policy=POLICY, **job_fields):
        job = Job(OWN_ID, "queue", "red", "spec", steps, now_ms, **job_fields)
        arguments = (self.jobs, job, policy, ("south",), 1.0, now_ms)
        return try_round(self.planner, self.fleet, *arguments)


def state_of(value, seen=()):
    """Return all of an object's state, private parts included, as plain values."""
    if id(value) in seen:
        return "cycle"
    seen = (*seen, id(value))
    if is_dataclass(value):
        names = [field.name for field in fields(value)]
        return [(name, state_of(getattr(value, name), seen)) for name in names]
    if isinstance(value, Mapping):
        return [(key, state_of(item, seen)) for key, item in value.items()]
    if isinstance(value, list | tuple | deque):
        return [state_of(item, seen) for item in value]
    if hasattr(value, "__dict__") and not isinstance(value, Enum):
        return state_of(vars(value), seen)
    return copy.copy(value)  # A number, text, set of texts or bytes.


@pytest.fixture(params=[False, True], ids=["plain", "overload_order"])
def make_leader(request):
    """Return a function that makes a leader, with and without the overload order."""
    return lambda jobs=0: Leader(uses_overload_order=request.param, jobs=jobs)


@pytest.mark.parametrize("jobs", [0, 3, 30])
def test_trial_leaves_the_leader_as_it_is(make_leader, jobs):
    """Guards against a question that changes what the leader starts afterwards."""
    asked, twin = make_leader(jobs), make_leader(jobs)
    for number in range(3):
        now_ms = NOW_MS + 100 * number
        before = state_of((asked.planner, asked.fleet, asked.jobs))
        asked.try_job(Step(2, 1_000, estimated_ms=300), now_ms=now_ms)
        assert state_of((asked.planner, asked.fleet, asked.jobs)) == before
        assert asked.plan(now_ms) == twin.plan(now_ms)
        asked.end_half()
        twin.end_half()


@pytest.mark.parametrize("jobs", [0, 3, 30])
@pytest.mark.parametrize(
    "step",
    [
        Step(2, 1_000, estimated_ms=300),
        Step(4, 8_000, estimated_ms=10, gang=True),
        Step(9, 3_000, estimated_ms=4_000, max_per_worker=1),
        Step(1, 9_000, estimated_ms=300),
    ],
)
def test_trial_says_what_the_next_round_does(make_leader, jobs, step):
    """Guards against an explanation that differs from the decision."""
    leader = make_leader(jobs)
    leader.plan(NOW_MS - 100)
    leader.end_half()
    trial = leader.try_job(step)
    job = make_active_job(step, job_id=OWN_ID)
    leader.planner.note_job(job, POLICY)
    leader.jobs.append(job)
    ranked = leader.planner.ranked_steps(leader.jobs, POLICY, (), NOW_MS)
    number = next(n for n, r in enumerate(ranked) if r.active_job is job)
    assert trial.rank.steps_ahead == number
    assert (trial.rank.priority, *trial.rank.rank) == ranked[number].rank
    starts = [start for start in leader.plan() if start.task.job_id == OWN_ID]
    assert trial.starts == len(starts)
    assert trial.worker_id == (starts[0].worker_id if starts else "")
    assert bool(trial.obstacle) is not bool(starts)


def test_workers_are_sorted_by_why_they_cannot_take_a_task():
    """Guards against a worker that is counted under a wrong reason, or not at all."""
    leader = Leader()
    states = leader.fleet.state_by_id
    for number in range(4, 10):
        leader.fleet.add_worker(make_worker(number)).has_current_lists = True
    other_pool = replace(make_worker(10), pool="other")
    leader.fleet.add_worker(other_pool).has_current_lists = True
    states["w0"].is_cordoned = True
    states["w1"].worker = replace(states["w1"].worker, draining=True)
    states["w2"].has_current_lists = False
    states["w3"].backoff_until_s = 2.0
    states["w4"].worker = replace(states["w4"].worker, zone="south")
    states["w5"].worker = replace(states["w5"].worker, labels=frozenset())
    states["w6"].used = Resources(7.5, 0, 0)
    states["w7"].takes_one_task, states["w7"].planned_tasks = True, 1
    states["w8"].is_badly_rated = True
    trial = leader.try_job(Step(1, 1_000, estimated_ms=300, label="kind"))
    assert {group.reason: group.worker_ids for group in trial.workers} == {
        "cordoned": ("w0",),
        "draining": ("w1",),
        "no lists": ("w2",),
        "backoff": ("w3",),
        "zone out of service": ("w4",),
        "label": ("w5",),
        "no room": ("w6",),
        "badly rated": ("w7",),
        CAN_START_BADLY_RATED: ("w8",),
        CAN_START: ("w9",),
    }
    assert trial.worker_id == "w9"


@pytest.mark.parametrize(
    ("jobs", "limit_cores", "step", "obstacle"),
    [
        (0, 0.5, Step(1, 1_000), "upper limit"),
        (0, 0.0, Step(1, 9_000), "no worker"),
        (0, 0.0, Step(5, 8_000, gang=True), "gang"),
        (1, 6.5, Step(1, 1_000, estimated_ms=900), "jobs ahead use up the upper limit"),
        (9, 0.0, Step(4, 8_000, estimated_ms=9_000, gang=True), "take the room"),
    ],
)
def test_obstacle_names_why_nothing_starts(jobs, limit_cores, step, obstacle):
    """Guards against sending operators after a wrong cause."""
    limit = Resources(limit_cores, 0, 0) if limit_cores else NO_RESOURCES
    trial = Leader(jobs=jobs).try_job(step, policy=make_policy(limit))
    assert obstacle in trial.obstacle
    assert (trial.starts, trial.worker_id) == (0, "")


def test_rank_names_the_service_only_in_a_full_pool():
    """Guards against a rank that the planner does not use."""
    trial = Leader(uses_overload_order=True).try_job(Step(1, 1_000, estimated_ms=300))
    assert (trial.rank.service, trial.rank.steps_ahead) == (None, 0)
    leader = Leader(uses_overload_order=True, jobs=30)
    trial = leader.try_job(Step(8, 8_000, estimated_ms=9_000))
    assert trial.rank.service in (Service.DELAYED, Service.LATE)
    assert trial.rank.steps_ahead > 0
    due = {"repetitions": 2, "first_run_ms": NOW_MS + 1, "interval_ms": 5}
    trial = leader.try_job(Step(1, 1_000), **due)
    assert trial.rank is None
    assert trial.obstacle == "no step is due yet"
