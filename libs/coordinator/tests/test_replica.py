"""Tests of following the logs."""

from __future__ import annotations

import gevent

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.replica import MAX_READ_AGE_S, Replica


def test_replica_stays_fresh_while_nothing_is_written(cluster):
    """An idle fleet must not refuse jobs because its long polls return nothing."""
    replica = Replica(cluster.store)
    cluster.spawn(replica.run)
    gevent.sleep(0.1)
    until_s = steady_s() + 2 * MAX_READ_AGE_S
    while steady_s() < until_s:
        assert replica.is_fresh
        gevent.sleep(0.02)
