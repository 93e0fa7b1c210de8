"""Guards against acting on an old state after a pause of the process."""

import math
from types import SimpleNamespace

import pytest

from lycheeloom.cluster import Freshness


class Members:
    def active(self):
        return [SimpleNamespace(incarnation=name) for name in ("own", "a", "b")]

    def is_active(self, incarnation):
        return incarnation in ("own", "a", "b")


@pytest.fixture
def clock():
    return SimpleNamespace(now=100.0)


@pytest.fixture
def tail():
    state = SimpleNamespace(members=Members())
    return SimpleNamespace(state=state, next_offset=7, last_read_sent_at=-math.inf)


@pytest.fixture
def freshness(tail, clock):
    return Freshness(tail, lambda: "own", clock=lambda: clock.now)


def test_evidence_from_before_a_pause_does_not_count(freshness, tail, clock):
    """After a pause a process must first hear from the log or from peers."""
    freshness.add_confirmation("a", clock.now, next_offset=7)
    tail.last_read_sent_at = clock.now
    assert freshness.is_fresh()
    clock.now += 1.2
    assert not freshness.is_fresh()
