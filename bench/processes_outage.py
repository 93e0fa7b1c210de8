"""Work kept while the log is down and one entry is killed."""

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

from .processes_fleet import BATCH, INTERACTIVE, SHAPES, World, running_world
from .processes_load import Caller, lookup, run_at_rate
from .processes_stats import machine_load, summary_ms

ENTRIES = 9
LOOKUPS_PER_S = 90
LOOKUP_MS = 50
RECORDED_PER_S = 5
# With one slot of each organisation for each entry and lookups this long, entries want
# more slots than they hold several times a second.
TIGHT_LOOKUP_MS = 200
TIGHT_LIMIT = ENTRIES
# Records that waited in the entries are written within this time.
BACKLOG_S = 2.0
BEFORE_S = 10.0
KILL_AFTER_S = 5.0
RECLAIM_TIMEOUT_S = 120.0
GOAL_KEPT_PERCENT = 90
GOAL_RECLAIM_S = 60
# A balancer stops sending to a dead entry after some failed checks.
BALANCER_NOTICES_S = 2.0


def measure(outage_s: float, *, is_tight: bool = False) -> dict:
    """Compare the work before, in and after an outage of the log."""
    shape, work_ms = SHAPES[30], LOOKUP_MS
    if is_tight:
        shape, work_ms = replace(shape, upper_limit=TIGHT_LIMIT), TIGHT_LOOKUP_MS
    with running_world(shape, ENTRIES) as world:
        rows = [_phase(world, "before", BEFORE_S, work_ms)]
        victim = world.entries[0]
        dead = _incarnation(world, victim.address)
        held = _granted(world, dead)
        last_offset = world.next_offset()
        world.fleet.set_faults("log", outage=True)
        killer = gevent.spawn_later(KILL_AFTER_S, victim.kill)
        remover = gevent.spawn_later(
            KILL_AFTER_S + BALANCER_NOTICES_S, world.entries.remove, victim
        )
        rows.append(_phase(world, "outage", outage_s, work_ms))
        gevent.joinall([killer, remover])
        world.fleet.set_faults("log", outage=False)
        back_at = time.monotonic()
        reclaimed = gevent.spawn(_wait_reclaimed, world, dead, back_at)
        backlog = gevent.spawn_later(BACKLOG_S, _grant_records, world, last_offset)
        rows.append(_phase(world, "after", BEFORE_S, work_ms))
        kept = 100 * rows[1]["ran_per_s"] / rows[0]["ran_per_s"]
        return {
            "rows": rows,
            "outage_s": outage_s,
            "kept_percent": round(kept, 1),
            "goal_kept_percent": GOAL_KEPT_PERCENT,
            f"grant_records_within_{BACKLOG_S:.0f}_s": backlog.get(),
            "slots_of_dead_entry": held,
            "reclaimed_after_s": round(reclaimed.get(), 1),
            "goal_reclaimed_s": GOAL_RECLAIM_S,
        }


def _phase(world: World, name: str, seconds: float, work_ms: int) -> dict:
    lookups = Caller(world.addresses, INTERACTIVE, seed=1)
    recorded = Caller(world.addresses, BATCH, seed=2)
    tokens = list(world.token_by_organisation.values())
    document = lookup(20, wait=False)
    batch = gevent.spawn(
        run_at_rate,
        RECORDED_PER_S,
        seconds,
        lambda n: recorded.call(tokens[n % len(tokens)], document, f"{name}-{n}"),
    )
    sent = run_at_rate(
        LOOKUPS_PER_S,
        seconds,
        lambda n: lookups.call(tokens[n % len(tokens)], lookup(work_ms)),
    )
    batch.get()
    return {
        "phase": name,
        "lookups": sent,
        "ran_per_s": round(lookups.ended["ran"] / seconds, 1),
        "lookups_not_served": dict(lookups.refused),
        "recorded_accepted": recorded.ended["accepted"],
        "recorded_not_accepted": dict(recorded.refused),
        **summary_ms(lookups.latencies_s),
        "load": machine_load(),
    }


def _incarnation(world: World, address: str) -> str:
    status = world.operator().statuses()[address]
    if not isinstance(status, StatusDocument):
        raise RuntimeError(f"no status of {address}: {status}")
    return status.incarnation


def _granted(world: World, incarnation: str) -> int:
    """Return the running slots of all organisations that an entry holds by the log."""
    operator = world.operator(hands_over=False)
    if operator.refresh() is not None:
        return -1
    grants = operator.view.state.grants
    return sum(
        grants.of(organisation).count_by_holder.get(incarnation, 0)
        for organisation in world.document["organisations"]
    )


def _grant_records(world: World, first_offset: int) -> dict[str, int]:
    """Count the requests and returns of slots that the log has since an offset."""
    answer = world.log().read(first_offset)
    if not isinstance(answer, ReadBatches):
        raise RuntimeError(f"log: {answer}")
    kinds = (
        type(record)
        for batch in answer.batches
        for record in decode_batch(batch).records
    )
    count_by_kind = Counter(kinds)
    return {
        kind.__name__: count_by_kind[kind] for kind in (GrantRequested, GrantReturned)
    }


def _wait_reclaimed(world: World, incarnation: str, since: float) -> float:
    while time.monotonic() - since < RECLAIM_TIMEOUT_S:
        if _granted(world, incarnation) == 0:
            return time.monotonic() - since
        gevent.sleep(0.25)
    return math.inf
