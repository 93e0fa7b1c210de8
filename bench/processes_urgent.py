"""Time from the submission to the start of urgent requests on a full fleet."""

from __future__ import annotations

import time
from dataclasses import replace

import gevent

from .processes_fleet import BATCH, INTERACTIVE, SHAPES, World, running_world
from .processes_load import Caller, lookup, run_at_rate
from .processes_stats import machine_load, summary_ms

# With one entry no peer competes for the room that a checkpoint makes.
ENTRIES = (1, 3)
FULL_TASKS_PER_SLOT = 1.5
BATCH_MS = 120_000
URGENT_COUNT = 120
URGENT_PER_S = 2.0
URGENT_MS = 200
GOAL_P99_MS = 1800
FILL_TIMEOUT_S = 30.0


def measure() -> dict:
    """Fill 6 workers of 8 cores with batches, then send urgent requests."""
    rows = [_measure(entries) for entries in ENTRIES]
    return {"rows": rows, "goal_p99_ms": GOAL_P99_MS}


def _measure(entries: int) -> dict:
    shape = replace(SHAPES[30], workers=6, pools=2, cores=8)
    with running_world(shape, entries) as world:
        slots = shape.workers * shape.cores
        _fill(world, slots)
        caller = Caller(world.addresses, INTERACTIVE)
        tokens = list(world.token_by_organisation.values())
        sent_at: dict[str, float] = {}

        def send(number: int) -> None:
            name = f"urgent-{number}"
            document = lookup(URGENT_MS, urgent=True)
            document["payload"]["call"] = name
            sent_at[name] = time.monotonic()
            caller.call(tokens[number % len(tokens)], document)

        seconds = URGENT_COUNT / URGENT_PER_S
        busy = gevent.spawn(_least_busy, world, seconds)
        run_at_rate(URGENT_PER_S, seconds, send)
        started_at = {}
        for start in world.fleet.ledger():
            if start["call"] in sent_at:
                started_at.setdefault(start["call"], start["started_at"])
        waits = [started_at[name] - sent_at[name] for name in started_at]
        row = {
            "entries": entries,
            "sent": len(sent_at),
            "started": len(waits),
            **summary_ms(waits),
        }
        row |= {"ended": dict(caller.ended), "refused": dict(caller.refused)}
        row |= {"slots": slots, "least_busy": busy.get(), "load": machine_load()}
    return row


def _fill(world: World, slots: int) -> None:
    caller = Caller(world.addresses, BATCH)
    document = lookup(BATCH_MS, wait=False, checkpointable=True, idempotent=True)
    tokens = list(world.token_by_organisation.values())
    count = int(slots * FULL_TASKS_PER_SLOT)
    run_at_rate(40, count / 40, lambda n: caller.call(tokens[n % 6], document, f"b{n}"))
    give_up_at = time.monotonic() + FILL_TIMEOUT_S
    while _running(world) < slots:
        if time.monotonic() > give_up_at:
            raise RuntimeError(f"{_running(world)} of {slots} slots are busy")
        gevent.sleep(0.5)


def _running(world: World) -> int:
    return sum(start["status"] == "running" for start in world.fleet.ledger())


def _least_busy(world: World, seconds: float) -> int:
    """Return the smallest number of busy slots seen while urgent work runs."""
    least = _running(world)
    for _ in range(int(seconds)):
        gevent.sleep(1.0)
        least = min(least, _running(world))
    return least
