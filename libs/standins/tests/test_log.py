"""Limits and reads of the log stand-in, on a clock that the test advances."""

import pytest

from lycheeloom.standins import LogLimits, LogStandIn
from lycheeloom.standins.server import Request


class ManualClock:
    now = 100.0

    def __call__(self):
        return self.now


def append(log, batch=b"x"):
    return log.handle(Request("POST", "/v1/append", body=batch))


def read(log, **query):
    return log.handle(Request("GET", "/v1/read", query))


def test_append_rate_is_limited():
    """Unused appends accumulate for at most one second."""
    clock = ManualClock()
    log = LogStandIn(limits=LogLimits(appends_per_s=2), clock=clock)
    assert [append(log).status for _ in range(3)] == [200, 200, 429]
    clock.now += 0.5
    assert [append(log).status for _ in range(2)] == [200, 429]
    clock.now += 60
    assert [append(log).status for _ in range(3)] == [200, 200, 429]


@pytest.mark.parametrize(("size", "status"), [(8, 200), (9, 413)])
def test_record_size_is_limited(size, status):
    log = LogStandIn(limits=LogLimits(max_record_bytes=8))
    assert append(log, b"x" * size).status == status


def test_old_batches_expire():
    """Batches older than the retention are dropped even without a new append."""
    clock = ManualClock()
    log = LogStandIn(limits=LogLimits(retained_s=10), clock=clock)
    append(log)
    clock.now += 6
    append(log)
    clock.now += 5
    reply = read(log, **{"from": "0"})
    assert (reply.status, reply.document) == (410, {"oldest": 1})
    clock.now += 60
    assert read(log, **{"from": "2"}).document["next"] == 2
    assert log.oldest_offset == log.next_offset == 2


def test_large_reads_are_split():
    """A read response has a limited size, and the next read continues after it."""
    log = LogStandIn(limits=LogLimits(max_record_bytes=3 * 1024 * 1024))
    for _ in range(3):
        append(log, b"x" * 3 * 1024 * 1024)
    assert read(log, **{"from": "0"}).document["next"] == 1
    assert read(log, **{"from": "1"}).document["next"] == 2


@pytest.mark.parametrize("query", [{"from": "x"}, {"limit": ""}, {"wait_ms": "1.5"}])
def test_invalid_query_is_refused(query):
    assert read(LogStandIn(), **query).status == 400
