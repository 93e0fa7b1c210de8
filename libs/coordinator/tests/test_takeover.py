"""Tests of a new leader that does not know all runs of the previous one."""

from __future__ import annotations

import dataclasses

import gevent
import pytest
from libs.coordinator.tests.fakes import (
    JOB_ID,
    POLL_DELAY_S,
    FakeCluster,
    make_job,
    make_policy,
    make_worker,
    wait_until,
)

from lycheeloom.coordinator import inherited_jobs
from lycheeloom.coordinator.inherited_jobs import MAX_INHERITED_LEASE_S
from lycheeloom.coordinator.view import View
from lycheeloom.jobs.model import Policy, Pool, Step
from lycheeloom.model.resources import Resources

# Longer than any test takes.
LONG_S = 600.0
FORMER_POOL, NEW_POOL = "pool", "pool-2"


def policy_with_queue_in(pool: str, version: int) -> Policy:
    """Return a policy with two pools that sends the queue to the given one."""
    policy = make_policy()
    queue = dataclasses.replace(policy.queue_by_name["queue"], pool=pool)
    return dataclasses.replace(
        policy,
        version=version,
        queue_by_name={"queue": queue},
        pool_by_name={name: Pool(name) for name in (FORMER_POOL, NEW_POOL)},
    )


def lose_leader_and_holder(cluster: FakeCluster) -> None:
    """Let a leader start a task on w0, then fence it and silence w0."""
    first = cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    assert cluster.workers.started_runs[0][0] == "w0"
    first.writer.is_fenced = True
    gevent.sleep(2 * POLL_DELAY_S)
    cluster.workers.worker("w0").is_unresponsive = True


@pytest.fixture
def two_pools(cluster):
    """A fake cluster with a worker in each of two pools."""
    cluster.view.worker_by_id["w1"] = make_worker(1, NEW_POOL)
    cluster.view = View(policy_with_queue_in(FORMER_POOL, 1), cluster.view.worker_by_id)
    return cluster


def test_inherited_task_waits_for_the_former_pool_of_its_queue(two_pools):
    """A task must not run twice because its queue has just got another pool."""
    two_pools.store.add_job(make_job())
    lose_leader_and_holder(two_pools)
    two_pools.view.policy = policy_with_queue_in(NEW_POOL, 2)
    two_pools.start_leader(2)
    gevent.sleep(MAX_INHERITED_LEASE_S / 2)
    assert len(two_pools.workers.started_runs) == 1


def test_new_process_waits_for_all_pools(two_pools):
    """The same, in a process that has seen only the latest policy."""
    two_pools.store.add_job(make_job())
    lose_leader_and_holder(two_pools)
    two_pools.view = View(
        policy_with_queue_in(NEW_POOL, 2), two_pools.view.worker_by_id
    )
    two_pools.start_leader(2)
    gevent.sleep(MAX_INHERITED_LEASE_S / 2)
    assert len(two_pools.workers.started_runs) == 1


def test_new_job_does_not_wait_for_silent_workers(two_pools, monkeypatch):
    """A silent worker must not delay jobs that no earlier leader can have started."""
    monkeypatch.setattr(inherited_jobs, "MAX_INHERITED_LEASE_S", LONG_S)
    two_pools.store.add_job(make_job())
    lose_leader_and_holder(two_pools)
    two_pools.view.policy = policy_with_queue_in(NEW_POOL, 2)
    second = two_pools.start_leader(2)
    wait_until(lambda: bool(second.active_job_by_id))
    two_pools.store.add_job(make_job("1" * 16))
    wait_until(lambda: len(two_pools.workers.started_runs) == 2)
    assert two_pools.workers.started_runs[1][1].job_id == "1" * 16


def test_end_that_does_not_fit_into_a_list_counts_after_a_takeover(cluster):
    """A task must not run twice because its end is not among the first in the list.

    A worker lists only some of its ends at a time. Those of 500 and more were taken
    for all, and the tasks of the others ran again (review, case 4).
    """
    cluster.view.worker_by_id.pop("w1")
    cluster.workers.worker("w0").max_listed_ends = 2
    cluster.store.add_job(make_job(JOB_ID, Step(7, 1000)))
    first = cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 7)
    first.writer.is_fenced = True
    gevent.sleep(2 * POLL_DELAY_S)
    cluster.workers.end_all_runs()
    cluster.start_leader(2)
    wait_until(lambda: cluster.workers.worker("w0").acknowledged_end >= 7)
    assert len(cluster.workers.started_runs) == 7


def test_ends_are_awaited_beyond_the_lease_of_the_former_leader(cluster, monkeypatch):
    """The same if the worker takes longer to list its ends than the lease lasts."""
    monkeypatch.setattr(inherited_jobs, "MAX_INHERITED_LEASE_S", 2 * POLL_DELAY_S)
    test_end_that_does_not_fit_into_a_list_counts_after_a_takeover(cluster)


def test_inherited_task_waits_without_a_list_of_instances(cluster):
    """A task must not run twice because neither list names its worker.

    After an outage of the store, the registration of the worker is missing, and the
    instances cannot be listed either.
    """
    cluster.store.add_job(make_job())
    first = cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    first.writer.is_fenced = True
    gevent.sleep(2 * POLL_DELAY_S)
    worker = cluster.view.worker_by_id.pop(cluster.workers.started_runs[0][0])
    second = cluster.start_leader(2, has_instance_list=False)
    gevent.sleep(MAX_INHERITED_LEASE_S / 2)
    cluster.view.worker_by_id[worker.worker_id] = worker
    wait_until(lambda: bool(second.fleet.runs_by_task))
    assert len(cluster.workers.started_runs) == 1


def test_inherited_task_starts_without_a_list_of_instances(cluster, monkeypatch):
    """A task must not wait forever for a list of instances."""
    monkeypatch.setattr(inherited_jobs, "MAX_INHERITED_LEASE_S", 0.5)
    cluster.store.add_job(make_job())
    cluster.start_leader(has_instance_list=False)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)


@pytest.mark.parametrize("is_cancelled", [False, True])
@pytest.mark.parametrize(("limit_cores", "expected_runs"), [(4.0, 4), (5.0, 5)])
def test_unknown_runs_count_towards_the_limit_of_their_organisation(
    cluster, limit_cores, expected_runs, is_cancelled
):
    """An organisation must not exceed its limit because of a change of leader.

    Four of its tasks run on a worker that the new leader cannot reach, and it submits a
    job that no former leader can have started. It may have cancelled the first one.
    """
    cluster.view.policy = make_policy(Resources(limit_cores, 0, 0))
    other_worker = cluster.view.worker_by_id.pop("w1")
    cluster.store.add_job(make_job(JOB_ID, Step(4, 1000)))
    first = cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 4)
    first.writer.is_fenced = True
    gevent.sleep(2 * POLL_DELAY_S)
    cluster.workers.worker("w0").is_unresponsive = True
    cluster.view.worker_by_id["w1"] = other_worker
    second = cluster.start_leader(2)
    if is_cancelled:
        wait_until(lambda: "w0" in second.link_by_id)
        cluster.store.cancel(JOB_ID)
        wait_until(lambda: JOB_ID not in second.active_job_by_id)
    cluster.store.add_job(make_job("1" * 16))
    gevent.sleep(MAX_INHERITED_LEASE_S / 2)
    assert len(cluster.workers.started_runs) == expected_runs
