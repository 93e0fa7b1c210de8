"""Tests of the rejection of jobs, and of failures halfway through one.

Each test of a failure causes one. Two instances share a store; the clock of the load
reports is the real one, and the leader's records are written by the test.
"""

from __future__ import annotations

from dataclasses import replace

import gevent
import pytest
from libs.coordinator.tests.fakes import JOB_ID, FakeStore, make_job, wait_until

from lycheeloom.coordinator import admission as admission_module
from lycheeloom.coordinator.clock import wall_ms
from lycheeloom.coordinator.features import Features
from lycheeloom.coordinator.intake import Intake, Verdict
from lycheeloom.coordinator.ports import Log, ReadFailed
from lycheeloom.coordinator.replica import Replica
from lycheeloom.jobs.model import Queue, Step
from lycheeloom.jobs.records import (
    Kind,
    LeaderRecord,
    LoadReport,
    OrganisationWait,
    QueueLoad,
    Record,
    Rejection,
    encode,
    key_of,
)

QUEUE = Queue("queue", "host", "/q/", "pool", stretch=1.6, target_latency_ms=600.0)
OVERLOAD_MS = 60_000
TOKEN = 7


class ReadCountingStore(FakeStore):
    """A store that counts the reads of the callers' log that do not wait.

    With ``lags``, reads that wait find nothing, so an instance learns only what it
    reads after an append. With ``fails_direct_reads``, the others fail.
    """

    def __init__(self) -> None:
        super().__init__()
        self.direct_reads = 0
        self.lags = False
        self.fails_direct_reads = False

    def read(self, log, offset, wait_s):
        if log is not Log.CALLERS:
            return super().read(log, offset, wait_s)
        if wait_s:
            while self.lags:
                gevent.sleep(0.005)
            return super().read(log, offset, 0.0)
        self.direct_reads += 1
        gevent.sleep(0.005)
        if self.fails_direct_reads:
            return ReadFailed("no answer in time")
        return super().read(log, offset, wait_s)


class Instances:
    """Instances that share a store; an ``Intake`` each."""

    def __init__(self) -> None:
        self.store = ReadCountingStore()
        self.greenlets: list[gevent.Greenlet] = []

    def start(self, *, has_feature: bool = True) -> Intake:
        replica = Replica(self.store)
        features = Features(overload_control=has_feature)
        intake = Intake(self.store, replica, features=features)
        self.greenlets += [gevent.spawn(replica.run), gevent.spawn(intake.run)]
        wait_until(lambda: replica.reaches_store)
        return intake

    def report(self, wait_ms: int, token: int = TOKEN, leader: int = TOKEN) -> None:
        """Write a leader record and a report of ``queue``."""
        queues = make_loads(wait_ms)
        self.store.records.append(
            Record(key_of(Kind.LEADER), encode(LeaderRecord(leader, "leader")))
        )
        self.store.records.append(
            Record(key_of(Kind.LOAD), encode(LoadReport(token, queues)))
        )

    def overload(self, *intakes: Intake, wait_ms: int = OVERLOAD_MS) -> None:
        """Write a report and wait until all instances have read it."""
        self.report(wait_ms)
        for intake in intakes:
            load = LoadReport(TOKEN, make_loads(wait_ms))
            wait_until(lambda i=intake, load=load: i.replica.table.load == load)

    def keys(self) -> str:
        """Return the kinds of the records in the callers' log, in order."""
        records = self.store.read(Log.CALLERS, 0, 0.0).records
        return "".join(record.key[0] for _, record in records)

    def append_job(self, rejections: int = 0) -> None:
        self.store.append([job_record(rejections)])

    def append_rejection(self, count: int = 1) -> None:
        rejection = Rejection(count, wall_ms(), wall_ms())
        self.store.append([Record(key_of(Kind.REJECTION, JOB_ID), encode(rejection))])


def make_loads(wait_ms: int) -> tuple[QueueLoad, ...]:
    """Return the load of ``queue`` by its only organisation, if it has to wait."""
    waits = (OrganisationWait("red", wait_ms),)
    return (QueueLoad("queue", wait_ms, waits),) if wait_ms else ()


def job_record(rejections: int = 0) -> Record:
    return Record(key_of(Kind.JOB, JOB_ID), encode(new_job(rejections=rejections)))


def new_job(**fields):
    job = make_job(JOB_ID, Step(1, 1000, estimated_ms=640))
    return replace(job, accepted_ms=wall_ms(), **fields)


@pytest.fixture
def instances():
    """A store without faults, and no instance yet."""
    instances = Instances()
    yield instances
    gevent.killall(instances.greenlets)


def test_overload_rejects_and_its_end_accepts(instances):
    """Guards against calls that are held, or rejected when there is capacity again."""
    intake = instances.start()
    instances.overload(intake)
    decision = intake.submit(new_job(), QUEUE)
    assert decision.verdict is Verdict.REJECTED
    assert decision.retry_after_s >= 1
    assert instances.keys() == "d"
    assert intake.look_up(JOB_ID).verdict is Verdict.NO_SUCH_JOB
    instances.overload(intake, wait_ms=0)
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.ACCEPTED
    job = intake.replica.table.entry_by_id[JOB_ID].job
    assert job.rejections == 1
    assert 0 < job.offered_ms <= job.accepted_ms


@pytest.mark.parametrize("wait_ms", [0, OVERLOAD_MS])
@pytest.mark.parametrize("rejections", [0, 1])
def test_assessment_is_the_decision_of_the_submission(instances, wait_ms, rejections):
    """Guards against an explanation that differs from what callers get, or counts."""
    intake = instances.start()
    if rejections:
        instances.append_rejection()
        assert intake.replica.refresh_jobs()
    instances.overload(intake, wait_ms=wait_ms)
    records = len(instances.store.records)
    assessment = intake.assess(new_job(), QUEUE)
    assert len(instances.store.records) == records
    assert assessment.wait_ms == wait_ms
    assert 0 <= assessment.report_age_s < admission_module.MAX_LOAD_AGE_S
    decision = intake.submit(new_job(), QUEUE)
    assert assessment.decision.verdict is decision.verdict
    # The reason and the excess have the time of the call in them.
    assert abs(assessment.decision.retry_after_s - decision.retry_after_s) <= 1
    instances.report(wait_ms, token=TOKEN - 1)
    wait_until(lambda: intake.replica.table.load.token == TOKEN - 1)
    assert intake.assess(new_job(job_id="f" * 16), QUEUE).report_age_s is None


def test_nothing_changes_without_the_feature(instances):
    """Guards against reads and records of deployments that do not use the feature."""
    intake = instances.start(has_feature=False)
    instances.overload(intake)
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.ACCEPTED
    assert instances.store.direct_reads == 0
    assert instances.keys() == "j"


def test_records_appended_together_share_a_read(instances):
    """Guards against a read of the store for each of many submissions."""
    intake = instances.start()
    instances.store.lags = True
    jobs = [make_job(f"{number:016x}") for number in range(20)]
    calls = [gevent.spawn(intake.submit, job, QUEUE) for job in jobs]
    assert {call.get().verdict for call in calls} == {Verdict.ACCEPTED}
    assert 1 <= instances.store.direct_reads <= 3


def test_job_accepted_elsewhere_before_stays_accepted(instances):
    """Guards against a rejection of a job that runs: one id at two instances."""
    intake = instances.start()
    instances.overload(intake)
    instances.store.lags = True
    instances.append_job()
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.ACCEPTED
    assert instances.keys() == "jd"
    assert instances.start().state(JOB_ID) is not None


def test_late_append_after_a_rejection_has_no_effect(instances):
    """Guards against a job that runs after its caller was told that it does not."""
    intake = instances.start()
    instances.overload(intake)
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.REJECTED
    instances.append_job()
    assert intake.replica.refresh_jobs()
    assert intake.state(JOB_ID) is None
    assert instances.start().state(JOB_ID) is None


def test_rejection_that_does_not_raise_the_count_is_repeated(instances):
    """Guards against a late record that knew as many rejections as the last one.

    An instance that lags rejects an id for the second time. A record of the attempt
    between, which knew of the first rejection, arrives after that.
    """
    intake = instances.start()
    instances.overload(intake)
    instances.store.lags = True
    instances.append_rejection(1)
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.REJECTED
    instances.append_job(rejections=1)
    assert intake.replica.refresh_jobs()
    assert intake.state(JOB_ID) is None


def test_overtaken_job_is_not_recorded_again(instances):
    """Guards against a job that runs after its caller was answered 429 elsewhere.

    The caller lost the connection to the first instance, submitted the job to a second
    one and was rejected there, while the first one still handled its call.
    """
    intake = instances.start()
    instances.store.lags = True
    instances.append_rejection(1)
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.UNKNOWN
    assert instances.keys() == "dj"
    assert intake.state(JOB_ID) is None
    assert instances.start().state(JOB_ID) is None


def test_overtaken_rejection_is_not_turned_into_an_acceptance(instances, monkeypatch):
    """Guards against the same if the overload ends between two appends."""
    intake = instances.start()
    instances.overload(intake)
    instances.store.lags = True
    instances.append_rejection(1)
    waits = iter([OVERLOAD_MS, 0])
    monkeypatch.setattr(intake._admission, "wait_ms", lambda *_: next(waits))
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.UNKNOWN
    assert instances.keys() == "dd"


def test_returning_id_is_accepted_after_an_unknown_outcome(instances):
    """Guards against an answer of 200 for a record without effect."""
    intake = instances.start()
    instances.store.lags = True
    instances.append_rejection(1)
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.UNKNOWN
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.ACCEPTED
    assert instances.keys() == "djj"
    assert intake.replica.table.entry_by_id[JOB_ID].job.rejections == 1
    assert instances.start().state(JOB_ID) is not None


def test_rejected_id_is_accepted_with_effect_after_the_feature_was_turned_off(
    instances,
):
    """Guards against an accepted job that does not run: it was rejected before."""
    instances.append_rejection(1)
    intake = instances.start(has_feature=False)
    instances.store.lags = True
    reads = instances.store.direct_reads
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.ACCEPTED
    assert instances.store.direct_reads == reads
    assert instances.keys() == "dj"
    assert intake.replica.refresh_jobs()
    assert intake.state(JOB_ID) is not None


@pytest.mark.parametrize("wait_ms", [0, OVERLOAD_MS])
def test_outcome_is_unknown_if_the_log_cannot_be_read(instances, monkeypatch, wait_ms):
    """Guards against an answer that the log may not agree with, and further records."""
    monkeypatch.setattr(admission_module, "READ_TIMEOUT_S", 0.05)
    intake = instances.start()
    instances.overload(intake, wait_ms=wait_ms)
    instances.store.lags = instances.store.fails_direct_reads = True
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.UNKNOWN
    instances.store.fails_direct_reads = False
    assert instances.keys() == ("d" if wait_ms else "j")


def test_lost_answer_to_the_append_of_a_rejection(instances):
    """Guards against a rejection that is answered although it may have no effect."""
    intake = instances.start()
    instances.overload(intake)
    instances.store.answers_to_lose = 1
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.REJECTED
    # The second copy did not raise the count.
    assert instances.keys() == "ddd"


def test_submission_without_the_store_is_not_accepted(instances):
    """Guards against calls that wait for a store that does not answer."""
    intake = instances.start()
    instances.overload(intake)
    instances.store.is_down = True
    wait_until(lambda: not intake.replica.reaches_store)
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.NOT_ACCEPTED


def test_refused_rejection_leaves_an_unsettled_submission_unknown(instances):
    """Guards against "not run" while the record of the same job may arrive."""
    intake = instances.start()
    intake._note_unsettled(key_of(Kind.JOB, JOB_ID))
    instances.overload(intake)
    instances.store.is_down = True
    wait_until(lambda: not intake.replica.reaches_store)
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.UNKNOWN


def test_report_of_a_former_leader_does_not_count(instances):
    """Guards against rejections by the load before a takeover."""
    intake = instances.start()
    instances.report(OVERLOAD_MS, token=TOKEN, leader=TOKEN + 1)
    wait_until(lambda: intake.replica.load_read_s is not None)
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.ACCEPTED


def test_outdated_report_does_not_count(instances, monkeypatch):
    """Guards against rejections without a leader, by the load of long ago."""
    monkeypatch.setattr(admission_module, "MAX_LOAD_AGE_S", 0.05)
    intake = instances.start()
    instances.overload(intake)
    gevent.sleep(0.06)
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.ACCEPTED


def test_report_found_while_loading_does_not_count(instances):
    """Guards against a restarted instance that rejects by a report of unknown age."""
    instances.report(OVERLOAD_MS)
    intake = instances.start()
    assert intake.replica.table.load is not None
    assert intake.submit(new_job(), QUEUE).verdict is Verdict.ACCEPTED


def test_rejection_is_no_sign_of_a_leader(instances):
    """Guards against a fleet without a leader as long as callers are rejected."""
    intake = instances.start()
    seen_s = intake.replica.leader_seen_s
    instances.append_rejection()
    assert intake.replica.refresh_jobs()
    assert intake.replica.leader_seen_s == seen_s
