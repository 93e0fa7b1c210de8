"""Rate of appends to the log as the rate of batch requests rises."""

from __future__ import annotations

import itertools
import time

import gevent

from .processes_fleet import (
    BATCH_QUEUE,
    SHAPE_BY_WORKERS,
    BenchFleet,
    running_bench_fleet,
)
from .processes_load import Caller, lookup_body, run_at_rate
from .processes_stats import machine_load, summary_ms

ENTRIES = 9
RATES_PER_S = (10, 30, 60, 120, 240)
SECONDS = 8.0
# One record each for the submission, the claim and the end.
RECORDS_PER_REQUEST = 3
MAX_APPENDS_PER_S = 180
_batch_numbers = itertools.count()


def measure() -> dict:
    """Measure 9 entries without load, then with batch requests at rising rates."""
    with running_bench_fleet(SHAPE_BY_WORKERS[30], ENTRIES) as bench_fleet:
        rows = [_measure_rate(bench_fleet, 0)]
        rows += [_measure_rate(bench_fleet, rate) for rate in RATES_PER_S]
    return {"rows": rows, "entries": ENTRIES, "design_limit": MAX_APPENDS_PER_S}


def _measure_rate(bench_fleet: BenchFleet, rate_per_s: int) -> dict:
    caller = Caller(bench_fleet.addresses, BATCH_QUEUE, seed=rate_per_s)
    tokens = list(bench_fleet.token_by_organisation.values())
    document = lookup_body(20, wait=False)
    first_offset, began_at = bench_fleet.next_offset(), time.monotonic()
    cpu_before = bench_fleet.cpu_s()
    if rate_per_s:
        run_at_rate(
            rate_per_s,
            SECONDS,
            lambda n: caller.call(
                tokens[n % len(tokens)], document, f"batch-{next(_batch_numbers)}"
            ),
        )
    else:
        gevent.sleep(SECONDS)
    seconds = time.monotonic() - began_at
    appends_per_s = (bench_fleet.next_offset() - first_offset) / seconds
    used_cpu_s = sum(bench_fleet.cpu_s()) - sum(cpu_before)
    gevent.sleep(2)
    accepted_per_s = caller.count_by_verdict["accepted"] / seconds
    return {
        "offered_per_s": rate_per_s,
        "accepted_per_s": round(accepted_per_s, 1),
        "appends_per_s": round(appends_per_s, 1),
        "records_per_append": round(
            accepted_per_s * RECORDS_PER_REQUEST / max(appends_per_s, 1e-9), 2
        ),
        "cpu_percent_per_entry": round(used_cpu_s / seconds / ENTRIES * 100, 1),
        "refused": dict(caller.count_by_refusal),
        **summary_ms(caller.latencies_s),
        "load": machine_load(),
    }
