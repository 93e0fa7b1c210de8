"""Tests of busy instances that are emptied for pools below their share."""

from __future__ import annotations

from collections import Counter

import pytest

from lycheeloom.coordinator.pool_donations import (
    MAX_EMPTYING_S,
    MIN_STAY_S,
    PoolDonations,
)
from lycheeloom.coordinator.ports import Instance, InstanceState
from lycheeloom.jobs.fleet import Fleet, Run, RunState
from lycheeloom.jobs.model import Step, TaskKey, Worker
from lycheeloom.jobs.pool_sizes import PoolLoad
from lycheeloom.model.resources import Resources

# Load: pool "old" has a backlog of many times its size, pool "new" needs as much.
LOAD_BY_POOL = {"old": PoolLoad(10.0, 90.0), "new": PoolLoad(2.0, 30.0)}
NO_LOAD_BY_POOL = {"old": PoolLoad(10.0, 90.0), "new": PoolLoad(0.0, 0.0)}


class DonationSetting:
    """Ten busy instances of pool "old" and two of pool "new"."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.instances: list[Instance] = []
        for number in range(12):
            self.add_instance(number, "old" if number < 10 else "new")
        self.maintained_ids: set[str] = set()
        self.donations = PoolDonations(
            lambda instance: self.fleet.state_by_id.get(instance.worker_id),
            lambda instance_id: instance_id in self.maintained_ids,
        )

    def add_instance(self, number: int, pool: str) -> None:
        self.fleet.add_worker(
            Worker(f"w{number}", 1, pool, "", "zone", Resources(4.0, 0, 0))
        ).has_current_lists = True
        self.instances.append(
            Instance(f"m{number}", pool, InstanceState.UP, "zone", f"w{number}")
        )
        self.add_run(number, Step(1, 4_000, estimated_ms=1_000))

    def add_run(self, number: int, step: Step) -> None:
        task = TaskKey(f"{number:016x}", 0, 0, 0)
        run = Run(task, 1, f"w{number}", step, "red", "q", RunState.RUNNING, 0.0)
        self.fleet.add_run(run)

    def end_runs(self, worker_id: str) -> None:
        for run in list(self.fleet.state_by_id[worker_id].run_by_task.values()):
            self.fleet.remove_run(run)

    def choose(self, now_s: float, load_by_pool=LOAD_BY_POOL, unmovable_ids=()):
        usable_ids = {i.instance_id for i in self.instances}
        movable_ids = usable_ids - set(unmovable_ids)
        return self.donations.choose(
            self.instances, usable_ids, movable_ids, load_by_pool, {}, (), now_s
        )

    @property
    def emptying(self) -> set[str]:
        return {i.worker_id for i in self.instances if self.is_cordoned(i.worker_id)}

    def is_cordoned(self, worker_id: str) -> bool:
        return self.fleet.state_by_id[worker_id].is_cordoned


@pytest.fixture
def setting():
    setting = DonationSetting()
    assert setting.choose(0.0) == []
    return setting


def test_emptied_instances_move_to_the_pool_below_its_share(setting):
    """Guards against a new load that waits until another backlog is done."""
    assert setting.choose(MIN_STAY_S) == []
    emptying = setting.emptying
    assert len(emptying) == 4
    setting.end_runs(next(iter(sorted(emptying))))
    (move,) = setting.choose(MIN_STAY_S + 0.5)
    assert move.pool == "new"
    # No further instances are emptied for what is on its way already.
    assert setting.emptying == emptying


def test_instance_stays_for_a_while(setting):
    """Guards against instances that only move to and fro."""
    setting.choose(MIN_STAY_S / 2)
    assert setting.emptying == set()


def test_instance_that_does_not_become_empty_gets_tasks_again(setting):
    """Guards against room that is lost behind a task that takes long."""
    setting.choose(MIN_STAY_S)
    first = setting.emptying
    setting.choose(MIN_STAY_S + MAX_EMPTYING_S, NO_LOAD_BY_POOL)
    assert first
    assert setting.emptying == set()


def test_instance_stays_if_the_load_has_ended(setting):
    """Guards against a move to a pool that no longer needs the instance."""
    setting.choose(MIN_STAY_S)
    for worker_id in setting.emptying:
        setting.end_runs(worker_id)
    assert setting.choose(MIN_STAY_S + 0.5, NO_LOAD_BY_POOL) == []
    assert setting.emptying == set()


def test_worker_that_ends_while_it_is_emptied_is_forgotten(setting):
    """Guards against a crash of the worker that leaves the instance blocked."""
    setting.choose(MIN_STAY_S)
    lost = sorted(setting.emptying)[0]
    setting.fleet.remove_worker(lost)
    instance = next(i for i in setting.instances if i.worker_id == lost)
    setting.instances.remove(instance)
    setting.choose(MIN_STAY_S + 0.25)
    assert not setting.donations.handles(instance.instance_id)


def test_long_running_tasks_are_not_disturbed(setting):
    """Guards against instances that never become empty, as their tasks do not end."""
    for number in range(10):
        setting.end_runs(f"w{number}")
        setting.add_run(number, Step(1, 4_000, long_running=True))
    setting.choose(MIN_STAY_S)
    assert setting.emptying == set()


def test_instance_that_may_no_longer_move_gets_tasks_again(setting):
    """Guards against an instance without tasks that no part of the leader handles."""
    setting.choose(MIN_STAY_S)
    assert setting.emptying
    all_ids = [instance.instance_id for instance in setting.instances]
    setting.choose(MIN_STAY_S + 0.25, unmovable_ids=all_ids)
    assert setting.emptying == set()


def test_instance_that_was_down_gets_tasks_again(setting):
    """Guards against an instance without tasks that no part of the leader handles.

    A worker that restarts under its id stays excluded from tasks until somebody ends
    this.
    """
    setting.choose(MIN_STAY_S)
    lost_id = sorted(setting.emptying)[0]
    instance = next(i for i in setting.instances if i.worker_id == lost_id)
    setting.instances.remove(instance)
    setting.choose(MIN_STAY_S + 0.25)
    assert not setting.is_cordoned(lost_id)


def test_instance_in_maintenance_gets_no_tasks(setting):
    """Guards against tasks on an instance that maintenance has taken over."""
    setting.choose(MIN_STAY_S)
    drained_id = sorted(setting.emptying)[0]
    instance = next(i for i in setting.instances if i.worker_id == drained_id)
    setting.instances.remove(instance)
    setting.maintained_ids.add(instance.instance_id)
    setting.choose(MIN_STAY_S + 0.25)
    assert not setting.donations.handles(instance.instance_id)
    assert setting.is_cordoned(drained_id)


def test_instance_that_does_not_become_empty_is_not_emptied_all_the_time(setting):
    """Guards against a pool that loses its free room to instances that never move.

    Load: tasks that run for 20 s, although they are estimated at 1 s.
    """
    emptied_s: Counter[str] = Counter()
    for tick in range(80):
        setting.choose(MIN_STAY_S + tick * 0.25)
        emptied_s.update(dict.fromkeys(setting.emptying, 0.25))
    # Twice in these 20 s, at the beginning and after the delay.
    assert 0 < max(emptied_s.values()) <= 2 * (MAX_EMPTYING_S + 0.25)


def test_instances_that_may_not_move_count_for_their_pool(setting):
    """Guards against a pool that gets the instances of another one of the same size.

    Load: two pools of ten need more than there is. Eight instances of one of them must
    stay for a wave that has just enough time left.
    """
    for number in range(12, 20):
        setting.add_instance(number, "new")
    load_by_pool = dict.fromkeys(("old", "new"), PoolLoad(10.0, 90.0))
    unmovable_ids = [f"m{number}" for number in range(12, 20)]
    for now_s in (0.0, MIN_STAY_S):
        setting.choose(now_s, load_by_pool, unmovable_ids)
    assert setting.emptying == set()
