"""Tests of records that the store appends after their caller has given up."""

from __future__ import annotations

import gevent
import pytest
from libs.coordinator.tests.fakes import JOB_ID, FakeCluster, make_job, wait_until

from lycheeloom.coordinator.cleaner import Cleaner
from lycheeloom.coordinator.intake import Intake, Verdict
from lycheeloom.coordinator.ports import AppendUnknown, NotAppended
from lycheeloom.coordinator.replica import Replica
from lycheeloom.jobs.model import JobState
from lycheeloom.jobs.records import Kind, Record, key_of

# Longer than a leader needs to read a record and to start a task.
START_TIME_S = 0.5


def start_intake(cluster: FakeCluster) -> Intake:
    """Start the part of an instance that serves callers."""
    replica = Replica(cluster.store)
    intake = Intake(cluster.store, replica)
    cluster.spawn(replica.run)
    cluster.spawn(intake.run)
    wait_until(lambda: replica.reaches_store)
    return intake


@pytest.fixture
def intake(cluster):
    """An instance that serves callers beside a leader."""
    cluster.leader = cluster.start_leader()
    return start_intake(cluster)


def lose_appends(cluster: FakeCluster, monkeypatch, result) -> None:
    """Let appends to the callers' log have a result and no effect."""
    append = cluster.store.append

    def append_leader_records(records, producer=None, **kwargs):
        return append(records, producer, **kwargs) if producer else result

    monkeypatch.setattr(cluster.store, "append", append_leader_records)


def test_job_whose_record_is_late_does_not_run_after_its_cancelling(cluster, intake):
    """A job must not run once its cancelling was answered with "no such job".

    Review case 8: the store appends the record of the submission after that answer.
    """
    assert intake.cancel(JOB_ID).verdict is Verdict.NO_SUCH_JOB
    cluster.store.add_job(make_job())
    gevent.sleep(START_TIME_S)
    assert cluster.workers.started_runs == []
    wait_until(lambda: intake.look_up(JOB_ID) is JobState.CANCELLED)


def test_job_cancelled_before_a_change_of_leader_does_not_run(cluster, intake):
    """The same, if a new leader reads the cancellation and the late record at once."""
    assert intake.cancel(JOB_ID).verdict is Verdict.NO_SUCH_JOB
    cluster.leader.writer.is_fenced = True
    gevent.sleep(START_TIME_S)
    cluster.store.add_job(make_job())
    cluster.start_leader(2)
    gevent.sleep(START_TIME_S)
    assert cluster.workers.started_runs == []


def test_cancellation_recorded_by_an_earlier_version_counts(cluster, intake):
    """A job must stay cancelled across an update; earlier records hold no time."""
    cluster.store.append([Record(key_of(Kind.CANCELLATION, JOB_ID), b"1")])
    cluster.store.add_job(make_job())
    wait_until(lambda: intake.look_up(JOB_ID) is JobState.CANCELLED)
    assert cluster.workers.started_runs == []


def test_repeated_submission_of_a_cancelled_job_does_not_run(cluster, intake):
    """A call that a network delivers late must not undo a cancelling."""
    assert intake.cancel(JOB_ID).verdict is Verdict.NO_SUCH_JOB
    assert intake.submit(make_job()).verdict is Verdict.ACCEPTED
    wait_until(lambda: intake.look_up(JOB_ID) is JobState.CANCELLED)
    assert cluster.workers.started_runs == []


@pytest.mark.parametrize(
    ("result", "verdict"),
    [
        (NotAppended("status 503"), Verdict.NOT_ACCEPTED),
        (AppendUnknown("no answer in time"), Verdict.UNKNOWN),
    ],
)
def test_cancelling_of_an_unknown_job_is_answered_when_it_is_recorded(
    cluster, intake, monkeypatch, result, verdict
):
    """A caller must not hear "no such job" if nothing keeps the job from running."""
    lose_appends(cluster, monkeypatch, result)
    assert intake.cancel(JOB_ID).verdict is verdict


def test_job_does_not_count_as_unknown_while_its_record_may_arrive(
    cluster, intake, monkeypatch
):
    """A caller must not submit a job again under another id while the first may run."""
    assert intake.look_up(JOB_ID).verdict is Verdict.NO_SUCH_JOB
    lose_appends(cluster, monkeypatch, AppendUnknown("no answer in time"))
    submission = gevent.spawn(intake.submit, make_job())
    gevent.sleep(0.05)
    assert intake.look_up(JOB_ID).verdict is Verdict.UNKNOWN
    assert submission.get().verdict is Verdict.UNKNOWN
    assert intake.look_up(JOB_ID).verdict is Verdict.UNKNOWN
    monkeypatch.undo()
    cluster.store.add_job(make_job())
    assert isinstance(intake.look_up(JOB_ID), JobState)


def test_refused_submission_leaves_the_job_unknown(cluster, intake, monkeypatch):
    """A job that was certainly not recorded must not seem to be on its way."""
    lose_appends(cluster, monkeypatch, NotAppended("status 503"))
    assert intake.submit(make_job()).verdict is Verdict.NOT_ACCEPTED
    assert intake.look_up(JOB_ID).verdict is Verdict.NO_SUCH_JOB


def test_cancelling_is_recorded_while_the_submission_may_arrive(
    cluster, intake, monkeypatch
):
    """A caller must be able to cancel a job whose submission got no answer."""
    lose_appends(cluster, monkeypatch, AppendUnknown("no answer in time"))
    assert intake.submit(make_job()).verdict is Verdict.UNKNOWN
    monkeypatch.undo()
    assert intake.cancel(JOB_ID).verdict is Verdict.ACCEPTED
    assert intake.look_up(JOB_ID).verdict is Verdict.NO_SUCH_JOB
    cluster.store.add_job(make_job())
    gevent.sleep(START_TIME_S)
    assert cluster.workers.started_runs == []


def test_cancellations_of_unknown_jobs_are_removed_in_time(cluster, intake):
    """Cancellations of jobs that never arrive must not accumulate."""
    assert intake.cancel(JOB_ID).verdict is Verdict.NO_SUCH_JOB
    replica = cluster.leader.replica
    wait_until(lambda: JOB_ID in replica.table.entry_by_id)
    # The cancellation is less than 90 s old.
    Cleaner(cluster.leader, replica, cluster.store, 60.0).clean()
    gevent.sleep(0.1)
    assert JOB_ID in replica.table.entry_by_id
    # A negative retention time makes it expire immediately.
    Cleaner(cluster.leader, replica, cluster.store, -1.0).clean()
    wait_until(lambda: JOB_ID not in replica.table.entry_by_id)
    wait_until(lambda: JOB_ID not in intake.replica.table.entry_by_id)
