"""Tests of a failed rack: holds on maintenance and repair, and explanations."""

from __future__ import annotations

import pytest

from bench.fleet_simulation import Controller, SimulatedFleet, user_fleet
from lycheeloom.model.records import InstanceHealth

RACK = ("w00", "w03", "w06", "w09")


@pytest.fixture
def world():
    return SimulatedFleet(user_fleet(16, 65536))


@pytest.fixture
def controller(world):
    return Controller(world, "controller")


def run(controller, ticks):
    for _ in range(ticks):
        controller.tick()


def test_lost_rack_is_explained_under_its_instances_and_pools(world, controller):
    """Guards against explanations that are found only under the fleet.

    Operators usually ask about an instance or a pool.
    """
    world.fail(RACK)
    run(controller, 5)
    explanations = controller.planner.explanations
    pools = {world.state.maintenance.pool_by_instance[name] for name in RACK}
    found = [explanations.for_instance(name) for name in RACK]
    found += [explanations.for_pool(pool) for pool in sorted(pools)]
    for events in found:
        texts = [item.text for item in events]
        assert any("treated as one event" in text for text in texts), texts
        assert any("are on hold" in text for text in texts), texts


def test_failing_rack_is_not_repaired_before_all_of_it_is_silent(world, controller):
    """Guards against repair of the first silent instance of a failed rack.

    Probes of the rack's instances time out at different times.
    """
    health = controller.planner.health
    for number, name in enumerate(RACK):
        health.record_miss(name, world.now_s + 5.0 * number)
    for _ in range(60):
        world.advance(1.0)
        plan = controller.planner.step(controller.view(), world.now_s)
        assert not any(isinstance(item, InstanceHealth) for item in plan.records)
    assert controller.planner.explanations.for_fleet()


def test_correlated_failure_holds_repair_elsewhere(world, controller):
    """Guards against reboots elsewhere right after a correlated failure."""
    world.fail(RACK)
    run(controller, 5)
    world.fail(["w01"])
    run(controller, 20)
    assert world.state.maintenance.health_by_instance == {}
    run(controller, 20)
    assert set(world.state.maintenance.health_by_instance) == {"w01"}
