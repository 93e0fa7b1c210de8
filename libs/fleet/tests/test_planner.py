"""Waves, buffers, repair and explanations of the planner."""

from __future__ import annotations

import random
from dataclasses import replace
from itertools import product

import pytest

from bench.fleet_world import Controller, World, fleet_document, user_fleet
from lycheeloom.fleet import (
    ActionKind,
    Explanations,
    Planner,
    PlannerSettings,
    PlatformAction,
)
from lycheeloom.fleet.budgets import Limit, LimitKind
from lycheeloom.fleet.buffers import least_in_service, plan_buffers
from lycheeloom.fleet.events import NotChosen
from lycheeloom.fleet.repair import RepairSettings
from lycheeloom.model.config import canonical_json, parse_config
from lycheeloom.model.records import (
    ConfigChanged,
    Health,
    InstanceHealth,
    MoveStage,
    MoveStep,
    WaveCommand,
    WaveState,
)


@pytest.fixture
def world():
    return World(user_fleet(16, 65536))


@pytest.fixture
def controller(world):
    return Controller(world, "controller")


def command(world, wave_id, expected, wanted, pools=(), urgent=False):
    record = WaveCommand(wave_id, expected, wanted, pools, urgent)
    assert world.append("operator", [record]) == (True,)


def start_wave(world, wave_id="w", pools=(), urgent=False):
    command(world, wave_id, WaveState.ABSENT, WaveState.RUNNING, pools, urgent)


def run(controller, ticks):
    for _ in range(ticks):
        controller.tick()


def planned(plan):
    return [
        record
        for record in plan.records
        if isinstance(record, MoveStep) and record.stage is MoveStage.PLANNED
    ]


def test_slow_log_does_not_let_later_steps_choose_more(world, controller):
    """Plans held up by the log for half an hour must not add up over a budget."""
    start_wave(world)
    chosen = set()
    for _ in range(180):
        chosen |= {record.instance for record in planned(controller.plan())}
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
    """Every instance is due once in a cycle; an aborted wave must stay aborted."""
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
    command(world, "regular-1", WaveState.RUNNING, WaveState.ABORTED)
    run(controller, 20)
    assert waves["regular-1"].state is WaveState.ABORTED
    assert {worker.boots for worker in world.workers.values()} == {1}


def test_nothing_starts_while_the_list_cannot_be_read(world, controller):
    start_wave(world)
    controller.tick()
    blind = replace(controller.view(), listed=False)
    plan = controller.planner.step(blind, world.now_s)
    assert plan.records == ()
    texts = [x.text for x in controller.planner.explanations.recent(5)]
    assert all("a new list of instances" in text for text in texts)


def test_paused_wave_starts_nothing_and_resumes(world, controller):
    start_wave(world)
    run(controller, 5)
    command(world, "w", WaveState.RUNNING, WaveState.PAUSED)
    run(controller, 60)
    done = sum(worker.boots for worker in world.workers.values())
    assert done == 5
    assert controller.planner.forecast(controller.view(), "w", 0.0).end_s is None
    command(world, "w", WaveState.PAUSED, WaveState.RUNNING)
    run(controller, 200)
    assert sum(worker.boots for worker in world.workers.values()) == 30


def test_aborted_wave_returns_draining_instances(world, controller):
    start_wave(world)
    run(controller, 4)
    assert any(worker.draining for worker in world.workers.values())
    command(world, "w", WaveState.RUNNING, WaveState.ABORTED)
    run(controller, 20)
    assert not any(worker.draining for worker in world.workers.values())
    assert sum(worker.boots for worker in world.workers.values()) == 0
    assert world.open_moves() == []


def test_urgent_wave_goes_first(world, controller):
    start_wave(world, "slow")
    start_wave(world, "urgent", ("north",), urgent=True)
    first = [record.move_id for record in planned(controller.plan())]
    assert sum(name.startswith("wave.urgent") for name in first) == 1
    assert [name for name in first if ".w0" in name][0].startswith("wave.urgent")


def test_correlated_failure_holds_waves_as_one_event(world, controller):
    """A dead rack must stop new maintenance and must not be rebooted piecemeal."""
    start_wave(world)
    run(controller, 2)
    rack = [name for name in world.workers if name in ("w00", "w03", "w06", "w09")]
    world.fail(rack)
    run(controller, 5)
    before = len(world.state.maintenance.move_by_instance)
    run(controller, 20)
    maintenance = world.state.maintenance
    assert len(maintenance.move_by_instance) == before
    assert not set(rack) & set(maintenance.health_by_instance)
    fleet = controller.planner.explanations.of_fleet()
    assert [x.text for x in fleet if "one event" in x.text] == [
        "Rack z0/r0 failed: 4 instances stopped together, and this is treated as one"
        " event."
    ]


def test_zone_out_of_service_does_not_free_its_instances_for_drains():
    """When the zone returns at once, the drain would go over the budget."""
    world = World(user_fleet(16, 65536))
    controller = Controller(world, "controller")
    start_wave(world, pools=("north",))
    plan = controller.plan()
    world.carry_out("controller", plan)
    chosen = world.open_moves()[0]
    zone = world.state.config.instance_by_id[chosen].zone
    world.fail([name for name in ("w00", "w01") if name != chosen][:1])
    version = world.state.configuration.version
    patch = canonical_json({"zones": {zone: {"state": "out"}}})
    world.append("operator", [ConfigChanged(version, patch, "operator")])
    run(controller, 5)
    assert not world.workers[chosen].draining
    assert world.over_budget == []


def test_abandoning_before_the_drain_does_not_drain():
    """A move called off while its pool is short must not take more capacity."""
    world = World(user_fleet(16, 65536))
    controller = Controller(world, "controller")
    start_wave(world, pools=("north",))
    controller.tick()
    world.append("controller", controller.plan().records)
    name = world.open_moves()[0]
    world.fail([other for other in ("w00", "w01") if other != name])
    command(world, "w", WaveState.RUNNING, WaveState.ABORTED, ("north",))
    move_id = world.state.maintenance.move_by_instance[name].move_id
    late = PlatformAction(name, ActionKind.DRAIN, f"{move_id}.draining")
    run(controller, 5)
    assert world.open_moves() == []
    world.act(late)
    assert not world.workers[name].draining
    assert world.over_budget == []


def test_last_spare_is_kept(world):
    """Maintenance must not use the only spare that is left."""
    document = user_fleet(16, 65536, needed=6)
    document["pools"]["general"]["max_unavailable"] = 6
    world = World(document)
    spares = [name for name, item in document["instances"].items()
              if item["pool"] == "general"]  # fmt: skip
    world.fail(spares[1:])
    controller = Controller(world, "controller")
    start_wave(world)
    assert planned(controller.plan()) == []
    text = controller.planner.why_not("w00")
    assert "last spare" in text


def fail_tasks(controller, instance, count=5):
    for number in range(count):
        health = controller.planner.health
        health.task_ended(instance, "lookups", False, controller.world.now_s + number)


def test_failing_worker_is_tried_rebooted_and_given_up(world, controller):
    health = controller.planner.health
    seen = set()
    for _ in range(400):
        fail_tasks(controller, "w07")
        health.task_ended("w08", "lookups", True, world.now_s)
        controller.tick()
        state = world.state.maintenance.health_by_instance.get("w07")
        seen.add(state and state.health)
    assert seen >= {Health.PROBATION, Health.REBOOTING, Health.GIVEN_UP}
    assert world.workers["w07"].boots == 3
    assert set(world.state.maintenance.health_by_instance) == {"w07"}
    texts = [x.text for x in controller.planner.explanations.of_instance("w07")]
    assert any("needs a person to look at it" in text for text in texts)


def test_repaired_worker_returns_after_trial(world, controller):
    health = controller.planner.health
    for _ in range(100):
        if not world.workers["w07"].boots:
            fail_tasks(controller, "w07")
        elif world.workers["w07"].alive:
            health.task_ended("w07", "lookups", True, world.now_s)
        health.task_ended("w08", "lookups", True, world.now_s)
        controller.tick()
    state = world.state.maintenance.health_by_instance["w07"]
    assert state.health is Health.IN_SERVICE
    assert world.workers["w07"].boots == 1


def test_new_holder_continues_the_count_of_reboots(world, controller):
    """A crash loop of controllers must not reboot a broken worker for ever."""
    for tick in range(600):
        if tick % 40 == 39:
            controller = Controller(world, f"controller-{tick}")
        fail_tasks(controller, "w07")
        controller.planner.health.task_ended("w08", "lookups", True, world.now_s)
        controller.tick()
    assert world.workers["w07"].boots <= 3


def test_work_that_fails_everywhere_blames_no_worker(world, controller):
    for _ in range(30):
        for name in ("w01", "w02", "w03"):
            fail_tasks(controller, name)
        controller.tick()
    assert world.state.maintenance.health_by_instance == {}


@pytest.mark.parametrize("signal", ["lease_lost", "flapping", "silent"])
def test_half_dead_flapping_and_silent_workers_are_noticed(world, controller, signal):
    health = controller.planner.health
    run(controller, 1)
    for number in range(6):
        if signal == "lease_lost":
            health.lease_lost("w07", world.now_s)
        if signal == "flapping":
            health.heartbeat("w07", world.now_s, f"boot-{number}")
        if signal == "silent":
            world.fail(["w07"])
        controller.tick()
    assert world.state.maintenance.health_by_instance["w07"].health is Health.PROBATION


def test_silent_majority_is_doubted_and_nothing_is_rebooted(world, controller):
    """A controller that hears nobody must not reboot the fleet."""
    run(controller, 1)
    world.fail(list(world.workers)[:20])
    start_wave(world)
    run(controller, 60)
    assert not any(
        isinstance(record, InstanceHealth) for record in controller.plan().records
    )
    assert world.effects == {}


def test_flapping_instance_causes_no_pool_changes():
    """Instances that come and go within the settling time must not cause moves."""
    world = World(user_fleet(16, 65536, needed=6))
    controller = Controller(world, "controller")
    for _ in range(30):
        world.fail(["w00", "w01"])
        run(controller, 2)
        world.repair(["w00", "w01"])
        run(controller, 2)
    moves = world.state.maintenance.move_by_instance.values()
    assert not any(move.move_id.startswith("pool.") for move in moves)


def test_lasting_loss_is_covered_and_undone_once():
    world = World(user_fleet(16, 65536, needed=6))
    controller = Controller(world, "controller")
    # Without reboots the instance stays silent until it is mended.
    controller.planner = Planner(
        PlannerSettings(dwell_s=60), repair=RepairSettings(probation_s=1e9)
    )
    world.fail(["w00"])
    run(controller, 100)
    pools = world.state.maintenance.pool_by_instance
    assert sum(pool == "north" for pool in pools.values()) == 7
    world.repair(["w00"])
    run(controller, 300)
    homes = {
        name: item.pool for name, item in world.state.config.instance_by_id.items()
    }
    assert world.state.maintenance.pool_by_instance == homes
    moves = world.state.maintenance.move_by_instance.values()
    assert len([move for move in moves if move.move_id.startswith("pool.")]) == 1


def test_pool_changes_are_rate_limited():
    document = user_fleet(16, 65536, needed=2)
    for number, item in enumerate(document["instances"].values()):
        item["pool"] = "north" if number < 20 else "general"
    document["pools"]["north"]["max_unavailable"] = 9
    for name in ("south", "east", "west"):
        document["pools"][name]["needed"] = 0
    document["pools"]["north"]["needed"] = 12
    world = World(document)
    controller = Controller(
        world, "controller", PlannerSettings(buffer_moves_per_hour=2)
    )
    run(controller, 300)
    moves = world.state.maintenance.move_by_instance.values()
    assert sum(move.move_id.startswith("pool.") for move in moves) <= 2


@pytest.mark.parametrize("seed", range(20))
def test_buffer_condition_matches_losing_each_place(seed):
    """The closed form must agree with losing every zone and rack in turn."""
    rng = random.Random(seed)
    names = ["a", "b", "spare"]
    pools = {name: {"needed": rng.randrange(4)} for name in names[:2]}
    pools["spare"] = {"spare": True}
    instances = [
        {
            "id": f"w{n}",
            "pool": rng.choice(names),
            "zone": f"z{rng.randrange(3)}",
            "rack": f"r{rng.randrange(2)}",
        }
        for n in range(rng.randrange(8, 20))
    ]
    instances += [
        {"id": f"x{n}", "pool": name, "zone": "z0", "rack": "r0"}
        for n, name in enumerate(names)
    ]
    zones = {f"z{n}": {} for n in range(3)}
    config = parse_config(fleet_document(pools, instances, zones), 1)
    homes = {item["id"]: item["pool"] for item in instances}
    plan = plan_buffers(config, homes)
    after = {**homes, **{move.instance: move.to_pool for move in plan.moves}}
    worst = max(
        uncovered(config, after, zone, rack)
        for zone, rack in [*product(zones, ["", "r0", "r1"]), ("", "")]
    )
    expected = max((short.lacking for short in plan.shortages), default=0)
    assert worst == expected


def uncovered(config, pools, zone, rack):
    left = [
        name
        for name, item in config.instance_by_id.items()
        if item.zone != zone or (rack and item.rack != rack)
    ]
    count = {pool: sum(pools[name] == pool for name in left) for pool in pools.values()}
    lacking = sum(
        max(0, pool.needed - count.get(name, 0))
        for name, pool in config.pool_by_id.items()
        if not pool.spare
    )
    return max(0, lacking - count.get("spare", 0))


def test_least_in_service_is_the_smallest_that_survives():
    racks = {"z0": [4, 4], "z1": [4, 1], "z2": [3]}
    choices = product(range(5), range(5), range(5), range(2), range(4))
    fits = [
        sum(used)
        for used in choices
        if sum(used) - max(used[0] + used[1], used[2] + used[3], used[4]) >= 6
    ]
    assert least_in_service(6, racks) == min(fits)
    assert least_in_service(14, racks) is None


def test_explanations_are_bounded_and_count_repeats():
    kept = Explanations(max_events=50, max_keys=20)
    limit = Limit(LimitKind.POOL, "north", 1, 1)
    for number in range(1000):
        kept.add(NotChosen(f"w{number}", "north", limit), number)
        kept.add(NotChosen(f"w{number}", "north", limit), number)
    assert len(kept.recent(1000)) == 50
    assert kept.of_instance("w0") == ()
    assert [item.times for item in kept.of_instance("w999")] == [2]
    assert kept.of_pool("north")[-1].text == (
        "Instance w999 of pool north stays in service for now, because 1 of at most"
        " 1 instances of pool north are out."
    )
