"""Plans pool changes that follow the configuration or provide buffers.

The home pool of an instance is the pool that the configuration names. An instance
leaves its home pool only to cover a need elsewhere. It returns once the buffers of
the other pools are sufficient without it.
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
# Interval between plans while the hourly limit allows no pool change.
IDLE_PLAN_INTERVAL_S = 60.0
# Rounds of ``plan_with_returns``; each of them plans the whole fleet again.
MAX_RETURN_ROUNDS = 6


class Rebalancer:
    """Plans pool changes over the whole fleet and limits their rate.

    ``plan`` is the newest plan.
    """

    def __init__(self, settings: PlannerSettings):
        self._settings = settings
        self._lost_instances = DebouncedSet(settings.settle_s)
        self._start_times_s: deque[float] = deque()
        self._moved_at_s: dict[str, float] = {}
        self._planned_s = float("-inf")
        self._plan_inputs: tuple | None = None
        self._planner: BufferPlanner | None = None
        self.plan = BufferPlan()

    def due_moves(
        self, view: FleetView, layout: Layout, not_serving: frozenset[str], now_s: float
    ) -> list[BufferMove]:
        """Return the pool changes that may start now, in the order of the plan.

        Instances that are in a move or in the cooldown of a pool change are left out.
        """
        self._drop_expired(now_s)
        pool_by_instance, moving_instances = _assignment(view, layout)
        # An instance that is out of service because of its own move is not lost.
        unusable = self._lost_instances.update(
            not_serving - moving_instances, now_s
        ) | _given_up(view)
        inputs = (view.config, pool_by_instance, unusable)
        may_start = self.may_start()
        # Planning takes up to half a second if many instances are away from their
        # home pools. While no move may start, plans only serve to report shortages, so
        # they are made at longer intervals.
        is_due = may_start or now_s - self._planned_s >= IDLE_PLAN_INTERVAL_S
        if is_due and not self._is_plan_current(inputs):
            self._planned_s = now_s
            if self._planner is None or self._planner.config is not view.config:
                self._planner = BufferPlanner(view.config)
            self.plan = plan_with_returns(self._planner, pool_by_instance, unusable)
            self._plan_inputs = inputs
        if not may_start:
            return []
        return [
            move
            for move in self.plan.moves
            if move.instance not in moving_instances
            and move.instance not in self._moved_at_s
        ]

    def may_start(self) -> bool:
        """Tell whether the hourly limit allows a further pool change."""
        return len(self._start_times_s) < self._settings.buffer_moves_per_hour

    def record_start(self, move: BufferMove, now_s: float) -> None:
        """Count a started pool change against the hourly limit; begin its cooldown."""
        self._start_times_s.append(now_s)
        self._moved_at_s[move.instance] = now_s

    def _drop_expired(self, now_s: float) -> None:
        while self._start_times_s and self._start_times_s[0] <= now_s - HOUR_S:
            self._start_times_s.popleft()
        oldest = now_s - self._settings.pool_change_cooldown_s
        for name in [name for name, at in self._moved_at_s.items() if at <= oldest]:
            del self._moved_at_s[name]

    def _is_plan_current(self, inputs: tuple) -> bool:
        last = self._plan_inputs
        return last is not None and last[0] is inputs[0] and last[1:] == inputs[1:]


def plan_with_returns(
    planner: BufferPlanner,
    pool_by_instance: Mapping[str, str],
    unusable: frozenset[str],
) -> BufferPlan:
    """Plan buffers and return instances to their home pools where possible.

    A plan made as if all instances were at home shows which of them are needed
    elsewhere. Those instances stay where they are, and the plan is made again. An
    instance returns only if its return makes no further move necessary. If no plan
    has been found after ``MAX_RETURN_ROUNDS``, no instance returns.
    """
    config = planner.config
    plan_without_returns = planner.plan(pool_by_instance, unusable)
    home_by_instance = {
        name: config.instance_by_id[name].pool
        for name, pool in pool_by_instance.items()
        if config.instance_by_id[name].pool != pool
    }
    for _ in range(MAX_RETURN_ROUNDS):
        if not home_by_instance:
            return plan_without_returns
        plan = planner.plan({**pool_by_instance, **home_by_instance}, unusable)
        staying_instances = _needed_elsewhere(
            plan, plan_without_returns, pool_by_instance, home_by_instance
        )
        if not staying_instances:
            returns = [
                BufferMove(name, pool_by_instance[name], home_by_instance[name])
                for name in home_by_instance
            ]
            return BufferPlan((*returns, *plan.moves), plan.shortages, plan.needs)
        for name in staying_instances:
            del home_by_instance[name]
    return plan_without_returns


def _needed_elsewhere(
    plan: BufferPlan,
    plan_without_returns: BufferPlan,
    pool_by_instance: Mapping[str, str],
    home_by_instance: Mapping[str, str],
) -> set[str]:
    """Return the instances that must not return home.

    These are the instances that the plan moves away from home again. If there are none
    but the plan takes more moves than the plan without returns, one returning instance
    stays for each move out of its home pool, preferably one that is in the target pool
    of the move already. If no returning instance fits a move, all of them stay.
    """
    staying_instances = {
        move.instance for move in plan.moves if move.instance in home_by_instance
    }
    if staying_instances or len(plan.moves) <= len(plan_without_returns.moves):
        return staying_instances
    for move in plan.moves:
        candidates = sorted(
            (pool_by_instance[name] != move.to_pool, name)
            for name, home in home_by_instance.items()
            if home == move.from_pool and name not in staying_instances
        )
        if candidates:
            staying_instances.add(candidates[0][1])
    return staying_instances or set(home_by_instance)


def _given_up(view: FleetView) -> frozenset[str]:
    return frozenset(
        name
        for name, state in view.health_by_instance.items()
        if state.health is Health.GIVEN_UP
    )


def _assignment(
    view: FleetView, layout: Layout
) -> tuple[dict[str, str], frozenset[str]]:
    """Return the pool of each instance after its open move, and who is moving."""
    pool_by_instance = {
        name: location[0] for name, location in layout.location_by_instance.items()
    }
    moving_instances = set()
    for name, move in view.move_by_instance.items():
        if move.stage not in ENDED_STAGES and name in pool_by_instance:
            pool_by_instance[name] = move.to_pool
            moving_instances.add(name)
    return pool_by_instance, frozenset(moving_instances)
