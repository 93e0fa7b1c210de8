"""Client of the log service, with the faults that the service may show."""

import gevent
import pytest

from lycheeloom.clients import (
    Appended,
    AppendRefusal,
    AppendRefused,
    AppendUnknown,
    Expired,
    LogClient,
    ReadBatches,
    Unavailable,
)
from lycheeloom.standins import LogLimits, LogStandIn

LONG_S = 60.0
SHORT_S = 0.1


def test_batches_are_read_as_appended(log_client):
    """Guards against bytes that are changed by the encoding of the response."""
    batches = (b"", b"\x00\xff\n", b"x" * 64)
    offsets = [log_client.append(batch) for batch in batches]
    assert offsets == [Appended(0), Appended(1), Appended(2)]
    assert log_client.read(0) == ReadBatches(0, 3, batches)
    assert log_client.read(1, limit=1) == ReadBatches(1, 2, batches[1:2])
    assert log_client.end() == 3


@pytest.mark.parametrize(
    ("faults", "batch", "expected", "appended"),
    [
        ({}, b"x" * 65, AppendRefused(AppendRefusal.TOO_LARGE), False),
        ({"outage": True}, b"x", AppendRefused(AppendRefusal.DOWN), False),
        ({"down": True}, b"x", AppendRefused(AppendRefusal.DOWN), False),
        ({"fail_all": True}, b"x", AppendUnknown, False),
        ({"silent": True}, b"x", AppendUnknown, False),
        ({"lose_answers": 1}, b"x", AppendUnknown, True),
        ({"slow_ms": 60_000}, b"x", AppendUnknown, False),
    ],
    ids=lambda value: str(value) if isinstance(value, dict) else "",
)
def test_append_fault(log, log_client, faults, batch, expected, appended):
    """An append that may have taken effect must not be reported as refused."""
    assert isinstance(log_client.read(0), ReadBatches)  # opens a connection
    log.set_faults(**faults)
    ends_by_timeout = "silent" in faults or "slow_ms" in faults
    result = log_client.append(batch, timeout_s=SHORT_S if ends_by_timeout else None)
    assert result == expected or type(result) is expected
    assert log.next_offset == int(appended)


def test_append_rate_limit_is_a_refusal(transport):
    """Guards against treating status 429 as an unknown outcome.

    An unknown outcome must be resolved by replaying the log.
    """
    log = LogStandIn(limits=LogLimits(appends_per_s=1), clock=lambda: 0.0).start()
    client = LogClient(log.address, transport, append_timeout_s=LONG_S)
    assert client.append(b"a") == Appended(0)
    assert client.append(b"b") == AppendRefused(AppendRefusal.BUSY)
    log.stop()


@pytest.mark.parametrize(
    "faults",
    [
        {"outage": True},
        {"down": True},
        {"fail_all": True},
        {"silent": True},
        {"lose_answers": 1},
        {"slow_ms": 60_000},
    ],
    ids=str,
)
def test_read_fault(log, log_client, faults):
    """A failed read must return ``Unavailable`` in bounded time."""
    assert isinstance(log_client.read(0), ReadBatches)
    log.set_faults(**faults)
    assert isinstance(log_client.read(0, margin_s=SHORT_S), Unavailable)


def test_read_waits_for_an_append(log, log_client):
    """Guards against a long poll that returns no batches or misses the append."""
    reader = gevent.spawn(log_client.read, 0, 10, LONG_S)
    while not log.connections_opened:
        gevent.sleep(0.001)
    log.append(b"late")
    assert reader.get() == ReadBatches(0, 1, (b"late",))


def test_read_without_new_batches_returns_empty(log_client):
    assert log_client.read(0, wait_s=0.01) == ReadBatches(0, 0, ())


def test_read_before_retention(transport):
    """A reader that has fallen behind must get the oldest retained offset."""
    log = LogStandIn(limits=LogLimits(retained_records=2)).start()
    for batch in (b"a", b"b", b"c"):
        log.append(batch)
    client = LogClient(log.address, transport, read_margin_s=LONG_S)
    assert client.read(0) == Expired(1)
    assert client.read(1) == ReadBatches(1, 3, (b"b", b"c"))
    log.stop()
