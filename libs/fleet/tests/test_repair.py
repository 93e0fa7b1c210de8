"""Tests of probation, reboots and return to service of faulty workers."""

from __future__ import annotations

import pytest
from libs.fleet.tests.planner_runs import run, start_wave

from bench.fleet_simulation import Controller
from lycheeloom.model.records import Health, InstanceHealth


def fail_tasks(controller, instance, count=5):
    for number in range(count):
        health = controller.planner.health
        health.record_outcome(
            instance, "lookups", False, controller.fleet.now_s + number
        )


def test_failing_worker_is_put_on_probation_rebooted_and_given_up(world, controller):
    health = controller.planner.health
    healths = set()
    for _ in range(400):
        fail_tasks(controller, "w07")
        health.record_outcome("w08", "lookups", True, world.now_s)
        controller.tick()
        state = world.state.maintenance.health_by_instance.get("w07")
        healths.add(state and state.health)
    assert healths >= {Health.PROBATION, Health.REBOOTING, Health.GIVEN_UP}
    assert world.workers["w07"].boots == 3
    assert set(world.state.maintenance.health_by_instance) == {"w07"}
    texts = [x.text for x in controller.planner.explanations.for_instance("w07")]
    assert any("needs a person to look at it" in text for text in texts)


def test_repaired_worker_returns_after_trial(world, controller):
    health = controller.planner.health
    for _ in range(100):
        if not world.workers["w07"].boots:
            fail_tasks(controller, "w07")
        elif world.workers["w07"].alive:
            health.record_outcome("w07", "lookups", True, world.now_s)
        health.record_outcome("w08", "lookups", True, world.now_s)
        controller.tick()
    state = world.state.maintenance.health_by_instance["w07"]
    assert state.health is Health.IN_SERVICE
    assert world.workers["w07"].boots == 1


def test_new_holder_continues_the_count_of_reboots(world, controller):
    """Guards against endless reboots of a broken worker if controllers crash."""
    for tick in range(600):
        if tick % 40 == 39:
            controller = Controller(world, f"controller-{tick}")
        fail_tasks(controller, "w07")
        controller.planner.health.record_outcome("w08", "lookups", True, world.now_s)
        controller.tick()
    assert world.workers["w07"].boots <= 3


def test_workload_that_fails_everywhere_is_not_held_against_workers(world, controller):
    for _ in range(30):
        for name in ("w01", "w02", "w03"):
            fail_tasks(controller, name)
        controller.tick()
    assert world.state.maintenance.health_by_instance == {}


@pytest.mark.parametrize("signal", ["lost_lease", "flapping", "silent"])
def test_each_signal_of_a_fault_puts_a_worker_on_probation(world, controller, signal):
    health = controller.planner.health
    run(controller, 1)
    for number in range(6):
        if signal == "lost_lease":
            health.record_lost_lease("w07", world.now_s)
        if signal == "flapping":
            health.record_heartbeat("w07", world.now_s, f"boot-{number}")
        if signal == "silent":
            world.fail(["w07"])
        controller.tick()
    assert world.state.maintenance.health_by_instance["w07"].health is Health.PROBATION


def test_nothing_is_rebooted_if_too_many_instances_are_silent(world, controller):
    """Guards against reboots of a fleet by a controller that reaches no worker."""
    run(controller, 1)
    world.fail(list(world.workers)[:20])
    start_wave(world)
    run(controller, 60)
    assert not any(
        isinstance(record, InstanceHealth) for record in controller.plan().records
    )
    assert world.execution_counts == {}
