"""Tests of the leader's lease when the store does not answer each append."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from unittest.mock import Mock

import gevent
import pytest
from libs.coordinator.tests.fakes import FakeStore
from libs.coordinator.tests.simulated_time import SimulatedTime

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.leadership import (
    CHECK_INTERVAL_S,
    TAKEOVER_AFTER_S,
    Leadership,
)
from lycheeloom.coordinator.ports import (
    APPEND_TIMEOUT_S,
    AppendResult,
    AppendUnknown,
    NotAppended,
    Producer,
)
from lycheeloom.coordinator.replica import Replica
from lycheeloom.coordinator.writer import (
    LEADER_LEASE_S,
    RETRY_PAUSE_S,
    LeaderWriter,
)
from lycheeloom.jobs.records import Record

# Times at which the other instance begins to watch the leader, within the interval of
# its checks.
PHASES = 10
# Longer than an append and the renewal after it take.
RECOVERY_S = 0.1


class FaultyStore(FakeStore):
    """A store that can refuse the next appends or leave them unanswered.

    ``recorded_s`` is when the latest record was appended.
    """

    def __init__(self) -> None:
        super().__init__()
        # The next appends, as many as this number, take effect and time out.
        self.unanswered_appends = 0
        # The next appends, as many as this number, are refused.
        self.refused_appends = 0
        self.recorded_s = 0.0

    def append(
        self,
        records: Sequence[Record],
        producer: Producer | None = None,
        timeout_s: float = APPEND_TIMEOUT_S,
    ) -> AppendResult:
        sent_s = steady_s()
        if self.refused_appends:
            self.refused_appends -= 1
            return NotAppended("status 503")
        is_unanswered = self.unanswered_appends > 0
        self.unanswered_appends -= is_unanswered
        known_records = len(self.records)
        result = super().append(records, producer, timeout_s)
        if len(self.records) > known_records:
            self.recorded_s = steady_s()
        if not is_unanswered:
            return result
        gevent.sleep(sent_s + timeout_s - steady_s())
        return AppendUnknown("no answer in time")


class Leaders:
    """A leader and an instance that watches it, in simulated time."""

    def __init__(self, time: SimulatedTime) -> None:
        self.time = time
        self.store = FaultyStore()
        self.store.claim_lead(0, "first")
        self.writer = LeaderWriter(self.store, 1, "first", lambda: None)
        gevent.spawn(self._run_first)
        # Whether the first leader could act when the second one began to lead.
        self.overlaps: list[bool] = []

    def _run_first(self) -> None:
        assert self.writer.open(1.0) is not None
        self.writer.run()

    def start_second(self) -> None:
        """Start the instance that takes over from a silent leader."""
        replica = Replica(self.store)
        leadership = Leadership(
            self.store,
            replica,
            "second",
            self._lead,
            lambda: True,
            Mock(uniform=lambda low, high: 0.0),
        )
        gevent.spawn(replica.run)
        gevent.spawn(leadership.run)

    def _lead(self, writer: LeaderWriter, had_leader: bool) -> None:
        self.overlaps.append(self.writer.may_act)
        writer.run()

    def advance_to_record(self) -> None:
        """Advance the time until the next record is appended."""
        recorded_s = self.store.recorded_s
        while self.store.recorded_s == recorded_s:
            self.time.advance(0.01)

    def advance_while_silent(self) -> None:
        """Advance the time until the leader gets the next answer."""
        while self.store.unanswered_appends or self.store.refused_appends:
            self.time.advance(0.01)
        lease_until_s = self.writer.lease_until_s
        while self.writer.lease_until_s == lease_until_s:
            self.time.advance(0.01)


@pytest.fixture
def leaders() -> Iterator[Leaders]:
    """A leader that has renewed its lease for a second."""
    with SimulatedTime() as time:
        leaders = Leaders(time)
        time.advance(1.0)
        assert leaders.writer.may_act
        yield leaders


@pytest.mark.parametrize("lost_answers", [1, 2, 3])
def test_lease_counts_from_the_first_attempt_of_an_append(leaders, lost_answers):
    """A leader must not act on a record from which others no longer count its lease.

    The store answers a repeated append, whose record the first attempt has written.
    """
    leaders.store.unanswered_appends = lost_answers
    leaders.advance_to_record()
    recorded_s = leaders.store.recorded_s
    leaders.advance_while_silent()
    assert leaders.store.recorded_s == recorded_s
    assert leaders.writer.lease_until_s <= recorded_s + LEADER_LEASE_S


@pytest.mark.parametrize("phase", range(PHASES))
def test_former_leader_does_not_act_after_lost_answers(leaders, phase):
    """Two leaders must not act at the same time (review case 11).

    The answers to a renewal and to its first repetition are lost, and another instance
    takes over at about the time of the second repetition.
    """
    leaders.time.advance(phase * CHECK_INTERVAL_S / PHASES)
    leaders.start_second()
    leaders.time.advance(1.0)
    leaders.store.unanswered_appends = 2
    leaders.time.advance(2 * TAKEOVER_AFTER_S)
    assert not any(leaders.overlaps)


def test_lease_is_renewed_at_once_after_a_repeated_append(leaders):
    """A leader must not pause its starts for longer than the store is silent."""
    leaders.store.unanswered_appends = 2
    leaders.advance_while_silent()
    leaders.time.advance(RECOVERY_S)
    assert leaders.writer.may_act


def test_refused_attempts_do_not_shorten_the_lease(leaders):
    """A leader must not lose its lease to attempts that certainly had no effect."""
    leaders.store.refused_appends = 3
    leaders.advance_while_silent()
    left_s = leaders.writer.lease_until_s - leaders.time.now_s
    assert left_s > LEADER_LEASE_S - RETRY_PAUSE_S


def test_refusal_does_not_settle_an_attempt_without_an_answer(leaders):
    """The lease must count from an unanswered attempt that a refusal follows."""
    leaders.store.unanswered_appends = 1
    leaders.advance_to_record()
    recorded_s = leaders.store.recorded_s
    leaders.store.refused_appends = 2
    leaders.advance_while_silent()
    assert leaders.writer.lease_until_s <= recorded_s + LEADER_LEASE_S
