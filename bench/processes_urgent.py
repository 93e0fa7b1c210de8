"""Delay between submission and start of urgent requests on a full fleet."""

from __future__ import annotations

import time
from dataclasses import replace

import gevent

from .processes_fleet import (
    BATCH_QUEUE,
    INTERACTIVE_QUEUE,
    SHAPE_BY_WORKERS,
    BenchFleet,
    running_bench_fleet,
)
from .processes_load import Caller, lookup_body, run_at_rate
from .processes_stats import machine_load, summary_ms

# With one entry, no other entry competes for the resources that a checkpoint frees.
ENTRIES = (1, 3)
BATCHES_PER_CORE = 1.5
BATCH_MS = 120_000
URGENT_COUNT = 120
URGENT_PER_S = 2.0
URGENT_MS = 200
GOAL_P99_MS = 1800
FILL_TIMEOUT_S = 30.0


def measure() -> dict:
    """Fill 6 workers of 8 cores with batch tasks, then send urgent requests."""
    rows = [_measure(entries) for entries in ENTRIES]
    return {"rows": rows, "goal_p99_ms": GOAL_P99_MS}


def _measure(entries: int) -> dict:
    shape = replace(SHAPE_BY_WORKERS[30], workers=6, pools=2, cores=8)
    with running_bench_fleet(shape, entries) as bench_fleet:
        core_count = shape.workers * shape.cores
        _fill_cores(bench_fleet, core_count)
        caller = Caller(bench_fleet.addresses, INTERACTIVE_QUEUE)
        tokens = list(bench_fleet.token_by_organisation.values())
        sent_at: dict[str, float] = {}

        def send(number: int) -> None:
            name = f"urgent-{number}"
            document = lookup_body(URGENT_MS, urgent=True)
            document["payload"]["call"] = name
            sent_at[name] = time.monotonic()
            caller.call(tokens[number % len(tokens)], document)

        seconds = URGENT_COUNT / URGENT_PER_S
        min_running = gevent.spawn(_min_running, bench_fleet, seconds)
        run_at_rate(URGENT_PER_S, seconds, send)
        started_at = {}
        for start in bench_fleet.fleet.ledger():
            if start["call"] in sent_at:
                started_at.setdefault(start["call"], start["started_at"])
        delays_s = [started_at[name] - sent_at[name] for name in started_at]
        row = {
            "entries": entries,
            "sent": len(sent_at),
            "started": len(delays_s),
            **summary_ms(delays_s),
        }
        row |= {
            "ended": dict(caller.count_by_verdict),
            "refused": dict(caller.count_by_refusal),
        }
        row |= {
            "slots": core_count,
            "least_busy": min_running.get(),
            "load": machine_load(),
        }
    return row


def _fill_cores(bench_fleet: BenchFleet, core_count: int) -> None:
    caller = Caller(bench_fleet.addresses, BATCH_QUEUE)
    document = lookup_body(BATCH_MS, wait=False, checkpointable=True, idempotent=True)
    tokens = list(bench_fleet.token_by_organisation.values())
    count = int(core_count * BATCHES_PER_CORE)
    run_at_rate(40, count / 40, lambda n: caller.call(tokens[n % 6], document, f"b{n}"))
    give_up_at = time.monotonic() + FILL_TIMEOUT_S
    while _count_running(bench_fleet) < core_count:
        if time.monotonic() > give_up_at:
            raise RuntimeError(
                f"{_count_running(bench_fleet)} of {core_count} cores are busy"
            )
        gevent.sleep(0.5)


def _count_running(bench_fleet: BenchFleet) -> int:
    return sum(start["status"] == "running" for start in bench_fleet.fleet.ledger())


def _min_running(bench_fleet: BenchFleet, seconds: float) -> int:
    """Return the smallest number of running tasks, sampled once a second."""
    smallest = _count_running(bench_fleet)
    for _ in range(int(seconds)):
        gevent.sleep(1.0)
        smallest = min(smallest, _count_running(bench_fleet))
    return smallest
