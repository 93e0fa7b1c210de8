"""Tests of what the leader does about overload: load reports and corrections."""

from __future__ import annotations

from dataclasses import replace

import gevent
import pytest
from libs.coordinator.tests.fakes import JOB_ID, FakeCluster, make_job, wait_until

from lycheeloom.coordinator.cleaner import Cleaner
from lycheeloom.coordinator.clock import wall_ms
from lycheeloom.coordinator.inventory import Inventory
from lycheeloom.coordinator.load_reporter import LoadReporter
from lycheeloom.coordinator.ports import Instance, InstanceState
from lycheeloom.coordinator.rejection_corrector import RejectionCorrector
from lycheeloom.coordinator.replica import Replica
from lycheeloom.jobs.model import Organisation, Pool, Step
from lycheeloom.jobs.records import (
    Cancellation,
    Kind,
    LoadReport,
    Record,
    Rejection,
    encode,
    key_of,
)
from lycheeloom.jobs.table import JobTable
from lycheeloom.model.resources import Resources

# Longer than a leader needs to read a record and to start a task.
START_TIME_S = 0.5


def make_inventory(cluster: FakeCluster, *pools: str) -> Inventory:
    """Return a list with an instance of each worker, and further ones without."""
    inventory = Inventory(None, None)
    ids = [*cluster.view.worker_by_id, *(f"s{n}" for n in range(len(pools)))]
    pools = ["pool"] * len(cluster.view.worker_by_id) + list(pools)
    inventory.instance_by_id = {
        i: Instance(i, pool, InstanceState.UP, "zone-a", i)
        for i, pool in zip(ids, pools, strict=True)
    }
    return inventory


def submit_work(cluster: FakeCluster, jobs: int) -> list[str]:
    """Record jobs of 8 core-seconds each, of which two run at once."""
    job_ids = [f"{number:016x}" for number in range(jobs)]
    for job_id in job_ids:
        job = make_job(job_id, Step(1, 4_000, estimated_ms=2_000))
        cluster.store.add_job(replace(job, accepted_ms=wall_ms()))
    return job_ids


def rejection_record(count: int, at_ms: int = 1) -> Record:
    rejection = Rejection(count, at_ms, at_ms)
    return Record(key_of(Kind.REJECTION, JOB_ID), encode(rejection))


def job_record(rejections: int) -> Record:
    job = replace(make_job(), rejections=rejections)
    return Record(key_of(Kind.JOB, JOB_ID), encode(job))


def test_overload_and_its_end_are_reported(cluster):
    """Guards against callers that are rejected after the load has passed.

    Load: 20 jobs of 8 core-seconds in a pool of two instances.
    """
    leader = cluster.start_leader()
    reporter = LoadReporter(leader, make_inventory(cluster))
    reporter.report()
    assert leader.replica.table.load is None
    job_ids = submit_work(cluster, 20)
    wait_until(lambda: len(cluster.workers.started_runs) >= 2)
    reporter.report()
    wait_until(lambda: leader.replica.table.load is not None)
    (load,) = leader.replica.table.load.queues
    started = len(cluster.workers.started_runs)
    cores = sum(w.capacity.cores for w in cluster.view.worker_by_id.values())
    assert load.wait_ms == pytest.approx((20 - started) * 8_000 / cores)
    for job_id in job_ids:
        cluster.store.cancel(job_id)
    wait_until(lambda: not leader.active_job_by_id)
    reporter.report()
    wait_until(lambda: leader.replica.table.load == LoadReport(1))
    end = len([r for r in cluster.store.records if r.key == "r"])
    reporter.report()
    gevent.sleep(0.1)
    assert len([r for r in cluster.store.records if r.key == "r"]) == end


def test_overload_of_an_organisation_at_its_limit_is_reported(cluster):
    """Guards against jobs that are accepted although they wait for their limit.

    Load: 20 jobs of 8 core-seconds of an organisation with a limit of 4 cores, in a
    pool with room for all of them.
    """
    policy = cluster.view.policy
    name = make_job().organisation
    limited = Organisation(name, frozenset(), 1.0, Resources(4, 0, 0))
    cluster.view.policy = replace(policy, organisation_by_name={name: limited})
    leader = cluster.start_leader()
    submit_work(cluster, 20)
    wait_until(lambda: len(cluster.workers.started_runs) >= 1)
    LoadReporter(leader, make_inventory(cluster, *["pool"] * 100)).report()
    wait_until(lambda: leader.replica.table.load is not None)
    (load,) = leader.replica.table.load.queues
    (wait,) = load.organisations
    assert load.wait_ms == 0
    started = len(cluster.workers.started_runs)
    assert (wait.organisation, wait.wait_ms) == (name, (20 - started) * 8_000 / 4)


def test_spare_instances_count_as_capacity(cluster):
    """Guards against rejections while instances can be moved to the pool."""
    policy = cluster.view.policy
    pools = {"pool": Pool("pool"), "spare": Pool("spare", standby=True)}
    cluster.view.policy = replace(policy, pool_by_name=pools)
    leader = cluster.start_leader()
    wait_until(lambda: len(leader.fleet.state_by_id) == 2)
    cores = sum(w.capacity.cores for w in cluster.view.worker_by_id.values())
    own = LoadReporter(leader, make_inventory(cluster))
    assert own.cores_by_pool() == {"pool": cores}
    with_spare = LoadReporter(leader, make_inventory(cluster, "spare", "spare"))
    assert with_spare.cores_by_pool() == {"pool": 2 * cores}


def test_leader_without_a_list_of_instances_reports_nothing(cluster):
    """Guards against rejections right after a takeover, by a fleet not known yet."""
    leader = cluster.start_leader()
    submit_work(cluster, 20)
    wait_until(lambda: len(cluster.workers.started_runs) >= 2)
    LoadReporter(leader, Inventory(None, None)).report()
    gevent.sleep(0.1)
    assert leader.replica.table.load is None


def test_runs_that_a_new_leader_does_not_know_yet_are_no_waiting_work(cluster):
    """Guards against rejections right after a takeover, for tasks that run already.

    The worker of a task of 240 core-seconds has not answered the new leader yet.
    """
    job = make_job(JOB_ID, Step(1, 4_000, estimated_ms=60_000))
    cluster.store.add_job(replace(job, accepted_ms=wall_ms()))
    first = cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    first.writer.is_fenced = True
    gevent.sleep(0.1)
    cluster.workers.worker(cluster.workers.started_runs[0][0]).is_unresponsive = True
    second = cluster.start_leader(2)
    wait_until(lambda: bool(second.active_job_by_id))
    gevent.sleep(0.3)
    LoadReporter(second, make_inventory(cluster)).report()
    gevent.sleep(0.1)
    assert second.replica.table.load is None


@pytest.mark.parametrize(("rejections", "runs"), [(0, 0), (1, 1)])
def test_job_runs_only_with_the_rejections_before_it(cluster, rejections, runs):
    """Guards against a late append that runs, and a returning job that does not."""
    cluster.start_leader()
    cluster.store.append([rejection_record(1), job_record(rejections)])
    gevent.sleep(START_TIME_S)
    assert len(cluster.workers.started_runs) == runs
    # A new leader decides by the newest records alone.
    cluster.start_leader(2)
    gevent.sleep(START_TIME_S)
    assert len(cluster.workers.started_runs) == runs


@pytest.mark.parametrize(
    ("records", "is_accepted"),
    [
        ([job_record(0), rejection_record(1), job_record(0)], True),
        ([rejection_record(1), job_record(0), rejection_record(1)], False),
    ],
)
@pytest.mark.parametrize("is_before_takeover", [True, False])
def test_leader_corrects_what_a_snapshot_would_lose(
    cluster, records, is_accepted, is_before_takeover
):
    """Guards against a next leader that loses an accepted job or runs a rejected one.

    The records come while the leader leads, or before it has taken over.
    """
    replica = Replica(cluster.store)
    assert replica.load()
    cluster.spawn(replica.run)
    if is_before_takeover:
        cluster.store.append(records)
        wait_until(lambda: JOB_ID in replica.table.entry_by_id)
    writer = cluster.start_leader().writer
    cluster.spawn(RejectionCorrector(replica, writer, cluster.store).run)
    gevent.sleep(0.05)
    if not is_before_takeover:
        cluster.store.append(records)

    def is_in_effect() -> bool:
        fresh = Replica(cluster.store)
        assert fresh.load()
        return fresh.table.entry_by_id[JOB_ID].job is not None

    wait_until(lambda: JOB_ID in replica.table.entry_by_id)
    wait_until(lambda: is_in_effect() is is_accepted)
    gevent.sleep(START_TIME_S)
    assert is_in_effect() is is_accepted
    assert not replica.table.entry_by_id[JOB_ID].needs_correction


def test_expired_rejections_are_removed_with_late_job_records(cluster):
    """Guards against rejections that accumulate, and jobs that run after their end."""
    leader = cluster.start_leader()
    records = [rejection_record(1, wall_ms()), job_record(0)]
    cluster.store.append(records)
    cluster.store.cancel(JOB_ID)
    table: JobTable = leader.replica.table
    wait_until(lambda: JOB_ID in table.entry_by_id)
    Cleaner(leader, leader.replica, cluster.store, 60.0).clean()
    gevent.sleep(START_TIME_S)
    assert JOB_ID in table.entry_by_id
    Cleaner(leader, leader.replica, cluster.store, -1.0).clean()
    wait_until(lambda: JOB_ID not in table.entry_by_id)
    gevent.sleep(START_TIME_S)
    assert cluster.workers.started_runs == []
    cluster.start_leader(2)
    gevent.sleep(START_TIME_S)
    assert cluster.workers.started_runs == []


def test_cancellation_outlives_an_expired_rejection(cluster):
    """Guards against a cancelled job that runs, as its record is appended late.

    The job was rejected long ago. A later submission got no answer, and the caller has
    just cancelled it.
    """
    leader = cluster.start_leader()
    cancellation = Record(
        key_of(Kind.CANCELLATION, JOB_ID), encode(Cancellation(wall_ms()))
    )
    cluster.store.append([rejection_record(1, wall_ms() - 1_000_000), cancellation])
    table: JobTable = leader.replica.table
    wait_until(
        lambda: JOB_ID in table.entry_by_id and table.entry_by_id[JOB_ID].cancelled
    )
    Cleaner(leader, leader.replica, cluster.store, 60.0).clean()
    cluster.store.append([job_record(1)])
    gevent.sleep(START_TIME_S)
    assert cluster.workers.started_runs == []
