"""Tests that no task runs twice with ratings of workers, whatever fails."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule
from libs.coordinator.tests.leased_workers import Workload
from libs.coordinator.tests.test_runs_stay_exclusive import (
    PAUSES,
    FaultMachine,
    quiet_log,
)

from lycheeloom.coordinator.features import Features

__all__ = ["quiet_log"]

# Runs that are stopped early once their worker counts as stalling, and those that last
# longer than the early limit but make progress.
WORKLOADS = [Workload(0.3, stalls=1), Workload(1.5, stalls=2), Workload(3.0)]


class RatedFaultMachine(FaultMachine):
    """Runs jobs, some of which stall at first, under leaders that rate workers."""

    features = Features(worker_ratings=True)

    @precondition(lambda self: len(self.cluster.job_by_id) < 12)
    @rule(tasks=st.integers(1, 4), workload=st.sampled_from(WORKLOADS), pause_s=PAUSES)
    def submit_stalling(self, tasks, workload, pause_s):
        self.cluster.submit(tasks, workload)
        self.time.advance(pause_s)


# A stop after a shorter time without progress must not let a task run twice either.
TestRatedFaults = RatedFaultMachine.TestCase
TestRatedFaults.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=20,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
