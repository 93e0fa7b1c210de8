"""Tests that jobs with very many tasks do not hold up the leader."""

from __future__ import annotations

import dataclasses

import gevent
import pytest
from libs.coordinator.tests.fake_store import APPEND_DURATION_S
from libs.coordinator.tests.fakes import busy_wait, make_job, wait_until

from lycheeloom.coordinator import job_registry, round_timer
from lycheeloom.coordinator.cleaner import Cleaner
from lycheeloom.coordinator.clock import wall_ms
from lycheeloom.coordinator.ports import Producer
from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.model import EndKind, Job, JobState, Step
from lycheeloom.jobs.planner import MAX_STARTS_PER_ROUND
from lycheeloom.jobs.records import (
    TASKS_PER_PART,
    JobProgress,
    Kind,
    ProgressPart,
    Record,
    decode,
    encode,
    key_of,
    part_key,
)

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


def test_many_small_tasks_start_in_several_rounds(cluster, monkeypatch):
    """Tasks beyond those of one round must not wait for the next event."""
    monkeypatch.setattr(round_timer, "PLAN_INTERVAL_S", 600.0)
    count = 3 * MAX_STARTS_PER_ROUND
    cluster.store.add_job(make_job(PLAIN_JOB_ID, Step(count)))
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == count)


def test_progress_of_a_long_timed_job_survives_a_takeover(cluster):
    """Recorded ends must not be lost because the record of the job is too large.

    The record was left out from some 3,280 occurrences on, but the ends were
    acknowledged all the same, and their tasks ran again (review, case 5).
    """
    repetitions = 2_500
    job = dataclasses.replace(
        make_job(PLAIN_JOB_ID, Step(1, 10)), repetitions=repetitions, interval_ms=0
    )
    cluster.store.add_job(job)
    first = cluster.start_leader(1)
    # What a record of 3,280 occurrences is to the store, one of 500 is here.
    first.writer.max_record_bytes = 40_000
    end_runs_at_once(cluster)
    wait_until(lambda: len(cluster.workers.started_runs) > 2_000, timeout_s=60.0)
    second = cluster.start_leader(2)
    second.writer.max_record_bytes = 40_000
    wait_until(lambda: state_of(cluster) is JobState.COMPLETED, timeout_s=60.0)
    tasks = [task for _, task, _ in cluster.workers.started_runs]
    assert len(tasks) == len(set(tasks)) == repetitions
    assert all(record.size_bytes <= 40_000 for record in cluster.store.records)


def end_runs_at_once(cluster):
    """Let all runs end as done at once from now on."""

    def end_runs():
        while True:
            cluster.workers.end_all_runs(EndKind.DONE)
            gevent.sleep(0.005)

    cluster.spawn(end_runs)


def state_of(cluster):
    """Return the state of the plain job according to the latest record."""
    key = key_of(Kind.PROGRESS, PLAIN_JOB_ID)
    values = [record.value for record in cluster.store.records if record.key == key]
    return decode(JobProgress, values[-1]).state if values else None


def test_result_is_recorded_if_the_former_leader_could_not(cluster):
    """A job must not stay unfinished if only the parts of its progress were written."""
    job = make_job(PLAIN_JOB_ID, Step(2 * TASKS_PER_PART, 10))
    cluster.store.add_job(job)
    done_part = ProgressPart(b"\xff" * (TASKS_PER_PART // 8))
    parts = [Record(part_key(PLAIN_JOB_ID, n), encode(done_part)) for n in range(2)]
    cluster.store.append(parts, Producer(1, 0))
    cluster.start_leader(2)
    wait_until(lambda: state_of(cluster) is JobState.COMPLETED)
    assert cluster.workers.started_runs == []


def test_all_records_of_a_large_job_are_removed(cluster):
    """The store must not keep the parts of a job for ever."""
    cluster.store.add_job(make_job(PLAIN_JOB_ID, Step(TASKS_PER_PART + 1, 10)))
    leader = cluster.start_leader()
    end_runs_at_once(cluster)
    wait_until(lambda: state_of(cluster) is JobState.COMPLETED, timeout_s=60.0)
    table = leader.replica.table
    wait_until(lambda: table.entry_by_id[PLAIN_JOB_ID].state is JobState.COMPLETED)
    Cleaner(leader, leader.replica, cluster.store, state_retention_s=0.0).clean()
    wait_until(lambda: PLAIN_JOB_ID not in table.entry_by_id)
    gevent.sleep(2 * APPEND_DURATION_S)
    value_by_key = {record.key: record.value for record in cluster.store.records}
    assert {key for key, value in value_by_key.items() if value} == {"L"}
