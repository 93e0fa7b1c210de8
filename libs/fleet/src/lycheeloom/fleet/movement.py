"""Advances every open move by at most one stage or action in a step."""

from __future__ import annotations

from collections.abc import Callable

from lycheeloom.model.records import MoveStage, MoveStep

from . import events
from .budgets import Limit
from .explanations import Explanations
from .monitor import HealthMonitor
from .moves import MoveDecision, MoveFacts, Wait, action_ids, advance
from .step import Step
from .timers import Timers
from .view import ENDED_STAGES, ActionStatus, FleetView, Move, PlannerSettings

# Weight of the newest duration in the mean time that a move takes.
_MEAN_WEIGHT = 0.1


class MoveRunner:
    """Runs the open moves and remembers how long they take."""

    def __init__(
        self,
        settings: PlannerSettings,
        explanations: Explanations,
        monitor: HealthMonitor,
    ):
        self._monitor = monitor
        self.move_s = settings.expected_move_s
        self._settings = settings
        self._explanations = explanations
        self._timers = Timers()
        self._begun_s: dict[str, tuple[str, float]] = {}
        self._abandoned_s: dict[str, float] = {}

    def advance_all(
        self, step: Step, abandon_reason: Callable[[Step, str, Move], str]
    ) -> None:
        """Add the next record or action of each open move to the step."""
        for name, move in step.view.move_by_instance.items():
            if (
                move.stage in ENDED_STAGES
                or name not in step.layout.location_by_instance
            ):
                continue
            limit = self._limit(step, name, move)
            facts = self._facts(step, name, move, limit, abandon_reason)
            decision = advance(name, move, facts)
            self._apply(step, name, move, decision, limit)
        self._note_ended(step)

    def recently_abandoned(self, now_s: float) -> frozenset[str]:
        """Return the instances whose last move failed a short time ago."""
        oldest = now_s - self._settings.abandoned_pause_s
        for name in [n for n, at in self._abandoned_s.items() if at <= oldest]:
            del self._abandoned_s[name]
        return frozenset(self._abandoned_s)

    def sweep(self) -> None:
        """Forget the times of moves that are no longer open."""
        self._timers.sweep()

    def _limit(self, step: Step, name: str, move: Move) -> Limit | None:
        """Return a limit that is exceeded; the move itself counts already.

        It is asked again before the drain, because the log may have been slow.
        """
        if move.stage not in (MoveStage.PLANNED, MoveStage.DRAINING):
            return None
        if _is_unplanned(step, name, move):
            return None
        covers = (
            ""
            if move.to_pool == step.layout.location_by_instance[name][0]
            else (move.to_pool)
        )
        return step.ledger.exceeded(name, covers=covers)

    def _facts(
        self,
        step: Step,
        name: str,
        move: Move,
        limit: Limit | None,
        abandon_reason: Callable[[Step, str, Move], str],
    ) -> MoveFacts:
        view, settings = step.view, self._settings
        silent_s = 0.0
        # A drained instance is out as well, but may still be running work; only
        # silence for longer than any lease proves that its work is over.
        if name in step.seen.silent:
            silent_s = self._timers.elapsed(("silent", name), step.now_s)
        abandon = abandon_reason(step, name, move)
        if not abandon and self._is_overdue(name, move, step.now_s):
            abandon = "its work neither ended nor was checkpointed in time"
        statuses, refused_for = self._statuses(view, move, step.now_s)
        return MoveFacts(
            statuses,
            view.running_by_instance.get(name),
            silent_s >= settings.dead_after_s,
            limit is None and view.listed,
            abandon,
            refused_for,
            settings.retry_after_s,
            settings.max_tries,
        )

    def _is_overdue(self, name: str, move: Move, now_s: float) -> bool:
        if move.stage not in (MoveStage.PLANNED, MoveStage.DRAINING):
            return False
        lasted_s = self._timers.elapsed((move.move_id, move.stage), now_s)
        return lasted_s >= self._settings.drain_limit_s

    def _statuses(
        self, view: FleetView, move: Move, now_s: float
    ) -> tuple[dict[str, ActionStatus], dict[str, float]]:
        """Return the statuses of a move's actions and the age of refusals.

        An action that the platform has accepted is waited for: if it were given
        up, it could still take effect after the move has ended.
        """
        statuses, refused_for = {}, {}
        for key in action_ids(move, self._settings.max_tries):
            status = view.status_by_action.get(key)
            if status is None:
                continue
            if status is ActionStatus.REFUSED:
                refused_for[key] = self._timers.elapsed(("refused", key), now_s)
            statuses[key] = status
        return statuses, refused_for

    def _apply(
        self,
        step: Step,
        name: str,
        move: Move,
        decision: MoveDecision,
        limit: Limit | None,
    ) -> None:
        pool = step.layout.location_by_instance[name][0]
        if move.move_id != self._begun_s.get(name, ("", 0.0))[0]:
            self._begun_s[name] = (move.move_id, step.now_s)
        if decision.action is not None:
            step.actions.append(decision.action)
        if decision.stage is not None:
            self._record(step, name, move, decision, pool)
        elif decision.wait is not Wait.NOTHING:
            is_blind = decision.wait is Wait.BUDGET and limit is None
            wait = Wait.LIST if is_blind else decision.wait
            waits = events.MoveWaits(name, pool, wait, limit)
            self._explanations.add(waits, step.now_s)

    def _record(
        self, step: Step, name: str, move: Move, decision: MoveDecision, pool: str
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

    def _note_ended(self, step: Step) -> None:
        """Learn durations from moves that have ended since the last step."""
        for name, (move_id, begun_s) in list(self._begun_s.items()):
            move = step.view.move_by_instance.get(name)
            if move is not None and move.move_id == move_id:
                if move.stage not in ENDED_STAGES:
                    continue
                if move.stage is MoveStage.ABANDONED:
                    self._abandoned_s[name] = step.now_s
                else:
                    lasted_s = step.now_s - begun_s
                    self.move_s += _MEAN_WEIGHT * (lasted_s - self.move_s)
                # The reboot itself must not look like an instance that flaps.
                self._monitor.forget(name)
            del self._begun_s[name]


def _is_unplanned(step: Step, name: str, move: Move) -> bool:
    """Tell whether the instance is out anyway, so that a move costs nothing.

    One whose zone operators took out is not: they may bring it back at any time.
    """
    if name in step.layout.out_of_service:
        return False
    state = step.view.health_by_instance.get(name)
    return name in step.out or move.move_id.startswith("repair.") and state is not None
