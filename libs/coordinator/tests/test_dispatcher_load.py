"""Tests of a leader whose planning rounds take long."""

from __future__ import annotations

import gevent
from libs.coordinator.tests.fakes import (
    JOB_ID,
    busy_wait,
    make_job,
    wait_until,
)
from libs.coordinator.tests.test_dispatcher import recorded_state

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.jobs.model import JobState, Step

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
