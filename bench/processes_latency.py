"""What an entry adds to a lookup, against the same lookup sent to a worker."""

from __future__ import annotations

import itertools
import json
import time
import uuid

from lycheeloom.clients import (
    Session,
    TaskReport,
    TaskStart,
    Transport,
    WorkerClient,
)
from lycheeloom.model.limits import SESSION_TTL_S
from lycheeloom.model.resources import Resources

from .processes_fleet import INTERACTIVE, SHAPES, World, cpu_s, running_world
from .processes_load import Caller, lookup, run_at_rate
from .processes_stats import machine_load, percentile

RATES_PER_S = (50, 150, 300)
SECONDS = 8.0
# Connections and sessions are opened in the first calls at each rate.
WARM_UP_S = 2.0
REPEATS = 3
WORK_MS = 5
SESSION_REUSED_S = 0.7
GOAL_P50_MS, GOAL_P99_MS = 3, 10


class Direct:
    """Sends lookups straight to one of the workers, each in turn."""

    def __init__(self, addresses: list[str]) -> None:
        self.latencies_s: list[float] = []
        self.failed: list[str] = []
        self._addresses = addresses
        self._client = WorkerClient(Transport())
        self._session_by_address: dict[str, tuple[Session, float]] = {}
        # A worker runs a task id once.
        self._name = f"direct-{uuid.uuid4().hex}"
        self._numbers = itertools.count()

    def call(self) -> None:
        """Run one lookup; sessions are opened outside of the measured time."""
        number = next(self._numbers)
        address = self._addresses[number % len(self._addresses)]
        session = self._session(address)
        work = lookup(WORK_MS)
        start = TaskStart(
            f"{self._name}-{number}.1",
            session.id,
            "organisation-0",
            INTERACTIVE,
            json.dumps(work["payload"]).encode(),
            Resources(1, work["memory_mb"], 0),
            lease_s=15.0,
        )
        began_at = time.monotonic()
        report = self._client.start(address, start, timeout_s=5)
        self.latencies_s.append(time.monotonic() - began_at)
        if not isinstance(report, TaskReport):
            self.failed.append(str(report))

    def _session(self, address: str) -> Session:
        known = self._session_by_address.get(address)
        now = time.monotonic()
        if known is not None and now - known[1] < SESSION_REUSED_S:
            return known[0]
        session = self._client.open_session(address, "bench", SESSION_TTL_S)
        if not isinstance(session, Session):
            raise RuntimeError(f"no session at {address}: {session}")
        self._session_by_address[address] = (session, now)
        return session


def measure() -> dict:
    """Measure each rate several times, through the entry and direct in turn."""
    with running_world(SHAPES[30], 1) as world:
        rows = [
            _measure_rate(world, rate) for _ in range(REPEATS) for rate in RATES_PER_S
        ]
    return {
        "rows": rows,
        "work_ms": WORK_MS,
        "goal_p50_ms": GOAL_P50_MS,
        "goal_p99_ms": GOAL_P99_MS,
    }


def _measure_rate(world: World, rate_per_s: int) -> dict:
    workers = list(world.fleet.platform.workers.values())
    direct = Direct(workers)
    run_at_rate(rate_per_s, WARM_UP_S, lambda _: direct.call())
    direct.latencies_s.clear()
    run_at_rate(rate_per_s, SECONDS, lambda _: direct.call())
    if direct.failed:
        raise RuntimeError(f"direct lookups: {direct.failed[:3]}")
    caller = Caller(world.addresses, INTERACTIVE)
    tokens = list(world.token_by_organisation.values())

    def call(number: int) -> None:
        caller.call(tokens[number % len(tokens)], lookup(WORK_MS))

    run_at_rate(rate_per_s, WARM_UP_S, call)
    caller.latencies_s.clear()
    caller.ended.clear()
    cpu_before = cpu_s(world.entries[0])
    began_at = time.monotonic()
    run_at_rate(rate_per_s, SECONDS, call)
    seconds = time.monotonic() - began_at
    cores = (cpu_s(world.entries[0]) - cpu_before) / seconds
    row = {"rate_per_s": rate_per_s, "ran": caller.ended["ran"]}
    for percent in (50, 99):
        through = percentile(caller.latencies_s, percent) * 1000
        straight = percentile(direct.latencies_s, percent) * 1000
        row[f"entry_p{percent}_ms"] = round(through, 2)
        row[f"direct_p{percent}_ms"] = round(straight, 2)
        row[f"added_p{percent}_ms"] = round(through - straight, 2)
    row["cpu_percent"] = round(cores * 100, 1)
    row["per_core_per_s"] = round(caller.ended["ran"] / seconds / cores)
    row["refused"] = dict(caller.refused)
    row["load"] = machine_load()
    return row
