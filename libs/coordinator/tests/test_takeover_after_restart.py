"""Tests that a new leader knows how long runs on restarted workers may last."""

from __future__ import annotations

import pytest
from libs.coordinator.tests.faulty_cluster import FaultyCluster
from libs.coordinator.tests.leased_workers import Workload
from libs.coordinator.tests.simulated_time import SimulatedTime
from libs.coordinator.tests.test_runs_stay_exclusive import settle
from libs.coordinator.tests.worker_network import CallFault

# Starts are carried out by the new incarnation of the worker, which has been down
# meanwhile.
START_DELAY_S = 0.5
DOWN_S = 0.4
LISTING_LAG_S = 0.05


@pytest.fixture
def cluster():
    """A cluster in simulated time."""
    with SimulatedTime() as time:
        yield FaultyCluster(time)


def restart_during_starts(
    cluster: FaultyCluster, fault: CallFault, listing_lag_s: float
) -> None:
    """Let late starts by a former clock reach a new incarnation of a worker."""
    cluster.add_call_fault("w0", "start", fault, count=2)
    for _ in range(2):
        cluster.submit(1, Workload(8.0))
    cluster.time.advance(0.05)
    cluster.restart_worker("w0", DOWN_S, listing_lag_s, loses_power=True)
    cluster.time.advance(START_DELAY_S)
    history = "\n".join(cluster.monitor.history)
    assert "w0 starts" in history.partition("w0 restarts")[2], history


# No new leader may start a task elsewhere while a restarted worker may still run it by
# a lease that its predecessor granted by the clock of the former incarnation.
@pytest.mark.parametrize("loses_answer", [False, True])
@pytest.mark.parametrize("cut_s", [0.0, 0.6])
@pytest.mark.parametrize("crash_s", [0.0, 1.0])
def test_new_leader_awaits_lease_by_a_former_clock(
    cluster, crash_s, cut_s, loses_answer
):
    """A task must not start twice since a new leader does not know of a long lease.

    The platform lists the new incarnation soon. The leader crashes ``crash_s`` after
    the start, and the worker is cut off ``cut_s`` later, for longer than any lease.
    """
    fault = CallFault(delay_s=START_DELAY_S, loses_answer=loses_answer)
    restart_during_starts(cluster, fault, LISTING_LAG_S)
    cluster.time.advance(crash_s)
    cluster.crash_leader()
    cluster.time.advance(cut_s)
    cluster.cut("w0", 11.0)
    cluster.time.advance(12.0)
    settle(cluster)


# The leader that sent a start without an answer must not start its task elsewhere while
# the next incarnation of the worker may run it by a lease of the longest duration.
@pytest.mark.parametrize("cut_s", [0.0, 0.1])
def test_unanswered_start_is_awaited_for_the_longest_lease(cluster, cut_s):
    """A task must not start twice since nothing shows that its worker has restarted.

    The start gets no answer, and neither lists nor a report of the new incarnation
    reach the leader.
    """
    fault = CallFault(delay_s=START_DELAY_S, loses_answer=True)
    restart_during_starts(cluster, fault, listing_lag_s=9.0)
    cluster.time.advance(cut_s)
    cluster.cut("w0", 11.0)
    cluster.time.advance(12.0)
    settle(cluster)
