"""Tests of request bodies and answers that outlive the log's retention."""

from types import SimpleNamespace

import gevent
import pytest

from lycheeloom.clients import LogClient
from lycheeloom.controller.housekeeping import AnswerExpiry
from lycheeloom.controller.refresh import RecordRefresher
from lycheeloom.log import LogTail, LogWriter, RecordLost, RecordReader
from lycheeloom.model import records as r
from lycheeloom.model.records import Duty, Outcome
from lycheeloom.standins import LogStandIn
from lycheeloom.standins.log import LogLimits
from lycheeloom.state import FleetState

RETENTION_S = 1000.0
CONFIG = (
    '{"pools": {"p": {}}, "organisations": {"t": {"share": 1, "upper_limit": 1}},'
    ' "queues": '
    '{"q": {"pool": "p", "organisations": ["t"], "answer_retention_s": 100}}}'
)


@pytest.fixture
def log():
    standin = LogStandIn(limits=LogLimits(retained_records=8))
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def clock():
    return SimpleNamespace(now=0.0)


@pytest.fixture
def client(log):
    return LogClient(log.address)


@pytest.fixture
def tail(client):
    tail = LogTail(client, FleetState())
    # Without the in-memory ring, every record is read from the log.
    tail.ring.read = lambda first, size: ()
    yield tail
    tail.stop()


@pytest.fixture
def writer(client, tail):
    writer = LogWriter(client, "author", tail)
    tail.start()
    writer.start()
    yield writer
    writer.stop()


@pytest.fixture
def append(writer):
    def append(record):
        assert type(writer.append(record).wait(5.0)).__name__ == "Effective"

    append(r.ConfigChanged(0, CONFIG))
    append(r.MemberJoined("i", "author", "127.0.0.1:1", "z"))
    append(r.DutyClaimed(Duty.HOUSEKEEPING, 0))
    return append


def submit(append, request_id, payload=b"body"):
    append(r.RequestSubmitted(request_id, "t", "q", payload, body_digest=b"d"))


def settle(tail, writer):
    while not writer.is_idle:
        gevent.sleep(0.01)


def test_body_and_answer_outlive_the_retention(append, tail, writer, client, clock):
    """Guards against bodies and answers that are lost with the log's old records."""
    duty = SimpleNamespace(is_held=lambda: True)
    reader = RecordReader(tail, client)
    refresher = RecordRefresher(
        duty, tail, writer, reader, RETENTION_S, clock=lambda: clock.now
    )
    submit(append, "waiting")
    submit(append, "done")
    append(r.RequestClaimed("done", 1, "w", "boot"))
    append(r.RequestFinished("done", 1, Outcome.RAN, b"answer"))
    refresher.step()
    assert refresher.refreshed_count == 0
    requests = tail.state.requests.request_by_id
    waiting, done = requests["waiting"], requests["done"]
    for step in range(1, 40):
        clock.now += RETENTION_S / 20
        refresher.step()
        settle(tail, writer)
        if step % 3 == 0:
            # Further records make the log drop the oldest ones.
            append(r.MemberRefuted())
        assert reader.submission(waiting.body_offset, "waiting").payload == b"body"
        assert reader.answer(done.answer_offset, "done").answer == b"answer"
    assert refresher.refreshed_count <= 2 * 4
    dropped = reader.submission(waiting.submitted_at, "waiting")
    assert isinstance(dropped, RecordLost)


def test_lost_record_is_read_once(append, tail, writer, client, clock):
    """Guards against a read and a log line at every step for each lost record."""
    reader = RecordReader(tail, client)
    reads = []

    def copy(offset, request_id, kind):
        reads.append(request_id)
        return RecordLost(offset + 1)

    reader.copy = copy
    refresher = RecordRefresher(
        SimpleNamespace(is_held=lambda: True),
        tail,
        writer,
        reader,
        RETENTION_S,
        clock=lambda: clock.now,
    )
    submit(append, "waiting")
    for _ in range(10):
        clock.now += RETENTION_S / 4
        refresher.step()
    assert reads == ["waiting"]


def test_only_the_holder_of_the_duty_refreshes(append, tail, writer, client, clock):
    """Guards against appends by every controller."""
    duty = SimpleNamespace(is_held=lambda: False)
    refresher = RecordRefresher(
        duty,
        tail,
        writer,
        RecordReader(tail, client),
        RETENTION_S,
        clock=lambda: clock.now,
    )
    submit(append, "waiting")
    clock.now += RETENTION_S
    refresher.step()
    assert refresher.refreshed_count == 0


def test_answers_expire_after_the_declared_time(append, tail, writer, clock):
    """Guards against kept answers that never expire or expire too early."""
    expiry = AnswerExpiry(
        SimpleNamespace(is_held=lambda: True), tail, writer, clock=lambda: clock.now
    )
    submit(append, "done")
    append(r.RequestCancelled("done"))
    for now, is_kept in ((0.0, True), (90.0, True), (111.0, False)):
        clock.now = now
        expiry.step()
        settle(tail, writer)
        assert ("done" in tail.state.requests.request_by_id) is is_kept
