"""Selects the next instances of a maintenance wave and forecasts its end."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from math import ceil, inf
from types import MappingProxyType

from lycheeloom.model.records import Health, MoveStage, WaveState

from .budgets import BudgetUsage, Layout, Limit, LimitKind
from .view import HealthState, Move, Wave

# Limits that block every instance of the pool.
_POOL_WIDE = frozenset({LimitKind.POOL, LimitKind.LAST_SPARE, LimitKind.NEED})


@dataclass(frozen=True, slots=True)
class Choice:
    """An instance that a wave takes, or that ``limit`` keeps in service."""

    instance: str
    limit: Limit | None = None


@dataclass(frozen=True, slots=True)
class Forecast:
    """The progress of a wave; ``end_s`` is None while no forecast is possible."""

    wave_id: str
    state: WaveState
    done: int
    total: int
    end_s: float | None


def covered_pools(wave: Wave, layout: Layout) -> list[str]:
    """Return the pools that a wave covers; an empty ``pools`` means all."""
    names = wave.pools or layout.config.pool_by_id
    return [name for name in names if name in layout.config.pool_by_id]


def is_maintained(wave: Wave, move: Move | None) -> bool:
    """Tell whether the wave has maintained an instance, by its last move.

    An instance that changes pools during a wave is rebooted in the same move, so
    the last move alone is decisive.
    """
    if move is None or move.stage is not MoveStage.JOINED:
        return False
    return move.changed_at > wave.started_at and (move.reboot or not wave.reboot)


def remaining(
    wave: Wave,
    layout: Layout,
    moves: Mapping[str, Move],
    pool: str,
    skipped: frozenset[str] = frozenset(),
) -> list[str]:
    """Return the instances of a pool that the wave has not maintained yet."""
    return [
        name
        for name in layout.members_by_pool.get(pool, ())
        if name not in skipped and not is_maintained(wave, moves.get(name))
    ]


def given_up_instances(health_by_instance: Mapping[str, HealthState]) -> frozenset[str]:
    """Return the instances that repair gave up, which waves do not wait for."""
    return frozenset(
        name
        for name, state in health_by_instance.items()
        if state.health is Health.GIVEN_UP
    )


def choose_instances(
    wave: Wave,
    layout: Layout,
    budgets: BudgetUsage,
    moves: Mapping[str, Move],
    skipped: frozenset[str] = frozenset(),
) -> Iterator[Choice]:
    """Yield the instances that a wave takes now and those that a limit blocks.

    The caller must count each taken instance as out of service before it asks for
    the next one. Pools with the most rounds left come first, and within a pool the
    racks with the most instances left, as they determine the length of the wave.
    """
    pools = [
        p for p in covered_pools(wave, layout) if budgets.remaining_pool_budget(p) > 0
    ]
    for serving in _candidates(pools, wave, layout, budgets, moves, skipped):
        yield from _choose_in_pool(layout, budgets, serving)


def first_blocked(
    wave: Wave,
    layout: Layout,
    budgets: BudgetUsage,
    moves: Mapping[str, Move],
    skipped: frozenset[str] = frozenset(),
) -> Choice | None:
    """Return the first instance that a limit blocks.

    None if the wave may take an instance now or has none left to take.
    """
    first = None
    pools = covered_pools(wave, layout)
    for serving in _candidates(pools, wave, layout, budgets, moves, skipped):
        for choice in _choose_in_pool(layout, budgets, serving):
            if choice.limit is None:
                return None
            first = first or choice
    return first


def _candidates(
    pools: Iterable[str],
    wave: Wave,
    layout: Layout,
    budgets: BudgetUsage,
    moves: Mapping[str, Move],
    skipped: frozenset[str],
) -> list[list[str]]:
    """Return, for each pool, the instances in service yet to be maintained."""
    candidates = []
    for pool in pools:
        left = remaining(wave, layout, moves, pool, skipped)
        serving = [name for name in left if not budgets.is_out(name)]
        if serving:
            budget = layout.config.pool_by_id[pool].max_unavailable
            rounds = len(left) / budget if budget else inf
            candidates.append((-rounds, pool, serving))
    return [serving for _, _, serving in sorted(candidates)]


def _choose_in_pool(
    layout: Layout, budgets: BudgetUsage, names: Iterable[str]
) -> Iterator[Choice]:
    by_rack: dict[str, list[str]] = defaultdict(list)
    for name in names:
        by_rack[layout.location_by_instance[name][1]].append(name)
    while by_rack:
        rack = max(by_rack, key=lambda key: (len(by_rack[key]), key))
        name = by_rack[rack][-1]
        limit = budgets.blocking_limit(name)
        yield Choice(name, limit)
        if limit is None:
            by_rack[rack].pop()
            if not by_rack[rack]:
                del by_rack[rack]
            continue
        if limit.kind in _POOL_WIDE:
            return
        del by_rack[rack]


def forecast(
    wave: Wave,
    layout: Layout,
    moves: Mapping[str, Move],
    now_s: float,
    move_s: float,
    skipped: frozenset[str] = frozenset(),
    remaining_fraction_by_instance: Mapping[str, float] = MappingProxyType({}),
) -> Forecast:
    """Forecast the end of a wave from the budget that needs the most rounds.

    ``remaining_fraction_by_instance`` gives the fraction of a move's duration that
    the open move of an instance still takes; all others count as whole moves.
    """
    pools = covered_pools(wave, layout)
    left_by_pool = {
        name: remaining(wave, layout, moves, name, skipped) for name in pools
    }
    total = sum(len(layout.members_by_pool.get(name, ())) for name in pools)
    left = sum(len(names) for names in left_by_pool.values())
    end_s = None
    if wave.state is WaveState.RUNNING:
        rounds = _rounds_needed(layout, left_by_pool, remaining_fraction_by_instance)
        end_s = None if rounds is None else now_s + rounds * move_s
    return Forecast(wave.wave_id, wave.state, total - left, total, end_s)


def _rounds_needed(
    layout: Layout,
    left_by_pool: Mapping[str, list[str]],
    remaining_fraction_by_instance: Mapping[str, float],
) -> float | None:
    """Return the rounds that the tightest budget needs, None if one allows 0."""
    config = layout.config
    by_zone: dict[str, list[str]] = defaultdict(list)
    groups: list[tuple[list[str], int]] = []
    for pool_id, names in left_by_pool.items():
        pool = config.pool_by_id[pool_id]
        by_rack: dict[str, list[str]] = defaultdict(list)
        for name in names:
            _, rack, zone = layout.location_by_instance[name]
            by_rack[rack].append(name)
            by_zone[zone].append(name)
        groups.append((names, pool.max_unavailable))
        groups += [(found, pool.max_unavailable_per_rack) for found in by_rack.values()]
    for zone_id, names in by_zone.items():
        zone = config.zone_by_id.get(zone_id)
        if zone and zone.max_unavailable is not None:
            groups.append((names, zone.max_unavailable))
    groups = [(names, budget) for names, budget in groups if names]
    if not all(budget for _, budget in groups):
        return None
    return max(
        (
            _rounds_within_budget(names, budget, remaining_fraction_by_instance)
            for names, budget in groups
        ),
        default=0,
    )


def _rounds_within_budget(
    names: list[str], budget: int, remaining_fraction_by_instance: Mapping[str, float]
) -> float:
    """Return the rounds that one budget needs; a round in progress counts in part."""
    rounds = ceil(len(names) / budget)
    current = [
        remaining_fraction_by_instance[name]
        for name in names
        if name in remaining_fraction_by_instance
    ]
    return rounds - 1 + sum(current) / len(current) if current else rounds
