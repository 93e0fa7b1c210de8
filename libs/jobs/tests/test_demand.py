"""Tests of the submission rate and of the pool sizes derived from it."""

from __future__ import annotations

import pytest

from lycheeloom.jobs.demand import RATE_WINDOW_S, PoolDemand
from lycheeloom.jobs.model import Job, Step
from lycheeloom.jobs.pool_sizes import PoolInstance, PoolLoad, choose_moves
from lycheeloom.model.resources import Resources

CAPACITY = Resources(64, 256_000)
# The step's tasks together need half an instance for two seconds.
STEP = Step(8, 4_000, 8_000, estimated_ms=2_000)


def make_job(*steps: Step, repetitions: int = 0) -> Job:
    """Return a job with the given steps; with ``repetitions``, it is repeated."""
    return Job("a", "queue", "red", "", steps, 0, repetitions, 0, 1_000)


def test_demand_is_the_work_submitted_within_the_window():
    """A load spike must be visible before its tasks have to wait.

    Load pattern: each queue in turn submits five times its mean for some seconds.
    """
    demand = PoolDemand()
    for _ in range(6):
        demand.note("pool", make_job(STEP), 10.0)
    # Each of the six jobs is one instance-second of work.
    needed = 6 / RATE_WINDOW_S
    assert demand.needed_instances("pool", CAPACITY, 10.5) == pytest.approx(needed)
    assert demand.needed_instances("pool", CAPACITY, 10.0 + 2 * RATE_WINDOW_S) == 0
    assert demand.needed_instances("other", CAPACITY, 10.5) == 0


def test_scarcest_resource_determines_the_demand():
    """A pool must get enough memory for tasks that need few cores."""
    demand = PoolDemand()
    demand.note("pool", make_job(Step(8, 1_000, 32_000, estimated_ms=1_000)), 1.0)
    assert demand.needed_instances("pool", CAPACITY, 1.0) == pytest.approx(
        1 / RATE_WINDOW_S
    )


def test_long_running_and_repeated_jobs_do_not_count():
    """No instances may be requested for work that does not recur or is due later."""
    demand = PoolDemand()
    demand.note("pool", make_job(Step(8, 4_000, long_running=True)), 1.0)
    demand.note("pool", make_job(STEP, repetitions=5), 1.0)
    assert demand.needed_instances("pool", CAPACITY, 1.0) == 0


def standby_instances(count: int) -> list[PoolInstance]:
    """Return instances that are switched off."""
    return [PoolInstance(f"off-{n}", "off", 0.0) for n in range(count)]


def test_pool_grows_with_the_submission_rate_before_tasks_wait():
    """Instances must not be added one at a time, each only after tasks have waited."""
    instances = [PoolInstance("m1", "a", 0.0), *standby_instances(9)]
    load = PoolLoad(1.0, 0.0, long_running_use=0.5, offered_load=5.1)
    moves = choose_moves(instances, {"a": load}, {"off"})
    # Long-running tasks use 0.5 of an instance, and the other work needs 5.1 instances
    # that are filled to 85%, which is 6: in all 7, of which one exists.
    assert len(moves) == 6
    arriving = PoolLoad(1.0, 0.0, arriving=6, long_running_use=0.5, offered_load=5.1)
    assert choose_moves(instances, {"a": arriving}, {"off"}) == []


def test_pool_keeps_instances_needed_for_the_submission_rate():
    """Instances must not be switched off between two jobs of a load spike."""
    instances = [PoolInstance(f"m{n}", "a", 5.0) for n in range(4)]
    busy = {"a": PoolLoad(0.1, 0.0, offered_load=2.5)}
    assert choose_moves(instances, busy, {"off"}) == []
    quiet = {"a": PoolLoad(0.1, 0.0)}
    assert len(choose_moves(instances, quiet, {"off"})) == 3


def test_pool_that_is_not_measured_keeps_no_old_jobs():
    """Guards against memory that grows with each job of a pool without workers."""
    demand = PoolDemand()
    job = Job("a" * 16, "queue", "red", "", (Step(1, 1_000),))
    for number in range(1_000):
        demand.note("pool", job, float(number))
    assert len(demand._recent_jobs_by_pool["pool"]) < 5
