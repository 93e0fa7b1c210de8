"""Guards against a process that is fresh after a pause although its state is old."""

from __future__ import annotations

from dataclasses import dataclass, field

from lycheeloom.cluster import Freshness
from lycheeloom.model.records import MemberJoined
from lycheeloom.state import FleetState
from lycheeloom.state.members import Members


@dataclass
class FakeTail:
    """A tail whose position the test sets."""

    next_offset: int = 3
    last_read_sent_at: float = 0.0
    state: FleetState = field(default_factory=FleetState)


class Clock:
    """A clock that the test sets."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


def make_freshness():
    """Return the freshness of one of three members, its tail and its clock."""
    tail, clock = FakeTail(), Clock()
    members: Members = tail.state.members
    for name in ("a", "b", "c"):
        members.join(0, MemberJoined(name, name, "x:1", "north"))
    return Freshness(tail, lambda: "a", clock=clock), tail, clock


def test_confirmation_counts_once_the_offset_of_the_peer_is_replayed():
    """Guards against starts in a zone that was taken out of service during a pause.

    After a pause of 3 s, heartbeats were answered before the first log read. With
    these confirmations an entry was fresh before it had replayed the change, and a
    task started in the zone 3.01 s after the change was accepted.
    """
    freshness, tail, clock = make_freshness()
    clock.now = 3.0
    freshness.tick()
    freshness.add_confirmation("b", 3.0, next_offset=4)
    freshness.add_confirmation("c", 3.0, next_offset=4)
    assert not freshness.is_fresh()
    tail.next_offset = 4
    assert freshness.is_fresh()


def test_confirmations_of_an_outage_need_no_new_offset():
    """Guards against entries that refuse requests during an outage of the log."""
    freshness, _, clock = make_freshness()
    for now in (2.0, 2.5, 3.0):
        clock.now = now
        freshness.tick()
        freshness.add_confirmation("b", now, next_offset=3)
        assert freshness.is_fresh()
