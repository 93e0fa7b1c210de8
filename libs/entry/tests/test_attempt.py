"""Ends of attempts whose workers fail, restart or do not answer."""

from dataclasses import dataclass, field

import pytest

from lycheeloom.clients import (
    Session,
    StartRefusal,
    StartRefused,
    StartUnknown,
    TaskReport,
    TaskStatus,
    Unavailable,
)
from lycheeloom.entry import attempt as attempt_module
from lycheeloom.entry.attempt import (
    Answered,
    AttemptRunner,
    Failed,
    Lost,
    NotSent,
    Placement,
    Refused,
    Stopped,
)
from lycheeloom.entry.local_requests import LocalRequest, Submission
from lycheeloom.entry.sessions import WorkerSessions
from lycheeloom.model.limits import SESSION_TTL_S, TASK_LEASE_S
from lycheeloom.model.resources import NO_RESOURCES
from lycheeloom.telemetry.traces import Tracer

PLACEMENT = Placement("w1", "127.0.0.1:1", NO_RESOURCES)
SILENT = Unavailable("no answer in time")
UNKNOWN = StartUnknown("no answer in time")


def report(status, boot="boot", answer=b"", checkpoint=""):
    return TaskReport("r.1", status, boot, NO_RESOURCES, answer, checkpoint)


@dataclass
class FakeWorker:
    """Returns ``start_result`` to starts, and ``statuses`` in turn to status calls.

    The last status repeats. ``session`` is the result of opening a session; without it,
    each session is a new one.
    """

    start_result: object
    statuses: list = field(default_factory=list)
    session: object = None
    starts: list = field(default_factory=list)
    renewals: int = 0
    sessions_opened: int = 0

    def open_session(self, address, holder, ttl_s):
        self.sessions_opened += 1
        return self.session or Session(
            f"s{self.sessions_opened}", "boot", False, NO_RESOURCES
        )

    def start(self, address, start, *, timeout_s, traceparent=""):
        self.starts.append(start)
        return self.start_result

    def status(self, address, task):
        return self.statuses.pop(0) if len(self.statuses) > 1 else self.statuses[0]

    def renew(self, address, task, lease_s, session):
        self.renewals += 1
        return self.status(address, task)


class Clock:
    """A clock that only ``sleep`` moves on."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += max(seconds, 0.01)


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(attempt_module.gevent, "sleep", clock.sleep)
    return clock


@pytest.fixture
def run(clock):
    """Run one attempt; return its end and the times at which silence was reported.

    ``may_start`` and ``claim`` are the reasons why the attempt must not start.
    """

    def run(worker, *, may_start=None, claim=None, recorded=False, run_s=0.1):
        submission = Submission("r", "t", "q", b"x", NO_RESOURCES, run_s, clock())
        request = LocalRequest(submission, is_recorded=recorded)
        sessions = WorkerSessions(worker, lambda: "e", lambda *_: None, clock)
        runner = AttemptRunner(
            worker,
            sessions,
            Tracer("test", 0.0),
            lambda *_: may_start,
            lambda: "e",
            lambda holder: True,
            lambda *_: claim,
            lambda *_: None,
            clock,
        )
        silent_at = []
        end = runner.run(request, PLACEMENT, lambda: silent_at.append(clock()))
        assert request.address_by_attempt == {}
        return end, silent_at

    return run


@pytest.mark.parametrize(
    ("start_result", "statuses", "expected"),
    [
        (report(TaskStatus.DONE, answer=b"a"), [], Answered(b"a")),
        (report(TaskStatus.FAILED), [], Failed()),
        (report(TaskStatus.STOPPED), [], Stopped()),
        (report(TaskStatus.CHECKPOINTED, checkpoint="c"), [], Stopped("c")),
        (
            StartRefused(StartRefusal.NO_CAPACITY),
            [],
            Refused(StartRefusal.NO_CAPACITY),
        ),
        (UNKNOWN, [report(TaskStatus.DONE, answer=b"a")], Answered(b"a")),
        (
            UNKNOWN,
            [SILENT, report(TaskStatus.RUNNING), report(TaskStatus.DONE, answer=b"a")],
            Answered(b"a"),
        ),
        (
            UNKNOWN,
            [report(TaskStatus.UNKNOWN)],
            Refused(StartRefusal.UNREACHABLE),
        ),
        (
            UNKNOWN,
            [report(TaskStatus.UNKNOWN, boot="other")],
            Lost("worker w1 restarted"),
        ),
        (UNKNOWN, [SILENT], Lost("worker w1: no answer in time")),
    ],
)
def test_end_of_an_attempt(run, start_result, statuses, expected):
    """A wrong end would start a task twice or refuse one that ran."""
    end, _ = run(FakeWorker(start_result, statuses))
    assert end == expected


def test_unknown_task_counts_as_not_started_once_its_session_has_expired(run, clock):
    """A delayed start could still arrive while its session is accepted."""
    began_at = clock()
    run(FakeWorker(UNKNOWN, [report(TaskStatus.UNKNOWN)]))
    assert clock() - began_at >= SESSION_TTL_S


def test_slot_is_held_until_the_lease_has_expired(run, clock):
    """A silent worker may still run the task until its lease expires."""
    began_at = clock()
    _, silent_at = run(FakeWorker(UNKNOWN, [SILENT]))
    assert clock() - began_at >= SESSION_TTL_S + TASK_LEASE_S
    assert len(silent_at) == 1


def test_silent_worker_is_not_sent_renewals(run):
    """Each renewal without an answer would extend the wait for the lease's end."""
    worker = FakeWorker(report(TaskStatus.RUNNING), [SILENT])
    end, _ = run(worker, run_s=60)
    assert isinstance(end, Lost)
    assert worker.renewals == 0


def test_long_task_is_renewed(run):
    """A task longer than its lease must not be stopped."""
    running = [report(TaskStatus.RUNNING)] * 60
    done = report(TaskStatus.DONE, answer=b"a")
    worker = FakeWorker(report(TaskStatus.RUNNING), [*running, done])
    end, _ = run(worker, run_s=60)
    assert end == Answered(b"a")
    assert worker.renewals >= 3
    assert not worker.starts[0].wait


def test_start_that_fails_its_last_check_is_not_sent(run):
    """The last check before a start must be able to prevent it."""
    worker = FakeWorker(UNKNOWN)
    end, _ = run(worker, may_start="not fresh")
    assert end == NotSent("not fresh")
    assert worker.starts == []


def test_recorded_request_is_not_started_without_a_claim(run):
    """Two entries must not both start a recorded request."""
    worker = FakeWorker(UNKNOWN)
    end, _ = run(worker, claim="claimed elsewhere", recorded=True)
    assert end == NotSent("claimed elsewhere")
    assert worker.starts == []


@pytest.mark.parametrize(
    ("session", "reason"),
    [
        (SILENT, StartRefusal.UNREACHABLE),
        (Session("s", "boot", True, NO_RESOURCES), StartRefusal.DRAINING),
    ],
)
def test_no_start_without_a_usable_session(run, session, reason):
    """A worker that is silent or draining must not get a start."""
    worker = FakeWorker(UNKNOWN, session=session)
    end, _ = run(worker)
    assert end.reason is reason
    assert worker.starts == []


def test_sessions_are_replaced_and_never_renewed(clock):
    """With a renewed session, a worker would accept starts sent long before."""
    worker = FakeWorker(UNKNOWN)
    sessions = WorkerSessions(worker, lambda: "e", lambda *_: None, clock)
    first = sessions.get("w1", "a")
    assert sessions.get("w1", "a") is first
    clock.now += SESSION_TTL_S
    assert sessions.get("w1", "a").id != first.id
