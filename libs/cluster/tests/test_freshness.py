"""Guards against acting on a state that is older than its evidence."""

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
    """A process that was paused must hear from the log or peers again first."""
    freshness.confirm("a", clock.now, next_offset=7)
    tail.last_read_sent_at = clock.now
    assert freshness.is_fresh()
    clock.now += 1.2
    assert not freshness.is_fresh()
