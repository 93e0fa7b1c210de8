"""Fleets of any size for measurements with real processes.

Only a few workers run, as stand-ins. The other instances are configured with an
address at which nothing listens, so connections to them are refused.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import gevent
import psutil
import tomlkit
from demo.processes import HANDOVER_TOKEN, Fleet, Program, running_fleet

from lycheeloom.clients import LogClient, Unavailable
from lycheeloom.model.keys import create_key
from lycheeloom.operator import Entries, Operator, Published

INTERACTIVE_QUEUE = "lookups"
BATCH_QUEUE = "overnight"
FIRST_POOL = "pool-0"
FIRST_POOL_WORKERS = 6
# Within this time every stand-in worker is probed and the grants stop changing.
SETTLE_S = 4.0
PUBLISH_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class FleetShape:
    """The size of a fleet and of its workers.

    ``stand_in_worker_count`` of the workers run as stand-ins. ``cores`` is the
    size of each worker, ``upper_limit`` the limit of each organisation.
    """

    workers: int
    pools: int
    organisations: int
    zones: int
    stand_in_worker_count: int = 6
    cores: int = 64
    upper_limit: int = 90


SHAPE_BY_WORKERS = {
    30: FleetShape(30, 5, 6, 3),
    300: FleetShape(300, 12, 18, 3),
    1500: FleetShape(1500, 43, 65, 5),
    5100: FleetShape(5100, 139, 210, 10),
}


@dataclass(slots=True)
class BenchFleet:
    """Running programs with their configuration in force.

    ``token_by_organisation`` also holds the tokens of extra keys, by key id.
    ``publish_s`` is how long the first publication took.
    """

    fleet: Fleet
    shape: FleetShape
    document: dict
    token_by_organisation: dict[str, str]
    publish_s: float = 0.0
    entries: list[Program] = field(default_factory=list)

    def addresses(self) -> list[str]:
        """Return the addresses of the entries."""
        return [program.address for program in self.entries]

    def start_entries(self, count: int) -> float:
        """Start entries, assigned to the zones in turn, and wait for readiness.

        Returns what ``Fleet.wait_ready`` returns.
        """
        zones = list(self.document["zones"])
        for _ in range(count):
            number = len(self.entries)
            zone = zones[number % len(zones)]
            self.entries.append(self.fleet.start_entry(f"entry-{number + 1}", zone))
        return self.fleet.wait_ready(self.entries)

    def log(self) -> LogClient:
        """Return a client of the log."""
        return LogClient(self.fleet.platform.log)

    def operator(self, *, hand_over: bool = True) -> Operator:
        """Return an operator.

        With ``hand_over`` it hands accepted changes to the entries.
        """
        addresses = self.addresses() if hand_over else []
        return Operator(self.log(), Entries.at(addresses, HANDOVER_TOKEN), "bench")

    def next_offset(self) -> int:
        """Return the offset that the next batch in the log will get."""
        end = self.log().end()
        if isinstance(end, Unavailable):
            raise RuntimeError(f"cannot read the end of the log: {end}")
        return end

    def cpu_s(self) -> list[float]:
        """Return the processor seconds used so far by each entry."""
        return [cpu_s(program) for program in self.entries]


def cpu_s(program: Program) -> float:
    """Return the processor seconds used so far by a program."""
    times = psutil.Process(program.process.pid).cpu_times()
    return times.user + times.system


def build_document(shape: FleetShape, address_by_stand_in: dict[str, str]) -> dict:
    """Return a configuration document.

    The first pool consists of the first stand-in workers, at most
    ``FIRST_POOL_WORKERS``; two queues use it. Every other pool has one queue.
    """
    zones = [f"zone-{index}" for index in range(shape.zones)]
    pools = [f"pool-{index}" for index in range(shape.pools)]
    organisations = [f"organisation-{index}" for index in range(shape.organisations)]
    document = {
        "name": f"bench-{shape.workers}",
        "zones": {
            zone: {"region": f"region-{index % 3}"} for index, zone in enumerate(zones)
        },
        "pools": {
            pool: {"max_unavailable": 2, "spare": index == 1}
            for index, pool in enumerate(pools)
        },
        "organisations": {
            organisation: {"share": 1 + index % 6, "upper_limit": shape.upper_limit}
            for index, organisation in enumerate(organisations)
        },
    }
    document["instances"] = {
        f"worker-{index}": _instance(index, shape, address_by_stand_in)
        for index in range(shape.workers)
    }
    document["queues"] = {
        INTERACTIVE_QUEUE: _queue(FIRST_POOL, "interactive", organisations),
        BATCH_QUEUE: _queue(FIRST_POOL, "batch", organisations),
    }
    for index, pool in enumerate(pools[1:]):
        allowed = [
            organisations[(6 * index + step) % len(organisations)] for step in range(6)
        ]
        document["queues"][f"queue-{pool}"] = _queue(pool, "interactive", allowed)
    return document


def _instance(
    index: int, shape: FleetShape, address_by_stand_in: dict[str, str]
) -> dict:
    is_first = index < min(shape.stand_in_worker_count, FIRST_POOL_WORKERS)
    pool = 0 if is_first else 1 + index % max(1, shape.pools - 1)
    return {
        "pool": f"pool-{min(pool, shape.pools - 1)}",
        "zone": f"zone-{index % shape.zones}",
        "rack": f"rack-{index % shape.zones}-{index // (4 * shape.zones)}",
        "address": address_by_stand_in.get(f"worker-{index}", _closed_address(index)),
        "cores": shape.cores,
        "memory_mb": shape.cores * 4096,
        # 9,300 accelerators on 5,100 workers.
        "accelerators": 1 if index % 17 < 3 else 2,
    }


def _closed_address(index: int) -> str:
    # Addresses must be unique; nothing listens on port 1.
    return f"127.1.{index // 250}.{index % 250 + 1}:1"


def _queue(pool: str, kind: str, organisations: list[str]) -> dict:
    return {
        "pool": pool,
        "kind": kind,
        "organisations": organisations,
        "idempotent": kind == "interactive",
        "max_queued": 5000,
    }


class ByteCountingFleet(Fleet):
    """A fleet whose entries count the bytes sent and received on their sockets."""

    def _spawn(self, name: str, command: list[str], stdout: int | None = None):
        if command[0] == "lycheeloom.entry.main":
            command = ["bench.processes_entry", *command[1:]]
        return Fleet._spawn(self, name, command, stdout)


@contextmanager
def running_bench_fleet(
    shape: FleetShape,
    entries: int,
    *,
    counting: bool = False,
    extra_key_count: int = 0,
) -> Iterator[BenchFleet]:
    """Start stand-ins, publish the configuration and start the entries.

    ``counting`` starts entries that count the bytes of their sockets.
    ``extra_key_count`` is the number of further keys of ``organisation-0``.
    """
    with running_fleet() as plain_fleet:
        fleet = ByteCountingFleet(plain_fleet.folder) if counting else plain_fleet
        try:
            bench_fleet = _publish(fleet, shape, extra_key_count)
            bench_fleet.start_entries(entries)
            gevent.sleep(SETTLE_S)
            yield bench_fleet
        finally:
            fleet.stop()


def _publish(fleet: Fleet, shape: FleetShape, extra_key_count: int) -> BenchFleet:
    platform_document = build_document(
        FleetShape(
            shape.stand_in_worker_count,
            1,
            1,
            min(3, shape.zones),
            shape.stand_in_worker_count,
            shape.cores,
        ),
        {},
    )
    path = fleet.folder / "platform.toml"
    path.write_text(tomlkit.dumps(platform_document))
    platform = fleet.start_platform(path)
    document = build_document(shape, platform.workers)
    token_by_organisation = {}
    for organisation, entry in document["organisations"].items():
        key = create_key(f"key-{organisation}")
        token_by_organisation[organisation] = key.token
        entry["keys"] = {key.id: key.document.model_dump()}
    bench_fleet = BenchFleet(fleet, shape, document, token_by_organisation)
    extra_keys = document["organisations"]["organisation-0"]["keys"]
    for index in range(extra_key_count):
        key = create_key(f"spare-{index}")
        extra_keys[key.id] = key.document.model_dump()
        token_by_organisation[key.id] = key.token
    started_at = time.monotonic()
    operator = bench_fleet.operator(hand_over=False)
    result = operator.publish(
        document, 0, accept_warnings=True, timeout_s=PUBLISH_TIMEOUT_S
    )
    if not isinstance(result, Published):
        raise RuntimeError(f"the configuration was not published: {result}")
    bench_fleet.publish_s = time.monotonic() - started_at
    return bench_fleet
