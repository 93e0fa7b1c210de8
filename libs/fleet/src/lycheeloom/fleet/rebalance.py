"""Plans pool changes, for configuration changes and for buffers.

The home pool of an instance is the pool that the configuration names. An instance
leaves it only to cover a need elsewhere, and returns once the buffers hold
without it there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from lycheeloom.model.records import Health

from .budgets import Layout
from .buffers import BufferMove, BufferPlan, BufferPlanner
from .timers import DebouncedSet
from .view import ENDED_STAGES, FleetView, PlannerSettings

HOUR_S = 3600.0
IDLE_PLAN_INTERVAL_S = 60.0
# Each round plans the whole fleet again.
MAX_RETURN_ROUNDS = 6


class Rebalancer:
    """Plans pool changes over the whole fleet and limits their rate."""

    def __init__(self, settings: PlannerSettings):
        self._settings = settings
        self._lost = DebouncedSet(settings.settle_s)
        self._start_times_s: deque[float] = deque()
        self._moved_at_s: dict[str, float] = {}
        self._planned_s = float("-inf")
        self._plan_inputs: tuple | None = None
        self._planner: BufferPlanner | None = None
        self.plan = BufferPlan()

    def due_moves(
        self, view: FleetView, layout: Layout, not_serving: frozenset[str], now_s: float
    ) -> list[BufferMove]:
        """Return the pool changes that may start now, most urgent first."""
        self._drop_expired(now_s)
        assigned, moving = _assignment(view, layout)
        # An instance that is out of service for its move is not lost.
        unusable = self._lost.update(not_serving - moving, now_s) | _given_up(view)
        key = (view.config, assigned, unusable)
        may_start = self.may_start()
        # Planning takes up to half a second if many instances are away from their
        # home pools. While no move may start, a plan only reports shortages.
        is_due = may_start or now_s - self._planned_s >= IDLE_PLAN_INTERVAL_S
        if is_due and not self._is_plan_current(key):
            self._planned_s = now_s
            if self._planner is None or self._planner.config is not view.config:
                self._planner = BufferPlanner(view.config)
            self.plan = plan_with_returns(self._planner, assigned, unusable)
            self._plan_inputs = key
        if not may_start:
            return []
        return [
            move
            for move in self.plan.moves
            if move.instance not in moving and move.instance not in self._moved_at_s
        ]

    def may_start(self) -> bool:
        """Tell whether the hourly limit allows a further pool change."""
        return len(self._start_times_s) < self._settings.buffer_moves_per_hour

    def record_start(self, move: BufferMove, now_s: float) -> None:
        """Count a started change against the limit and begin its cooldown."""
        self._start_times_s.append(now_s)
        self._moved_at_s[move.instance] = now_s

    def _drop_expired(self, now_s: float) -> None:
        while self._start_times_s and self._start_times_s[0] <= now_s - HOUR_S:
            self._start_times_s.popleft()
        oldest = now_s - self._settings.pool_change_cooldown_s
        for name in [name for name, at in self._moved_at_s.items() if at <= oldest]:
            del self._moved_at_s[name]

    def _is_plan_current(self, key: tuple) -> bool:
        last = self._plan_inputs
        return last is not None and last[0] is key[0] and last[1:] == key[1:]


def plan_with_returns(
    planner: BufferPlanner, assigned: Mapping[str, str], unusable: frozenset[str]
) -> BufferPlan:
    """Plan buffers and return instances to their home pools where possible.

    A plan made as if all instances were at home shows which of them are needed
    elsewhere. Those stay, and the plan is made again. An instance returns only if
    that takes no further move.
    """
    config = planner.config
    unreturned = planner.plan(assigned, unusable)
    homes = {
        name: config.instance_by_id[name].pool
        for name, pool in assigned.items()
        if config.instance_by_id[name].pool != pool
    }
    for _ in range(MAX_RETURN_ROUNDS):
        if not homes:
            return unreturned
        plan = planner.plan({**assigned, **homes}, unusable)
        stay = _needed_elsewhere(plan, unreturned, assigned, homes)
        if not stay:
            returns = [BufferMove(name, assigned[name], homes[name]) for name in homes]
            return BufferPlan((*returns, *plan.moves), plan.shortages, plan.needs)
        for name in stay:
            del homes[name]
    return unreturned


def _needed_elsewhere(
    plan: BufferPlan,
    unreturned: BufferPlan,
    assigned: Mapping[str, str],
    homes: Mapping[str, str],
) -> set[str]:
    """Return the instances that should not return home under this plan."""
    stay = {move.instance for move in plan.moves if move.instance in homes}
    if stay or len(plan.moves) <= len(unreturned.moves):
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
    """Return the pool of each instance after the open moves, and who is moving."""
    assigned = {
        name: location[0] for name, location in layout.location_by_instance.items()
    }
    moving = set()
    for name, move in view.move_by_instance.items():
        if move.stage not in ENDED_STAGES and name in assigned:
            assigned[name] = move.to_pool
            moving.add(name)
    return assigned, frozenset(moving)
