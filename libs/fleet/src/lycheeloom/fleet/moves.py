"""The stages of one move and what each of them waits for.

A stage is recorded before the platform is asked to act on it, and the platform
has acted on it before the next stage is recorded. So a controller that is
killed anywhere leaves a move that any other controller can continue, and an
ended move leaves nothing to be done. The platform is asked to return a drained
instance before ``joined`` or ``abandoned`` is recorded; until then entries see
an open move and start nothing there.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from lycheeloom.model.records import MoveStage

from .view import ActionKind, ActionStatus, Move, PlatformAction

# After this many refusals to return an instance the move ends and is reported.
MAX_RETURN_TRIES = 5


class Wait(StrEnum):
    """What a move waits for."""

    NOTHING = "nothing"
    BUDGET = "budget"
    PLATFORM = "platform"
    WORK = "work"
    COUNT = "count"
    RETRY = "retry"


@dataclass(frozen=True, slots=True)
class MoveFacts:
    """What is known about an instance in a move.

    ``running`` is None where the number of running tasks is not known.
    ``dead`` means silent for longer than any task lease lasts. ``may_start``
    means that the budgets have room. ``abandon`` is why the move should end
    early, empty if it should not. ``refused_for_s`` gives for a refused action
    how long ago that was first seen.
    """

    status_by_action: Mapping[str, ActionStatus]
    running: int | None = None
    dead: bool = False
    may_start: bool = True
    abandon: str = ""
    refused_for_s: Mapping[str, float] = field(default_factory=dict)
    retry_after_s: float = 30.0
    max_tries: int = 3

    @property
    def is_idle(self) -> bool:
        """Tell whether no work can be running any more."""
        return self.dead or self.running == 0


@dataclass(frozen=True, slots=True)
class MoveDecision:
    """The next stage to record or the next action, or what is waited for."""

    stage: MoveStage | None = None
    action: PlatformAction | None = None
    wait: Wait = Wait.NOTHING
    reason: str = ""


def action_id(move_id: str, stage: MoveStage, attempt: int = 1) -> str:
    """Derive the action id of a stage; a refused action is retried anew."""
    base = f"{move_id}.{stage}"
    return base if attempt == 1 else f"{base}.{attempt}"


def action_ids(move: Move, max_tries: int) -> tuple[str, ...]:
    """Return the action ids whose status matters for an open move."""
    if move.stage is MoveStage.PLANNED or not move.is_open:
        return ()
    ids = [action_id(move.move_id, MoveStage.DRAINING)]
    if move.stage is MoveStage.REBOOTING:
        ids += _tries(move, MoveStage.REBOOTING, max_tries)
    if move.stage is not MoveStage.DRAINING:
        ids += _tries(move, MoveStage.JOINED, MAX_RETURN_TRIES)
    return (*ids, *_tries(move, MoveStage.ABANDONED, MAX_RETURN_TRIES))


def advance(move: Move, facts: MoveFacts) -> MoveDecision:
    """Decide the next step of an open move."""
    if move.stage is MoveStage.PLANNED:
        return _advance_planned(facts)
    if _was_asked(move, MoveStage.ABANDONED, facts):
        # Another holder has begun to return the instance; only that can go on.
        return _return(move, MoveStage.ABANDONED, facts)
    if _was_asked(move, MoveStage.JOINED, facts):
        return _return(move, MoveStage.JOINED, facts)
    match move.stage:
        case MoveStage.DRAINING:
            return _advance_draining(move, facts)
        case MoveStage.DRAINED:
            return _advance_drained(move, facts)
        case MoveStage.REBOOTING:
            return _advance_rebooting(move, facts)
    return MoveDecision()


def _advance_planned(facts: MoveFacts) -> MoveDecision:
    if facts.abandon:
        return MoveDecision(MoveStage.ABANDONED, reason=facts.abandon)
    if not facts.may_start:
        return MoveDecision(wait=Wait.BUDGET)
    return MoveDecision(MoveStage.DRAINING)


def _advance_draining(move: Move, facts: MoveFacts) -> MoveDecision:
    status = _status(facts, action_id(move.move_id, MoveStage.DRAINING))
    if facts.abandon or status is ActionStatus.REFUSED:
        return _return(move, MoveStage.ABANDONED, facts)
    if status is ActionStatus.UNKNOWN and not facts.dead:
        return MoveDecision(
            action=_action(move, ActionKind.DRAIN, MoveStage.DRAINING, 1)
        )
    if status is ActionStatus.RUNNING and not facts.dead:
        return MoveDecision(wait=Wait.PLATFORM)
    if not facts.is_idle:
        return MoveDecision(wait=Wait.COUNT if facts.running is None else Wait.WORK)
    return MoveDecision(MoveStage.DRAINED)


def _advance_drained(move: Move, facts: MoveFacts) -> MoveDecision:
    if facts.abandon:
        return _return(move, MoveStage.ABANDONED, facts)
    if not move.reboot:
        return _return(move, MoveStage.JOINED, facts)
    if not facts.is_idle:
        return MoveDecision(wait=Wait.WORK)
    return MoveDecision(MoveStage.REBOOTING)


def _advance_rebooting(move: Move, facts: MoveFacts) -> MoveDecision:
    for attempt in range(1, facts.max_tries + 1):
        name = action_id(move.move_id, MoveStage.REBOOTING, attempt)
        status = _status(facts, name)
        if status is ActionStatus.DONE:
            return _return(move, MoveStage.JOINED, facts)
        if status is ActionStatus.RUNNING:
            return MoveDecision(wait=Wait.PLATFORM)
        if status is ActionStatus.REFUSED:
            if _refused_recently(facts, name):
                return MoveDecision(wait=Wait.RETRY)
            continue
        if not facts.is_idle:
            # Work that slipped in must not be lost to the reboot.
            return MoveDecision(wait=Wait.WORK)
        return MoveDecision(
            action=_action(move, ActionKind.REBOOT, MoveStage.REBOOTING, attempt)
        )
    return _return(move, MoveStage.ABANDONED, facts)


def _return(move: Move, end: MoveStage, facts: MoveFacts) -> MoveDecision:
    """Ask the platform to return the instance, then record the end."""
    reason = _abandon_reason(move, facts) if end is MoveStage.ABANDONED else ""
    for attempt in range(1, MAX_RETURN_TRIES + 1):
        name = action_id(move.move_id, end, attempt)
        status = _status(facts, name)
        if status is ActionStatus.DONE:
            return MoveDecision(end, reason=reason)
        if status is ActionStatus.RUNNING:
            return MoveDecision(wait=Wait.PLATFORM)
        if status is ActionStatus.UNKNOWN:
            return MoveDecision(action=_action(move, ActionKind.UNDRAIN, end, attempt))
        if _refused_recently(facts, name):
            return MoveDecision(wait=Wait.RETRY)
    return MoveDecision(
        MoveStage.ABANDONED, reason="the platform refused to return the instance"
    )


def _abandon_reason(move: Move, facts: MoveFacts) -> str:
    if facts.abandon:
        return facts.abandon
    drain = _status(facts, action_id(move.move_id, MoveStage.DRAINING))
    if drain is ActionStatus.REFUSED:
        return "the platform refused to drain the instance"
    if move.stage is MoveStage.REBOOTING:
        return "the platform refused to reboot the instance"
    return "an earlier controller began to return the instance"


def _was_asked(move: Move, end: MoveStage, facts: MoveFacts) -> bool:
    status = _status(facts, action_id(move.move_id, end))
    return status is not ActionStatus.UNKNOWN


def _refused_recently(facts: MoveFacts, name: str) -> bool:
    return facts.refused_for_s.get(name, 0.0) < facts.retry_after_s


def _status(facts: MoveFacts, name: str) -> ActionStatus:
    return facts.status_by_action.get(name, ActionStatus.UNKNOWN)


def _tries(move: Move, stage: MoveStage, count: int) -> list[str]:
    return [action_id(move.move_id, stage, number + 1) for number in range(count)]


def _action(
    move: Move, kind: ActionKind, stage: MoveStage, attempt: int
) -> PlatformAction:
    return PlatformAction(move.instance, kind, action_id(move.move_id, stage, attempt))
