"""What callers are told when the store is slow, busy or silent."""

from __future__ import annotations

import gevent
import pytest
from libs.coordinator.tests.fakes import ID, FakeStore, make_job, wait_until

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.intake import ANSWER_TIMEOUT_S, Intake, Verdict
from lycheeloom.coordinator.ports import (
    APPEND_TIMEOUT_S,
    AppendUnknown,
    Log,
    NotAppended,
)
from lycheeloom.coordinator.replica import Replica
from lycheeloom.jobs.records import Kind, key_of

# Callers of the platform give up after three seconds.
DEADLINE_S = 3.0


class SlowStore(FakeStore):
    """A store whose appends of callers take a time, and end as told."""

    def __init__(self) -> None:
        super().__init__()
        self.append_s = 0.0
        # Results of the next appends; the last one goes on.
        self.failures = []
        self.appends = 0
        self.ended = 0

    def append(self, records, producer=None, timeout_s=APPEND_TIMEOUT_S):
        self.appends += 1
        gevent.sleep(min(self.append_s, timeout_s))
        self.ended += 1
        if self.failures:
            return self.failures.pop(0) if len(self.failures) > 1 else self.failures[0]
        result = super().append(records, producer, timeout_s)
        # What is given up is carried out all the same.
        is_late = self.append_s > timeout_s
        return AppendUnknown("no answer in time") if is_late else result


@pytest.fixture
def store():
    """A store without faults."""
    return SlowStore()


@pytest.fixture
def intake(store):
    """An instance that takes calls and follows the store."""
    replica = Replica(store)
    intake = Intake(store, replica)
    tasks = [gevent.spawn(replica.run), gevent.spawn(intake.run)]
    wait_until(lambda: replica.reaches_store)
    yield intake
    gevent.killall(tasks)


def job_id(number: int) -> str:
    """Return the id of a job by number."""
    return f"{number:016x}"


def test_accepted_job_is_in_the_store(store, intake):
    """Guards against an acceptance that does not outlive the instance."""
    assert intake.submit(make_job()).verdict is Verdict.ACCEPTED
    assert store.read(Log.CALLERS, 0, 0.0).end == 1


def test_refusal_by_the_store_is_passed_on_at_once(store, intake):
    """Guards against callers that wait here while another instance could serve them.

    Pattern: the store turns some instances away and serves the others.
    """
    store.failures = [NotAppended("status 503")]
    began_s = steady_s()
    assert intake.submit(make_job()).verdict is Verdict.NOT_ACCEPTED
    assert steady_s() - began_s < ANSWER_TIMEOUT_S
    assert store.read(Log.CALLERS, 0, 0.0).end == 0


def test_silent_store_is_an_unknown_outcome(store, intake):
    """Guards against "not run" for a record that may still arrive."""
    store.failures = [AppendUnknown("no answer in time")]
    assert intake.submit(make_job()).verdict is Verdict.UNKNOWN


def test_refusal_after_an_unknown_outcome_stays_unknown(store, intake):
    """Guards against "not run" for a record whose first append may still arrive."""
    store.failures = [AppendUnknown("no answer in time"), NotAppended("status 503")]
    assert intake.submit(make_job()).verdict is Verdict.UNKNOWN


def test_everybody_is_answered_before_giving_up(store, intake):
    """Guards against callers held to their deadline behind a slow append.

    Pattern: the store is silent and calls keep coming; each append holds the ones
    behind it. Those that were never sent are told that they have not run.
    """
    store.append_s = 1.2
    verdict_by_key, times = {}, []

    def submit(number: int) -> None:
        began_s = steady_s()
        decision = intake.submit(make_job(job_id(number)))
        verdict_by_key[key_of(Kind.JOB, job_id(number))] = decision.verdict
        times.append(steady_s() - began_s)

    calls = []
    for number in range(30):
        calls.append(gevent.spawn(submit, number))
        gevent.sleep(0.1)
    gevent.joinall(calls)
    assert max(times) < DEADLINE_S
    gevent.sleep(store.append_s * 2)
    kept = {record.key for _, record in store.read(Log.CALLERS, 0, 0.0).records}
    for key, verdict in verdict_by_key.items():
        assert verdict is not Verdict.ACCEPTED or key in kept
        assert verdict is not Verdict.NOT_ACCEPTED or key not in kept


def test_instance_without_the_store_refuses_at_once(store, intake):
    """Guards against jobs that wait at an instance which is cut from the store."""
    store.is_down = True
    wait_until(lambda: not intake.replica.reaches_store)
    began_s = steady_s()
    assert intake.submit(make_job()).verdict is Verdict.NOT_ACCEPTED
    assert steady_s() - began_s < 0.1
    assert intake.look_up(ID).verdict is Verdict.NOT_ACCEPTED


def test_slow_store_is_not_asked_again_and_again(store, intake):
    """Guards against repetitions that make a slow store slower still.

    Pattern: the store takes a second for each append while submissions come from
    all instances; each append that is given up is carried out all the same.
    """
    store.append_s = 1.2 * APPEND_TIMEOUT_S
    intake.submit(make_job(job_id(1)))
    # The first append is given up and repeated.
    wait_until(lambda: store.ended == 2)
    wait_until(lambda: intake.replica.reaches_store)
    intake.submit(make_job(job_id(2)))
    wait_until(lambda: store.ended == 3)
    gevent.sleep(2 * APPEND_TIMEOUT_S)
    assert store.appends == 3
    store.append_s = 0.0
    wait_until(lambda: intake.replica.reaches_store)
    assert intake.submit(make_job(job_id(3))).verdict is Verdict.ACCEPTED
