"""Tests that confirmations make a process fresh only if its state is recent."""

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
    """Return the freshness of member "a" of three, with its tail and its clock."""
    tail, clock = FakeTail(), Clock()
    members: Members = tail.state.members
    for member in ("a", "b", "c"):
        members.join(0, MemberJoined(member, member, "x:1", "north"))
    return Freshness(tail, lambda: "a", clock=clock), tail, clock


def test_confirmations_count_only_after_replay_up_to_the_offset_of_the_peer():
    """Guards against starts in a zone that was taken out of service during a pause.

    After a pause of 3 s, heartbeats can be answered before the first log read. If their
    confirmations counted immediately, the entry would be fresh before it had replayed
    the change of the zone. It could then start a task in the zone 10 ms after the
    pause, which is 3.01 s after a change that was accepted when the pause began.
    """
    freshness, tail, clock = make_freshness()
    clock.now = 3.0
    freshness.tick()
    freshness.add_confirmation("b", 3.0, next_offset=4)
    freshness.add_confirmation("c", 3.0, next_offset=4)
    assert not freshness.is_fresh()
    tail.next_offset = 4
    assert freshness.is_fresh()


def test_confirmations_count_while_no_batches_are_appended():
    """Guards against entries that refuse requests during an outage of the log.

    The peers then confirm with the offset that this entry has already replayed.
    """
    freshness, _, clock = make_freshness()
    for sent_at in (2.0, 2.5, 3.0):
        clock.now = sent_at
        freshness.tick()
        freshness.add_confirmation("b", sent_at, next_offset=3)
        assert freshness.is_fresh()
