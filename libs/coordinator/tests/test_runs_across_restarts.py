"""Tests that no task runs twice when workers restart under their ids."""

from __future__ import annotations

import pytest
from libs.coordinator.tests.faulty_cluster import FaultyCluster
from libs.coordinator.tests.leased_workers import Workload
from libs.coordinator.tests.simulated_time import SimulatedTime
from libs.coordinator.tests.test_runs_stay_exclusive import settle, submit_stream
from libs.coordinator.tests.worker_network import CallFault


@pytest.fixture
def cluster():
    """A cluster in simulated time."""
    with SimulatedTime() as time:
        yield FaultyCluster(time)


@pytest.mark.parametrize("shows_incarnations", [True, False])
@pytest.mark.parametrize("down_s", [0.05, 0.4, 0.8, 1.2, 1.6])
def test_ends_of_a_new_incarnation_are_not_acknowledged_unseen(
    cluster, down_s, shows_incarnations
):
    """A task must not run again because its worker forgot an end nobody has read.

    Review case 6: a worker restarts while a poll waits for its answer, starts runs
    before the leader knows of the restart, and numbers their ends from 1 again.
    """
    cluster.shows_incarnations = shows_incarnations
    submit_stream(cluster, 0.05, 40, Workload(0.1))
    cluster.restart_worker("w0", down_s, listing_lag_s=1.5, loses_power=True)
    submit_stream(cluster, 0.05, 80, Workload(0.1))
    settle(cluster)


@pytest.mark.parametrize("shows_incarnations", [True, False])
@pytest.mark.parametrize("uncut_s", [0.0, 0.05, 0.2, 1.0])
@pytest.mark.parametrize("down_s", [0.4, 0.8, 1.2, 1.6])
def test_lease_by_a_former_clock_is_awaited(
    cluster, down_s, uncut_s, shows_incarnations
):
    """A task must not start elsewhere while a restarted worker may still run it.

    Starts reach a new incarnation with a deadline by the clock of the former one, which
    lies far ahead of the new one, so they last as long as any lease. Then the path to
    the worker is cut.
    """
    cluster.shows_incarnations = shows_incarnations
    cluster.restart_worker("w0", down_s, listing_lag_s=1.5, loses_power=True)
    cluster.time.advance(down_s + 0.01)
    for _ in range(4):
        cluster.submit(1, Workload(8.0))
    cluster.time.advance(0.03 + uncut_s)
    cluster.cut("w0", 8.0)
    cluster.time.advance(12.0)
    settle(cluster)


@pytest.mark.parametrize("uncut_s", [0.0, 0.05, 0.2, 1.0])
@pytest.mark.parametrize("down_s", [0.4, 0.8, 1.2, 1.6])
def test_late_lease_by_a_former_clock_is_awaited(cluster, down_s, uncut_s):
    """A task must not start elsewhere while a restarted worker may still run it.

    Starts are sent to a worker that has lost its power, and carried out late by its
    next incarnation, where they last as long as any lease. Then the path is cut.
    """
    cluster.add_call_fault("w0", "start", CallFault(delay_s=0.4), count=4)
    cluster.restart_worker("w0", down_s, listing_lag_s=1.5, loses_power=True)
    cluster.time.advance(down_s - 0.35)
    for _ in range(4):
        cluster.submit(1, Workload(8.0))
    cluster.time.advance(0.5 + uncut_s)
    cluster.cut("w0", 8.0)
    cluster.time.advance(12.0)
    settle(cluster)


@pytest.mark.parametrize("uncut_s", [0.0, 0.2, 1.0])
@pytest.mark.parametrize("down_s", [0.4, 0.8, 1.2, 1.6])
def test_lease_by_a_former_clock_is_not_given(cluster, down_s, uncut_s):
    """A task must not start under the next leader while a restarted worker runs it.

    The next leader does not know which leases the former one has given, so none may
    last longer than it waits. Starts that were meant for the former incarnation would
    last as long as any lease. The leader crashes, and the path to the worker is cut.
    """
    cluster.restart_worker("w0", down_s, listing_lag_s=1.5, loses_power=True)
    cluster.time.advance(down_s + 0.01)
    # Other workers have room for the tasks again when the next leader leads.
    for run_s in (8.0, 8.0, 0.3, 0.3):
        cluster.submit(1, Workload(run_s))
    cluster.time.advance(0.03 + uncut_s)
    cluster.crash_leader()
    cluster.cut("w0", 12.0)
    cluster.time.advance(16.0)
    settle(cluster)
