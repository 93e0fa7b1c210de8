"""Encoding and decoding of log records and peer messages."""

import gevent
import pytest

from lycheeloom.model import records as r
from lycheeloom.model.records import Batch, UnknownRecord
from lycheeloom.model.resources import Resources
from lycheeloom.wire import (
    BadBatch,
    BadPeerMessage,
    Heartbeat,
    OrganisationUsage,
    OutcomeCount,
    OutcomeReport,
    OutcomeRequest,
    PeerMessage,
    QueueCount,
    RangeRequest,
    RecordRelay,
    copy_record,
    decode_batch,
    decode_peer_message,
    encode_batch,
    encode_peer_message,
)
from lycheeloom.wire.batches import _SCHEMA
from lycheeloom.wire.checksum import add_checksum

RECORDS = [
    r.ConfigChanged(3, '{"a":null}', "ada"),
    r.MemberJoined("i1", "i1-a", "127.0.0.1:1", "z1", "0.1"),
    r.MemberVote("i1-a", r.VoteReason.GONE),
    r.MemberRefuted(),
    r.MemberLeft(),
    r.GrantsReclaimed("i1-a", 9),
    r.GrantRequested("t", 4),
    r.GrantReturned("t", 2),
    r.RequestSubmitted(
        "q1", "t", "q", b"x\x00", True, "k", b"d", Resources(1.5, 2, 3), 7, True, True
    ),
    r.RequestClaimed("q1", 1, "w", "b"),
    r.RequestReleased("q1", 1, "half"),
    r.RequestFinished("q1", 1, r.Outcome.RAN, b"\xff"),
    r.RequestCancelled("q1"),
    r.AnswersExpired(5),
    r.DutyClaimed(r.Duty.SNAPSHOT, 2),
    r.MoveStep("i", "m", r.MoveStage.DRAINED, 1, "p", True, "why"),
    r.InstanceHealth("i", r.Health.PROBATION, 1, "why"),
    r.WaveCommand("w", r.WaveState.ABSENT, r.WaveState.RUNNING, ("p", "q"), True),
    r.SnapshotChunk("s", 8, 0, 1, b"d", b"p"),
]


@pytest.mark.parametrize("record", RECORDS, ids=lambda record: type(record).__name__)
def test_record_round_trip(record):
    batch = Batch("author", 7, (record,))
    assert decode_batch(encode_batch(batch)) == batch


@pytest.mark.parametrize(
    "body",
    [
        Heartbeat(
            1,
            2,
            3,
            4,
            True,
            (OrganisationUsage("t", 1, 2, 0.5, 3, 1, (QueueCount("q", 2),)),),
            True,
            ("w1", "w2"),
        ),
        RecordRelay(5, (b"a", b"")),
        RangeRequest(6),
        OutcomeRequest(7),
        OutcomeReport(8, (OutcomeCount("w1", "q", 3, 2),), ("q",)),
    ],
    ids=lambda body: type(body).__name__,
)
def test_peer_message_round_trip(body):
    message = PeerMessage("i1-a", body)
    assert decode_peer_message(encode_peer_message(message)) == message


def test_record_without_known_kind_is_unknown():
    """A record of a newer program version must not stop replay in an older one."""
    message = _SCHEMA.Batch.new_message(author="a", sequence=1, records=[{}])
    assert decode_batch(add_checksum(message.to_bytes())) == Batch(
        "a", 1, (UnknownRecord(),)
    )


@pytest.mark.parametrize("record", RECORDS, ids=lambda record: type(record).__name__)
def test_copied_record_is_the_same_record(record):
    """A record that is copied and appended again must be unchanged."""
    first = encode_batch(Batch("first", 3, (r.MemberRefuted(), record)))
    copy = copy_record(first, 1)
    again = encode_batch(Batch("second", 8, (copy, r.MemberLeft())))
    assert decode_batch(again) == Batch("second", 8, (record, r.MemberLeft()))


def in_resumed_greenlet(function):
    """Run a function in a greenlet that has already been suspended and resumed.

    An error inside the Cap'n Proto library crashes the process there.
    """

    def run():
        gevent.sleep(0)
        return function()

    return gevent.spawn(run).get()


@pytest.mark.parametrize("record", RECORDS, ids=lambda record: type(record).__name__)
def test_codec_works_in_a_greenlet(record):
    """Guards against a segmentation fault when a record is encoded in a greenlet."""
    batch = Batch("author", 7, (record,))
    encoded = in_resumed_greenlet(lambda: encode_batch(batch))
    copy = in_resumed_greenlet(lambda: copy_record(encoded, 0))
    copied = Batch("author", 7, (copy,))
    assert in_resumed_greenlet(lambda: encode_batch(copied)) == encoded
    assert in_resumed_greenlet(lambda: decode_batch(encoded)) == batch
    damaged = encoded[:-1] + bytes([encoded[-1] ^ 1])
    assert isinstance(in_resumed_greenlet(lambda: decode_batch(damaged)), BadBatch)


@pytest.mark.parametrize("count", [-1, 2**64, None])
def test_value_out_of_range_is_rejected(count):
    """A value out of range must raise a ValueError, not fail inside the library."""
    with pytest.raises(ValueError, match="does not fit"):
        encode_batch(Batch("a", 1, (r.GrantRequested("t", count),)))


@pytest.mark.parametrize("data", [b"", b"\x00" * 3, b"\xff" * 64])
def test_damaged_bytes_are_reported(data):
    """Damaged bytes must be returned as an error, not raise an exception."""
    assert isinstance(decode_batch(data), BadBatch)
    assert isinstance(decode_peer_message(data), BadPeerMessage)
