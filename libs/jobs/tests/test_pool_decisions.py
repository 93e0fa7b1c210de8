"""Tests of waves, pool sizes, unavailability budgets and the pace of filling tasks."""

from __future__ import annotations

import pytest

from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.availability import STUCK_S, may_stop
from lycheeloom.jobs.fleet import Fleet, Run, RunState
from lycheeloom.jobs.model import Job, Step, TaskKey, Worker
from lycheeloom.jobs.pacing import next_pace
from lycheeloom.jobs.pool_sizes import PoolInstance, PoolLoad, choose_moves
from lycheeloom.jobs.waves import WaveInstance, WaveTime, choose_next
from lycheeloom.model.resources import Resources

ON_SCHEDULE = WaveTime(0.0, 30.0, 4.0)
LATE = WaveTime(25.0, 30.0, 4.0)


def make_wave_instances(
    pool: str, count: int, standby: bool = False
) -> list[WaveInstance]:
    """Return instances of a pool; number n has n runs, or none if on standby."""
    return [
        WaveInstance(f"{pool}-{number}", pool, 0 if standby else number, 0.5, standby)
        for number in range(count)
    ]


def test_wave_does_not_exceed_its_limit_of_unavailable_instances():
    """A wave must not make more instances unavailable than its limit allows."""
    pending = make_wave_instances("a", 5) + make_wave_instances("off", 5, standby=True)
    assert len(choose_next(pending, {"a": 1, "b": 1}, 3, LATE)) == 1
    assert choose_next(pending, {"a": 3}, 3, LATE) == []


def test_wave_begins_with_standby_instances():
    """Tasks must not be disrupted while standby instances await maintenance."""
    chosen = choose_next(
        make_wave_instances("a", 2) + make_wave_instances("off", 2, standby=True),
        {},
        2,
        ON_SCHEDULE,
    )
    assert chosen == ["off-0", "off-1"]


def test_wave_on_schedule_drains_one_instance_of_a_pool():
    """Tasks that must not share a worker must find room on other instances."""
    assert len(choose_next(make_wave_instances("a", 4), {}, 4, ON_SCHEDULE)) == 1
    assert choose_next(make_wave_instances("a", 3), {"a": 1}, 4, ON_SCHEDULE) == []


def test_late_wave_drains_as_many_as_its_limit_allows():
    """A wave must not miss its deadline by draining one instance at a time."""
    assert len(choose_next(make_wave_instances("a", 4), {}, 3, LATE)) == 3


def test_waiting_work_gets_standby_instances():
    """A queue must not wait while instances are switched off.

    Load pattern: each queue in turn exceeds the capacity of its pool for some seconds.
    """
    instances = [PoolInstance("m1", "off", 0.0), PoolInstance("m2", "a", 0.0)]
    moves = choose_moves(instances, {"a": PoolLoad(1.0, 2.0)}, {"off"})
    assert [(m.instance_id, m.pool) for m in moves] == [("m1", "a")]


def test_unusable_instances_do_not_count_for_their_pool():
    """A service must not wait because unusable instances count for its pool.

    Occurs when a zone is taken out of service while the tasks of a service must not
    share a worker.
    """
    instances = [
        PoolInstance("m1", "a", 0.0),
        PoolInstance("m2", "a", 0.0, is_usable=False),
        PoolInstance("m3", "off", 0.0, is_usable=False),
        PoolInstance("m4", "off", 0.0),
    ]
    moves = choose_moves(instances, {"a": PoolLoad(0.5, 0.1, min_instances=2)}, {"off"})
    assert [(m.instance_id, m.pool) for m in moves] == [("m4", "a")]


def test_instances_that_may_not_move_count_for_their_pool():
    """A new leader must not double the size of a pool during a load spike."""
    instances = [
        PoolInstance("m1", "a", 0.0, may_move=False),
        PoolInstance("m2", "a", 5.0, may_move=False),
        PoolInstance("m3", "off", 0.0, may_move=False),
        PoolInstance("m4", "off", 0.0),
    ]
    assert (
        choose_moves(instances, {"a": PoolLoad(0.5, 0.0, min_instances=2)}, {"off"})
        == []
    )
    moves = choose_moves(instances, {"a": PoolLoad(0.5, 0.0, min_instances=4)}, {"off"})
    assert [m.instance_id for m in moves] == ["m4"]


def test_idle_unusable_instances_are_switched_off():
    """Idle instances of a zone out of service must not cost anything."""
    instances = [
        PoolInstance("m1", "a", 5.0),
        PoolInstance("m2", "a", 5.0, is_usable=False),
        PoolInstance("m3", "a", 0.0, is_usable=False),
    ]
    moves = choose_moves(instances, {"a": PoolLoad(0.5, 0.0)}, {"off"})
    assert [(m.instance_id, m.pool) for m in moves] == [("m2", "off")]


def test_draining_instance_of_a_failed_forecast_is_not_moved():
    """A worker that is draining, or may have tasks, must not be lost to a move.

    Instances that were moved for a forecast are switched off without a wait if it
    fails.
    """
    instance = PoolInstance("m1", "a", 0.0, is_usable=False, switch_off_idle_s=0.0)
    assert choose_moves([instance], {"a": PoolLoad(0.5, 0.0)}, {"off"}) == []


def test_arriving_instances_count_for_their_target_pool():
    """The same waiting work must not cause new moves in each round."""
    instances = [PoolInstance("m1", "off", 0.0), PoolInstance("m2", "a", 0.0)]
    assert choose_moves(instances, {"a": PoolLoad(1.0, 2.0, arriving=2)}, {"off"}) == []


@pytest.mark.parametrize(
    ("load", "count"),
    [
        (PoolLoad(0.0, 0.0), 2),
        (PoolLoad(0.0, 0.0, min_instances=3), 0),
        (PoolLoad(2.0, 0.0), 0),
    ],
)
def test_idle_instances_are_switched_off_if_the_pool_can_spare_them(load, count):
    """Idle instances must be switched off, unless that makes the pool too small."""
    # Two idle instances and one with tasks.
    instances = [PoolInstance(f"m{number}", "a", 5.0) for number in range(2)]
    instances.append(PoolInstance("m9", "a", 0.0))
    assert len(choose_moves(instances, {"a": load}, {"off"})) == count


def make_service(unavailable: int) -> tuple[Fleet, ActiveJob, list[Run]]:
    """Return a running service of four tasks, of which one may be unavailable.

    The first ``unavailable`` tasks are. Each task has its own worker.
    """
    step = Step(4, 1000, long_running=True, may_miss=1)
    active_job = ActiveJob(Job("a", "queue", "red", "", (step,)))
    fleet, runs = Fleet(), []
    for index in range(4):
        worker = Worker(f"w{index}", 1, "pool", "a", "z", Resources(8, 8_000))
        fleet.add_worker(worker).has_current_lists = True
        percent = 50 if index < unavailable else 100
        task = TaskKey("a", 0, 0, index)
        run = Run(task, 1, f"w{index}", step, "red", "queue", RunState.RUNNING, 0.0)
        run.percent = percent
        fleet.add_run(run)
        runs.append(run)
    return fleet, active_job, runs


def test_unavailability_budget_of_a_step_holds():
    """Stops must not leave too few tasks of a step available."""
    fleet, active_job, runs = make_service(unavailable=0)
    assert may_stop(fleet, active_job, runs[3], 1.0)
    fleet, active_job, runs = make_service(unavailable=1)
    assert not may_stop(fleet, active_job, runs[3], 1.0)
    assert may_stop(fleet, active_job, runs[0], 1.0)


def test_task_that_may_have_become_available_uses_the_budget():
    """A service that has just been restarted must not be stopped as a whole.

    An instance crashes and its tasks start together on another one. That instance is
    chosen next by a wave, before a list shows that the tasks are available.
    """
    fleet, active_job, runs = make_service(4)
    assert not any(may_stop(fleet, active_job, run, 1.0) for run in runs)
    for run in runs[1:]:
        run.percent = 100
    assert may_stop(fleet, active_job, runs[0], 1.0)
    assert not may_stop(fleet, active_job, runs[1], 1.0)


def test_stuck_task_may_always_be_stopped():
    """A wave must not wait for tasks that never become available."""
    fleet, active_job, runs = make_service(4)
    assert all(may_stop(fleet, active_job, run, 2 * STUCK_S) for run in runs)
    fleet.state_by_id["w0"].has_current_lists = False
    assert not may_stop(fleet, active_job, runs[0], 2 * STUCK_S)


def test_task_on_an_unresponsive_worker_counts_as_unavailable():
    """Runs of a crashed worker that still appear to run must use up the budget."""
    fleet, active_job, runs = make_service(unavailable=0)
    fleet.state_by_id["w0"].has_current_lists = False
    assert not may_stop(fleet, active_job, runs[3], 1.0)


def test_filling_tasks_pause_quickly_above_the_latency_target():
    """Filling tasks must not slow down other tasks for seconds."""
    percent, measurements = 100, 0
    while percent:
        percent = next_pace(percent, 1.5)
        measurements += 1
    assert measurements <= 4
    assert next_pace(0, 0.2) == 10
    assert next_pace(50, 0.8) == 50
