"""Tests of a leader whose planning rounds take long."""

from __future__ import annotations

import gevent
from libs.coordinator.tests.fakes import busy_wait

from lycheeloom.coordinator.clock import steady_s

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
