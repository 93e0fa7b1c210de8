"""Fleets of any size for measurements with real processes.

A handful of workers are stand-ins; the other instances have an address at which
nothing listens, so connections to them are refused.
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

INTERACTIVE = "lookups"
BATCH = "overnight"
SERVED_POOL = "pool-0"
FIRST_POOL_WORKERS = 6
# Probes reach each stand-in worker and grants settle within this time.
SETTLE_S = 4.0
PUBLISH_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class Shape:
    """The size of a fleet; ``served`` workers are stand-ins."""

    workers: int
    pools: int
    organisations: int
    zones: int
    served: int = 6
    cores: int = 64
    upper_limit: int = 90


SHAPES = {
    30: Shape(30, 5, 6, 3),
    300: Shape(300, 12, 18, 3),
    1500: Shape(1500, 43, 65, 5),
    5100: Shape(5100, 139, 210, 10),
}


@dataclass(slots=True)
class World:
    """A fleet of running programs with its configuration in force."""

    fleet: Fleet
    shape: Shape
    document: dict
    token_by_organisation: dict[str, str]
    publish_s: float = 0.0
    entries: list[Program] = field(default_factory=list)

    def addresses(self) -> list[str]:
        """Return the addresses of the entries."""
        return [program.address for program in self.entries]

    def start_entries(self, count: int) -> float:
        """Start entries in turn over the zones and wait until all are ready."""
        zones = list(self.document["zones"])
        for _ in range(count):
            number = len(self.entries)
            zone = zones[number % len(zones)]
            self.entries.append(self.fleet.start_entry(f"entry-{number + 1}", zone))
        return self.fleet.wait_ready(self.entries)

    def log(self) -> LogClient:
        """Return a client of the log."""
        return LogClient(self.fleet.platform.log)

    def operator(self, *, hands_over: bool = True) -> Operator:
        """Return an operator; accepted changes are handed to the entries."""
        addresses = self.addresses() if hands_over else []
        return Operator(self.log(), Entries.at(addresses, HANDOVER_TOKEN), "bench")

    def next_offset(self) -> int:
        """Return the log's end."""
        end = self.log().end()
        if isinstance(end, Unavailable):
            raise RuntimeError(f"log: {end}")
        return end

    def cpu_s(self) -> list[float]:
        """Return the processor time used so far by each entry."""
        return [cpu_s(program) for program in self.entries]


def cpu_s(program: Program) -> float:
    """Return the processor time used by a program."""
    times = psutil.Process(program.process.pid).cpu_times()
    return times.user + times.system


def build_document(shape: Shape, address_by_served: dict[str, str]) -> dict:
    """Return a configuration; the first workers serve the first pool."""
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
        f"worker-{index}": _instance(index, shape, address_by_served)
        for index in range(shape.workers)
    }
    document["queues"] = {
        INTERACTIVE: _queue(SERVED_POOL, "interactive", organisations),
        BATCH: _queue(SERVED_POOL, "batch", organisations),
    }
    for index, pool in enumerate(pools[1:]):
        some = [
            organisations[(6 * index + step) % len(organisations)] for step in range(6)
        ]
        document["queues"][f"queue-{pool}"] = _queue(pool, "interactive", some)
    return document


def _instance(index: int, shape: Shape, address_by_served: dict[str, str]) -> dict:
    is_first = index < min(shape.served, FIRST_POOL_WORKERS)
    pool = 0 if is_first else 1 + index % max(1, shape.pools - 1)
    return {
        "pool": f"pool-{min(pool, shape.pools - 1)}",
        "zone": f"zone-{index % shape.zones}",
        "rack": f"rack-{index % shape.zones}-{index // (4 * shape.zones)}",
        "address": address_by_served.get(f"worker-{index}", _refusing_address(index)),
        "cores": shape.cores,
        "memory_mb": shape.cores * 4096,
        # 9,300 accelerators on 5,100 workers.
        "accelerators": 1 if index % 17 < 3 else 2,
    }


def _refusing_address(index: int) -> str:
    # Each instance needs an address of its own; nothing listens on port 1.
    return f"127.1.{index // 250}.{index % 250 + 1}:1"


def _queue(pool: str, kind: str, organisations: list[str]) -> dict:
    return {
        "pool": pool,
        "kind": kind,
        "organisations": organisations,
        "idempotent": kind == "interactive",
        "max_queued": 5000,
    }


class CountingFleet(Fleet):
    """A fleet whose entries count the bytes of their sockets."""

    def _spawn(self, name: str, command: list[str], stdout: int | None = None):
        if command[0] == "lycheeloom.entry.main":
            command = ["bench.processes_entry", *command[1:]]
        return Fleet._spawn(self, name, command, stdout)


@contextmanager
def running_world(
    shape: Shape,
    entries: int,
    *,
    counting: bool = False,
    keys_of_organisation_0: int = 0,
) -> Iterator[World]:
    """Start stand-ins, publish the configuration and start the entries."""
    with running_fleet() as plain:
        fleet = CountingFleet(plain.folder) if counting else plain
        try:
            world = _publish(fleet, shape, keys_of_organisation_0)
            world.start_entries(entries)
            gevent.sleep(SETTLE_S)
            yield world
        finally:
            fleet.stop()


def _publish(fleet: Fleet, shape: Shape, keys_of_organisation_0: int) -> World:
    served = build_document(
        Shape(shape.served, 1, 1, min(3, shape.zones), shape.served, shape.cores), {}
    )
    path = fleet.folder / "platform.toml"
    path.write_text(tomlkit.dumps(served))
    platform = fleet.start_platform(path)
    document = build_document(shape, platform.workers)
    token_by_organisation = {}
    for organisation, entry in document["organisations"].items():
        key = create_key(f"key-{organisation}")
        token_by_organisation[organisation] = key.token
        entry["keys"] = {key.id: key.document.model_dump()}
    world = World(fleet, shape, document, token_by_organisation)
    first = document["organisations"]["organisation-0"]["keys"]
    for index in range(keys_of_organisation_0):
        key = create_key(f"spare-{index}")
        first[key.id] = key.document.model_dump()
        token_by_organisation[key.id] = key.token
    started_at = time.monotonic()
    operator = world.operator(hands_over=False)
    result = operator.publish(
        document, 0, accept_warnings=True, timeout_s=PUBLISH_TIMEOUT_S
    )
    if not isinstance(result, Published):
        raise RuntimeError(f"not published: {result}")
    world.publish_s = time.monotonic() - started_at
    return world
