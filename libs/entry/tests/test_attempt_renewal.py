"""Lease renewals of one attempt against a simulated worker."""

import pytest

from lycheeloom.clients import ActionRefused, Session, TaskReport, TaskStatus
from lycheeloom.entry import attempt
from lycheeloom.entry.attempt import AttemptRunner, Placement, Stopped
from lycheeloom.entry.local_requests import LocalRequest, Submission
from lycheeloom.model.resources import Resources
from lycheeloom.telemetry.traces import Tracer

SIZE = Resources(1.0, 256)


class FakeWorker:
    """Runs one task until its lease expires; each status call takes 2 s.

    Renewals with a session in ``lapsed_sessions`` are refused.
    """

    def __init__(self):
        self.now = 0.0
        self.lease_until = 0.0
        self.renewals = 0
        self.lapsed_sessions = set()
        self.on_status = lambda: None

    def clock(self):
        return self.now

    def start(self, address, start, *, timeout_s, traceparent):
        self.lease_until = self.now + start.lease_s
        return self._report(start.task)

    def status(self, address, task):
        self.now += 2.0
        self.on_status()
        return self._report(task)

    def renew(self, address, task, lease_s, session):
        self.renewals += 1
        if session in self.lapsed_sessions:
            return ActionRefused("lease_lapsed")
        self.lease_until = self.now + lease_s
        return self.status(address, task)

    def _report(self, task):
        is_over = self.now >= self.lease_until
        status = TaskStatus.STOPPED if is_over else TaskStatus.RUNNING
        return TaskReport(task, status, "boot", SIZE)


class FakeSessions:
    """Returns the same session until it is dropped, then a new one of the same boot."""

    def __init__(self):
        self.opened = 1

    def get(self, worker, address):
        return Session(f"session-{self.opened}", "boot", False, SIZE)

    def drop(self, worker):
        self.opened += 1


@pytest.fixture
def worker():
    return FakeWorker()


def make_runner(worker, holder):
    """Return a runner for an entry whose incarnation is ``holder[0]``."""
    return AttemptRunner(
        worker,
        FakeSessions(),
        Tracer("e1", 0.0),
        lambda request, placement: None,
        lambda: holder[0],
        lambda task_holder: task_holder == holder[0],
        lambda request, attempt, worker, boot_id: None,
        lambda worker, report: None,
        worker.clock,
    )


def test_lease_of_an_expelled_incarnation_is_not_renewed(worker, monkeypatch):
    """Guards against a task that still runs after its slot went to another entry.

    A paused entry was expelled, rejoined under a new incarnation and went on renewing
    the lease; 20 s later other entries started tasks in the reclaimed slots.
    """
    monkeypatch.setattr(attempt, "MAX_POLL_INTERVAL_S", 0.0)
    holder = ["e1-old"]
    runner = make_runner(worker, holder)

    def rejoin():
        if worker.now > 12.0:
            holder[0] = "e1-new"

    worker.on_status = rejoin
    submission = Submission("r1", "red", "bookings", b"", SIZE, 100.0, 0.0)
    end = runner.run(
        LocalRequest(submission), Placement("w1", "a:1", SIZE), lambda: None
    )
    assert end == Stopped()
    # The only renewal is at 6 s, so the lease ends at 21 s, seen by the poll at 22 s.
    assert worker.renewals == 1
    assert worker.now == 22.0


def test_renewal_refused_for_its_session_is_repeated(worker, monkeypatch):
    """Guards against a task that is stopped because one renewal was refused."""
    monkeypatch.setattr(attempt, "MAX_POLL_INTERVAL_S", 0.0)
    worker.lapsed_sessions.add("session-1")
    submission = Submission("r1", "red", "bookings", b"", SIZE, 100.0, 0.0)
    runner = make_runner(worker, ["e1"])

    def end_lease_after_30_s():
        if worker.now > 30.0:
            worker.lease_until = 0.0

    worker.on_status = end_lease_after_30_s
    runner.run(LocalRequest(submission), Placement("w1", "a:1", SIZE), lambda: None)
    # Without a second renewal the task would have ended at 15 s.
    assert worker.now > 30.0
