"""Tests of a new leader that may overlap with the previous one."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from unittest.mock import Mock

import gevent
import pytest
from libs.coordinator.tests.fakes import FakeStore, wait_until

from lycheeloom.coordinator.leadership import TAKEOVER_AFTER_S, Leadership
from lycheeloom.coordinator.ports import (
    APPEND_TIMEOUT_S,
    AppendResult,
    Log,
    Producer,
    ReadFailed,
    ReadResult,
    RecordsRead,
)
from lycheeloom.coordinator.replica import MAX_READ_AGE_S, Replica
from lycheeloom.coordinator.writer import LEADER_LEASE_S, LeaderWriter
from lycheeloom.jobs.records import Record


class StoreAccess:
    """One instance's access to a store; while ``is_cut`` is set, reads fail."""

    def __init__(self, store: FakeStore) -> None:
        self.is_cut = False
        self.claims = 0
        # Called before each claim of the lead.
        self.before_claim: Callable[[], None] = lambda: None
        self._store = store

    def append(
        self,
        records: Sequence[Record],
        producer: Producer | None = None,
        timeout_s: float = APPEND_TIMEOUT_S,
    ) -> AppendResult:
        return self._store.append(records, producer, timeout_s)

    def read(self, log: Log, offset: int, wait_s: float) -> ReadResult:
        if self.is_cut:
            return ReadFailed("turned away")
        return self._store.read(log, offset, wait_s)

    def newest(self, log: Log) -> RecordsRead | ReadFailed:
        return ReadFailed("turned away") if self.is_cut else self._store.newest(log)

    def claim_lead(self, expected_end: int, instance: str) -> AppendResult:
        self.claims += 1
        self.before_claim()
        return self._store.claim_lead(expected_end, instance)


class Takeover:
    """A leader with token 1, and an instance that takes over from it."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.access = StoreAccess(self.store)
        self.replica = Replica(self.access)
        # Whether the previous leader could act when the new one began to lead.
        self.overlaps: list[bool] = []
        # Number of records in the leader's log at that time.
        self.record_counts: list[int] = []
        self.store.claim_lead(0, "previous")
        self.previous = LeaderWriter(self.store, 1, "previous", lambda: None)
        assert self.previous.open(1.0) is not None
        self._leadership = Leadership(
            self.access,
            self.replica,
            "next",
            self._lead,
            lambda: True,
            Mock(uniform=lambda low, high: 0.0),
        )
        self._greenlets: list[gevent.Greenlet] = []

    def spawn(self, loop: Callable[[], None]) -> gevent.Greenlet:
        """Run a loop in a greenlet until the test ends."""
        self._greenlets.append(gevent.spawn(loop))
        return self._greenlets[-1]

    def start(self, *, follows_logs: bool = True) -> None:
        """Start the instance; without ``follows_logs``, its long polls hang."""
        assert self.replica.load()
        if follows_logs:
            self.spawn(self.replica.run)
        self.spawn(self._leadership.run)

    def close(self) -> None:
        """Stop all greenlets."""
        gevent.killall(self._greenlets)

    def _lead(self, writer: LeaderWriter, had_leader: bool) -> None:
        self.overlaps.append(self.previous.may_act)
        self.record_counts.append(len(self.store.records))
        writer.run()


@pytest.fixture
def takeover():
    """A leader, and an instance that has not been started."""
    takeover = Takeover()
    yield takeover
    takeover.close()


@pytest.mark.parametrize("is_cut", [True, False])
def test_reads_without_an_answer_do_not_count_as_silence(takeover, is_cut):
    """An instance must not take over from a leader whose records it could not read.

    The quick read before the campaign fails, or brings the leader's records.
    """
    takeover.spawn(takeover.previous.run)
    takeover.start(follows_logs=False)
    takeover.access.is_cut = is_cut
    gevent.sleep(MAX_READ_AGE_S + 0.2)
    assert takeover.access.claims == 0


def test_new_leader_waits_for_the_lease_of_a_late_record(takeover):
    """Two leaders must not act at the same time after a late renewal.

    It reaches the log after the last read before the claim.
    """
    takeover.access.before_claim = lambda: takeover.previous.open(1.0)
    takeover.start()
    wait_until(lambda: bool(takeover.overlaps))
    assert takeover.overlaps == [False]


def test_leader_without_late_records_is_not_waited_for(takeover):
    """An ordinary takeover must not be delayed by the wait for late records."""
    takeover.start()
    wait_until(lambda: bool(takeover.record_counts))
    # Each leader has written one record: the new one has not renewed its lease.
    assert takeover.record_counts == [2]


def test_claim_of_another_instance_does_not_end_a_leader(takeover):
    """A leader that goes on must not be replaced because of a claim without effect."""
    takeover.access.before_claim = lambda: takeover.store.claim_lead(1, "other")
    takeover.start()
    wait_until(lambda: takeover.access.claims == 1)
    previous = takeover.spawn(takeover.previous.run)
    gevent.sleep(TAKEOVER_AFTER_S + LEADER_LEASE_S)
    assert takeover.overlaps == []
    previous.kill()
    wait_until(lambda: takeover.overlaps == [False])
