"""Chooses the next instances of a maintenance wave to drain."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum

# Maintenance of all instances should have begun after this fraction of the wave's time
# limit.
BEGIN_FRACTION = 0.75
# Maximum instances of one pool that are unavailable at the same time while the wave is
# on schedule: tasks that may not share a worker need room on the other instances.
MAX_AWAY_PER_POOL = 1
# Largest part of a pool that is short of room to be away at the same time, unless the
# time left requires more. Half of a pool, which a wave covers, then takes three rounds.
MAX_SHORT_AWAY_FRACTION = 0.2
# Time from choosing an idle instance until it is back, without the maintenance itself:
# the record, the order and the age of the list of instances.
ROUND_OVERHEAD_S = 0.5
# Rounds of a kind from which its expected duration is taken.
ROUNDS_KEPT = 16
# Rounds of a kind after which its expected duration may fall below the assumed one.
MIN_ROUNDS_SEEN = 4
# Part of a round that may be missing from the time left: decisions are made every
# 0.1 s, so they come slightly after the time at which a wait ends.
ROUND_TOLERANCE = 0.1


class RoundKind(Enum):
    """What has to end on an instance before its maintenance."""

    IDLE = "idle"
    BUSY = "busy"
    LONG_RUNNING = "long_running"


@dataclass(frozen=True, slots=True)
class WaveInstance:
    """An instance of a wave whose maintenance has not begun."""

    instance_id: str
    pool: str
    # Number of runs on the instance, which would have to end or move.
    run_count: int
    # Fraction of the pool's CPU cores that is reserved.
    pool_cpu_use: float
    # The instance is switched off, so its maintenance disrupts no task.
    is_standby: bool
    # Long-running tasks run on the instance; they move as their budgets allow.
    has_long_running: bool = False
    # The instance is up and no order of another leader can still affect it.
    may_begin: bool = True

    @property
    def round_kind(self) -> RoundKind:
        """Return the kind of the round that maintaining the instance now would be."""
        if self.has_long_running:
            return RoundKind.LONG_RUNNING
        return RoundKind.BUSY if self.run_count else RoundKind.IDLE


@dataclass(frozen=True, slots=True)
class WaveTime:
    """Elapsed and allowed time of a wave, in seconds."""

    elapsed_s: float
    time_limit_s: float
    # Duration of a round: the time from choosing an instance until it is back in
    # service.
    round_s: float


def choose_next(
    pending: Collection[WaveInstance],
    away_by_pool: Mapping[str, int],
    max_unavailable: int,
    time: WaveTime,
) -> list[str]:
    """Return the ids of the instances to drain now, the least disruptive first.

    ``away_by_pool`` counts the instances that are being drained or maintained, and
    ``max_unavailable`` is the limit for all pools together. While the wave is on
    schedule, only one instance of a pool is unavailable at a time. In a late wave, more
    instances of a pool are, up to the limit.
    """
    allowed = max_unavailable - sum(away_by_pool.values())
    if allowed <= 0 or not pending:
        return []
    time_left_s = time.time_limit_s * BEGIN_FRACTION - time.elapsed_s
    rounds_left = max(1, math.floor(time_left_s / time.round_s))
    pending_by_pool = Counter(
        instance.pool for instance in pending if not instance.is_standby
    )
    chosen: list[str] = []
    away = Counter(away_by_pool)
    for instance in sorted(pending, key=_disruption):
        if len(chosen) >= allowed:
            break
        max_away = max(
            MAX_AWAY_PER_POOL, math.ceil(pending_by_pool[instance.pool] / rounds_left)
        )
        if not instance.is_standby and away[instance.pool] >= max_away:
            continue
        chosen.append(instance.instance_id)
        away[instance.pool] += 1
    return chosen


def _disruption(instance: WaveInstance) -> tuple[bool, float, int, str]:
    """Return a sort key that is lowest for the least disruptive instance."""
    return (
        not instance.is_standby,
        instance.pool_cpu_use,
        instance.run_count,
        instance.instance_id,
    )


@dataclass(frozen=True, slots=True)
class PoolRoom:
    """How many instances of a pool could be away.

    ``size`` counts the usable instances that are not being drained or maintained, and
    ``spare`` those of them that the pool can lose without work having to wait.
    """

    size: int = 0
    spare: int = 0
    # Work is waiting that does not fit.
    is_short: bool = False
    # Instances being drained that have long-running tasks.
    draining_long_running: int = 0


@dataclass(frozen=True, slots=True)
class WaveChoice:
    """The instances to drain now, and those that could begin but wait for their pool.

    ``reason_by_id`` holds why each instance is chosen, the least disruptive first:
    ``standby``, ``spare`` (the pool can spare it) or ``paced`` (it cannot, but the time
    left requires it or no other instance of the pool is away).
    """

    reason_by_id: Mapping[str, str]
    held_by_pool: Mapping[str, int]


class RoundTimes:
    """Expected durations of rounds, from those of the rounds that were seen.

    A round lasts from choosing an instance until it is back in service, in seconds.
    """

    def __init__(self, maintenance_s: float, drain_s: float) -> None:
        idle_s = maintenance_s + ROUND_OVERHEAD_S
        self._assumed_s_by_kind = {
            RoundKind.IDLE: idle_s,
            RoundKind.BUSY: idle_s + drain_s,
            RoundKind.LONG_RUNNING: idle_s + drain_s,
        }
        self._seen_s_by_kind: dict[RoundKind, deque[float]] = {
            kind: deque(maxlen=ROUNDS_KEPT) for kind in RoundKind
        }

    def note(self, kind: RoundKind, round_s: float) -> None:
        """Record the duration of a round that has ended."""
        self._seen_s_by_kind[kind].append(round_s)

    def expected_s(self, kind: RoundKind) -> float:
        """Return the longest of the recent rounds, the assumed one if few were seen."""
        seen_s = self._seen_s_by_kind[kind]
        longest_s = max(seen_s, default=0.0)
        if len(seen_s) >= MIN_ROUNDS_SEEN:
            return longest_s
        return max(longest_s, self._assumed_s_by_kind[kind])


class _GentlePlan:
    """The rounds that are needed for the instances left, and those that still fit.

    The plan ends one busy round before the time limit. This reserve is for takeovers,
    repeated orders and instances that move.
    """

    def __init__(
        self,
        pending: Collection[WaveInstance],
        max_unavailable: int,
        time: WaveTime,
        rounds: RoundTimes,
    ) -> None:
        self._rounds = rounds
        self._busy_s = rounds.expected_s(RoundKind.BUSY)
        self._time_left_s = time.time_limit_s - self._busy_s - time.elapsed_s
        self._rounds_of_wave = math.ceil(len(pending) / max(1, max_unavailable))
        self._count_by_pool = Counter(
            instance.pool for instance in pending if not instance.is_standby
        )
        self._long_running_count_by_pool = Counter(
            instance.pool for instance in pending if instance.has_long_running
        )

    @property
    def is_due(self) -> bool:
        """Return whether the time left is just enough for the instances left."""
        return self._time_left_s <= self._rounds_of_wave * self._busy_s

    def max_away(self, pool: str, room: PoolRoom) -> int:
        """Return how many instances of a pool have to be away; 0 if they can wait."""
        cap = max(1, math.floor(room.size * MAX_SHORT_AWAY_FRACTION))
        return self._pace(self._count_by_pool[pool], cap, self._busy_s)

    def max_long_running_away(self, pool: str) -> int:
        """Return the same for the instances of a pool with long-running tasks."""
        round_s = self._rounds.expected_s(RoundKind.LONG_RUNNING)
        return self._pace(self._long_running_count_by_pool[pool], 1, round_s)

    def _pace(self, count: int, cap: int, round_s: float) -> int:
        rounds_needed = max(math.ceil(count / cap), self._rounds_of_wave)
        if self._time_left_s > rounds_needed * round_s:
            return 0
        rounds_left = math.floor(self._time_left_s / round_s + ROUND_TOLERANCE)
        return math.ceil(count / max(1, rounds_left))


def is_wave_due(
    pending: Collection[WaveInstance],
    max_unavailable: int,
    time: WaveTime,
    rounds: RoundTimes,
) -> bool:
    """Return whether the time left is just enough for the pending instances.

    From then on, they should not be sent elsewhere.
    """
    return _GentlePlan(pending, max_unavailable, time, rounds).is_due


def choose_gently(
    pending: Collection[WaveInstance],
    room_by_pool: Mapping[str, PoolRoom],
    away_by_pool: Mapping[str, int],
    max_unavailable: int,
    time: WaveTime,
    rounds: RoundTimes,
) -> WaveChoice:
    """Return the instances to drain now, sparing the pools that are short of room.

    ``pending`` contains all instances that are neither away nor done, also those that
    may not begin now, as the remaining time is planned for them too. The other
    arguments are those of ``choose_next``. Instances that are switched off, or that
    their pool can spare, are chosen at once. The others wait while the time left is
    more than enough, and are then spread over it. A pool with enough room for its
    waiting work, but without instances to spare, has at least one instance away.
    """
    plan = _GentlePlan(pending, max_unavailable, time, rounds)
    allowed = max_unavailable - sum(away_by_pool.values())
    away = Counter(away_by_pool)
    spare = Counter({pool: room.spare for pool, room in room_by_pool.items()})
    long_running_away = Counter(
        {pool: room.draining_long_running for pool, room in room_by_pool.items()}
    )
    reason_by_id: dict[str, str] = {}
    held_by_pool: Counter[str] = Counter()
    for instance in sorted(pending, key=_gentle_disruption):
        pool = instance.pool
        room = room_by_pool.get(pool, PoolRoom())
        if not instance.may_begin or len(reason_by_id) >= allowed:
            continue
        reason = "standby"
        if not instance.is_standby:
            long_running_limit = plan.max_long_running_away(pool)
            if instance.has_long_running and long_running_away[pool] >= max(
                long_running_limit, MAX_AWAY_PER_POOL
            ):
                held_by_pool[pool] += 1
                continue
            max_away = max(
                plan.max_away(pool, room),
                long_running_limit if instance.has_long_running else 0,
                0 if room.is_short else MAX_AWAY_PER_POOL,
            )
            reason = "spare" if spare[pool] > 0 else "paced"
            if spare[pool] <= 0 and away[pool] >= max_away:
                held_by_pool[pool] += 1
                continue
        reason_by_id[instance.instance_id] = reason
        away[pool] += 1
        spare[pool] -= 1
        long_running_away[pool] += instance.has_long_running
    return WaveChoice(reason_by_id, held_by_pool)


def _gentle_disruption(instance: WaveInstance) -> tuple[bool, bool, bool, int, str]:
    """Return a sort key that is lowest for the least disruptive instance.

    Of the instances with tasks, those with long-running ones go first, as they take
    longest.
    """
    return (
        not instance.is_standby,
        instance.run_count > 0,
        not instance.has_long_running,
        instance.run_count,
        instance.instance_id,
    )
