"""Tests of the buffer plan and of the moves that restore buffers."""

from __future__ import annotations

import random
from itertools import product

import pytest
from libs.fleet.tests.planner_runs import run

from bench.fleet_simulation import (
    Controller,
    SimulatedFleet,
    fleet_document,
    user_fleet,
)
from lycheeloom.fleet import Planner, PlannerSettings
from lycheeloom.fleet.buffers import least_in_service, plan_buffers
from lycheeloom.fleet.repair import RepairSettings
from lycheeloom.model.config import parse_config


def test_flapping_instance_causes_no_pool_changes():
    """Guards against moves caused by instances that fail and return quickly."""
    world = SimulatedFleet(user_fleet(16, 65536, needed=6))
    controller = Controller(world, "controller")
    for _ in range(30):
        world.fail(["w00", "w01"])
        run(controller, 2)
        world.repair(["w00", "w01"])
        run(controller, 2)
    moves = world.state.maintenance.move_by_instance.values()
    assert not any(move.move_id.startswith("pool.") for move in moves)


def test_lasting_loss_is_covered_by_one_move_that_is_undone_after_the_return():
    world = SimulatedFleet(user_fleet(16, 65536, needed=6))
    controller = Controller(world, "controller")
    # Without reboots the instance stays silent until the test repairs it.
    controller.planner = Planner(
        PlannerSettings(pool_change_cooldown_s=60),
        repair=RepairSettings(probation_s=1e9),
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
    world = SimulatedFleet(document)
    controller = Controller(
        world, "controller", PlannerSettings(buffer_moves_per_hour=2)
    )
    run(controller, 300)
    moves = world.state.maintenance.move_by_instance.values()
    assert sum(move.move_id.startswith("pool.") for move in moves) <= 2


@pytest.mark.parametrize("seed", range(20))
def test_buffer_condition_matches_loss_of_each_domain(seed):
    """Checks the buffer condition against the loss of every zone and rack in turn."""
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
    # Each pool has at least one instance.
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
        lacking_after_loss(config, after, zone, rack)
        for zone, rack in [*product(zones, ["", "r0", "r1"]), ("", "")]
    )
    expected = max((short.lacking for short in plan.shortages), default=0)
    assert worst == expected


def lacking_after_loss(config, pools, zone, rack):
    """Return how many instances the fleet lacks if a rack or zone is lost.

    An empty ``rack`` stands for the whole zone, an empty ``zone`` for no loss.
    """
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


def test_least_in_service_is_the_smallest_number_that_survives_any_loss():
    racks = {"z0": [4, 4], "z1": [4, 1], "z2": [3]}
    # The numbers of used instances in the five racks; the loss of a zone is the worst.
    choices = product(range(5), range(5), range(5), range(2), range(4))
    fits = [
        sum(used)
        for used in choices
        if sum(used) - max(used[0] + used[1], used[2] + used[3], used[4]) >= 6
    ]
    assert least_in_service(6, racks) == min(fits)
    assert least_in_service(14, racks) is None
