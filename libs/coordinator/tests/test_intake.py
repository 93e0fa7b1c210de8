"""Tests of the answers to callers while the store is slow or unavailable."""

from __future__ import annotations

import gevent
import pytest
from libs.coordinator.tests.fakes import JOB_ID, FakeStore, make_job, wait_until

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.intake import ANSWER_TIMEOUT_S, Intake, Verdict
from lycheeloom.coordinator.ports import (
    APPEND_TIMEOUT_S,
    AppendUnknown,
    Log,
    NotAppended,
    Producer,
)
from lycheeloom.coordinator.replica import MAX_PROGRESS_AGE_S, Replica
from lycheeloom.jobs.model import JobState
from lycheeloom.jobs.records import JobProgress, Kind, Record, encode, key_of

# Callers of the platform time out after three seconds.
CALLER_DEADLINE_S = 3.0


class SlowStore(FakeStore):
    """A store whose appends have a configurable duration and configurable failures."""

    def __init__(self) -> None:
        super().__init__()
        # Duration of an append; a longer one than its timeout has an unknown outcome.
        self.append_s = 0.0
        # Results of the next appends, which have no effect; the last result is used for
        # all further appends. Appends succeed if there are none.
        self.failures = []
        self.begun_appends = 0
        self.ended_appends = 0

    def append(self, records, producer=None, timeout_s=APPEND_TIMEOUT_S):
        self.begun_appends += 1
        gevent.sleep(min(self.append_s, timeout_s))
        self.ended_appends += 1
        if self.failures:
            return self.failures.pop(0) if len(self.failures) > 1 else self.failures[0]
        result = super().append(records, producer, timeout_s)
        # An append that times out is carried out nevertheless.
        is_late = self.append_s > timeout_s
        return AppendUnknown("no answer in time") if is_late else result


@pytest.fixture
def store():
    """A store without faults."""
    return SlowStore()


@pytest.fixture
def intake(store):
    """An ``Intake`` whose replica follows the store."""
    replica = Replica(store)
    intake = Intake(store, replica)
    greenlets = [gevent.spawn(replica.run), gevent.spawn(intake.run)]
    wait_until(lambda: replica.reaches_store)
    yield intake
    gevent.killall(greenlets)


def make_job_id(number: int) -> str:
    """Return a valid job id that differs for each number."""
    return f"{number:016x}"


def test_accepted_job_is_in_the_callers_log(store, intake):
    """An accepted job must survive the loss of the instance."""
    assert intake.submit(make_job()).verdict is Verdict.ACCEPTED
    assert store.read(Log.CALLERS, 0, 0.0).end == 1


def test_refusal_by_the_store_is_returned_immediately(store, intake):
    """Callers must not wait here while another instance could serve them.

    Occurs when the store refuses the calls of some instances and serves the others.
    """
    store.failures = [NotAppended("status 503")]
    began_s = steady_s()
    assert intake.submit(make_job()).verdict is Verdict.NOT_ACCEPTED
    assert steady_s() - began_s < ANSWER_TIMEOUT_S
    assert store.read(Log.CALLERS, 0, 0.0).end == 0


def test_store_timeout_is_an_unknown_outcome(store, intake):
    """A job whose record may still arrive must not be reported as not accepted."""
    store.failures = [AppendUnknown("no answer in time")]
    assert intake.submit(make_job()).verdict is Verdict.UNKNOWN


def test_refusal_after_an_unknown_outcome_stays_unknown(store, intake):
    """A job must not be reported as not accepted if its first append may arrive."""
    store.failures = [AppendUnknown("no answer in time"), NotAppended("status 503")]
    assert intake.submit(make_job()).verdict is Verdict.UNKNOWN


def test_all_callers_are_answered_before_their_deadline(store, intake):
    """Callers must not be kept waiting past their deadline by a slow append.

    Calls keep arriving while the appends to the store time out, and each append delays
    the calls behind it. Jobs whose record was never sent are reported as not accepted.
    """
    store.append_s = 1.2
    verdict_by_key, durations_s = {}, []

    def submit(number: int) -> None:
        began_s = steady_s()
        decision = intake.submit(make_job(make_job_id(number)))
        verdict_by_key[key_of(Kind.JOB, make_job_id(number))] = decision.verdict
        durations_s.append(steady_s() - began_s)

    calls = []
    for number in range(30):
        calls.append(gevent.spawn(submit, number))
        gevent.sleep(0.1)
    gevent.joinall(calls)
    assert max(durations_s) < CALLER_DEADLINE_S
    # Appends that are still in flight take effect.
    gevent.sleep(store.append_s * 2)
    recorded_keys = {
        record.key for _, record in store.read(Log.CALLERS, 0, 0.0).records
    }
    for key, verdict in verdict_by_key.items():
        assert verdict is not Verdict.ACCEPTED or key in recorded_keys
        assert verdict is not Verdict.NOT_ACCEPTED or key not in recorded_keys


def test_instance_without_the_store_refuses_immediately(store, intake):
    """Jobs must not wait on an instance that cannot reach the store."""
    store.is_down = True
    wait_until(lambda: not intake.replica.reaches_store)
    began_s = steady_s()
    assert intake.submit(make_job()).verdict is Verdict.NOT_ACCEPTED
    assert steady_s() - began_s < 0.1
    assert intake.look_up(JOB_ID).verdict is Verdict.NOT_ACCEPTED


def test_append_timeout_grows_while_the_store_is_slow(store, intake):
    """A slow store must not be slowed further by repeated appends.

    The store takes a second per append while all instances accept jobs, and it also
    carries out the appends that timed out.
    """
    store.append_s = 1.2 * APPEND_TIMEOUT_S
    intake.submit(make_job(make_job_id(1)))
    # The first append times out and is repeated.
    wait_until(lambda: store.ended_appends == 2)
    wait_until(lambda: intake.replica.reaches_store)
    intake.submit(make_job(make_job_id(2)))
    wait_until(lambda: store.ended_appends == 3)
    gevent.sleep(2 * APPEND_TIMEOUT_S)
    # The second job's append has the longer timeout and is not repeated.
    assert store.begun_appends == 3
    store.append_s = 0.0
    wait_until(lambda: intake.replica.reaches_store)
    assert intake.submit(make_job(make_job_id(3))).verdict is Verdict.ACCEPTED


def test_refusal_of_a_repeated_call_is_not_claimed_after_an_unknown_outcome(
    store, intake
):
    """A caller must not hear "not run" while its first attempt may still be recorded.

    The first submission gets no answer, and the store refuses the second one.
    """
    store.failures = [AppendUnknown("no answer in time")]
    assert intake.submit(make_job()).verdict is Verdict.UNKNOWN
    store.failures = [NotAppended("status 503")]
    assert intake.submit(make_job()).verdict is Verdict.UNKNOWN
    assert intake.submit(make_job(make_job_id(5))).verdict is Verdict.NOT_ACCEPTED
    store.failures = []
    assert intake.submit(make_job()).verdict is Verdict.ACCEPTED
    store.is_down = True
    wait_until(lambda: not intake.replica.reaches_store)
    assert intake.submit(make_job(make_job_id(6))).verdict is Verdict.NOT_ACCEPTED


def test_job_that_is_too_large_is_refused_alone(store):
    """A job that the store never accepts must not be tried, nor with others."""
    intake = Intake(store, Replica(store), max_record_bytes=50)
    assert intake.submit(make_job()).verdict is Verdict.TOO_LARGE
    assert store.begun_appends == 0


def test_submissions_are_grouped_up_to_the_limit_of_an_append(store):
    """Large submissions must not make an append that the store refuses whole."""
    replica = Replica(store)
    intake = Intake(store, replica, max_append_bytes=1_000)
    greenlets = [gevent.spawn(replica.run), gevent.spawn(intake.run)]
    wait_until(lambda: replica.reaches_store)
    calls = [
        gevent.spawn(intake.submit, make_job(make_job_id(number)))
        for number in range(30)
    ]
    gevent.joinall(calls)
    gevent.killall(greenlets)
    assert all(call.value.verdict is Verdict.ACCEPTED for call in calls)
    assert store.begun_appends > 3


@pytest.fixture
def small_instance(store):
    """An ``Intake`` of a small instance, which reads the logs only now and then."""
    replica = Replica(store, is_small=True)
    assert replica.load()
    return Intake(store, replica)


def test_state_is_current_on_an_instance_that_reads_rarely(store, small_instance):
    """A caller must see the end of its job when it asks, not some time later.

    Load pattern: a hundred instances read the logs of all jobs. Small ones read less
    often, and read on request.
    """
    job = make_job()
    store.append([Record(key_of(Kind.JOB, JOB_ID), encode(job))])
    assert small_instance.look_up(JOB_ID) is JobState.QUEUED
    gevent.sleep(MAX_PROGRESS_AGE_S)
    progress = JobProgress(JobState.COMPLETED)
    store.append(
        [Record(key_of(Kind.PROGRESS, JOB_ID), encode(progress))], Producer(1, 0)
    )
    assert small_instance.look_up(JOB_ID) is JobState.COMPLETED


def test_state_is_answered_while_the_store_is_away(store, small_instance):
    """A caller must get the state that is known while the store does not answer."""
    store.append([Record(key_of(Kind.JOB, JOB_ID), encode(make_job()))])
    assert small_instance.look_up(JOB_ID) is JobState.QUEUED
    store.is_down = True
    gevent.sleep(MAX_PROGRESS_AGE_S)
    assert small_instance.look_up(JOB_ID) is JobState.QUEUED
    reads = []
    store.read = lambda *args: reads.append(args)
    assert small_instance.look_up(JOB_ID) is JobState.QUEUED
    assert reads == []


def test_known_end_of_a_job_needs_no_read(store, small_instance):
    """The state of a job that has ended must not cost a read of the store."""
    progress = JobProgress(JobState.COMPLETED)
    store.append([Record(key_of(Kind.JOB, JOB_ID), encode(make_job()))])
    store.append(
        [Record(key_of(Kind.PROGRESS, JOB_ID), encode(progress))], Producer(1, 0)
    )
    assert small_instance.replica.load()
    reads = []
    store.read = lambda *args: reads.append(args)
    assert small_instance.look_up(JOB_ID) is JobState.COMPLETED
    assert reads == []
