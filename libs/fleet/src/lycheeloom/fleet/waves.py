"""Which instance a maintenance wave takes next, and when it will end."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from math import ceil

from lycheeloom.model.records import MoveStage, WaveState

from .budgets import Layout, Ledger, Limit, LimitKind
from .view import Move, Wave

# Limits that no other instance of the same pool can get around.
_POOL_WIDE = frozenset({LimitKind.POOL, LimitKind.LAST_SPARE, LimitKind.NEED})


@dataclass(frozen=True, slots=True)
class Choice:
    """An instance that a wave takes, or leaves because of ``limit``."""

    instance: str
    limit: Limit | None = None


@dataclass(frozen=True, slots=True)
class Forecast:
    """How far a wave is; ``end_s`` is None while it cannot be foretold."""

    wave_id: str
    state: WaveState
    done: int
    total: int
    end_s: float | None


def covered_pools(wave: Wave, layout: Layout) -> list[str]:
    """Return the pools that a wave maintains; no pools means all."""
    names = wave.pools or layout.config.pool_by_id
    return [name for name in names if name in layout.config.pool_by_id]


def is_maintained(wave: Wave, move: Move | None) -> bool:
    """Tell whether an instance's last move did what the wave asks for.

    An instance that changes pools during a wave is rebooted on the way, so its
    last move alone tells.
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
    """Return the instances of a pool that a wave has yet to maintain."""
    return [
        name
        for name in layout.members_by_pool.get(pool, ())
        if name not in skipped and not is_maintained(wave, moves.get(name))
    ]


def choose(
    wave: Wave,
    layout: Layout,
    ledger: Ledger,
    moves: Mapping[str, Move],
    skipped: frozenset[str] = frozenset(),
) -> Iterator[Choice]:
    """Yield what a wave takes now; the caller counts each as out at once.

    Pools with the most rounds left go first, and within a pool the racks with
    the most instances left, because they decide how long the wave takes.
    """
    candidates = []
    for pool in covered_pools(wave, layout):
        if ledger.free_in_pool(pool) <= 0:
            continue
        left = remaining(wave, layout, moves, pool, skipped)
        serving = [name for name in left if not ledger.is_out(name)]
        if serving:
            budget = layout.config.pool_by_id[pool].max_unavailable
            candidates.append((-len(left) / budget, pool, serving))
    for _, _, serving in sorted(candidates):
        yield from _choose_in_pool(layout, ledger, serving)


def _choose_in_pool(
    layout: Layout, ledger: Ledger, names: Iterable[str]
) -> Iterator[Choice]:
    by_rack: dict[str, list[str]] = defaultdict(list)
    for name in names:
        by_rack[layout.place_by_instance[name][1]].append(name)
    while by_rack:
        rack = max(by_rack, key=lambda key: (len(by_rack[key]), key))
        name = by_rack[rack][-1]
        limit = ledger.blocking(name)
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
    wave: Wave, layout: Layout, moves: Mapping[str, Move], now_s: float, move_s: float
) -> Forecast:
    """Foretell the end of a wave from the budget that takes the most rounds."""
    pools = covered_pools(wave, layout)
    left_by_pool = {name: remaining(wave, layout, moves, name) for name in pools}
    total = sum(len(layout.members_by_pool.get(name, ())) for name in pools)
    left = sum(len(names) for names in left_by_pool.values())
    end_s = None
    if wave.state is WaveState.RUNNING:
        rounds = _rounds(layout, left_by_pool)
        end_s = None if rounds is None else now_s + rounds * move_s
    return Forecast(wave.wave_id, wave.state, total - left, total, end_s)


def _rounds(layout: Layout, left_by_pool: Mapping[str, list[str]]) -> int | None:
    """Return the rounds of the tightest budget, None if one allows nothing."""
    config = layout.config
    by_budget: dict[tuple[str, ...], int] = defaultdict(int)
    allowed: dict[tuple[str, ...], int] = {}
    for pool_id, names in left_by_pool.items():
        pool = config.pool_by_id[pool_id]
        for name in names:
            _, rack, zone_id = layout.place_by_instance[name]
            budgets = {
                ("pool", pool_id): pool.max_unavailable,
                ("rack", pool_id, rack): pool.max_unavailable_per_rack,
            }
            zone = config.zone_by_id.get(zone_id)
            if zone and zone.max_unavailable is not None:
                budgets["zone", zone_id] = zone.max_unavailable
            for key, budget in budgets.items():
                by_budget[key] += 1
                allowed[key] = budget
    rounds = 0
    for key, count in by_budget.items():
        if not allowed[key]:
            return None
        rounds = max(rounds, ceil(count / allowed[key]))
    return rounds
