"""Tests of maintenance waves and the drains that they cause."""

from __future__ import annotations

from dataclasses import replace

from libs.fleet.tests.planner_runs import change_wave, planned_moves, run, start_wave

from bench.fleet_simulation import Controller, SimulatedFleet, user_fleet
from lycheeloom.fleet import ActionKind, PlannerSettings, PlatformAction
from lycheeloom.model.config import canonical_json
from lycheeloom.model.records import ConfigChanged, WaveState


def test_slow_log_does_not_let_later_steps_exceed_the_budget(world, controller):
    """Guards against plans that add up beyond a budget while the log is slow."""
    start_wave(world)
    chosen = set()
    for _ in range(180):
        chosen |= {record.instance for record in planned_moves(controller.plan())}
        world.advance(10)
    assert len(chosen) == 5


def test_wave_reaches_every_instance_once(world, controller):
    start_wave(world)
    forecast = controller.planner.forecast(controller.view(), "w", 0.0)
    assert forecast.total == 30
    assert forecast.end_s == 6 * 600
    run(controller, 200)
    assert {worker.boots for worker in world.workers.values()} == {1}
    assert world.state.maintenance.wave_by_id["w"].state is WaveState.DONE


def test_regular_wave_starts_once_in_each_cycle(world):
    """Guards against a second regular wave in a cycle.

    Also guards against a regular wave that starts again after an operator aborted it.
    """
    controller = Controller(
        world, "controller", PlannerSettings(regular_cycle_s=20_000)
    )
    run(controller, 200)
    waves = world.state.maintenance.wave_by_id
    assert {name: wave.state for name, wave in waves.items()} == {
        "regular-0": WaveState.DONE
    }
    world.now_s = 20_000
    run(controller, 5)
    change_wave(world, "regular-1", WaveState.RUNNING, WaveState.ABORTED)
    run(controller, 20)
    assert waves["regular-1"].state is WaveState.ABORTED
    assert {worker.boots for worker in world.workers.values()} == {1}


def test_nothing_starts_while_the_instance_list_cannot_be_read(world, controller):
    start_wave(world)
    controller.tick()
    view = replace(controller.view(), is_list_current=False)
    plan = controller.planner.step(view, world.now_s)
    assert plan.records == ()
    texts = [x.text for x in controller.planner.explanations.recent(5)]
    assert all("a new list of instances" in text for text in texts)


def test_paused_wave_starts_nothing_and_resumes(world, controller):
    start_wave(world)
    run(controller, 5)
    change_wave(world, "w", WaveState.RUNNING, WaveState.PAUSED)
    run(controller, 60)
    reboots = sum(worker.boots for worker in world.workers.values())
    assert reboots == 5
    assert controller.planner.forecast(controller.view(), "w", 0.0).end_s is None
    change_wave(world, "w", WaveState.PAUSED, WaveState.RUNNING)
    run(controller, 200)
    assert sum(worker.boots for worker in world.workers.values()) == 30


def test_aborted_wave_returns_draining_instances(world, controller):
    start_wave(world)
    run(controller, 4)
    assert any(worker.draining for worker in world.workers.values())
    change_wave(world, "w", WaveState.RUNNING, WaveState.ABORTED)
    run(controller, 20)
    assert not any(worker.draining for worker in world.workers.values())
    assert sum(worker.boots for worker in world.workers.values()) == 0
    assert world.open_moves() == []


def test_urgent_wave_goes_first(world, controller):
    start_wave(world, "slow")
    start_wave(world, "urgent", ("north",), urgent=True)
    move_ids = [record.move_id for record in planned_moves(controller.plan())]
    assert sum(move_id.startswith("wave.urgent") for move_id in move_ids) == 1
    assert [i for i in move_ids if ".w0" in i][0].startswith("wave.urgent")


def test_correlated_failure_is_one_event_that_holds_waves(world, controller):
    """Guards against maintenance and single reboots after a rack has failed."""
    start_wave(world)
    run(controller, 2)
    rack = [name for name in world.workers if name in ("w00", "w03", "w06", "w09")]
    world.fail(rack)
    run(controller, 5)
    moves_before = len(world.state.maintenance.move_by_instance)
    run(controller, 20)
    maintenance = world.state.maintenance
    assert len(maintenance.move_by_instance) == moves_before
    assert not set(rack) & set(maintenance.health_by_instance)
    fleet = controller.planner.explanations.for_fleet()
    assert [x.text for x in fleet if "one event" in x.text] == [
        "Rack z0/r0 failed: 4 instances stopped together, and this is treated as one"
        " event."
    ]


def test_zone_out_of_service_does_not_free_its_instances_for_drains():
    """Guards against a drain that exceeds the budget once the zone is back in service.

    The zone of an instance goes out of service while the move of the instance waits,
    and another instance of the same pool fails.
    """
    world = SimulatedFleet(user_fleet(16, 65536))
    controller = Controller(world, "controller")
    start_wave(world, pools=("north",))
    plan = controller.plan()
    world.apply_plan("controller", plan)
    chosen = world.open_moves()[0]
    zone = world.state.config.instance_by_id[chosen].zone
    world.fail([name for name in ("w00", "w01") if name != chosen][:1])
    version = world.state.configuration.version
    patch = canonical_json({"zones": {zone: {"state": "out"}}})
    world.append("operator", [ConfigChanged(version, patch, "operator")])
    run(controller, 5)
    assert not world.workers[chosen].draining
    assert world.budget_violations == []


def test_abandoning_before_the_drain_does_not_drain():
    """Guards against a late drain that takes effect after the move was abandoned.

    The failure of another instance in the pool keeps the drain from being requested
    before the wave is aborted.
    """
    world = SimulatedFleet(user_fleet(16, 65536))
    controller = Controller(world, "controller")
    start_wave(world, pools=("north",))
    controller.tick()
    world.append("controller", controller.plan().records)
    name = world.open_moves()[0]
    world.fail([other for other in ("w00", "w01") if other != name])
    change_wave(world, "w", WaveState.RUNNING, WaveState.ABORTED, ("north",))
    move_id = world.state.maintenance.move_by_instance[name].move_id
    late = PlatformAction(name, ActionKind.DRAIN, f"{move_id}.draining")
    run(controller, 5)
    assert world.open_moves() == []
    world.execute(late)
    assert not world.workers[name].draining
    assert world.budget_violations == []


def test_last_spare_is_kept(world):
    """Guards against maintenance that uses the last spare instance."""
    document = user_fleet(16, 65536, needed=6)
    document["pools"]["general"]["max_unavailable"] = 6
    world = SimulatedFleet(document)
    spares = [name for name, item in document["instances"].items()
              if item["pool"] == "general"]  # fmt: skip
    world.fail(spares[1:])
    controller = Controller(world, "controller")
    start_wave(world)
    assert planned_moves(controller.plan()) == []
    text = controller.planner.describe_blocker("w00")
    assert "last spare" in text
