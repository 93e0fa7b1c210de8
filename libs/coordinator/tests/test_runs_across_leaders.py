"""Tests of run numbers that two leaders give to the runs of one task."""

from __future__ import annotations

import gevent
import pytest
from libs.coordinator.tests.fakes import (
    JOB_ID,
    POLL_DELAY_S,
    FakeCluster,
    make_job,
    wait_until,
)

from lycheeloom.coordinator import inherited_jobs
from lycheeloom.coordinator.ports import CallOutcome
from lycheeloom.jobs.model import EndKind, JobState, Step, TaskKey
from lycheeloom.jobs.planner import Start
from lycheeloom.jobs.records import JobProgress, Kind, decode, key_of

TASK = TaskKey(JOB_ID, 0, 0, 0)


@pytest.fixture
def short_leases(monkeypatch):
    """Leaders wait only briefly for runs of their predecessor that they don't know."""
    monkeypatch.setattr(inherited_jobs, "MAX_INHERITED_LEASE_S", 0.3)


def start_on_an_unreachable_worker(cluster: FakeCluster) -> tuple[str, int]:
    """Have two leaders start a task; only the first one reaches its worker.

    The first leader records nothing of it. Returns the worker and the number of its
    run.
    """
    carry_out_start = cluster.workers.carry_out_start

    def carry_out_first_start(worker_id: str, start: Start) -> CallOutcome:
        cluster.store.is_down = True
        cluster.workers.carry_out_start = carry_out_start
        return carry_out_start(worker_id, start)

    cluster.workers.carry_out_start = carry_out_first_start
    cluster.store.add_job(make_job())
    first = cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    worker_id, _, run = cluster.workers.started_runs[0]
    first.writer.is_fenced = True
    gevent.sleep(2 * POLL_DELAY_S)
    cluster.workers.worker(worker_id).is_unresponsive = True
    cluster.store.is_down = False
    cluster.start_leader(2)
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    return worker_id, run


def job_state(cluster: FakeCluster) -> JobState | None:
    """Return the state of the job in its latest progress record."""
    key = key_of(Kind.PROGRESS, JOB_ID)
    values = [record.value for record in cluster.store.records if record.key == key]
    return decode(JobProgress, values[-1]).state if values else None


def test_number_of_an_unreachable_run_is_not_given_again(cluster, short_leases):
    """Two runs of a task must not have one number, nor the later run a lower one."""
    _, run = start_on_an_unreachable_worker(cluster)
    assert cluster.workers.started_runs[1][2] > run


def test_failures_under_two_leaders_count_twice(cluster, short_leases):
    """A task must not start again after its last attempt.

    Neither leader knows the number that the other gave, and both runs fail. With one
    number, the second failure was taken for the first one, listed again.
    """
    worker_id, _ = start_on_an_unreachable_worker(cluster)
    # The worker stays unreachable until the second failure has been recorded.
    other_id = cluster.workers.started_runs[1][0]
    cluster.workers.end_run(worker_id, TASK, EndKind.FAILED)
    cluster.workers.end_run(other_id, TASK, EndKind.FAILED)
    other = cluster.workers.worker(other_id)
    wait_until(lambda: other.acknowledged_end == 1)
    cluster.workers.worker(worker_id).is_unresponsive = False
    wait_until(lambda: cluster.workers.worker(worker_id).acknowledged_end == 1)
    assert job_state(cluster) is JobState.FAILED


def test_new_leader_gives_no_number_that_a_stop_has_barred(cluster, monkeypatch):
    """A task must not be kept from starting since a former leader used its number.

    A worker rejects a run that is not higher than one stopped there, also if that run
    never began, and lists nothing of it.
    """
    del cluster.view.worker_by_id["w1"]
    worker = cluster.workers.worker("w0")
    worker.delays_starts = True
    cluster.store.add_job(make_job())
    first = cluster.start_leader(1)
    wait_until(lambda: worker.highest_closed_run_by_task.get(TASK, 0) >= 3)
    first.writer.is_fenced = True
    gevent.sleep(2 * POLL_DELAY_S)
    worker.delays_starts = False
    outcomes: list[CallOutcome] = []
    carry_out = cluster.workers.carry_out_start

    def carry_out_start(worker_id, start):
        outcomes.append(carry_out(worker_id, start))
        return outcomes[-1]

    monkeypatch.setattr(cluster.workers, "carry_out_start", carry_out_start)
    cluster.start_leader(2)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    assert outcomes == [CallOutcome.DONE]


@pytest.mark.parametrize("token", [1, 2])
def test_numbers_of_a_job_that_no_former_leader_knew_begin_at_one(cluster, token):
    """The numbers of a task must begin at 1 unless it may have run before."""
    dispatcher = cluster.start_leader(token)
    wait_until(lambda: bool(dispatcher.link_by_id))
    cluster.store.add_job(make_job(JOB_ID, Step(2, 1000)))
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    assert sorted(run for _, _, run in cluster.workers.started_runs) == [1, 2]


def test_numbers_under_the_first_leader_begin_at_one(cluster):
    """The same for a job that was accepted before there was a leader."""
    cluster.store.add_job(make_job())
    cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    assert cluster.workers.started_runs[0][2] == 1
