"""Fleet configurations in the shapes of users A and B and at larger sizes."""

from __future__ import annotations

from lycheeloom.model.config import (
    FleetConfig,
    Instance,
    Organisation,
    Pool,
    Queue,
    Zone,
)
from lycheeloom.model.resources import Resources

ZONES = ("z0", "z1", "z2")
REGIONAL_QUEUES = ("north", "east", "south", "west")
QUEUES = (*REGIONAL_QUEUES, "general")
WORKERS_PER_POOL = 6
WORKERS_PER_RACK = 4
USER_A_SIZE = Resources(64, 256 * 1024)
USER_B_SIZE = Resources(16, 64 * 1024)
# Six organisations of unequal weight, a few of them large.
WEIGHTS = (8.0, 5.0, 3.0, 2.0, 1.0, 1.0)
NO_LIMIT = 1_000_000


def user_fleet(size: Resources, max_queued: int = 400) -> FleetConfig:
    """Return five pools of six workers in three zones; ``general`` is spare."""
    pools = {q: Pool(q, spare=q == "general") for q in QUEUES}
    instances = {}
    worker_count_by_zone = dict.fromkeys(ZONES, 0)
    for pool in pools:
        for number in range(WORKERS_PER_POOL):
            zone = ZONES[number % len(ZONES)]
            rack = f"{zone}-r{worker_count_by_zone[zone] // WORKERS_PER_RACK}"
            worker_count_by_zone[zone] += 1
            name = f"{pool}-{number}"
            instances[name] = Instance(name, pool, zone, rack, "", size)
    organisations = {
        f"organisation{n}": Organisation(f"organisation{n}", w, NO_LIMIT)
        for n, w in enumerate(WEIGHTS)
    }
    return FleetConfig(
        version=1,
        zone_by_id={z: Zone(z) for z in ZONES},
        pool_by_id=pools,
        instance_by_id=instances,
        organisation_by_id=organisations,
        queue_by_id={
            q: Queue(
                q,
                q,
                organisations=frozenset(organisations),
                max_queued=max_queued,
                idempotent=True,
            )
            for q in QUEUES
        },
    )


def total_cores(config: FleetConfig) -> float:
    """Return the number of cores of all instances."""
    return sum(i.size.cores for i in config.instance_by_id.values())


def scaled_fleet(workers: int, organisations: int, max_queued: int) -> FleetConfig:
    """Return a fleet with about 37 workers per pool and ten zones.

    One pool in 20 is a spare pool. Each organisation may use the queues of a fifth of
    the pools, or every queue if there are fewer than ten pools.
    """
    pool_count = max(2, round(workers * 139 / 5100))
    pools = {f"p{n}": Pool(f"p{n}", spare=n % 20 == 1) for n in range(pool_count)}
    names = list(pools)
    instances = {}
    for number in range(workers):
        pool = names[number % pool_count]
        zone = f"z{(number // pool_count) % 10}"
        rack = f"{zone}-{pool}-r{number // (pool_count * 40)}"
        name = f"w{number}"
        instances[name] = Instance(name, pool, zone, rack, "", USER_B_SIZE)
    organisation_by_id = {
        f"t{n}": Organisation(f"t{n}", 1.0 + n % 5, NO_LIMIT)
        for n in range(organisations)
    }
    queues = {}
    for number, pool in enumerate(names):
        members = frozenset(
            f"t{n}"
            for n in range(organisations)
            if pool_count < 10 or (n + number) % 5 == 0
        )
        queues[f"q{number}"] = Queue(
            f"q{number}",
            pool,
            organisations=members,
            max_queued=max_queued,
            idempotent=True,
        )
    return FleetConfig(
        version=1,
        zone_by_id={f"z{n}": Zone(f"z{n}") for n in range(10)},
        pool_by_id=pools,
        instance_by_id=instances,
        organisation_by_id=organisation_by_id,
        queue_by_id=queues,
    )
