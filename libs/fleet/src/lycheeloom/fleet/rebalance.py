"""Which instances change pools now: configured changes and buffers.

The configured pool of an instance is where it belongs. It leaves that pool
only to cover a need, and goes back once the buffers hold without it there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from lycheeloom.model.records import Health

from .budgets import Layout
from .buffers import BufferMove, BufferPlan, BufferPlanner
from .timers import SettledSet
from .view import ENDED_STAGES, FleetView, PlannerSettings

HOUR_S = 3600.0
IDLE_PLAN_INTERVAL_S = 60.0
# Each round plans the whole fleet again.
MAX_HOME_ROUNDS = 6


class Rebalancer:
    """Plans pool changes over the whole fleet and limits their rate."""

    def __init__(self, settings: PlannerSettings):
        self._settings = settings
        self._lost = SettledSet(settings.settle_s)
        self._started_s: deque[float] = deque()
        self._moved_s: dict[str, float] = {}
        self._planned_s = float("-inf")
        self._cache_key: tuple | None = None
        self._planner: BufferPlanner | None = None
        self.plan = BufferPlan()

    def wanted(
        self, view: FleetView, layout: Layout, out: frozenset[str], now_s: float
    ) -> list[BufferMove]:
        """Return the pool changes that may start now, the most urgent first."""
        self._forget_old(now_s)
        assigned, pinned = _assignment(view, layout)
        # An instance that is out because it moves is not lost.
        unusable = self._lost.update(out - pinned, now_s) | _given_up(view)
        key = (view.config, assigned, unusable)
        has_room = self.may_start()
        # A plan for a fleet in disorder takes up to half a second; while none of
        # its moves may start, it only tells of shortages.
        is_due = has_room or now_s - self._planned_s >= IDLE_PLAN_INTERVAL_S
        if is_due and not self._is_cached(key):
            self._planned_s = now_s
            if self._planner is None or self._planner.config is not view.config:
                self._planner = BufferPlanner(view.config)
            self.plan = plan_with_returns(self._planner, assigned, unusable)
            self._cache_key = key
        if not has_room:
            return []
        return [
            move
            for move in self.plan.moves
            if move.instance not in pinned and move.instance not in self._moved_s
        ]

    def may_start(self) -> bool:
        """Tell whether the hourly rate has room for a further change."""
        return len(self._started_s) < self._settings.buffer_moves_per_hour

    def started(self, move: BufferMove, now_s: float) -> None:
        """Count a change that was started; the instance then stays for a while."""
        self._started_s.append(now_s)
        self._moved_s[move.instance] = now_s

    def _forget_old(self, now_s: float) -> None:
        while self._started_s and self._started_s[0] <= now_s - HOUR_S:
            self._started_s.popleft()
        oldest = now_s - self._settings.dwell_s
        for name in [name for name, at in self._moved_s.items() if at <= oldest]:
            del self._moved_s[name]

    def _is_cached(self, key: tuple) -> bool:
        last = self._cache_key
        return last is not None and last[0] is key[0] and last[1:] == key[1:]


def plan_with_returns(
    planner: BufferPlanner, assigned: Mapping[str, str], unusable: frozenset[str]
) -> BufferPlan:
    """Plan buffers, sending instances home where that costs no further move.

    A plan made as if all were at home shows who is missed elsewhere; those
    stay where they are, and the plan is made again.
    """
    config = planner.config
    kept = planner.plan(assigned, unusable)
    homes = {
        name: config.instance_by_id[name].pool
        for name, pool in assigned.items()
        if config.instance_by_id[name].pool != pool
    }
    for _ in range(MAX_HOME_ROUNDS):
        if not homes:
            return kept
        plan = planner.plan({**assigned, **homes}, unusable)
        stay = _missed_elsewhere(plan, kept, assigned, homes)
        if not stay:
            going = [BufferMove(name, assigned[name], homes[name]) for name in homes]
            return BufferPlan((*going, *plan.moves), plan.shortages, plan.needs)
        for name in stay:
            del homes[name]
    return kept


def _missed_elsewhere(
    plan: BufferPlan,
    kept: BufferPlan,
    assigned: Mapping[str, str],
    homes: Mapping[str, str],
) -> set[str]:
    """Return the instances that should not go home under this plan."""
    stay = {move.instance for move in plan.moves if move.instance in homes}
    if stay or len(plan.moves) <= len(kept.moves):
        return stay
    for move in plan.moves:
        candidates = sorted(
            (assigned[name] != move.to_pool, name)
            for name, home in homes.items()
            if home == move.from_pool and name not in stay
        )
        if candidates:
            stay.add(candidates[0][1])
    return stay or set(homes)


def _given_up(view: FleetView) -> frozenset[str]:
    return frozenset(
        name
        for name, state in view.health_by_instance.items()
        if state.health is Health.GIVEN_UP
    )


def _assignment(
    view: FleetView, layout: Layout
) -> tuple[dict[str, str], frozenset[str]]:
    """Return the pools as they will be after the open moves, and who moves."""
    assigned = {name: place[0] for name, place in layout.location_by_instance.items()}
    moving = set()
    for name, move in view.move_by_instance.items():
        if move.stage not in ENDED_STAGES and name in assigned:
            assigned[name] = move.to_pool
            moving.add(name)
    return assigned, frozenset(moving)
