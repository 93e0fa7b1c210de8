"""Tests of the division of instances between pools that all need more."""

from __future__ import annotations

import pytest

from lycheeloom.jobs.demand import FAST_RATE_JOBS, PoolDemand
from lycheeloom.jobs.model import Job, Step
from lycheeloom.jobs.room_sharing import (
    BusyInstance,
    PoolClaim,
    choose_donations,
    neediest_pool,
    share_instances,
)
from lycheeloom.model.resources import Resources


def make_busy(pool: str, number: int) -> list[BusyInstance]:
    return [BusyInstance(f"{pool}-{n}", pool, float(n)) for n in range(number)]


def test_pool_with_an_old_backlog_leaves_room_for_a_new_load():
    """Guards against a pool that keeps the fleet since its load came first.

    Load: a pool with a backlog of more than the fleet, then one that needs half.
    """
    claims = [
        PoolClaim("old", 260.0, 126, priority=1),
        PoolClaim("new", 60.0, 6),
        PoolClaim("idle", 10.0, 10, kept=10.0),
    ]
    shares = share_instances(claims, 142)
    assert shares["new"] == 60.0
    assert shares["idle"] == 10.0
    assert shares["old"] == 72.0


def test_pools_of_one_priority_get_equal_shares():
    """Guards against shares that follow from who has the larger backlog."""
    claims = [PoolClaim("a", 500.0, 50), PoolClaim("b", 90.0, 50)]
    assert share_instances(claims, 100) == {"a": 50.0, "b": 50.0}
    shares = share_instances([PoolClaim("a", 500.0, 50), PoolClaim("b", 20.0, 50)], 100)
    assert shares == {"a": 80.0, "b": 20.0}


@pytest.mark.parametrize("priority", [-5_000, 5_000])
def test_priorities_of_any_size_have_shares(priority):
    """Guards against a leader that stops moving instances at an unusual priority."""
    claims = [
        PoolClaim("a", 90.0, 50, priority=priority),
        PoolClaim("b", 90.0, 50, priority=priority + 1),
    ]
    shares = share_instances(claims, 92)
    assert shares == {"a": pytest.approx(61.0), "b": pytest.approx(31.0)}


def test_instances_with_least_work_are_emptied_and_no_more_than_are_lacking():
    """Guards against instances that wait long for their tasks, and against too many.

    Load: a pool at its full size while another one lacks 20 instances.
    """
    claims = [PoolClaim("a", 200.0, 80), PoolClaim("b", 60.0, 20, arriving=10)]
    chosen = choose_donations(claims, make_busy("a", 80) + make_busy("b", 20), 110)
    # The share of b is 55, so that 25 are lacking beside those that arrive.
    assert chosen == [f"a-{n}" for n in range(25)]


def test_small_differences_move_nothing():
    """Guards against instances that move to and fro between two full pools."""
    claims = [PoolClaim("a", 200.0, 52), PoolClaim("b", 200.0, 48)]
    assert choose_donations(claims, make_busy("a", 52), 100) == []


def test_emptied_instance_goes_to_the_pool_that_lacks_most_or_stays():
    """Guards against a move to a pool whose load has ended meanwhile."""
    claims = [PoolClaim("a", 200.0, 70), PoolClaim("b", 60.0, 20), PoolClaim("c", 9, 5)]
    assert neediest_pool(claims, 100) == "b"
    settled = [PoolClaim("a", 200.0, 70), PoolClaim("b", 20.0, 20)]
    assert neediest_pool(settled, 90) is None


def test_load_that_has_just_begun_is_measured_over_few_jobs():
    """Guards against a pool that gets its instances a second late.

    Load: 80 jobs a second of 1 instance-second each, for the last 0.25 s only.
    """
    capacity = Resources(4.0, 0, 0)
    rate_by_speed = {}
    for measures_fast in (False, True):
        demand = PoolDemand(measures_fast=measures_fast)
        for n in range(20):
            step = Step(1, 4_000, estimated_ms=1_000)
            job = Job(f"{n:016x}", "q", "red", "", (step,))
            demand.note("pool", job, 9.75 + n / 80)
        rate_by_speed[measures_fast] = demand.needed_instances("pool", capacity, 10.0)
    assert rate_by_speed[False] == 20.0
    assert 70.0 <= rate_by_speed[True] <= 90.0
    assert FAST_RATE_JOBS <= 20
