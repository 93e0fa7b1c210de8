"""Tests that no task runs twice, whatever fails."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from libs.coordinator.tests.faulty_cluster import FaultyCluster
from libs.coordinator.tests.leased_workers import Workload
from libs.coordinator.tests.simulated_time import SimulatedTime
from libs.coordinator.tests.worker_network import CallFault
from loguru import logger

from lycheeloom.coordinator.features import NO_FEATURES

WORKERS = st.sampled_from(["w0", "w1", "w2", "w3"])
WORKLOADS = [
    Workload(0.3),
    Workload(1.5),
    Workload(1.5, failures=2),
    Workload(6.0),
    Workload(None),
]
CALL_FAULTS = [
    CallFault(loses_answer=True),
    # The answer takes longer than several planning rounds.
    CallFault(answer_delay_s=0.3),
    CallFault(delay_s=0.5),
    # Carried out after the caller's timeout.
    CallFault(delay_s=1.0),
    CallFault(delay_s=2.5),
    CallFault(delay_s=3.9),
]
# Shorter and longer than the leader's lease, a worker's lease and the longest lease.
SILENCES_S = [0.5, 2.0, 3.0, 4.5, 6.0, 11.0]
# After each fault, the cluster runs on for one of these times.
PAUSES = st.sampled_from([0.0, 0.02, 0.1, 0.4, 1.0, 2.5])
# Coordinators apply a configuration this long after its publication.
LAGS = st.sampled_from([0.0, 0.3, 1.8])
# Simulated time within which all jobs end when nothing fails any more.
SETTLE_S = 60.0


def explain(cluster: FaultyCluster) -> str:
    """Return what the workers have carried out, for a message."""
    return "\n".join([*cluster.monitor.violations, *cluster.monitor.history])


def check_exclusive(cluster: FaultyCluster) -> None:
    """Check that no task has run twice so far."""
    assert not cluster.monitor.violations, explain(cluster)


def settle(cluster: FaultyCluster) -> None:
    """Let nothing fail any more, and check that all jobs come to their end."""
    cluster.time.spawn_delay_s = 0.0
    cluster.lift_faults()
    end_s = cluster.time.now_s + SETTLE_S
    while cluster.time.now_s < end_s and cluster.unfinished_jobs():
        cluster.time.advance(0.5)
        cluster.lift_faults()
    check_exclusive(cluster)
    assert not cluster.unfinished_jobs(), explain(cluster)


def submit_stream(
    cluster: FaultyCluster,
    interval_s: float,
    count: int,
    workload: Workload = WORKLOADS[0],
) -> None:
    """Submit short jobs at an interval."""
    for _ in range(count):
        cluster.submit(1, workload)
        cluster.time.advance(interval_s)


class FaultMachine(RuleBasedStateMachine):
    """Runs jobs while workers, their network, the store and leaders fail."""

    features = NO_FEATURES

    def __init__(self) -> None:
        super().__init__()
        self.time = SimulatedTime()
        self.time.__enter__()
        self.cluster = FaultyCluster(self.time, self.features)

    def teardown(self) -> None:
        try:
            if not self.cluster.monitor.violations:
                settle(self.cluster)
        finally:
            self.time.__exit__()

    @initialize(workloads=st.lists(st.sampled_from(WORKLOADS), max_size=3))
    def submit_some(self, workloads):
        for workload in workloads:
            self.cluster.submit(1, workload)
        self.time.advance(0.2)

    @precondition(lambda self: len(self.cluster.job_by_id) < 6)
    @rule(tasks=st.integers(1, 2), workload=st.sampled_from(WORKLOADS), pause_s=PAUSES)
    def submit(self, tasks, workload, pause_s):
        self.cluster.submit(tasks, workload)
        self.time.advance(pause_s)

    @precondition(lambda self: len(self.cluster.job_by_id) < 20)
    @rule(interval_s=st.sampled_from([0.013, 0.1]), pause_s=PAUSES)
    def submit_stream(self, interval_s, pause_s):
        submit_stream(self.cluster, interval_s, 15)
        self.time.advance(pause_s)

    @rule(
        worker_id=WORKERS,
        kind=st.sampled_from(["start", "stop", "poll"]),
        fault=st.sampled_from(CALL_FAULTS),
        count=st.integers(1, 3),
        pause_s=PAUSES,
    )
    def disturb_calls(self, worker_id, kind, fault, count, pause_s):
        self.cluster.add_call_fault(worker_id, kind, fault, count)
        self.time.advance(pause_s)

    @rule(
        worker_id=WORKERS,
        duration_s=st.sampled_from([0.5, 1.5, 3.0, 5.0, 7.0]),
        keeps_orders=st.booleans(),
        pause_s=PAUSES,
    )
    def cut_worker(self, worker_id, duration_s, keeps_orders, pause_s):
        self.cluster.cut(worker_id, duration_s, keeps_orders)
        self.time.advance(pause_s)

    @rule(
        worker_id=WORKERS,
        down_s=st.sampled_from([0.02, 0.5, 2.0]),
        listing_lag_s=st.sampled_from([0.1, 1.0]),
        loses_power=st.booleans(),
        pause_s=PAUSES,
    )
    def restart_worker(self, worker_id, down_s, listing_lag_s, loses_power, pause_s):
        self.cluster.restart_worker(worker_id, down_s, listing_lag_s, loses_power)
        self.time.advance(pause_s)

    @rule(worker_id=WORKERS, duration_s=st.sampled_from([1.0, 4.0]), pause_s=PAUSES)
    def unlist_worker(self, worker_id, duration_s, pause_s):
        self.cluster.unregister(worker_id, duration_s)
        self.time.advance(pause_s)

    @rule(
        duration_s=st.sampled_from(SILENCES_S),
        executes_silently=st.booleans(),
        pause_s=PAUSES,
    )
    def silence_store(self, duration_s, executes_silently, pause_s):
        self.cluster.silence_store(duration_s, executes_silently)
        self.time.advance(pause_s)

    @rule(
        resigns=st.booleans(),
        lags_s=st.none() | st.tuples(LAGS, LAGS),
        submits=st.booleans(),
        cut_s=st.sampled_from([0.0, 0.5, 3.0]),
        pause_s=PAUSES,
    )
    def replace_leader(self, resigns, lags_s, submits, cut_s, pause_s):
        if lags_s is not None:
            self._move_queue(*lags_s)
        if submits:
            self.time.advance(0.05)
            self.cluster.submit(1, Workload(1.5))
            self.time.advance(0.2)
        if cut_s:
            for worker_id in self.cluster.busy_workers():
                self.cluster.cut(worker_id, cut_s)
        if resigns:
            self.cluster.resign_leader()
        else:
            self.cluster.crash_leader()
        self.time.advance(pause_s)

    @rule(leader_lag_s=LAGS, others_lag_s=LAGS, pause_s=PAUSES)
    def move_queue(self, leader_lag_s, others_lag_s, pause_s):
        self._move_queue(leader_lag_s, others_lag_s)
        self.time.advance(pause_s)

    @precondition(lambda self: self.cluster.job_by_id)
    @rule(data=st.data(), pause_s=PAUSES)
    def cancel(self, data, pause_s):
        self.cluster.cancel(data.draw(st.sampled_from(sorted(self.cluster.job_by_id))))
        self.time.advance(pause_s)

    @rule(duration_s=st.sampled_from([0.5, 2.0, 3.0, 6.0]), pause_s=PAUSES)
    def freeze_leader(self, duration_s, pause_s):
        self.cluster.freeze_leader(duration_s)
        self.time.advance(pause_s)

    @rule(spawn_delay_s=st.sampled_from([0.0, 0.02, 0.2]), pause_s=PAUSES)
    def keep_leader_busy(self, spawn_delay_s, pause_s):
        self.time.spawn_delay_s = spawn_delay_s
        self.time.advance(pause_s)

    @rule(pause_s=st.sampled_from([0.5, 2.0, 5.0]))
    def wait(self, pause_s):
        self.time.advance(pause_s)

    @invariant()
    def runs_are_exclusive(self):
        check_exclusive(self.cluster)

    def _move_queue(self, leader_lag_s, others_lag_s):
        current = self.cluster.policy.queue_by_name["queue"].pool
        pool = "other" if current == "pool" else "pool"
        self.cluster.move_queue(pool, leader_lag_s, others_lag_s)


# No task may run twice or be lost, whatever fails.
TestFaults = FaultMachine.TestCase
TestFaults.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=20,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


@pytest.fixture(autouse=True, scope="module")
def quiet_log():
    """Log nothing: the history of the monitor shows what happened."""
    logger.disable("lycheeloom")
    yield
    logger.enable("lycheeloom")


@pytest.fixture
def cluster():
    """A cluster in simulated time."""
    with SimulatedTime() as time:
        yield FaultyCluster(time)


def test_jobs_complete_without_faults(cluster):
    """All kinds of jobs must come to their end."""
    for workload in WORKLOADS:
        cluster.submit(2, workload)
    settle(cluster)


def test_start_begun_after_an_outage_is_kept(cluster):
    """A task must not be taken for lapsed before its first lease is granted.

    After an outage of the store longer than a lease, a busy leader plans several times
    before it sends the first start.
    """
    cluster.silence_store(6.0)
    cluster.time.advance(5.95)
    cluster.time.spawn_delay_s = 0.05
    submit_stream(cluster, 0.013, 100)
    settle(cluster)


def test_run_started_by_a_new_incarnation_is_known(cluster):
    """A task must not start elsewhere while a restarted worker runs it.

    The new incarnation starts a run before the leader knows of the restart.
    """
    cluster.move_queue("other", 0.0, 0.0)
    cluster.restart_worker("w2", down_s=0.02, listing_lag_s=0.1)
    cluster.time.advance(0.03)
    cluster.submit(1, Workload(1.5))
    cluster.time.advance(5.0)
    settle(cluster)


def test_start_under_way_during_a_restart_is_known(cluster):
    """A task must not start elsewhere while a new incarnation may still start it.

    The start reaches the new incarnation after the caller's timeout.
    """
    cluster.add_call_fault("w0", "start", CallFault(delay_s=1.0))
    cluster.submit(1, Workload(1.5))
    cluster.time.advance(0.3)
    cluster.restart_worker("w0", down_s=0.02, listing_lag_s=0.1)
    cluster.time.advance(5.0)
    settle(cluster)


def test_takeover_waits_for_the_former_pool_of_a_queue(cluster):
    """A task must not start in another pool while the former pool may run it.

    A configuration moves the queue, the leader crashes, and the new leader cannot reach
    the worker that runs the task.
    """
    cluster.submit(1, Workload(6.0))
    cluster.time.advance(0.5)
    cluster.cut("w0", 3.0)
    cluster.move_queue("other", 0.0, 0.0)
    cluster.crash_leader()
    cluster.time.advance(5.0)
    settle(cluster)


def test_end_in_the_former_pool_of_a_queue_is_known(cluster):
    """A task must not start in another pool after it is done in the former one.

    A configuration moves the queue, and the leader resigns before it sees the end.
    """
    cluster.submit(1, Workload(0.3))
    cluster.time.advance(0.2)
    cluster.cut("w0", 0.5)
    cluster.move_queue("other", 0.0, 0.0)
    cluster.resign_leader()
    cluster.time.advance(5.0)
    settle(cluster)


def test_takeover_knows_the_pool_of_a_later_configuration(cluster):
    """A task must not start twice since the new leader applies configurations late.

    The task runs where only the former leader's configuration sends its queue.
    """
    cluster.move_queue("other", 0.0, 1.8)
    cluster.time.advance(0.05)
    cluster.submit(1, Workload(6.0))
    cluster.time.advance(0.3)
    cluster.cut("w2", 3.0)
    cluster.resign_leader()
    cluster.time.advance(5.0)
    settle(cluster)


def test_start_to_a_worker_that_is_down_is_not_forgotten(cluster):
    """A task must not start elsewhere while a worker that is down may still start it.

    The list of instances lacks the worker until it comes back under its id; the start
    under way then reaches the new incarnation.
    """
    cluster.add_call_fault("w0", "start", CallFault(delay_s=2.5))
    cluster.submit(1, Workload(6.0))
    cluster.time.advance(0.02)
    cluster.restart_worker("w0", down_s=2.0, listing_lag_s=0.1)
    cluster.time.advance(5.0)
    settle(cluster)
