"""Decides which instances move between pools as demand rises and falls."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from lycheeloom.model.resources import Resources

from .model import Policy
from .work import JobWork

# Work that waits is to be done within this time; a move takes about as long.
BACKLOG_S = 1.5
# Less waiting work than this, in instance-seconds, moves nothing.
MIN_BACKLOG = 0.4
# An instance without work for this long is switched off. Being on for one second
# costs about as much as a move.
PARK_IDLE_S = 1.5
# Part of an instance that tasks of different sizes fill.
FILLED_PART = 0.85
# Part of a pool that has to stay free after an instance is switched off.
FREE_MARGIN = 0.25


@dataclass(frozen=True, slots=True)
class PoolInstance:
    """An instance that is up; ``idle_s`` is 0 while tasks run on it."""

    instance_id: str
    pool: str
    idle_s: float


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Use of a pool in instances' worth of its scarcest resource."""

    used: float
    waiting: float
    # Instances on their way to the pool.
    arriving: int = 0
    # Instances that tasks which avoid each other need.
    least: int = 1
    # Use by long-running tasks alone.
    lasting: float = 0.0
    # Work that comes in each second.
    offered: float = 0.0

    @property
    def kept_up(self) -> float:
        """Return the instances that keep up with the work that comes in."""
        return self.lasting + self.offered / FILLED_PART


@dataclass(frozen=True, slots=True)
class Move:
    """An instance that goes to another pool, and why.

    ``load`` and ``size`` are those of the pool that the reason concerns: the one
    with waiting work, or the one with an idle instance.
    """

    instance_id: str
    pool: str
    reason: str
    load: PoolLoad
    size: int


def waiting_by_pool(
    works: Iterable[JobWork],
    policy: Policy,
    capacity_by_pool: Mapping[str, Resources],
    now_ms: float,
) -> dict[str, float]:
    """Return the instance-seconds of work that waits in each pool.

    Long-running tasks count as if they ran for ``BACKLOG_S``, so that one
    instance is asked for when they fill one.
    """
    waiting: Counter[str] = Counter()
    for work in works:
        queue = policy.queue_by_name.get(work.job.queue)
        capacity = capacity_by_pool.get(queue.pool) if queue else None
        if queue is None or capacity is None:
            continue
        for _, step_work in work.startable_steps(now_ms):
            step = step_work.step
            run_s = BACKLOG_S if step.long_running else step.estimated_ms / 1000
            share = step.need.dominant_share(capacity)
            waiting[queue.pool] += share * run_s * len(step_work.waiting)
    return dict(waiting)


def least_by_pool(works: Iterable[JobWork], policy: Policy) -> dict[str, int]:
    """Return how many workers the steps that spread their tasks need."""
    least: dict[str, int] = {}
    for work in works:
        queue = policy.queue_by_name.get(work.job.queue)
        if queue is None:
            continue
        for step in work.job.steps:
            if not step.max_per_worker:
                continue
            needed = math.ceil(step.count / step.max_per_worker)
            least[queue.pool] = max(least.get(queue.pool, 1), needed)
    return least


def choose_moves(
    instances: Collection[PoolInstance],
    load_by_pool: Mapping[str, PoolLoad],
    standby_pools: Collection[str],
) -> list[Move]:
    """Return moves into pools with waiting work, and of idle instances out.

    Instances that are switched off go first; idle ones of pools without waiting
    work follow.
    """
    moves: list[Move] = []
    spare = [i for i in instances if i.pool in standby_pools]
    size_by_pool = Counter(i.pool for i in instances)
    idle = [
        i
        for i in sorted(instances, key=lambda i: -i.idle_s)
        if i.pool not in standby_pools
        and i.idle_s > 0
        and not load_by_pool.get(i.pool, PoolLoad(0, 0)).waiting
    ]
    by_need = sorted(load_by_pool.items(), key=lambda item: -item[1].waiting)
    for pool, load in by_need:
        if pool in standby_pools:
            continue
        least = max(load.least, math.ceil(load.kept_up))
        wanted = least - size_by_pool[pool]
        if load.waiting >= MIN_BACKLOG:
            wanted = max(wanted, math.ceil(load.waiting / BACKLOG_S))
        for _ in range(max(0, wanted - load.arriving)):
            source = _take_first(spare) or _take_idle(idle, load_by_pool, size_by_pool)
            if source is None:
                break
            move = Move(
                source.instance_id, pool, "work waits", load, size_by_pool[pool]
            )
            moves.append(move)
    if not standby_pools:
        return moves
    off_pool = sorted(standby_pools)[0]
    for instance in idle:
        if instance.idle_s < PARK_IDLE_S:
            continue
        pool = instance.pool
        if not _can_spare(pool, load_by_pool, size_by_pool):
            continue
        load = load_by_pool.get(pool, PoolLoad(0, 0))
        moves.append(
            Move(instance.instance_id, off_pool, "idle", load, size_by_pool[pool])
        )
        size_by_pool[pool] -= 1
    return moves


def _take_first(spare: list[PoolInstance]) -> PoolInstance | None:
    return spare.pop(0) if spare else None


def _take_idle(
    idle: list[PoolInstance],
    load_by_pool: Mapping[str, PoolLoad],
    size_by_pool: Counter[str],
) -> PoolInstance | None:
    for instance in idle:
        if _can_spare(instance.pool, load_by_pool, size_by_pool):
            idle.remove(instance)
            size_by_pool[instance.pool] -= 1
            return instance
    return None


def _can_spare(
    pool: str, load_by_pool: Mapping[str, PoolLoad], size_by_pool: Counter[str]
) -> bool:
    load = load_by_pool.get(pool, PoolLoad(0, 0))
    left = size_by_pool[pool] - 1
    used = max(load.used, load.kept_up)
    return left >= load.least and used <= left * (1 - FREE_MARGIN)
