"""Lookups served while the log is down and one entry is killed."""

from __future__ import annotations

import math
import time
from collections import Counter
from dataclasses import replace

import gevent

from lycheeloom.clients import ReadBatches
from lycheeloom.model.records import GrantRequested, GrantReturned
from lycheeloom.model.status import StatusDocument
from lycheeloom.wire import decode_batch

from .processes_fleet import (
    BATCH_QUEUE,
    INTERACTIVE_QUEUE,
    SHAPE_BY_WORKERS,
    BenchFleet,
    running_bench_fleet,
)
from .processes_load import Caller, lookup_body, run_at_rate
from .processes_stats import machine_load, summary_ms

ENTRIES = 9
LOOKUPS_PER_S = 90
LOOKUP_MS = 50
BATCHES_PER_S = 5
# With one running slot per organisation and entry and lookups this long, entries need
# more slots than they hold several times a second.
TIGHT_LOOKUP_MS = 200
TIGHT_LIMIT = ENTRIES
# Within this time the entries append the records that they held back.
BACKLOG_S = 2.0
BEFORE_S = 10.0
KILL_AFTER_S = 5.0
RECLAIM_TIMEOUT_S = 120.0
GOAL_KEPT_PERCENT = 90
GOAL_RECLAIM_S = 60
# Time until a load balancer has seen enough failed checks to skip a dead entry.
BALANCER_DELAY_S = 2.0


def measure(outage_s: float, *, is_tight: bool = False) -> dict:
    """Compare the lookups served before, during and after an outage of the log.

    ``is_tight`` gives each entry one running slot per organisation.
    """
    shape, work_ms = SHAPE_BY_WORKERS[30], LOOKUP_MS
    if is_tight:
        shape, work_ms = replace(shape, upper_limit=TIGHT_LIMIT), TIGHT_LOOKUP_MS
    with running_bench_fleet(shape, ENTRIES) as bench_fleet:
        rows = [_measure_phase(bench_fleet, "before", BEFORE_S, work_ms)]
        victim = bench_fleet.entries[0]
        victim_incarnation = _incarnation_of(bench_fleet, victim.address)
        slots_of_victim = _granted_slots(bench_fleet, victim_incarnation)
        first_offset = bench_fleet.next_offset()
        bench_fleet.fleet.set_faults("log", outage=True)
        killer = gevent.spawn_later(KILL_AFTER_S, victim.kill)
        remover = gevent.spawn_later(
            KILL_AFTER_S + BALANCER_DELAY_S, bench_fleet.entries.remove, victim
        )
        rows.append(_measure_phase(bench_fleet, "outage", outage_s, work_ms))
        gevent.joinall([killer, remover])
        bench_fleet.fleet.set_faults("log", outage=False)
        restored_at = time.monotonic()
        reclaimed = gevent.spawn(
            _wait_until_reclaimed, bench_fleet, victim_incarnation, restored_at
        )
        backlog = gevent.spawn_later(
            BACKLOG_S, _count_grant_records, bench_fleet, first_offset
        )
        rows.append(_measure_phase(bench_fleet, "after", BEFORE_S, work_ms))
        kept_percent = 100 * rows[1]["ran_per_s"] / rows[0]["ran_per_s"]
        return {
            "rows": rows,
            "outage_s": outage_s,
            "kept_percent": round(kept_percent, 1),
            "goal_kept_percent": GOAL_KEPT_PERCENT,
            f"grant_records_within_{BACKLOG_S:.0f}_s": backlog.get(),
            "slots_of_dead_entry": slots_of_victim,
            "reclaimed_after_s": round(reclaimed.get(), 1),
            "goal_reclaimed_s": GOAL_RECLAIM_S,
        }


def _measure_phase(
    bench_fleet: BenchFleet, name: str, seconds: float, work_ms: int
) -> dict:
    lookups = Caller(bench_fleet.addresses, INTERACTIVE_QUEUE, seed=1)
    recorded = Caller(bench_fleet.addresses, BATCH_QUEUE, seed=2)
    tokens = list(bench_fleet.token_by_organisation.values())
    document = lookup_body(20, wait=False)
    batch = gevent.spawn(
        run_at_rate,
        BATCHES_PER_S,
        seconds,
        lambda n: recorded.call(tokens[n % len(tokens)], document, f"{name}-{n}"),
    )
    sent = run_at_rate(
        LOOKUPS_PER_S,
        seconds,
        lambda n: lookups.call(tokens[n % len(tokens)], lookup_body(work_ms)),
    )
    batch.get()
    return {
        "phase": name,
        "lookups": sent,
        "ran_per_s": round(lookups.count_by_verdict["ran"] / seconds, 1),
        "lookups_not_served": dict(lookups.count_by_refusal),
        "recorded_accepted": recorded.count_by_verdict["accepted"],
        "recorded_not_accepted": dict(recorded.count_by_refusal),
        **summary_ms(lookups.latencies_s),
        "load": machine_load(),
    }


def _incarnation_of(bench_fleet: BenchFleet, address: str) -> str:
    status = bench_fleet.operator().statuses()[address]
    if not isinstance(status, StatusDocument):
        raise RuntimeError(f"entry {address} has no status: {status}")
    return status.incarnation


def _granted_slots(bench_fleet: BenchFleet, incarnation: str) -> int:
    """Return the slots of all organisations that the log grants to an entry.

    Returns -1 if the log cannot be read.
    """
    operator = bench_fleet.operator(hand_over=False)
    if operator.refresh() is not None:
        return -1
    grants = operator.view.state.grants
    return sum(
        grants.of(organisation).count_by_holder.get(incarnation, 0)
        for organisation in bench_fleet.document["organisations"]
    )


def _count_grant_records(bench_fleet: BenchFleet, first_offset: int) -> dict[str, int]:
    """Count the requested and the returned grants in the log from an offset on."""
    answer = bench_fleet.log().read(first_offset)
    if not isinstance(answer, ReadBatches):
        raise RuntimeError(f"cannot read the log: {answer}")
    record_types = (
        type(record)
        for batch in answer.batches
        for record in decode_batch(batch).records
    )
    count_by_type = Counter(record_types)
    return {
        kind.__name__: count_by_type[kind] for kind in (GrantRequested, GrantReturned)
    }


def _wait_until_reclaimed(
    bench_fleet: BenchFleet, incarnation: str, since: float
) -> float:
    while time.monotonic() - since < RECLAIM_TIMEOUT_S:
        if _granted_slots(bench_fleet, incarnation) == 0:
            return time.monotonic() - since
        gevent.sleep(0.25)
    return math.inf
