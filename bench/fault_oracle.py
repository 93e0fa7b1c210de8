"""Checks the invariants against what callers, operators and workers observed.

No state of an entry is read: ``check_history`` takes the history that callers and
operators recorded and the ledger of the workers. It returns a message for each
violation of an invariant.
"""

from __future__ import annotations

import json
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

from .fault_fleet import CallRecord, History, Publication

# Targets from section 1 of the design page.
KEY_REVOCATION_LIMIT_S = 3.0
ZONE_OUT_LIMIT_S = 3.0
AT_MOST_ONCE_KINDS = frozenset({"booking", "keyed", "batch"})
# The reason that the transport gives when the caller itself stopped waiting.
CALLER_TIMEOUT = "no answer in time"
Ledger = list[dict[str, Any]]


def check_history(
    history: History, ledger: Ledger, limits: Mapping[str, int]
) -> list[str]:
    """Return a message for each violation of an invariant."""
    starts_by_work = _group(ledger, "call")
    starts_by_request = _group(ledger, "request_id")
    return [
        *_check_upper_limits(ledger, limits),
        *_check_zones(history.publications, ledger),
        *_check_keys(history),
        *_check_not_run(history, starts_by_work, starts_by_request),
        *_check_own_answers(history, starts_by_work),
        *_check_at_most_once(history.calls, starts_by_work),
        *_check_repeats(history.calls),
        *_check_batches(history),
        *_check_shutdowns(history),
        *_check_versions(history.versions),
    ]


def _group(ledger: Ledger, field: str) -> dict[str, Ledger]:
    groups: dict[str, Ledger] = defaultdict(list)
    for start in ledger:
        groups[start[field]].append(start)
    return groups


def _check_upper_limits(ledger: Ledger, limits: Mapping[str, int]) -> Iterable[str]:
    """I4: an organisation never runs more tasks than its upper limit."""
    for organisation, peak in peak_by_organisation(ledger).items():
        if peak > limits.get(organisation, 0):
            yield (
                f"I4: organisation {organisation} had {peak} tasks running, limit "
                f"{limits.get(organisation)}"
            )


def peak_by_organisation(ledger: Ledger) -> dict[str, int]:
    """Return the largest number of tasks that each organisation ran at once."""
    changes = []
    for start in ledger:
        ended_at = start["ended_at"]
        changes.append((start["started_at"], 1, start["organisation"]))
        changes.append(
            (math.inf if ended_at is None else ended_at, -1, start["organisation"])
        )
    running: dict[str, int] = defaultdict(int)
    peak: dict[str, int] = defaultdict(int)
    for _, change, organisation in sorted(changes):
        running[organisation] += change
        peak[organisation] = max(peak[organisation], running[organisation])
    return dict(peak)


def _check_zones(publications: list[Publication], ledger: Ledger) -> Iterable[str]:
    """I5: no task starts in a zone later than the limit after its removal."""
    for index, removal in enumerate(publications):
        if removal.what != "zone out" or not removal.accepted:
            continue
        restored_at = [
            later.sent_at
            for later in publications[index + 1 :]
            if later.what == "zone in" and later.name == removal.name
        ]
        forbidden_from, forbidden_to = (
            removal.accepted_at + ZONE_OUT_LIMIT_S,
            min([math.inf, *restored_at]),
        )
        for start in ledger:
            is_late = forbidden_from < start["started_at"] < forbidden_to
            if start["zone"] == removal.name and is_late:
                late_s = start["started_at"] - removal.accepted_at
                yield (
                    f"I5: {start['task']} started in zone {removal.name} "
                    f"{late_s:.2f} s after its removal"
                )


def _check_keys(history: History) -> Iterable[str]:
    """I3: no call is accepted that was sent later than the limit after a revocation."""
    forbidden_from_by_key = {
        item.name: item.accepted_at + KEY_REVOCATION_LIMIT_S
        for item in history.publications
        if item.what == "revoke" and item.accepted
    }
    for call in history.calls:
        is_late = call.sent_at > forbidden_from_by_key.get(call.key, math.inf)
        if is_late and call.status in (200, 202, 504):
            late_s = (
                call.sent_at - forbidden_from_by_key[call.key] + KEY_REVOCATION_LIMIT_S
            )
            yield (
                f"I3: {call.work} at {call.entry} was accepted with {call.key} "
                f"{late_s:.2f} s after its revocation: {call.document}"
            )


def _check_not_run(
    history: History, by_work: Mapping[str, Ledger], by_request: Mapping[str, Ledger]
) -> Iterable[str]:
    """I7: a request that was answered with ``not_run`` never starts."""
    answers = [*history.calls, *history.cancelled]
    for collected in history.collected.values():
        answers += collected
    for call in answers:
        if call.verdict != "not_run":
            continue
        request_id = call.document.get("request_id")
        starts = by_request.get(request_id, []) if request_id else []
        # A repeat may be refused while the first call with its idempotency key runs.
        if call.kind not in ("keyed", "cancel", "collect"):
            starts = [*starts, *by_work.get(call.work, [])]
        if starts:
            yield (
                f"I7: {call.work} ({call.kind}) started, but the answer was "
                f"{call.document}"
            )


def _check_own_answers(
    history: History, by_work: Mapping[str, Ledger]
) -> Iterable[str]:
    """I6: an answer is complete and belongs to this work, which a worker finished."""
    answers = list(history.calls)
    for collected in history.collected.values():
        answers += collected
    for call in answers:
        if call.verdict != "ran":
            continue
        try:
            work = json.loads(call.document["answer"])["call"]
        except (KeyError, ValueError, TypeError):
            yield f"I6: the answer to {call.work} is incomplete: {call.document}"
            continue
        if work != call.work:
            yield f"I6: {call.work} got the answer to {work}"
        done = [s for s in by_work.get(call.work, []) if s["status"] == "done"]
        if not done:
            yield f"I6: {call.work} was answered as run, but no worker finished it"


def _check_at_most_once(
    calls: list[CallRecord], by_work: Mapping[str, Ledger]
) -> Iterable[str]:
    """I8: work that is not idempotent started at most once."""
    for work in sorted({c.work for c in calls if c.kind in AT_MOST_ONCE_KINDS}):
        starts = by_work.get(work, [])
        if len(starts) > 1 and not any(c.idempotent for c in calls if c.work == work):
            tasks = [(start["task"], start["worker"]) for start in starts]
            yield f"I8: {work} started {len(starts)} times: {tasks}"


def _check_repeats(calls: list[CallRecord]) -> Iterable[str]:
    """I6: repeats with one idempotency key become one request."""
    ran_by_work: dict[str, set[str]] = defaultdict(set)
    for call in calls:
        if call.kind == "keyed" and call.verdict in ("ran", "accepted"):
            ran_by_work[call.work].add(call.document["request_id"])
    for work, ids in ran_by_work.items():
        if len(ids) > 1:
            yield f"I6: repeats of {work} became {len(ids)} requests"


def _check_batches(history: History) -> Iterable[str]:
    """I6: each accepted batch request gets one answer, the same from all entries."""
    for batch in history.calls:
        if not batch.is_accepted_batch:
            continue
        request_id = batch.document["request_id"]
        answers = history.collected.get(request_id, [])
        final = {
            call.document.get("answer", call.verdict)
            for call in answers
            if call.is_final
        }
        if not final:
            last = answers[-1].document if answers else "nothing"
            yield f"I6: {batch.work} ({request_id}) has no final answer, last: {last}"
        if len(final) > 1:
            yield f"I6: {batch.work} ({request_id}) has different answers: {final}"


def _check_shutdowns(history: History) -> Iterable[str]:
    """I10: a call in progress when its entry is asked to shut down is answered."""
    for call in history.calls:
        asked_at = history.asked_to_stop.get(call.process, -math.inf)
        if call.document.get("reason") == CALLER_TIMEOUT:
            continue
        if call.sent_at < asked_at < call.answered_at and call.status == 0:
            yield (
                f"I10: {call.work} ({call.kind}) got no answer at the shutdown: "
                f"{call.document}"
            )


def _check_versions(versions: Mapping[int, list[int]]) -> Iterable[str]:
    """I11: no process returns to an older configuration."""
    for process, reported in versions.items():
        for before, after in zip(reported, reported[1:], strict=False):
            if after < before:
                yield f"I11: process {process} went from version {before} to {after}"
