"""Latency that an entry adds to a lookup that is sent directly to a worker."""

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

from .processes_fleet import (
    INTERACTIVE_QUEUE,
    SHAPE_BY_WORKERS,
    BenchFleet,
    cpu_s,
    running_bench_fleet,
)
from .processes_load import Caller, lookup_body, run_at_rate
from .processes_stats import machine_load, percentile

RATES_PER_S = (50, 150, 300)
SECONDS = 8.0
# Connections and sessions are opened by the first calls at each rate.
WARM_UP_S = 2.0
REPEATS = 3
WORK_MS = 5
SESSION_REUSE_S = 0.7
GOAL_P50_MS, GOAL_P99_MS = 3, 10


class DirectCaller:
    """Sends lookups directly to the workers, in turn."""

    def __init__(self, addresses: list[str]) -> None:
        self.latencies_s: list[float] = []
        self.failed: list[str] = []
        self._addresses = addresses
        self._client = WorkerClient(Transport())
        self._session_by_address: dict[str, tuple[Session, float]] = {}
        # Unique, as a worker runs each task id only once.
        self._task_prefix = f"direct-{uuid.uuid4().hex}"
        self._numbers = itertools.count()

    def call(self) -> None:
        """Run one lookup; the time to open a session is not measured."""
        number = next(self._numbers)
        address = self._addresses[number % len(self._addresses)]
        session = self._open_session(address)
        work = lookup_body(WORK_MS)
        start = TaskStart(
            f"{self._task_prefix}-{number}.1",
            session.id,
            "organisation-0",
            INTERACTIVE_QUEUE,
            json.dumps(work["payload"]).encode(),
            Resources(1, work["memory_mb"], 0),
            lease_s=15.0,
        )
        began_at = time.monotonic()
        report = self._client.start(address, start, timeout_s=5)
        self.latencies_s.append(time.monotonic() - began_at)
        if not isinstance(report, TaskReport):
            self.failed.append(str(report))

    def _open_session(self, address: str) -> Session:
        known = self._session_by_address.get(address)
        now = time.monotonic()
        if known is not None and now - known[1] < SESSION_REUSE_S:
            return known[0]
        session = self._client.open_session(address, "bench", SESSION_TTL_S)
        if not isinstance(session, Session):
            raise RuntimeError(f"worker {address} opened no session: {session}")
        self._session_by_address[address] = (session, now)
        return session


def measure() -> dict:
    """Measure each rate several times, directly and then through the entry."""
    with running_bench_fleet(SHAPE_BY_WORKERS[30], 1) as bench_fleet:
        rows = [
            _measure_rate(bench_fleet, rate)
            for _ in range(REPEATS)
            for rate in RATES_PER_S
        ]
    return {
        "rows": rows,
        "work_ms": WORK_MS,
        "goal_p50_ms": GOAL_P50_MS,
        "goal_p99_ms": GOAL_P99_MS,
    }


def _measure_rate(bench_fleet: BenchFleet, rate_per_s: int) -> dict:
    workers = list(bench_fleet.fleet.platform.workers.values())
    direct = DirectCaller(workers)
    run_at_rate(rate_per_s, WARM_UP_S, lambda _: direct.call())
    direct.latencies_s.clear()
    run_at_rate(rate_per_s, SECONDS, lambda _: direct.call())
    if direct.failed:
        raise RuntimeError(f"direct lookups failed: {direct.failed[:3]}")
    caller = Caller(bench_fleet.addresses, INTERACTIVE_QUEUE)
    tokens = list(bench_fleet.token_by_organisation.values())

    def call(number: int) -> None:
        caller.call(tokens[number % len(tokens)], lookup_body(WORK_MS))

    run_at_rate(rate_per_s, WARM_UP_S, call)
    caller.latencies_s.clear()
    caller.count_by_verdict.clear()
    cpu_before = cpu_s(bench_fleet.entries[0])
    began_at = time.monotonic()
    run_at_rate(rate_per_s, SECONDS, call)
    seconds = time.monotonic() - began_at
    cores = (cpu_s(bench_fleet.entries[0]) - cpu_before) / seconds
    row = {"rate_per_s": rate_per_s, "ran": caller.count_by_verdict["ran"]}
    for percent in (50, 99):
        entry_ms = percentile(caller.latencies_s, percent) * 1000
        direct_ms = percentile(direct.latencies_s, percent) * 1000
        row[f"entry_p{percent}_ms"] = round(entry_ms, 2)
        row[f"direct_p{percent}_ms"] = round(direct_ms, 2)
        row[f"added_p{percent}_ms"] = round(entry_ms - direct_ms, 2)
    row["cpu_percent"] = round(cores * 100, 1)
    row["per_core_per_s"] = round(caller.count_by_verdict["ran"] / seconds / cores)
    row["refused"] = dict(caller.count_by_refusal)
    row["load"] = machine_load()
    return row
