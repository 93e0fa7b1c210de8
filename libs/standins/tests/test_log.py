"""Limits of the log stand-in, on a clock that the test moves."""

import pytest

from lycheeloom.standins import LogLimits, LogStandIn
from lycheeloom.standins.server import Request


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def append(log, batch=b"x"):
    return log.handle(Request("POST", "/v1/append", body=batch))


def read(log, **query):
    return log.handle(Request("GET", "/v1/read", query))


def test_appends_per_second():
    """The limit must refill with time and not exceed one second's worth."""
    clock = Clock()
    log = LogStandIn(limits=LogLimits(appends_per_s=2), clock=clock)
    assert [append(log).status for _ in range(3)] == [200, 200, 429]
    clock.now += 0.5
    assert [append(log).status for _ in range(2)] == [200, 429]
    clock.now += 60
    assert [append(log).status for _ in range(3)] == [200, 200, 429]


@pytest.mark.parametrize(("size", "status"), [(8, 200), (9, 413)])
def test_record_size(size, status):
    log = LogStandIn(limits=LogLimits(max_record_bytes=8))
    assert append(log, b"x" * size).status == status


def test_retention_by_age():
    """Records older than the retention must be gone also without an append."""
    clock = Clock()
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
    """One answer stays small enough for a client, and the next read goes on."""
    log = LogStandIn(limits=LogLimits(max_record_bytes=3 * 1024 * 1024))
    for _ in range(3):
        append(log, b"x" * 3 * 1024 * 1024)
    assert read(log, **{"from": "0"}).document["next"] == 1
    assert read(log, **{"from": "1"}).document["next"] == 2


@pytest.mark.parametrize("query", [{"from": "x"}, {"limit": ""}, {"wait_ms": "1.5"}])
def test_bad_query(query):
    assert read(LogStandIn(), **query).status == 400
