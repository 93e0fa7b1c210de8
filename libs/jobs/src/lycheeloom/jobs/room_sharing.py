"""Divides the instances between pools that together need more than there are."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

# Pools are to finish their waiting work within this time, which is about the duration
# of a move.
BACKLOG_TARGET_S = 1.5
# Average part of a running task's duration that is left.
REMAINING_FRACTION = 0.5
# Factor of the share of a pool with each step down in the priority of its queues.
PRIORITY_FACTOR = 0.5
# A smaller difference between the size of a pool and its share does not pay for the
# time in which an instance finishes its tasks and moves.
MIN_SHIFT_INSTANCES = 2
MIN_SHIFT_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class PoolClaim:
    """What a pool needs and has, in instances.

    ``kept`` is what it needs in any case: for long-running tasks, and for steps that
    limit tasks per worker. ``priority`` is the highest of its queues with waiting jobs;
    0 comes first.
    """

    pool: str
    needed: float
    size: int
    arriving: int = 0
    kept: float = 1.0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class BusyInstance:
    """An instance with tasks that could be given to another pool once they end.

    ``work`` is a measure of the work on it that is left.
    """

    instance_id: str
    pool: str
    work: float


def needed_instances(
    backlog: float, used: float, offered_load: float, long_running_use: float
) -> float:
    """Return how many instances a pool needs.

    ``backlog`` is the waiting work in instance-seconds, ``used`` and
    ``long_running_use`` are in instances, and ``offered_load`` is the work submitted,
    in instance-seconds per second.
    """
    short_use = max(0.0, used - long_running_use)
    for_waiting = backlog / BACKLOG_TARGET_S + REMAINING_FRACTION * short_use
    return long_running_use + max(for_waiting, offered_load)


def share_instances(claims: Collection[PoolClaim], total: int) -> dict[str, float]:
    """Return the share of each pool in ``total`` instances.

    Each pool gets what it keeps in any case. The rest is divided evenly, weighted by
    priority; what a pool does not need goes to the others. A pool with an old backlog
    thus leaves room for one whose load has just begun.

    Example: two pools of the same priority that need 90 and 30 of 100 instances get 70
    and 30; if both need 90, they get 50 each.
    """
    share_by_pool = {claim.pool: claim.kept for claim in claims}
    left = total - sum(share_by_pool.values())
    open_claims = [claim for claim in claims if claim.needed > claim.kept]
    while left > 0 and open_claims:
        weight_by_pool = _weights(open_claims)
        total_weight = sum(weight_by_pool.values())
        part_by_pool = {
            pool: left * weight / total_weight
            for pool, weight in weight_by_pool.items()
        }
        satisfied = [
            claim
            for claim in open_claims
            if claim.needed - claim.kept <= part_by_pool[claim.pool]
        ]
        if not satisfied:
            for claim in open_claims:
                share_by_pool[claim.pool] += part_by_pool[claim.pool]
            break
        for claim in satisfied:
            share_by_pool[claim.pool] = claim.needed
            left -= claim.needed - claim.kept
            open_claims.remove(claim)
    return share_by_pool


def _weights(claims: Collection[PoolClaim]) -> dict[str, float]:
    """Return the weight of each pool, 1 for the highest priority of all.

    Priorities may be any whole numbers, so their powers may not fit into a float.
    """
    highest = min(claim.priority for claim in claims)
    return {
        claim.pool: PRIORITY_FACTOR ** (claim.priority - highest) for claim in claims
    }


def choose_donations(
    claims: Collection[PoolClaim], instances: Collection[BusyInstance], total: int
) -> list[str]:
    """Return the ids of busy instances that should be emptied for other pools.

    These are instances of pools above their share, those with the least work first, as
    many as the pools below their share lack.
    """
    share_by_pool = share_instances(claims, total)
    lacking = 0
    surplus_by_pool: dict[str, int] = {}
    for claim in claims:
        share = share_by_pool[claim.pool]
        min_shift = max(MIN_SHIFT_INSTANCES, MIN_SHIFT_FRACTION * share)
        difference = claim.size - share
        if difference >= min_shift:
            surplus_by_pool[claim.pool] = math.floor(difference)
        elif -difference - claim.arriving >= min_shift:
            lacking += math.floor(-difference - claim.arriving)
    chosen: list[str] = []
    for instance in sorted(instances, key=lambda i: (i.work, i.instance_id)):
        if len(chosen) >= lacking:
            break
        if surplus_by_pool.get(instance.pool, 0) <= 0:
            continue
        surplus_by_pool[instance.pool] -= 1
        chosen.append(instance.instance_id)
    return chosen


def neediest_pool(claims: Collection[PoolClaim], total: int) -> str | None:
    """Return the pool that lacks most instances of its share, or None."""
    share_by_pool = share_instances(claims, total)
    lacking, pool = max(
        (
            (share_by_pool[claim.pool] - claim.size - claim.arriving, claim.pool)
            for claim in claims
        ),
        default=(0.0, None),
    )
    return pool if lacking >= 1.0 else None
