"""Recorded requests of an entry, over a log in memory."""

from types import SimpleNamespace

import gevent
import pytest

from lycheeloom.clients import (
    Appended,
    AppendRefusal,
    AppendRefused,
    Expired,
    ReadBatches,
)
from lycheeloom.entry.local_requests import LocalRequestTable, Submission
from lycheeloom.entry.recorded_requests import RecordedRequestManager
from lycheeloom.entry.rendezvous import select_member
from lycheeloom.entry.request_handler import RequestHandler
from lycheeloom.log import BatchRing, LogTail, LogWriter, recover
from lycheeloom.model.records import MemberJoined, Outcome, RequestFinished
from lycheeloom.model.resources import Resources
from lycheeloom.model.verdict import MayHaveRun, Ran, Refusal, RefusalReason
from lycheeloom.state import FleetState, RecordedRequest, RequestStatus

MEMBERS = ["e0-a", "e1-b", "e2-c"]
SIZE = Resources(1.0, 256)


class FakeLog:
    """A log in memory that refuses appends while ``is_down`` is set."""

    def __init__(self):
        self.batches = []
        self.is_down = False
        self.oldest = 0

    def append(self, batch):
        if self.is_down:
            return AppendRefused(AppendRefusal.DOWN)
        self.batches.append(batch)
        return Appended(len(self.batches) - 1)

    def read(self, first, limit, wait_s, **options):
        if first < self.oldest:
            return Expired(self.oldest)
        first = min(first, len(self.batches))
        found = tuple(self.batches[first : first + limit])
        return ReadBatches(first, first + len(found), found)


class FakeDispatcher:
    """Accepts requests unless ``refusal`` is set, and runs none."""

    def __init__(self, local_requests):
        self.submitted = []
        self.refusal = None
        self._local_requests = local_requests

    def submit(self, local):
        if self.refusal is not None:
            return self.refusal
        self.submitted.append(local)
        self._local_requests.add(local)
        return None


class SingleEntry:
    """An entry that is the only member; ``pump`` writes and replays its log."""

    def __init__(self):
        self.log = FakeLog()
        self.tail = LogTail(self.log, FleetState())
        self.writer = LogWriter(self.log, "e0-a", self.tail, commit_interval_s=0.0)
        self.local_requests = LocalRequestTable()
        self.recorded_requests = RecordedRequestManager(
            self.tail,
            self.writer,
            self.log,
            self.local_requests,
            lambda: "e0-a",
            lambda: True,
        )
        self.dispatcher = self.recorded_requests.dispatcher = FakeDispatcher(
            self.local_requests
        )
        self.writer.append(MemberJoined("e0", "e0-a", "a:1", "north"))
        self.pump()

    def pump(self):
        for _ in range(6):
            gevent.sleep(0)
            self.writer.step()
            self.tail.step()

    def call(self, function, *arguments):
        greenlet = gevent.spawn(function, *arguments)
        self.pump()
        return greenlet.get(block=False)

    def accept(self, **fields):
        """Record a request and return it as queued at this entry."""
        values = {"idempotent": True, "idempotency_key": "k", "wait": False, **fields}
        submission = Submission("r1", "red", "find", b"x", SIZE, 1.0, 0.0, **values)
        self.call(self.recorded_requests.submit, submission, b"digest")
        return self.dispatcher.submitted[-1]


@pytest.fixture
def entry():
    return SingleEntry()


def test_one_member_takes_a_request_over():
    """Guards against requests that no member, or more than one, takes over."""
    chosen = {f"r{n}": select_member(f"r{n}", MEMBERS) for n in range(60)}
    assert set(chosen.values()) == set(MEMBERS)
    for request_id, member in chosen.items():
        assert select_member(request_id, MEMBERS[::-1]) == member
        if member != "e0-a":
            assert select_member(request_id, MEMBERS[1:]) == member
    assert select_member("r1", []) == ""


def test_request_whose_retry_was_refused_runs_again(entry):
    """Guards against a released request that stays pending forever."""
    local = entry.accept()
    local.attempt = 1
    assert entry.call(entry.recorded_requests.claim, local, 1, "w1", "boot") is None
    assert entry.call(entry.recorded_requests.release, local, 1)
    local.settle(MayHaveRun("the task failed, and the queue refused the retry"))
    entry.call(entry.recorded_requests.record_verdict, local)
    again = entry.dispatcher.submitted[-1]
    assert again is not local
    assert again.attempt == 1
    assert again.verdict is None


def test_refused_request_is_cancelled_by_one_record(entry):
    """Guards against one more record for each membership change in a log outage."""
    local = entry.accept()
    entry.local_requests.remove(local)
    batches_before = len(entry.log.batches)
    entry.log.is_down = True
    entry.dispatcher.refusal = Refusal(RefusalReason.NEVER_FITS, "too large")
    for _ in range(5):
        entry.recorded_requests.reassign_pending()
        entry.pump()
    assert entry.writer.queued_records == 1
    entry.log.is_down = False
    entry.pump()
    assert len(entry.log.batches) == batches_before + 1
    request = entry.tail.state.requests.request_by_id["r1"]
    assert request.outcome is Outcome.NOT_RUN


def test_claim_that_was_replayed_as_part_of_a_snapshot(entry):
    """Guards against a claim that this entry holds but does not run."""
    local = entry.accept()
    claiming = gevent.spawn(entry.recorded_requests.claim, local, 1, "w1", "boot")
    gevent.sleep(0)
    entry.writer.step()
    entry.tail.state = recover(entry.log)
    for listener in entry.tail._reset_listeners:
        listener(entry.tail.state)
    assert claiming.get() is None


def test_wait_ends_with_a_snapshot_that_has_the_answer(entry):
    """Guards against a caller that waits on although the request is finished."""
    local = entry.accept()
    entry.call(entry.recorded_requests.claim, local, 1, "w1", "boot")
    waiting = gevent.spawn(entry.recorded_requests.wait, "r1", 3600.0)
    gevent.sleep(0)
    entry.writer.append(RequestFinished("r1", 1, Outcome.RAN, b"answer"))
    entry.writer.step()
    entry.tail.state = recover(entry.log)
    for listener in entry.tail._reset_listeners:
        listener(entry.tail.state)
    assert waiting.get(timeout=60.0).status is RequestStatus.FINISHED


def test_shutdown_ends_waits_for_other_entries(entry):
    """Guards against a shutdown that waits for requests taken over only after it."""
    entry.accept()
    waiting = gevent.spawn(entry.recorded_requests.wait, "r1", 3600.0)
    gevent.sleep(0)
    entry.recorded_requests.release_waiters()
    assert waiting.get().status is RequestStatus.PENDING


@pytest.mark.parametrize(
    ("is_idempotent", "attempt", "verdict"),
    [(True, 1, "may_have_run"), (True, 0, "not_run"), (False, 1, "not_run")],
)
def test_answer_for_a_cancelled_request(is_idempotent, attempt, verdict):
    """Guards against "not run" for a request released without proof of that."""
    request = RecordedRequest(
        "r1", "red", "find", is_idempotent, "", b"", SIZE, 1, False, 0, 0
    )
    request.status = RequestStatus.FINISHED
    request.outcome = Outcome.NOT_RUN
    request.attempt = attempt
    handler = RequestHandler(None, None, LocalRequestTable(), None, None, None, None)
    assert handler._recorded_reply(request).document["verdict"] == verdict


@pytest.fixture
def handler(entry):
    """A request handler whose only queue is open to all."""
    queue = SimpleNamespace(open_to_all=True, organisations=["red"])
    entry.tail.state.config = SimpleNamespace(queue_by_id={"find": queue})
    fresh = SimpleNamespace(is_fresh=lambda: True)
    return RequestHandler(
        entry.tail,
        fresh,
        entry.local_requests,
        None,
        entry.recorded_requests,
        None,
        None,
    )


def drop_all(entry):
    """Drop every record from the log and from the entry's recent batches."""
    entry.log.oldest = len(entry.log.batches)
    entry.tail.ring = BatchRing()


def test_answer_that_the_log_has_dropped(entry, handler):
    """Guards against a caller that is told forever to ask again later."""
    local = entry.accept()
    entry.call(entry.recorded_requests.claim, local, 1, "w1", "boot")
    entry.writer.append(RequestFinished("r1", 1, Outcome.RAN, b"answer"))
    entry.pump()
    assert handler.show("r1", "", 0.0).document["answer"] == "answer"
    drop_all(entry)
    lost = handler.show("r1", "", 0.0)
    assert (lost.status, lost.document["verdict"]) == (410, "ran")
    assert lost.document["reason"] == "answer_lost"


def test_request_whose_body_the_log_has_dropped(entry):
    """Guards against a request that stays pending forever."""
    local = entry.accept()
    entry.local_requests.remove(local)
    drop_all(entry)
    entry.recorded_requests.reassign_pending()
    entry.pump()
    request = entry.tail.state.requests.request_by_id["r1"]
    assert request.outcome is Outcome.NOT_RUN


def test_collected_answer_is_the_recorded_one(entry, handler):
    """Guards against two entries that give different answers for one request.

    An entry answered with its own verdict before that was in the log, and was then
    lost; another entry recorded that the request may have run.
    """
    local = entry.accept(idempotent=False)
    entry.call(entry.recorded_requests.claim, local, 1, "w1", "boot")
    local.settle(Ran(b"answer"))
    early = handler.show("r1", "", 0.0)
    may_have_run = RequestFinished("r1", 1, Outcome.MAY_HAVE_RUN, b"the entry was lost")
    entry.writer.append(may_have_run)
    entry.pump()
    assert early.status == 202
    late = handler.show("r1", "", 0.0)
    assert late.document["verdict"] == "may_have_run"
