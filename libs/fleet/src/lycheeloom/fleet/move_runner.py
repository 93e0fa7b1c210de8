"""Advances each open move by at most one stage or action per step."""

from __future__ import annotations

from collections.abc import Callable

from lycheeloom.model.records import MoveStage, MoveStep

from . import events
from .budgets import Limit
from .explanations import Explanations
from .monitor import HealthMonitor
from .moves import MoveDecision, MoveFacts, Wait, action_ids, advance
from .step import StepContext
from .timers import Timers
from .view import ENDED_STAGES, ActionStatus, FleetView, Move, PlannerSettings

# Weight of the newest duration in the moving average of move durations.
_MEAN_WEIGHT = 0.1


class MoveRunner:
    """Advances the open moves and averages how long moves take."""

    def __init__(
        self,
        settings: PlannerSettings,
        explanations: Explanations,
        monitor: HealthMonitor,
    ):
        self._monitor = monitor
        self.mean_move_s = settings.expected_move_s
        self._settings = settings
        self._explanations = explanations
        self._timers = Timers()
        self._started_by_instance: dict[str, tuple[str, float]] = {}
        self._abandoned_at_s: dict[str, float] = {}

    def advance_all(
        self, step: StepContext, abandon_reason: Callable[[StepContext, str, Move], str]
    ) -> None:
        """Add the next record or action of each open move to the step."""
        for name, move in step.view.move_by_instance.items():
            if (
                move.stage in ENDED_STAGES
                or name not in step.layout.location_by_instance
            ):
                continue
            limit = self._exceeded_limit(step, name, move)
            facts = self._facts(step, name, move, limit, abandon_reason)
            decision = advance(name, move, facts)
            self._apply(step, name, move, decision, limit)
        self._process_ended_moves(step)

    def recently_abandoned(self, now_s: float) -> frozenset[str]:
        """Return the instances whose last move was abandoned recently."""
        oldest = now_s - self._settings.abandoned_cooldown_s
        for name in [n for n, at in self._abandoned_at_s.items() if at <= oldest]:
            del self._abandoned_at_s[name]
        return frozenset(self._abandoned_at_s)

    def sweep(self) -> None:
        """Drop the timers of moves that are no longer open."""
        self._timers.sweep()

    def _exceeded_limit(self, step: StepContext, name: str, move: Move) -> Limit | None:
        """Return a limit that is exceeded with the instance itself counted as out.

        The limit is checked again before the drain, because the budgets may have
        changed while a slow log delayed the move.
        """
        if move.stage not in (MoveStage.PLANNED, MoveStage.DRAINING):
            return None
        if _is_out_anyway(step, name, move):
            return None
        to_pool = (
            ""
            if move.to_pool == step.layout.location_by_instance[name][0]
            else move.to_pool
        )
        return step.budgets.exceeded_limit(name, to_pool=to_pool)

    def _facts(
        self,
        step: StepContext,
        name: str,
        move: Move,
        limit: Limit | None,
        abandon_reason: Callable[[StepContext, str, Move], str],
    ) -> MoveFacts:
        view, settings = step.view, self._settings
        silent_s = 0.0
        # A drained instance is out of service too, but may still run tasks. Only
        # silence for longer than any lease proves that its tasks have ended.
        if name in step.assessment.silent:
            silent_s = self._timers.elapsed(("silent", name), step.now_s)
        abandon = abandon_reason(step, name, move)
        if not abandon and self._is_overdue(name, move, step.now_s):
            abandon = "its work neither ended nor was checkpointed in time"
        statuses, refused_for = self._statuses(view, move, step.now_s)
        return MoveFacts(
            statuses,
            view.running_by_instance.get(name),
            silent_s >= settings.dead_after_s,
            limit is None and view.is_list_current,
            abandon,
            refused_for,
            settings.retry_after_s,
            settings.max_attempts,
        )

    def _is_overdue(self, name: str, move: Move, now_s: float) -> bool:
        if move.stage not in (MoveStage.PLANNED, MoveStage.DRAINING):
            return False
        lasted_s = self._timers.elapsed((move.move_id, move.stage), now_s)
        return lasted_s >= self._settings.drain_limit_s

    def _statuses(
        self, view: FleetView, move: Move, now_s: float
    ) -> tuple[dict[str, ActionStatus], dict[str, float]]:
        """Return the statuses of a move's actions and the age of each refusal.

        An action that the platform accepted does not time out: it could still take
        effect after the move has ended.
        """
        statuses, refused_for = {}, {}
        for key in action_ids(move, self._settings.max_attempts):
            status = view.status_by_action.get(key)
            if status is None:
                continue
            if status is ActionStatus.REFUSED:
                refused_for[key] = self._timers.elapsed(("refused", key), now_s)
            statuses[key] = status
        return statuses, refused_for

    def _apply(
        self,
        step: StepContext,
        name: str,
        move: Move,
        decision: MoveDecision,
        limit: Limit | None,
    ) -> None:
        pool = step.layout.location_by_instance[name][0]
        if move.move_id != self._started_by_instance.get(name, ("", 0.0))[0]:
            self._started_by_instance[name] = (move.move_id, step.now_s)
        if decision.action is not None:
            step.actions.append(decision.action)
        if decision.stage is not None:
            self._record(step, name, move, decision, pool)
        elif decision.wait is not Wait.NOTHING:
            is_list_outdated = decision.wait is Wait.BUDGET and limit is None
            wait = Wait.INSTANCE_LIST if is_list_outdated else decision.wait
            waiting = events.MoveWaiting(name, pool, wait, limit)
            self._explanations.add(waiting, step.now_s)

    def _record(
        self,
        step: StepContext,
        name: str,
        move: Move,
        decision: MoveDecision,
        pool: str,
    ) -> None:
        step.records.append(
            MoveStep(
                name,
                move.move_id,
                decision.stage,
                step.view.duty_epoch,
                move.to_pool,
                move.reboot,
                decision.reason or move.reason,
            )
        )
        if decision.stage not in ENDED_STAGES:
            event = events.MoveAdvanced(name, pool, decision.stage)
            self._explanations.add(event, step.now_s)
            return
        if decision.stage is MoveStage.JOINED:
            pool = move.to_pool
        ended = events.MoveEnded(name, pool, decision.stage, decision.reason)
        self._explanations.add(ended, step.now_s)

    def _process_ended_moves(self, step: StepContext) -> None:
        """Process the moves that have ended since the last step."""
        for name, (move_id, started_s) in list(self._started_by_instance.items()):
            move = step.view.move_by_instance.get(name)
            if move is not None and move.move_id == move_id:
                if move.stage not in ENDED_STAGES:
                    continue
                if move.stage is MoveStage.ABANDONED:
                    self._abandoned_at_s[name] = step.now_s
                else:
                    lasted_s = step.now_s - started_s
                    self.mean_move_s += _MEAN_WEIGHT * (lasted_s - self.mean_move_s)
                # The return after the reboot must not count as flapping.
                self._monitor.forget_faults(name)
            del self._started_by_instance[name]


def _is_out_anyway(step: StepContext, name: str, move: Move) -> bool:
    """Tell whether the instance is out of service regardless of its move.

    An instance in a zone that operators took out of service does not count as
    such, because they may return the zone to service at any time.
    """
    if name in step.layout.out_of_service:
        return False
    state = step.view.health_by_instance.get(name)
    return (
        name in step.not_serving
        or move.move_id.startswith("repair.")
        and state is not None
    )
