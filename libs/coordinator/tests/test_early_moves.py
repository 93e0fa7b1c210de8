"""Tests of moves ahead of load and their failures, with the feature switched on."""

from __future__ import annotations

import dataclasses

import gevent
import pytest
from libs.coordinator.tests.fakes import wait_until
from libs.coordinator.tests.test_gentle_maintenance import StandbyInstances, start_moves
from libs.coordinator.tests.test_leader_tasks import add_standby_pool

from lycheeloom.coordinator import early_moves
from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.features import Features
from lycheeloom.coordinator.ports import CallOutcome
from lycheeloom.jobs.demand_forecast import Forecast, Outcome

MOVE_S = 0.2


class FakeForecasts:
    """Forecasts three instances in the pool until the test says what became of it."""

    def __init__(self):
        now_s = steady_s()
        self.forecast = Forecast("pool", "other", 3.0, now_s, now_s + 60)
        self.news: list[Forecast] = []

    def note(self, need_by_pool, now_s):
        news, self.news = self.news, []
        return news

    def expected(self, now_s):
        return {"pool": self.forecast} if self.forecast else {}

    def remaining_s(self, pool, now_s):
        return None

    def fail(self):
        """Have the load not come."""
        self.news = [dataclasses.replace(self.forecast, outcome=Outcome.FAILED)]
        self.forecast = None


@pytest.fixture
def cluster(cluster):
    """A cluster with two idle workers in a pool, and a pool of standby instances."""
    add_standby_pool(cluster)
    return cluster


def start(cluster, instances, forecasts=None, token=1):
    """Start a leader that moves instances; return its dispatcher."""
    dispatcher = cluster.start_leader(token)
    dispatcher.features = Features(demand_forecast=True)
    moves = start_moves(cluster, instances, dispatcher, MOVE_S)
    if forecasts is not None:
        moves._early_moves._forecasts = forecasts
    return dispatcher


@pytest.fixture
def long_idle(monkeypatch):
    """Let idle instances stay on, unless a forecast has failed."""
    monkeypatch.setattr(early_moves, "SWITCH_OFF_IDLE_S", 1000.0)


def test_instance_is_switched_off_at_once_if_the_load_does_not_come(cluster, long_idle):
    """Instances moved ahead of a load must not stay on when it does not come."""
    instances, forecasts = StandbyInstances(cluster, [9]), FakeForecasts()
    dispatcher = start(cluster, instances, forecasts)
    wait_until(lambda: "w9" in dispatcher.fleet.state_by_id)
    gevent.sleep(2 * MOVE_S)
    assert instances.moves == [("m-w9", "pool")]
    forecasts.fail()
    wait_until(lambda: len(instances.moves) > 1)
    assert instances.moves == [("m-w9", "pool"), ("m-w9", "off")]


def test_failed_move_is_repeated_only_while_the_load_is_expected(cluster, long_idle):
    """A move that fails must neither be given up nor be made when it is of no use."""
    instances, forecasts = StandbyInstances(cluster, [9]), FakeForecasts()
    instances.failures = [CallOutcome.REFUSED, CallOutcome.UNKNOWN, CallOutcome.REFUSED]
    start(cluster, instances, forecasts)
    wait_until(lambda: len(instances.moves) == 3)
    forecasts.fail()
    gevent.sleep(2.0)
    assert instances.moves == [("m-w9", "pool")] * 3


def test_new_leader_switches_off_what_was_moved_early(cluster):
    """A takeover must not leave instances on for a forecast that nobody knows."""
    instances = StandbyInstances(cluster, [9])
    dispatcher = start(cluster, instances, FakeForecasts())
    wait_until(lambda: instances.moves == [("m-w9", "pool")])
    dispatcher.writer.is_fenced = True
    start(cluster, instances, token=2)
    # Of three idle instances, one stays.
    wait_until(lambda: len(instances.moves) == 3)
    gevent.sleep(1.0)
    assert [pool for _, pool in instances.moves] == ["pool", "off", "off"]
