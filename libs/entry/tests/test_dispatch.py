"""What the dispatcher does when attempts end in different ways."""

import gevent
import gevent.event
import pytest

from lycheeloom.clients import StartRefusal
from lycheeloom.entry.attempt import Answered, Failed, Refused, Stopped
from lycheeloom.entry.dispatch import Dispatcher
from lycheeloom.entry.local_requests import LocalRequest, LocalRequestTable, Submission
from lycheeloom.entry.metrics import EntryMetrics
from lycheeloom.model.config import Queue, parse_config
from lycheeloom.model.resources import Resources
from lycheeloom.model.verdict import MayHaveRun, NotRun, Ran
from lycheeloom.sched import Scheduler

SIZE = Resources(1.0, 256)


class FakeRunner:
    """Runs no task: each attempt ends with the next item of ``ends``."""

    def __init__(self, ends):
        self.ends = list(ends)

    def run(self, request, placement, on_silence):
        request.attempt += 1
        return self.ends.pop(0)


@pytest.fixture
def dispatcher():
    instance = {"pool": "main", "zone": "north", "rack": "r", "address": "a:1"}
    instance |= {"cores": 8, "memory_mb": 8192}
    queue = {"pool": "main", "organisations": ["red"], "idempotent": True}
    config = parse_config(
        {
            "zones": {"north": {}},
            "pools": {"main": {}},
            "instances": {name: dict(instance) for name in ("w1", "w2", "w3")},
            "organisations": {"red": {"share": 1, "upper_limit": 9}},
            "queues": {"find": {**queue, "retry_budget_percent": 100}},
        },
        1,
    )
    scheduler = Scheduler(config, 1)
    scheduler.set_grants({"red": 9})
    for name in ("w1", "w2", "w3"):
        scheduler.observe_worker(name, True, Resources(8, 8192), "boot", 0.0)
    made = Dispatcher(
        scheduler,
        LocalRequestTable(),
        EntryMetrics(),
        None,
        lambda worker: "a:1",
        lambda: True,
        lambda request, attempt: True,
        lambda request: None,
    )
    made.set_queues(list(config.queue_by_id.values()))
    return made


def run_until_idle(dispatcher):
    """Run scheduling rounds until no attempt is running."""
    for _ in range(10):
        dispatcher._apply_decisions()
        gevent.sleep(0)


def make_request():
    return LocalRequest(
        Submission("r1", "red", "find", b"", SIZE, 0.1, 0.0, idempotent=True)
    )


@pytest.mark.parametrize(
    ("ends", "verdict"),
    [
        ([Failed(), Refused(StartRefusal.BAD_REQUEST)], MayHaveRun),
        ([Refused(StartRefusal.BAD_REQUEST)], NotRun),
    ],
    ids=["retried", "first"],
)
def test_refusal_after_a_failed_attempt(dispatcher, ends, verdict):
    """Guards against "not run" for a request whose earlier attempt had started."""
    dispatcher.runner = FakeRunner(ends)
    request = make_request()
    assert dispatcher.submit(request) is None
    run_until_idle(dispatcher)
    assert isinstance(request.verdict, verdict)


@pytest.mark.parametrize("is_recorded", [False, True])
def test_outcomes_of_unrecorded_requests_are_counted(dispatcher, is_recorded):
    """Guards against failures that are not reported to controllers, and against
    outcomes of recorded requests that they count twice, as they read the log too.
    """
    outcomes = []
    dispatcher.on_outcome = lambda *outcome: outcomes.append(outcome)
    dispatcher.runner = FakeRunner([Failed(), Answered(b"")])
    request = make_request()
    request.is_recorded = is_recorded
    assert dispatcher.submit(request) is None
    run_until_idle(dispatcher)
    assert isinstance(request.verdict, Ran)
    assert [(queue, failed) for _, queue, failed in outcomes] == (
        [] if is_recorded else [("find", True), ("find", False)]
    )


def test_cancellation_after_a_failed_attempt(dispatcher):
    """Guards against "not run" for a cancelled retry."""
    dispatcher.runner = FakeRunner([Failed()])
    request = make_request()
    assert dispatcher.submit(request) is None
    # The attempt fails and the request is queued again while the entry is not fresh.
    dispatcher._may_dispatch = lambda: False
    gevent.sleep(0)
    assert dispatcher.scheduler.has_queued()
    dispatcher.cancel(request)
    assert isinstance(request.verdict, MayHaveRun)


class SlowRunner:
    """Ends the first attempt only when told; later ones end at once."""

    def __init__(self):
        self.workers = []
        self.release = gevent.event.Event()

    def run(self, request, placement, on_silence):
        self.workers.append(placement.worker)
        if len(self.workers) == 1:
            self.release.wait()
            return Refused(StartRefusal.NO_CAPACITY)
        return Answered(b"second")


@pytest.mark.parametrize(("percent", "copies"), [(100, 2), (0, 1)])
def test_slow_request_is_hedged(dispatcher, monkeypatch, percent, copies):
    """A slow worker must not delay an idempotent request while the budget lasts."""
    monkeypatch.setattr("lycheeloom.entry.dispatch.HEDGE_DELAY_S", 0.0)
    monkeypatch.setattr("lycheeloom.entry.dispatch.HEDGE_FACTOR", 0.0)
    queue = Queue("find", "main", idempotent=True, hedge_budget_percent=percent)
    dispatcher.set_queues([queue])
    dispatcher.runner = SlowRunner()
    request = make_request()
    assert dispatcher.submit(request) is None
    for _ in range(20):
        gevent.sleep(0.001)
    assert len(dispatcher.runner.workers) == copies
    dispatcher.runner.release.set()
    run_until_idle(dispatcher)
    assert request.verdict == Ran(b"second")
    assert len(dispatcher.runner.workers) == 2
    assert not dispatcher.scheduler.has_queued()


def test_withdrawn_request_wakes_its_callers(dispatcher):
    """Guards against callers that wait here for a request that another entry runs."""
    # A submission is started at once unless the entry is not fresh.
    dispatcher._may_dispatch = lambda: False
    request = make_request()
    assert dispatcher.submit(request) is None
    assert dispatcher.withdraw(request)
    assert request.settled.is_set()
    assert request.verdict is None


def test_released_request_keeps_its_checkpoint(dispatcher):
    """Guards against a checkpointed request that starts from the beginning again."""
    released = []
    dispatcher._release = lambda request, attempt: released.append(request.checkpoint)
    dispatcher.runner = FakeRunner([Stopped("half"), Answered(b"whole")])
    submission = Submission(
        "r1", "red", "find", b"", SIZE, 9.0, 0.0, checkpointable=True
    )
    request = LocalRequest(submission, is_recorded=True)
    assert dispatcher.submit(request) is None
    run_until_idle(dispatcher)
    assert released == ["half"]
    assert request.verdict == Ran(b"whole")
