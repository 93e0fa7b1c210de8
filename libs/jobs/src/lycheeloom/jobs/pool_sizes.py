"""Decides which instances move between pools as demand changes."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from lycheeloom.model.resources import Resources

from .active_job import ActiveJob
from .model import Policy, Step
from .waves import PoolRoom

# A pool gets enough instances to finish its waiting work within this time, which is
# about the duration of a move.
BACKLOG_TARGET_S = 1.5
# A smaller backlog, in instance-seconds, does not cause moves.
MIN_BACKLOG_INSTANCE_S = 0.4
# An instance that has had no tasks for this long is switched off. Keeping it on for one
# second costs about as much as a move.
SWITCH_OFF_IDLE_S = 1.5
# Fraction of an instance that can be filled, as tasks of different sizes leave gaps.
PACKING_FRACTION = 0.85
# Fraction of a pool that must be free after an instance is taken away.
MIN_FREE_FRACTION = 0.25
# Reason of the moves to a pool of which the load is expected to rise.
FORECAST_REASON = "forecast"


@dataclass(frozen=True, slots=True)
class PoolInstance:
    """An instance that is up; ``idle_s`` is 0 while tasks run on it.

    An instance is not usable if no tasks may start on it because its zone is out of
    service or its worker is draining. An instance that another leader may recently
    have ordered to move may not be moved, but counts towards the size of its pool.
    """

    instance_id: str
    pool: str
    idle_s: float
    is_usable: bool = True
    may_move: bool = True
    # Idle time after which the instance is switched off.
    switch_off_idle_s: float = SWITCH_OFF_IDLE_S


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of a pool, measured in instances by its scarcest resource.

    ``backlog`` is in instance-seconds, ``offered_load`` in instance-seconds per
    second.
    """

    used: float
    backlog: float
    # Instances that are moving to the pool.
    arriving: int = 0
    # Instances needed to spread the tasks of steps that limit tasks per worker.
    min_instances: int = 1
    # The part of ``used`` that long-running tasks use.
    long_running_use: float = 0.0
    # Work submitted per second, as measured by ``PoolDemand``.
    offered_load: float = 0.0
    # Instances that the pool is expected to need shortly; 0 without a forecast.
    forecast: float = 0.0
    # The work of the pool lasts long enough for further instances to pay off.
    keeps_instances: bool = True

    @property
    def instances_to_keep_up(self) -> float:
        """Return how many instances the pool needs to keep up with submissions."""
        return self.long_running_use + self.offered_load / PACKING_FRACTION


@dataclass(frozen=True, slots=True)
class Move:
    """The move of an instance to another pool, with its reason.

    ``pool`` is the target. ``load`` and ``size`` (in instances) describe the pool that
    caused the move: the target with waiting work, or the one with an idle instance.
    """

    instance_id: str
    pool: str
    reason: str
    load: PoolLoad
    size: int


def keeps_instances(
    load: PoolLoad, size: int, remaining_s: float | None, move_s: float
) -> bool:
    """Return whether a pool would keep a further instance for longer than its move.

    ``remaining_s`` is how long work will still be submitted at the present rate; None
    if that is not known. The waiting work then keeps the pool busy for longer.
    """
    if remaining_s is None:
        return True
    busy_s = remaining_s + load.backlog / max(1, size + load.arriving)
    return busy_s > 2 * move_s


def room_of(load: PoolLoad, size: int, draining_long_running: int = 0) -> PoolRoom:
    """Return how many instances a pool of ``size`` usable instances can spare.

    Waiting work that fits into the pool, for example of jobs that wait for lists after
    a takeover, does not make it short of room.
    """
    waiting = 0.0
    if load.backlog >= MIN_BACKLOG_INSTANCE_S:
        waiting = load.backlog / BACKLOG_TARGET_S
    is_short = bool(waiting) and load.used + waiting > size * PACKING_FRACTION
    needed = max(load.used + waiting, load.instances_to_keep_up)
    needed = max(load.min_instances, load.forecast, needed / (1 - MIN_FREE_FRACTION))
    spare = 0 if is_short else max(0, math.floor(size - needed))
    return PoolRoom(size, spare, is_short, draining_long_running)


def backlog_by_pool(
    active_jobs: Iterable[ActiveJob],
    policy: Policy,
    capacity_by_pool: Mapping[str, Resources],
    now_ms: float,
) -> dict[str, float]:
    """Return the waiting work of each pool in instance-seconds.

    Long-running tasks count as if they ran for ``BACKLOG_TARGET_S``, so that tasks
    that fill one instance request one instance.
    """
    backlog: Counter[str] = Counter()
    for active_job in active_jobs:
        queue = policy.queue_by_name.get(active_job.job.queue)
        capacity = capacity_by_pool.get(queue.pool) if queue else None
        if queue is None or capacity is None:
            continue
        for _, step_tasks in active_job.startable_steps(now_ms):
            task_s = _instance_s(step_tasks.step, capacity)
            backlog[queue.pool] += task_s * len(step_tasks.waiting)
        unopened_occurrences = active_job.unopened_occurrences(now_ms)
        for step in active_job.job.steps:
            if step.after or not unopened_occurrences:
                continue
            task_s = _instance_s(step, capacity)
            backlog[queue.pool] += task_s * step.count * unopened_occurrences
    return dict(backlog)


def _instance_s(step: Step, capacity: Resources) -> float:
    """Return for how many seconds one task of a step would fill an instance."""
    run_s = BACKLOG_TARGET_S if step.long_running else step.estimated_ms / 1000
    return step.reservation.dominant_share(capacity) * run_s


def min_instances_by_pool(
    active_jobs: Iterable[ActiveJob], policy: Policy
) -> dict[str, int]:
    """Return how many workers each pool needs for steps that limit tasks per worker.

    The result contains only pools with such steps.
    """
    min_instances: dict[str, int] = {}
    for active_job in active_jobs:
        queue = policy.queue_by_name.get(active_job.job.queue)
        if queue is None:
            continue
        for step in active_job.job.steps:
            if not step.max_per_worker:
                continue
            needed = math.ceil(step.count / step.max_per_worker)
            min_instances[queue.pool] = max(min_instances.get(queue.pool, 1), needed)
    return min_instances


def choose_moves(
    instances: Collection[PoolInstance],
    load_by_pool: Mapping[str, PoolLoad],
    standby_pools: Collection[str],
) -> list[Move]:
    """Return moves into pools that need instances and moves of idle ones to standby.

    A pool that needs instances first gets those that are switched off, then idle
    instances of pools without waiting work. Switched-off instances are those of the
    ``standby_pools``; idle ones go to the first of these by name. What present needs
    leave goes to pools that are expected to need it.
    """
    movable = _MovableInstances(instances, load_by_pool, standby_pools)
    moves = _moves_into_pools(movable)
    moves += _moves_by_forecast(movable, moves)
    if standby_pools:
        moves += _moves_to_standby(movable, instances, sorted(standby_pools)[0])
    return moves


class _MovableInstances:
    """Instances that may be moved, and the pool sizes after the moves chosen so far."""

    def __init__(
        self,
        instances: Collection[PoolInstance],
        load_by_pool: Mapping[str, PoolLoad],
        standby_pools: Collection[str],
    ) -> None:
        usable = [instance for instance in instances if instance.is_usable]
        self.load_by_pool = load_by_pool
        self.standby_pools = standby_pools
        self.size_by_pool = Counter(instance.pool for instance in usable)
        # Instances that are switched off.
        self._standby = [
            instance
            for instance in usable
            if instance.may_move and instance.pool in standby_pools
        ]
        # Instances without tasks, of pools without waiting work; longest idle first.
        self.idle = [
            instance
            for instance in sorted(usable, key=lambda instance: -instance.idle_s)
            if instance.pool not in standby_pools
            and instance.may_move
            and instance.idle_s > 0
            and not self.load_of(instance.pool).backlog
        ]

    def load_of(self, pool: str) -> PoolLoad:
        return self.load_by_pool.get(pool, PoolLoad(0, 0))

    def take_instance(self, is_forecast: bool = False) -> PoolInstance | None:
        """Take an instance that is switched off or, if there is none, an idle one.

        Returns None if no pool can spare an instance. With ``is_forecast``, pools keep
        what their own forecasts need; a present need goes before these.
        """
        if self._standby:
            return self._standby.pop(0)
        for instance in self.idle:
            if self.release(instance, keeps_forecast=is_forecast):
                self.idle.remove(instance)
                return instance
        return None

    def release(self, instance: PoolInstance, keeps_forecast: bool = True) -> bool:
        """Subtract an instance from the size of its pool.

        Returns False, without a change, if the pool needs the instance, or is expected
        to need it and ``keeps_forecast`` is set.
        """
        pool = instance.pool
        load = self.load_of(pool)
        remaining_size = self.size_by_pool[pool] - 1
        used = max(load.used, load.instances_to_keep_up)
        if keeps_forecast and remaining_size < load.forecast:
            return False
        if remaining_size < load.min_instances or used > remaining_size * (
            1 - MIN_FREE_FRACTION
        ):
            return False
        self.size_by_pool[pool] = remaining_size
        return True


def _moves_into_pools(movable: _MovableInstances) -> list[Move]:
    moves: list[Move] = []
    pools_by_need = sorted(
        movable.load_by_pool.items(), key=lambda item: -item[1].backlog
    )
    for pool, load in pools_by_need:
        if pool in movable.standby_pools:
            continue
        size = movable.size_by_pool[pool]
        for _ in range(max(0, _missing_instances(load, size) - load.arriving)):
            source = movable.take_instance()
            if source is None:
                return moves
            moves.append(Move(source.instance_id, pool, "waiting work", load, size))
    return moves


def _moves_by_forecast(
    movable: _MovableInstances, present_moves: Collection[Move]
) -> list[Move]:
    """Return moves for expected needs, from what is left after ``present_moves``."""
    chosen = Counter(move.pool for move in present_moves)
    moves: list[Move] = []
    for pool, load in movable.load_by_pool.items():
        size = movable.size_by_pool[pool]
        missing = math.ceil(load.forecast) - size - load.arriving - chosen[pool]
        if pool in movable.standby_pools:
            continue
        for _ in range(max(0, missing)):
            source = movable.take_instance(is_forecast=True)
            if source is None:
                return moves
            moves.append(Move(source.instance_id, pool, FORECAST_REASON, load, size))
    return moves


def _missing_instances(load: PoolLoad, size: int) -> int:
    """Return how many more instances a pool of ``size`` instances needs.

    Instances that are already moving to the pool are not subtracted.
    """
    if not load.keeps_instances:
        return load.min_instances - size
    missing = max(load.min_instances, math.ceil(load.instances_to_keep_up)) - size
    if load.backlog >= MIN_BACKLOG_INSTANCE_S:
        missing = max(missing, math.ceil(load.backlog / BACKLOG_TARGET_S))
    return missing


def _moves_to_standby(
    movable: _MovableInstances, instances: Collection[PoolInstance], standby_pool: str
) -> list[Move]:
    unusable = [
        instance
        for instance in instances
        if not instance.is_usable
        and instance.may_move
        and instance.pool not in movable.standby_pools
    ]
    moves: list[Move] = []
    for instance in (*movable.idle, *unusable):
        # Without idle time, tasks may run, or the worker is draining.
        if not instance.idle_s or instance.idle_s < instance.switch_off_idle_s:
            continue
        pool = instance.pool
        size = movable.size_by_pool[pool]
        # Instances that are not usable do not count towards the size of their pool.
        if not instance.is_usable or movable.release(instance):
            load = movable.load_of(pool)
            moves.append(Move(instance.instance_id, standby_pool, "idle", load, size))
    return moves
