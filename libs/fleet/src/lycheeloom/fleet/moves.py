"""The state machine of one move.

A stage is recorded before the platform is asked to carry it out, and the next
stage is recorded only once the platform has done so. If a controller is killed at
any point, another one can therefore continue the move, and a move that has ended
needs no further action. The platform is asked to return a drained instance to
service before ``joined`` or ``abandoned`` is recorded; until then entries see an
open move and start nothing on the instance.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from functools import lru_cache

from lycheeloom.model.records import MoveStage

from .view import ActionKind, ActionStatus, Move, PlatformAction

# A move ends and is reported once the platform has refused this often to return
# its instance to service.
MAX_RETURN_ATTEMPTS = 5


class Wait(StrEnum):
    """What a move waits for."""

    NOTHING = "nothing"
    BUDGET = "budget"
    INSTANCE_LIST = "list"
    PLATFORM = "platform"
    RUNNING_TASKS = "work"
    TASK_COUNT = "count"
    RETRY = "retry"


@dataclass(frozen=True, slots=True)
class MoveFacts:
    """The observations that decide the next step of a move.

    ``running`` is the number of running tasks, None if it is not known.
    ``is_dead`` means silent for longer than any task lease lasts. ``may_start``
    means that the budgets allow the move. ``abandon_reason`` says why the move
    should end early and is empty if it should not. ``refused_for_s`` gives the
    seconds since the refusal of an action was first seen, by action id.
    """

    status_by_action: Mapping[str, ActionStatus]
    running: int | None = None
    is_dead: bool = False
    may_start: bool = True
    abandon_reason: str = ""
    refused_for_s: Mapping[str, float] = field(default_factory=dict)
    retry_after_s: float = 30.0
    max_attempts: int = 3

    @property
    def is_idle(self) -> bool:
        """Tell whether no task can still be running."""
        return self.is_dead or self.running == 0


@dataclass(frozen=True, slots=True)
class MoveDecision:
    """The next stage to record, the next action to request, or what to wait for."""

    stage: MoveStage | None = None
    action: PlatformAction | None = None
    wait: Wait = Wait.NOTHING
    reason: str = ""


def action_id(move_id: str, stage: MoveStage, attempt: int = 1) -> str:
    """Return the action id of a stage; each retry after a refusal has its own id."""
    base = f"{move_id}.{stage}"
    return base if attempt == 1 else f"{base}.{attempt}"


def action_ids(move: Move, max_attempts: int) -> tuple[str, ...]:
    """Return the action ids whose status decides the next step of an open move."""
    return _action_ids(move.move_id, move.stage, max_attempts)


# More entries than the moves that the budgets of 5,100 instances allow at once.
@lru_cache(maxsize=4096)
def _action_ids(move_id: str, stage: MoveStage, max_attempts: int) -> tuple[str, ...]:
    match stage:
        case MoveStage.PLANNED:
            return (action_id(move_id, MoveStage.DRAINING),)
        case MoveStage.DRAINING:
            drain = action_id(move_id, MoveStage.DRAINING)
            return (
                drain,
                *_attempt_ids(move_id, MoveStage.ABANDONED, MAX_RETURN_ATTEMPTS),
            )
        case MoveStage.DRAINED:
            return _attempt_ids(move_id, MoveStage.JOINED, MAX_RETURN_ATTEMPTS)
        case MoveStage.REBOOTING:
            reboots = _attempt_ids(move_id, MoveStage.REBOOTING, max_attempts)
            return (
                *reboots,
                *_attempt_ids(move_id, MoveStage.JOINED, MAX_RETURN_ATTEMPTS),
            )
    return ()


def advance(instance: str, move: Move, facts: MoveFacts) -> MoveDecision:
    """Decide the next step of an open move."""
    open_move = _OpenMove(instance, move, facts)
    if not open_move.has_action_statuses():
        return MoveDecision(wait=Wait.PLATFORM)
    match move.stage:
        case MoveStage.PLANNED:
            return _advance_planned(open_move)
        case MoveStage.DRAINING:
            return _advance_draining(open_move)
        case MoveStage.DRAINED:
            return _advance_drained(open_move)
        case MoveStage.REBOOTING:
            return _advance_rebooting(open_move)
    return MoveDecision()


_REQUIRED_STATUSES = {
    MoveStage.PLANNED: (MoveStage.DRAINING,),
    MoveStage.DRAINING: (MoveStage.DRAINING, MoveStage.ABANDONED),
    MoveStage.DRAINED: (MoveStage.JOINED,),
    MoveStage.REBOOTING: (MoveStage.REBOOTING, MoveStage.JOINED),
    MoveStage.JOINED: (),
    MoveStage.ABANDONED: (),
}


@dataclass(frozen=True, slots=True)
class _OpenMove:
    instance: str
    move: Move
    facts: MoveFacts

    def has_action_statuses(self) -> bool:
        """Tell whether the status of each first attempt is known.

        Without it, actions of an earlier controller could be overlooked.
        """
        return all(
            self.action_id_for(stage) in self.facts.status_by_action
            for stage in _REQUIRED_STATUSES[self.move.stage]
        )

    def action_id_for(self, stage: MoveStage, attempt: int = 1) -> str:
        return action_id(self.move.move_id, stage, attempt)

    def status(self, stage: MoveStage, attempt: int = 1) -> ActionStatus:
        key = self.action_id_for(stage, attempt)
        return self.facts.status_by_action.get(key, ActionStatus.UNKNOWN)

    def request_action(
        self, kind: ActionKind, stage: MoveStage, attempt: int = 1
    ) -> MoveDecision:
        key = self.action_id_for(stage, attempt)
        return MoveDecision(action=PlatformAction(self.instance, kind, key))

    def refused_recently(self, stage: MoveStage, attempt: int) -> bool:
        elapsed_s = self.facts.refused_for_s.get(
            self.action_id_for(stage, attempt), 0.0
        )
        return elapsed_s < self.facts.retry_after_s


def _advance_planned(open_move: _OpenMove) -> MoveDecision:
    """Start a move, unless its action ids were used before.

    A slow log can deliver a second copy of a plan after the move has ended. The
    platform would ignore its action ids, so the move must not start again.
    """
    facts = open_move.facts
    if open_move.status(MoveStage.DRAINING) is not ActionStatus.UNKNOWN:
        reason = "it is a late copy of a move that has ended"
        return MoveDecision(MoveStage.ABANDONED, reason=reason)
    if facts.abandon_reason:
        return MoveDecision(MoveStage.ABANDONED, reason=facts.abandon_reason)
    if not facts.may_start:
        return MoveDecision(wait=Wait.BUDGET)
    return MoveDecision(MoveStage.DRAINING)


def _advance_draining(open_move: _OpenMove) -> MoveDecision:
    """Drain the instance, wait for its tasks to end, or return it to service.

    A move that is abandoned before its drain requests an undrain under the id of
    the drain. A delayed copy of the drain request then has a known id and cannot
    drain the instance after the move has ended.
    """
    facts = open_move.facts
    drain = open_move.status(MoveStage.DRAINING)
    if open_move.status(MoveStage.ABANDONED) is not ActionStatus.UNKNOWN:
        # An earlier controller has requested the return, which must be completed.
        reason = facts.abandon_reason or "an earlier controller began to return it"
        return _return_to_service(open_move, MoveStage.ABANDONED, reason)
    if drain is ActionStatus.UNKNOWN:
        if facts.abandon_reason:
            return open_move.request_action(ActionKind.UNDRAIN, MoveStage.DRAINING)
        if not facts.may_start:
            return MoveDecision(wait=Wait.BUDGET)
        return open_move.request_action(ActionKind.DRAIN, MoveStage.DRAINING)
    if facts.abandon_reason:
        return _return_to_service(open_move, MoveStage.ABANDONED, facts.abandon_reason)
    if facts.is_dead:
        return MoveDecision(MoveStage.DRAINED)
    if drain is ActionStatus.REFUSED:
        reason = "the platform refused to drain it"
        return _return_to_service(open_move, MoveStage.ABANDONED, reason)
    if drain is ActionStatus.RUNNING:
        return MoveDecision(wait=Wait.PLATFORM)
    if not facts.is_idle:
        return MoveDecision(
            wait=Wait.TASK_COUNT if facts.running is None else Wait.RUNNING_TASKS
        )
    return MoveDecision(MoveStage.DRAINED)


def _advance_drained(open_move: _OpenMove) -> MoveDecision:
    if not open_move.move.reboot:
        return _return_to_service(open_move, MoveStage.JOINED)
    if not open_move.facts.is_idle:
        return MoveDecision(wait=Wait.RUNNING_TASKS)
    return MoveDecision(MoveStage.REBOOTING)


def _advance_rebooting(open_move: _OpenMove) -> MoveDecision:
    if open_move.status(MoveStage.JOINED) is not ActionStatus.UNKNOWN:
        return _return_to_service(
            open_move, MoveStage.JOINED, _skipped_reboot_reason(open_move)
        )
    for attempt in range(1, open_move.facts.max_attempts + 1):
        match open_move.status(MoveStage.REBOOTING, attempt):
            case ActionStatus.DONE:
                return _return_to_service(open_move, MoveStage.JOINED)
            case ActionStatus.RUNNING:
                return MoveDecision(wait=Wait.PLATFORM)
            case ActionStatus.UNKNOWN if not open_move.facts.is_idle:
                # A task that started after the drain must not be lost.
                return MoveDecision(wait=Wait.RUNNING_TASKS)
            case ActionStatus.UNKNOWN:
                return open_move.request_action(
                    ActionKind.REBOOT, MoveStage.REBOOTING, attempt
                )
        if open_move.refused_recently(MoveStage.REBOOTING, attempt):
            return MoveDecision(wait=Wait.RETRY)
    return _return_to_service(
        open_move, MoveStage.JOINED, _skipped_reboot_reason(open_move)
    )


def _skipped_reboot_reason(open_move: _OpenMove) -> str:
    attempts = range(1, open_move.facts.max_attempts + 1)
    statuses = {open_move.status(MoveStage.REBOOTING, attempt) for attempt in attempts}
    if statuses == {ActionStatus.REFUSED}:
        return "the platform refused to reboot it"
    return ""


def _return_to_service(
    open_move: _OpenMove, end: MoveStage, reason: str = ""
) -> MoveDecision:
    """Have the platform return the instance to service, then record the end."""
    for attempt in range(1, MAX_RETURN_ATTEMPTS + 1):
        match open_move.status(end, attempt):
            case ActionStatus.DONE:
                return MoveDecision(end, reason=reason)
            case ActionStatus.RUNNING:
                return MoveDecision(wait=Wait.PLATFORM)
            case ActionStatus.UNKNOWN:
                return open_move.request_action(ActionKind.UNDRAIN, end, attempt)
        if open_move.refused_recently(end, attempt):
            return MoveDecision(wait=Wait.RETRY)
    return MoveDecision(end, reason="the platform refused to return it to service")


def _attempt_ids(move_id: str, stage: MoveStage, count: int) -> tuple[str, ...]:
    return tuple(action_id(move_id, stage, number + 1) for number in range(count))
