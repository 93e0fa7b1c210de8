"""Tests of a leader whose planning rounds take long."""

from __future__ import annotations

import dataclasses

import gevent
from libs.coordinator.tests.fakes import (
    JOB_ID,
    busy_wait,
    make_job,
    wait_until,
)
from libs.coordinator.tests.test_dispatcher import recorded_state

from lycheeloom.coordinator import worker_link
from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.ports import Log
from lycheeloom.coordinator.replica import Replica
from lycheeloom.coordinator.task_orders import MAX_STOPS_IN_FLIGHT
from lycheeloom.jobs.model import JobState, Step

# Longer than any test takes.
LONG_S = 600.0
ROUND_S = 0.03
ROUNDS = 20


def test_planning_leaves_processor_time_for_orders_and_polls(cluster, monkeypatch):
    """Leases must not expire because one planning round follows the other.

    A queue with much waiting work makes the rounds long, and each end of a run wakes
    the leader.
    """
    dispatcher = cluster.start_leader()
    planned_at_s: list[float] = []

    def plan_slowly():
        busy_wait(ROUND_S)
        planned_at_s.append(steady_s())
        dispatcher.wake()

    monkeypatch.setattr(dispatcher, "_plan", plan_slowly)
    while len(planned_at_s) < ROUNDS:
        gevent.sleep(ROUND_S)
    planning_s = (ROUNDS - 1) * ROUND_S
    elapsed_s = planned_at_s[-1] - planned_at_s[0]
    assert planning_s / elapsed_s < 0.6


def test_nothing_starts_while_cancellations_cannot_be_read(cluster):
    """A task must not start long after its job was cancelled.

    The reads of the leader fail or are late, but it still renews its lease.
    """
    cluster.store.add_job(make_job(JOB_ID, Step(1, 1000), Step(1, 1000, after=(0,))))
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    cluster.store.rejects_reads = True
    cluster.store.cancel(JOB_ID)
    wait_until(lambda: not dispatcher.replica.is_fresh)
    cluster.workers.end_all_runs()
    gevent.sleep(1.0)
    cluster.store.rejects_reads = False
    wait_until(lambda: recorded_state(cluster) is JobState.CANCELLED)
    assert len(cluster.workers.started_runs) == 1


def test_unanswered_stops_do_not_delay_a_cancellation(cluster, monkeypatch):
    """The jobs of other callers must be cancelled while many stops are repeated."""
    monkeypatch.setattr(worker_link, "WORKER_LEASE_S", LONG_S)
    cluster.store.add_job(make_job(JOB_ID, Step(2 * MAX_STOPS_IN_FLIGHT, 10)))
    dispatcher = cluster.start_leader()
    wait_until(
        lambda: (
            len(cluster.workers.started_runs) == 2 * MAX_STOPS_IN_FLIGHT
            and len(dispatcher.replica.table.entry_by_id) == 1
        )
    )
    for worker in cluster.workers.by_id.values():
        worker.is_unresponsive = True
    cluster.store.cancel(JOB_ID)
    other_job_id = "1" * 16
    cluster.store.add_job(make_job(other_job_id, Step(1, 1000)))
    cluster.store.cancel(other_job_id)
    wait_until(lambda: recorded_state(cluster, other_job_id) is JobState.CANCELLED)


def test_page_of_a_longer_log_does_not_count_as_current(cluster, monkeypatch):
    """A leader that reads a long log page by page must not take itself for current."""
    replica = Replica(cluster.store)
    assert replica.load()
    loaded_at_s = replica.read_at_s
    for number in range(3):
        cluster.store.cancel(f"{number:016x}")
    original_read = cluster.store.read

    def read_page(log, offset, wait_s):
        result = original_read(log, offset, wait_s)
        if log is Log.CALLERS and offset > 0:
            assert replica.read_at_s == loaded_at_s
        page = result.records[:1]
        next_offset = offset + len(page)
        return dataclasses.replace(result, records=page, next_offset=next_offset)

    monkeypatch.setattr(cluster.store, "read", read_page)
    assert replica.refresh_jobs()
    assert len(replica.table.entry_by_id) == 3
