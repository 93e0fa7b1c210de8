"""Compares the cost and the moves of buffer plans with the optimum of a MIP."""

from __future__ import annotations

import random
from collections import Counter, defaultdict

from lycheeloom.fleet.buffers import least_in_service, least_layout, plan_buffers
from lycheeloom.model.config import FleetConfig, parse_config

from .fleet_mip import FleetCounts, least_cost, least_moves, possible_losses
from .fleet_simulation import fleet_document, user_fleet

RANDOM_FLEETS = 50
FLEETS_PER_USER = 10
COST_GOAL = 1.05
MOVES_GOAL = 1.1


def measure(seed: int) -> dict:
    """Compare plans for the fleets of both users and for random fleets."""
    rng = random.Random(seed)
    cases_by_group = {
        "user A": [
            _shuffled_user_fleet(64, 262144, n, rng) for n in range(FLEETS_PER_USER)
        ],
        "user B": [
            _shuffled_user_fleet(16, 65536, n, rng) for n in range(FLEETS_PER_USER)
        ],
        "random": [_random_fleet(rng) for _ in range(RANDOM_FLEETS)],
    }
    compared = {
        name: [_compare(f"{name} {number}", *case) for number, case in enumerate(cases)]
        for name, cases in cases_by_group.items()
    }
    return {
        "command": "buffers",
        "seed": seed,
        "rows": [
            _row(f"{name}, {len(cases)} starts", cases)
            for name, cases in compared.items()
        ],
        "cases": [case for cases in compared.values() for case in cases],
    }


def _row(name: str, cases: list[dict]) -> dict:
    return {
        "fleets": name,
        "buffer": sum(case["buffer"] for case in cases),
        "buffer optimum": sum(case["buffer_optimum"] for case in cases),
        "cost ratio": _ratio_to_optimum(
            cases, "buffer", "buffer_optimum", sum_only=True
        ),
        "worst cost": _ratio_to_optimum(cases, "buffer", "buffer_optimum"),
        "cost goal": COST_GOAL,
        "buffer if each pool has its own": sum(case["naive_buffer"] for case in cases),
        "moves": sum(case["moves"] for case in cases),
        "least moves": sum(case["moves_optimum"] for case in cases),
        "moves ratio": _ratio_to_optimum(
            cases, "moves", "moves_optimum", sum_only=True
        ),
        "worst moves": _ratio_to_optimum(cases, "moves", "moves_optimum"),
        "moves goal": MOVES_GOAL,
        "moves if dealt anew": sum(case["naive_moves"] for case in cases),
        "uncovered": sum(case["uncovered"] for case in cases),
    }


def _ratio_to_optimum(
    cases: list[dict], planned: str, optimum: str, sum_only: bool = False
) -> float:
    if sum_only:
        total = sum(case[optimum] for case in cases)
        return round(sum(case[planned] for case in cases) / total, 3) if total else 1.0
    ratios = [case[planned] / case[optimum] for case in cases if case[optimum]]
    # A plan with moves where none is needed has no finite ratio.
    if any(case[planned] > case[optimum] == 0 for case in cases):
        return float("inf")
    return round(max(ratios, default=1.0), 3)


def _compare(name: str, config: FleetConfig, pools: dict[str, str]) -> dict:
    fleet = _count_instances(config, pools)
    total_needed = sum(fleet.needed.values())
    racks: dict[str, list[int]] = defaultdict(list)
    for (zone, _), count in sorted(fleet.in_location().items()):
        racks[zone].append(count)
    plan = plan_buffers(config, pools)
    after = {**pools, **{move.instance: move.to_pool for move in plan.moves}}
    optimum = least_cost(fleet)
    in_service_alone = [
        least_in_service(needed, racks) for needed in fleet.needed.values()
    ]
    return {
        "fleet": name,
        "instances": len(pools),
        "buffer": plan.needs[0].least - total_needed,
        "buffer_optimum": optimum - total_needed,
        "naive_buffer": sum(in_service_alone) - total_needed,
        "moves": len(plan.moves),
        "moves_optimum": least_moves(fleet),
        "naive_moves": _moves_if_reassigned(config, pools),
        "uncovered": _missing_after_losses(_count_instances(config, after))
        + _missing_in_layout(total_needed, racks),
    }


def _count_instances(config: FleetConfig, pools: dict[str, str]) -> FleetCounts:
    held: Counter = Counter()
    for name, instance in config.instance_by_id.items():
        pool = pools[name]
        if config.pool_by_id[pool].spare:
            pool = "spare"
        held[pool, (instance.zone, instance.rack)] += 1
    needed = {
        name: pool.needed for name, pool in config.pool_by_id.items() if not pool.spare
    }
    return FleetCounts(dict(held), needed)


def _missing_after_losses(fleet: FleetCounts) -> int:
    """Return the missing instances, summed over all possible single losses."""
    missing = 0
    for lost in possible_losses(fleet.locations):
        left: Counter = Counter()
        for (pool, location), count in fleet.held.items():
            if location not in lost:
                left[pool] += count
        shortfall = sum(
            max(0, need - left[pool]) for pool, need in fleet.needed.items()
        )
        missing += max(0, shortfall - left["spare"])
    return missing


def _missing_in_layout(needed: int, racks: dict[str, list[int]]) -> int:
    """Return the missing instances of the planned least layout, over all losses."""
    layout = least_layout(needed, racks)
    held = {
        ("all", (zone, str(number))): count
        for zone, counts in layout.items()
        for number, count in enumerate(counts)
    }
    return _missing_after_losses(FleetCounts(held, {"all": needed}))


def _moves_if_reassigned(config: FleetConfig, pools: dict[str, str]) -> int:
    """Naive baseline: the moves if all instances are assigned to pools from scratch."""
    order = sorted(
        config.instance_by_id.values(), key=lambda item: (item.rack, item.zone, item.id)
    )
    wanted = [
        name
        for name, pool in config.pool_by_id.items()
        if not pool.spare
        for _ in range(pool.needed)
    ]
    spare = next(name for name, pool in config.pool_by_id.items() if pool.spare)
    wanted += [spare] * (len(order) - len(wanted))
    return sum(
        pools[item.id] != pool for item, pool in zip(order, wanted, strict=False)
    )


def _shuffled_user_fleet(
    cores: int, memory_mb: int, number: int, rng: random.Random
) -> tuple[FleetConfig, dict]:
    """Return a user's fleet with a third of its instances in random pools.

    This is the state after surges. Fleets with an odd ``number`` need as much as
    three zones can cover.
    """
    config = parse_config(user_fleet(cores, memory_mb, 4 + number % 2), 1)
    pools = {name: item.pool for name, item in config.instance_by_id.items()}
    for name in rng.sample(sorted(pools), len(pools) // 3):
        pools[name] = rng.choice(sorted(config.pool_by_id))
    return config, pools


def _random_fleet(rng: random.Random) -> tuple[FleetConfig, dict]:
    """Return a random fleet that can cover its need after any single loss."""
    zones, racks = rng.randint(2, 5), rng.randint(2, 6)
    names = [f"p{number}" for number in range(rng.randint(2, 8))]
    instances = [
        {
            "id": f"w{number:03}",
            "pool": rng.choice([*names, "spare"]),
            "zone": f"z{rng.randrange(zones)}",
            "rack": f"r{rng.randrange(racks)}",
        }
        for number in range(rng.randint(20, 120))
    ]
    in_zone = Counter(item["zone"] for item in instances)
    max_needed = len(instances) - max(in_zone.values())
    needed = Counter(
        rng.choice(names) for _ in range(int(max_needed * rng.uniform(0.5, 1.0)))
    )
    pools = {name: {"needed": needed[name]} for name in names}
    pools["spare"] = {"spare": True}
    document = fleet_document(pools, instances, {zone: {} for zone in in_zone})
    config = parse_config(document, 1)
    return config, {item["id"]: item["pool"] for item in instances}
