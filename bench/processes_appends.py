"""Appends to the log against the rate of recorded requests."""

from __future__ import annotations

import itertools
import time

import gevent

from .processes_fleet import BATCH, SHAPES, World, running_world
from .processes_load import Caller, lookup, run_at_rate
from .processes_stats import machine_load, summary_ms

ENTRIES = 9
RATES_PER_S = (10, 30, 60, 120, 240)
SECONDS = 8.0
# Submission, claim and end.
RECORDS_PER_REQUEST = 3
MAX_APPENDS_PER_S = 180
_names = itertools.count()


def measure() -> dict:
    """Offer batches at rising rates to 9 entries."""
    with running_world(SHAPES[30], ENTRIES) as world:
        rows = [_offer(world, 0)]
        rows += [_offer(world, rate) for rate in RATES_PER_S]
    return {"rows": rows, "entries": ENTRIES, "design_limit": MAX_APPENDS_PER_S}


def _offer(world: World, rate_per_s: int) -> dict:
    caller = Caller(world.addresses, BATCH, seed=rate_per_s)
    tokens = list(world.token_by_organisation.values())
    document = lookup(20, wait=False)
    first, began_at = world.next_offset(), time.monotonic()
    cpu_before = world.cpu_s()
    if rate_per_s:
        run_at_rate(
            rate_per_s,
            SECONDS,
            lambda n: caller.call(
                tokens[n % len(tokens)], document, f"batch-{next(_names)}"
            ),
        )
    else:
        gevent.sleep(SECONDS)
    seconds = time.monotonic() - began_at
    appends_per_s = (world.next_offset() - first) / seconds
    cpu = sum(world.cpu_s()) - sum(cpu_before)
    gevent.sleep(2)
    accepted = caller.ended["accepted"] / seconds
    return {
        "offered_per_s": rate_per_s,
        "accepted_per_s": round(accepted, 1),
        "appends_per_s": round(appends_per_s, 1),
        "records_per_append": round(
            accepted * RECORDS_PER_REQUEST / max(appends_per_s, 1e-9), 2
        ),
        "cpu_percent_per_entry": round(cpu / seconds / ENTRIES * 100, 1),
        "refused": dict(caller.refused),
        **summary_ms(caller.latencies_s),
        "load": machine_load(),
    }
