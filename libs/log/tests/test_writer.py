"""Guards against records that the writer loses, repeats or misreports."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from libs.log.tests.fake_log import Clock, FakeClient, FakeLog

from lycheeloom.log import (
    Effective,
    LogTail,
    LogWriter,
    NoEffect,
    NotWritten,
    Priority,
    Unknown,
)
from lycheeloom.log.queue import (
    BATCH_OVERHEAD_BYTES,
    MAX_QUEUED_BY_PRIORITY,
    record_size_bound,
)
from lycheeloom.model import records as r
from lycheeloom.model.limits import COMMIT_INTERVAL_S, MAX_BATCH_BYTES
from lycheeloom.model.records import Batch
from lycheeloom.state import FleetState
from lycheeloom.wire import decode_batch, encode_batch


class Process:
    """A writer and a tail over one client, driven step by step."""

    def __init__(self, log, author="a"):
        self.clock = Clock()
        self.client = FakeClient(log)
        rng = random.Random(1)
        self.tail = LogTail(self.client, FleetState(), clock=self.clock, rng=rng)
        self.writer = LogWriter(
            self.client, author, self.tail, clock=self.clock, rng=rng
        )

    def append(self, record, priority=Priority.REQUEST):
        return self.writer.append(record, priority)

    def settle(self, steps=20):
        for _ in range(steps):
            self.clock.now += self.writer.step()
            self.tail.step()


@pytest.fixture
def log():
    return FakeLog()


@pytest.fixture
def process(log):
    return Process(log)


def submitted(request_id, size=1):
    return r.RequestSubmitted(request_id, "t", "main", b"x" * size)


def records_in(log):
    return [record for data in log.archive for record in decode_batch(data).records]


@pytest.mark.parametrize(
    ("faults", "copies"),
    [
        ([], 1),
        (["down"] * 5, 1),
        (["busy", "down", "busy"], 1),
        (["lost_answer"], 1),
        (["lost_request"] * 3, 1),
        (["lost_request", "lost_answer"], 1),
        (["delayed", "down", "lost_request"], 2),
    ],
    ids=str,
)
def test_record_takes_effect_once(log, process, faults, copies):
    """A lost or delayed append must take effect exactly once."""
    process.client.append_faults.extend(faults)
    pending = process.append(submitted("q1"))
    process.settle()
    log.deliver_delayed()
    process.settle()
    assert pending.wait(0) == Effective(0)
    assert len(log.archive) == copies
    assert len(process.tail.state.requests.request_by_id) == 1
    assert process.writer.is_idle


def test_lost_answer_is_repeated_until_replayed(log, process):
    """While the tail cannot read, the writer must repeat the same batch."""
    process.client.append_faults.extend(["lost_answer", "lost_answer"])
    process.client.read_faults.append("down")
    first = process.append(submitted("q1"))
    process.clock.now += process.writer.step()
    second = process.append(submitted("q2"))
    process.settle()
    assert log.archive[0] == log.archive[1] == log.archive[2]
    assert first.wait(0) == Effective(0)
    assert second.wait(0) == Effective(3)


def test_precondition_that_fails_is_reported(process):
    """A record without effect must not be reported as effective."""
    first, second = process.append(submitted("q1")), process.append(r.MemberLeft())
    process.settle()
    assert (first.wait(0), second.wait(0)) == (Effective(0), NoEffect(0))


def test_records_share_a_batch_and_control_goes_first(log, process):
    """Configuration must not wait behind queued request records."""
    requests = [process.append(submitted(f"q{i}", 60_000)) for i in range(20)]
    config = process.append(r.ConfigChanged(0, '{"name":"x"}'), Priority.CONTROL)
    process.writer.step()
    process.tail.step()
    assert config.wait(0) == Effective(0)
    assert isinstance(decode_batch(log.archive[0]).records[0], r.ConfigChanged)
    assert requests[0].wait(0) == Effective(0)
    process.settle()
    assert all(isinstance(item.wait(0), Effective) for item in requests)
    assert all(len(data) <= MAX_BATCH_BYTES for data in log.archive)


def test_requests_keep_a_part_of_each_batch(process):
    """Many control records must not hold up request records."""
    for i in range(20):
        process.append(submitted(f"c{i}", 60_000), Priority.CONTROL)
    request = process.append(submitted("q1", 30_000))
    process.writer.step()
    process.tail.step()
    assert request.wait(0) == Effective(0)


def test_commit_interval_bounds_the_batches(log, process):
    """An entry may append 20 batches a second; more would overload the log."""
    assert COMMIT_INTERVAL_S == 0.05
    end = process.clock.now + 1.0 - COMMIT_INTERVAL_S / 2
    while process.clock.now < end:
        process.append(submitted(f"q{process.clock.now}"))
        process.clock.now += process.writer.step()
        process.tail.step()
    assert len(log.archive) == 20


def test_not_written_is_never_reported_for_a_written_record(log, process):
    """``NotWritten`` must never be reported for a record that is in the log."""
    process.client.append_faults.extend(["down"] * 2 + ["lost_answer"] * 100)
    refused = process.append(submitted("q1"))
    process.writer.step()
    assert isinstance(refused.wait(0), NotWritten)
    unclear = process.append(submitted("q2"))
    process.writer.step()
    process.writer.step()
    assert isinstance(unclear.wait(0), Unknown)
    too_large = process.append(submitted("q3", MAX_BATCH_BYTES))
    assert isinstance(too_large.wait(0), NotWritten)
    process.settle()
    assert {record.request_id for record in records_in(log)} == {"q2"}
    assert unclear.wait(0) == Effective(0)


def test_record_given_up_while_it_is_sent_is_not_sent_again(log, process):
    """A caller that appends again must not leave the earlier copy in the queue.

    During an outage each copy whose wait timed out during an append stayed queued,
    and all were written afterwards.
    """
    append = process.client.append
    outcomes = []

    def wait_meanwhile(batch):
        outcomes.append(copies[-1].wait(0))
        return append(batch)

    process.client.append = wait_meanwhile
    process.client.append_faults.extend(["down"] * 10)
    copies = []
    for i in range(10):
        copies.append(process.append(submitted(f"q{i}")))
        process.writer.step()
    process.client.append = append
    process.settle()
    assert all(isinstance(outcome, Unknown) for outcome in outcomes)
    assert all(isinstance(copy.outcome, NotWritten) for copy in copies)
    assert records_in(log) == []


def test_log_with_a_smaller_limit(log, process):
    """A log with a smaller batch limit must not block the queue forever."""
    process.client.append_faults.extend(["too_large"])
    small = [process.append(submitted(f"q{i}", 50_000)) for i in range(4)]
    process.settle()
    assert len(log.archive) == 2
    assert all(isinstance(item.wait(0), Effective) for item in small)
    process.client.append_faults.extend(["too_large"])
    alone = process.append(submitted("q9", 100_000))
    process.settle()
    assert isinstance(alone.wait(0), NotWritten)


def test_record_that_cannot_be_encoded(process):
    """One invalid record must not stop the writer or the rest of its batch."""
    before = process.append(submitted("q1"))
    bad = process.append(r.GrantRequested("t", -1))
    after = process.append(submitted("q2"))
    process.settle()
    assert isinstance(bad.wait(0), NotWritten)
    assert (before.wait(0), after.wait(0)) == (Effective(0), Effective(0))


def test_full_queue_refuses(process):
    """An outage of 30 minutes must not grow the queue without bound."""
    limit = MAX_QUEUED_BY_PRIORITY[Priority.REQUEST]
    waiting = [process.append(submitted(f"q{i}")) for i in range(limit)]
    assert isinstance(process.append(submitted("over")).wait(0), NotWritten)
    assert waiting[0].withdraw()
    process.append(submitted("next"))
    assert process.writer.queued_records == limit


def test_snapshot_that_skips_a_batch_ends_its_repetition(log, process):
    """A batch covered by the snapshot in use must not be repeated forever."""
    process.client.append_faults.append("lost_answer")
    pending = process.append(submitted("q1"))
    process.writer.step()
    other = Process(log)
    other.tail.step()
    for listener in process.tail._reset_listeners:
        listener(other.tail.state)
    assert isinstance(pending.wait(0), Unknown)
    assert process.writer.is_idle


def test_new_author_does_not_write_unsent_records_of_the_old_one(log, process):
    """Records of an expelled incarnation must not be written by the next one."""
    process.client.append_faults.extend(["lost_request"])
    sent = process.append(submitted("q1"))
    process.writer.step()
    unsent = process.append(submitted("q2"))
    process.writer.change_author("b")
    new = process.append(submitted("q3"))
    process.settle()
    assert isinstance(unsent.wait(0), NotWritten)
    assert (sent.wait(0), new.wait(0)) == (Effective(0), Effective(1))
    authors = [(b.author, b.sequence) for b in map(decode_batch, log.archive)]
    assert authors == [("a", 1), ("b", 1)]


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    st.text(max_size=50),
    st.binary(max_size=100),
    st.lists(st.text(max_size=20), max_size=20),
)
def test_size_bound_covers_encoding(text, data, pools):
    """The estimated size must not be too small: the log refuses larger batches."""
    wave = r.WaveCommand(text, r.WaveState.ABSENT, r.WaveState.RUNNING, tuple(pools))
    records = (
        r.RequestSubmitted(text, text, text, data, True, text, data),
        r.SnapshotChunk(text, 1, 0, 1, data, data),
        r.MoveStep(text, text, r.MoveStage.DRAINED, 1, text, True, text),
        wave,
    )
    bound = BATCH_OVERHEAD_BYTES + sum(record_size_bound(item) for item in records)
    assert len(encode_batch(Batch("a" * 40, 1, records))) <= bound
