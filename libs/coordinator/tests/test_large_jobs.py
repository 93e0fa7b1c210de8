"""Tests that jobs with very many tasks do not hold up the leader."""

from __future__ import annotations

import dataclasses

import pytest
from libs.coordinator.tests.fakes import busy_wait, make_job, wait_until

from lycheeloom.coordinator import job_registry
from lycheeloom.coordinator.clock import wall_ms
from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.model import EndKind, Job, Step

HOUR_MS = 3_600_000
TIMED_JOBS = 20
PLAIN_JOB_ID = "b" * 16


def make_timed_job(number: int) -> Job:
    """Return a job that runs each minute for 30 days, for the first time in an hour."""
    return dataclasses.replace(
        make_job(f"{number:016x}"),
        repetitions=43_200,
        first_run_ms=wall_ms() + HOUR_MS,
        interval_ms=60_000,
    )


@pytest.fixture
def cluster_with_timed_jobs(cluster):
    """A fake cluster with accepted jobs of 43,200 occurrences, none of them due."""
    for number in range(TIMED_JOBS):
        cluster.store.add_job(make_timed_job(number))
    return cluster


def test_timed_jobs_do_not_keep_a_leader_from_starting_others(cluster_with_timed_jobs):
    """The state of 864,000 occurrences took longer to build than the lease lasts.

    No instance kept the lead, so nothing ran any more (review, case 1).
    """
    cluster = cluster_with_timed_jobs
    cluster.store.add_job(make_job(PLAIN_JOB_ID))
    leader = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    assert cluster.workers.started_runs[0][1].job_id == PLAIN_JOB_ID
    timed_jobs = [
        active_job
        for active_job in leader.active_job_by_id.values()
        if active_job.job.repetitions
    ]
    assert len(timed_jobs) == TIMED_JOBS
    assert not any(active_job.tasks_by_step for active_job in timed_jobs)


def test_lease_is_renewed_while_many_jobs_are_inherited(cluster, monkeypatch):
    """A takeover with many jobs must not end the new leader's lease."""
    appends_while_opening = []

    def open_slowly(*arguments):
        busy_wait(0.03)
        appends_while_opening.append(len(cluster.store.records))
        return ActiveJob(*arguments)

    monkeypatch.setattr(job_registry, "ActiveJob", open_slowly)
    for number in range(60):
        cluster.store.add_job(make_job(f"{number:016x}"))
    cluster.start_leader()
    wait_until(lambda: len(appends_while_opening) == 60)
    # 60 jobs take longer than four renewal intervals.
    assert appends_while_opening[-1] - appends_while_opening[0] >= 2


def test_job_that_arrives_during_a_takeover_is_not_missed(cluster, monkeypatch):
    """A record that is read while jobs are inherited must be processed too."""

    def open_slowly(*arguments):
        busy_wait(0.03)
        return ActiveJob(*arguments)

    monkeypatch.setattr(job_registry, "ActiveJob", open_slowly)
    for number in range(20):
        cluster.store.add_job(make_job(f"{number:016x}"))
    leader = cluster.start_leader()
    wait_until(lambda: bool(leader.active_job_by_id))
    cluster.store.add_job(make_job(PLAIN_JOB_ID))
    wait_until(lambda: len(leader.active_job_by_id) == 21)


def test_large_step_is_started_in_order(cluster):
    """A step of 100,000 tasks must not cost more for each task than a small one."""
    cluster.store.add_job(make_job(PLAIN_JOB_ID, Step(100_000, 1000)))
    leader = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 16)
    cluster.workers.end_all_runs(EndKind.DONE)
    wait_until(lambda: len(cluster.workers.started_runs) == 32)
    indexes = sorted(task.index for _, task, _ in cluster.workers.started_runs)
    assert indexes == list(range(32))
    [step_tasks] = leader.active_job_by_id[PLAIN_JOB_ID].tasks_by_step.values()
    assert len(step_tasks.waiting) == 100_000 - 32
