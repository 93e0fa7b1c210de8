"""Tests of which instance leads."""

from __future__ import annotations

import random

import gevent
import pytest
from libs.coordinator.tests.fakes import FakeStore, wait_until

from lycheeloom.coordinator import handover
from lycheeloom.coordinator.handover import Handover
from lycheeloom.coordinator.leadership import Leadership
from lycheeloom.coordinator.replica import Replica
from lycheeloom.coordinator.writer import LeaderWriter

SMALL_CORES, LARGE_CORES = 0.5, 2.0
# Replaces the delay before a bid, to keep the tests short.
BID_DELAY_S = 0.5


class Instances:
    """Instances that campaign over one store; ``leaders`` lists all that have led."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.leaders: list[str] = []
        self.leadership_by_name: dict[str, Leadership] = {}
        self._greenlets: list[gevent.Greenlet] = []

    def start(self, name: str, cores: float, may_lead: bool = True) -> None:
        """Start an instance with a processor capacity."""
        replica = Replica(self.store)
        leadership = Leadership(
            self.store,
            replica,
            name,
            lambda writer, had_leader: self._lead(name, writer),
            lambda: may_lead,
            random.Random(name),
            cores,
        )
        self.leadership_by_name[name] = leadership
        hand_over = Handover(self.store, replica, leadership, name)
        for loop in (replica.run, leadership.run, hand_over.run):
            self._greenlets.append(gevent.spawn(loop))

    def close(self) -> None:
        """Stop all instances."""
        gevent.killall(self._greenlets)

    def _lead(self, name: str, writer: LeaderWriter) -> None:
        self.leaders.append(name)
        writer.run()


@pytest.fixture
def instances(monkeypatch):
    """Instances that bid for the lead early."""
    monkeypatch.setattr(handover, "FIRST_BID_DELAY_S", BID_DELAY_S)
    instances = Instances()
    yield instances
    instances.close()


def test_large_instance_leads_first(instances):
    """An instance without enough processor capacity must not lead by chance."""
    for number in range(6):
        instances.start(f"small-{number}", SMALL_CORES)
    instances.start("large", LARGE_CORES)
    wait_until(lambda: bool(instances.leaders))
    gevent.sleep(2 * BID_DELAY_S)
    assert instances.leaders == ["large"]


def test_small_instance_leads_if_there_is_no_other(instances):
    """A fleet of small instances must not stay without a leader."""
    instances.start("small", SMALL_CORES)
    wait_until(lambda: instances.leaders == ["small"])


def test_small_leader_hands_over_to_a_large_instance(instances):
    """A small instance must not keep the lead that it got while others failed."""
    instances.start("small", SMALL_CORES)
    wait_until(lambda: instances.leaders == ["small"])
    instances.start("large", LARGE_CORES)
    wait_until(lambda: instances.leaders == ["small", "large"])
    gevent.sleep(4 * BID_DELAY_S)
    assert instances.leaders == ["small", "large"]


def test_leaders_of_similar_size_stay(instances):
    """The lead must not change without need."""
    instances.start("first", LARGE_CORES)
    wait_until(lambda: instances.leaders == ["first"])
    instances.start("larger", 4 * LARGE_CORES)
    instances.start("second", LARGE_CORES)
    gevent.sleep(4 * BID_DELAY_S)
    assert instances.leaders == ["first"]


def test_instance_that_cannot_lead_does_not_bid(instances):
    """A leader must not resign for an instance that lacks the configuration."""
    instances.start("small", SMALL_CORES)
    wait_until(lambda: instances.leaders == ["small"])
    instances.start("large", LARGE_CORES, may_lead=False)
    gevent.sleep(4 * BID_DELAY_S)
    assert instances.leaders == ["small"]


def test_resigning_leader_starts_nothing(instances):
    """Two leaders must not act after the resignation of one is recorded.

    Others may read the resignation before the answer reaches the leader.
    """
    writer = LeaderWriter(instances.store, 1, "first", lambda: None)
    assert writer.open(1.0) is not None
    assert writer.may_act
    resignation = gevent.spawn(writer.resign, BID_DELAY_S)
    gevent.sleep(0)
    assert not resignation.dead
    assert not writer.may_act
