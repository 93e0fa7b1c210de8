"""Tests of a leader that could not act for longer than the workers' leases."""

from __future__ import annotations

from collections import Counter

import gevent
import pytest
from libs.coordinator.tests.fakes import JOB_ID, FakeCluster, make_job, wait_until
from libs.coordinator.tests.test_dispatcher import recorded_state

from lycheeloom.coordinator import task_orders, worker_link
from lycheeloom.coordinator.dispatcher import Dispatcher
from lycheeloom.jobs.model import EndKind, JobState, Step

# Replaces the duration of the workers' leases, to keep the tests short.
LEASE_S = 1.2
# Processor time of a start order. Orders for some workers together take longer than the
# pause of the leader's main loop, so the loop goes on while orders remain to be sent.
START_CPU_S = 0.004


@pytest.fixture
def cluster(monkeypatch):
    """A fake cluster of 16 workers with short leases."""
    monkeypatch.setattr(worker_link, "WORKER_LEASE_S", LEASE_S)
    cluster = FakeCluster(16)
    yield cluster
    cluster.close()


def wait_for_outage(cluster: FakeCluster, dispatcher: Dispatcher) -> None:
    """Silence the store until the leader may not act and all leases have expired."""
    cluster.store.is_down = True
    wait_until(lambda: not dispatcher.writer.may_act)
    links = dispatcher.link_by_id.values()
    wait_until(lambda: all(link.is_lease_expired for link in links))


def end_runs_as_lapsed(cluster: FakeCluster) -> None:
    """End all runs, as workers do when their lease expires."""
    cluster.workers.end_all_runs(EndKind.LAPSED)


def test_task_starts_once_after_an_outage(cluster):
    """A run that has just begun must not be released with the runs of before."""
    cluster.store.add_job(make_job(JOB_ID, Step(128, 1000)))
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 128)
    wait_for_outage(cluster, dispatcher)
    end_runs_as_lapsed(cluster)
    cluster.workers.started_runs.clear()
    cluster.workers.start_cpu_s = START_CPU_S
    cluster.store.is_down = False
    # Plan before the first polls after the outage.
    wait_until(lambda: dispatcher.writer.may_act)
    dispatcher.wake()
    wait_until(lambda: len(cluster.workers.started_runs) >= 128)
    gevent.sleep(0.5)
    starts_by_task = Counter(task for _, task, _ in cluster.workers.started_runs)
    assert max(starts_by_task.values()) == 1


def test_end_during_an_outage_counts(cluster):
    """A task that ended during an outage must not run again."""
    cluster.store.add_job(make_job())
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    cluster.store.is_down = True
    wait_until(lambda: not dispatcher.writer.may_act)
    # No poll is under way that could list the end.
    gevent.sleep(1.0)
    cluster.workers.end_all_runs(EndKind.DONE)
    wait_for_outage(cluster, dispatcher)
    cluster.store.is_down = False
    wait_until(lambda: recorded_state(cluster) is JobState.COMPLETED)
    assert len(cluster.workers.started_runs) == 1


def test_end_listed_after_the_lease_counts(cluster):
    """A task must not run again because its worker did not respond for a while."""
    for worker_id in list(cluster.view.worker_by_id)[1:]:
        del cluster.view.worker_by_id[worker_id]
    cluster.store.add_job(make_job())
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    worker = cluster.workers.worker("w0")
    worker.is_unresponsive = True
    wait_until(lambda: not dispatcher.fleet.runs_by_task)
    cluster.workers.end_all_runs(EndKind.DONE)
    worker.is_unresponsive = False
    wait_until(lambda: recorded_state(cluster) is JobState.COMPLETED)
    assert len(cluster.workers.started_runs) == 1


def test_start_that_waits_for_its_turn_gets_a_valid_lease(cluster, monkeypatch):
    """A busy leader must not send only starts whose lease has ended by then."""
    original_spawn = gevent.spawn

    def spawn(function, *args):
        if getattr(function, "__name__", "") == "_start":
            return gevent.spawn_later(1.5 * LEASE_S, function, *args)
        return original_spawn(function, *args)

    monkeypatch.setattr(task_orders.gevent, "spawn", spawn)
    cluster.store.add_job(make_job(JOB_ID, Step(8, 1000)))
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 8)
