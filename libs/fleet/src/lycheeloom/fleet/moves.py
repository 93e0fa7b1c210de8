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
from functools import lru_cache

from lycheeloom.model.records import MoveStage

from .view import ActionKind, ActionStatus, Move, PlatformAction

# After this many refusals to return an instance the move ends and is reported.
MAX_RETURN_TRIES = 5


class Wait(StrEnum):
    """What a move waits for."""

    NOTHING = "nothing"
    BUDGET = "budget"
    LIST = "list"
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
    return _action_ids(move.move_id, move.stage, max_tries)


# More than the moves that the budgets of a fleet of 5,100 let be open at once.
@lru_cache(maxsize=4096)
def _action_ids(move_id: str, stage: MoveStage, max_tries: int) -> tuple[str, ...]:
    match stage:
        case MoveStage.PLANNED:
            return (action_id(move_id, MoveStage.DRAINING),)
        case MoveStage.DRAINING:
            drain = action_id(move_id, MoveStage.DRAINING)
            return (drain, *_tries(move_id, MoveStage.ABANDONED, MAX_RETURN_TRIES))
        case MoveStage.DRAINED:
            return _tries(move_id, MoveStage.JOINED, MAX_RETURN_TRIES)
        case MoveStage.REBOOTING:
            reboots = _tries(move_id, MoveStage.REBOOTING, max_tries)
            return (*reboots, *_tries(move_id, MoveStage.JOINED, MAX_RETURN_TRIES))
    return ()


def advance(instance: str, move: Move, facts: MoveFacts) -> MoveDecision:
    """Decide the next step of an open move."""
    step = _Step(instance, move, facts)
    if not step.is_informed():
        return MoveDecision(wait=Wait.PLATFORM)
    match move.stage:
        case MoveStage.PLANNED:
            return _advance_planned(step)
        case MoveStage.DRAINING:
            return _advance_draining(step)
        case MoveStage.DRAINED:
            return _advance_drained(step)
        case MoveStage.REBOOTING:
            return _advance_rebooting(step)
    return MoveDecision()


_ASKED_STAGES = {
    MoveStage.PLANNED: (MoveStage.DRAINING,),
    MoveStage.DRAINING: (MoveStage.DRAINING, MoveStage.ABANDONED),
    MoveStage.DRAINED: (MoveStage.JOINED,),
    MoveStage.REBOOTING: (MoveStage.REBOOTING, MoveStage.JOINED),
    MoveStage.JOINED: (),
    MoveStage.ABANDONED: (),
}


@dataclass(frozen=True, slots=True)
class _Step:
    instance: str
    move: Move
    facts: MoveFacts

    def is_informed(self) -> bool:
        """Tell whether the platform could be asked about the first tries.

        Without that, what an earlier holder did could be overlooked.
        """
        return all(
            self.name(stage) in self.facts.status_by_action
            for stage in _ASKED_STAGES[self.move.stage]
        )

    def name(self, stage: MoveStage, attempt: int = 1) -> str:
        return action_id(self.move.move_id, stage, attempt)

    def status(self, stage: MoveStage, attempt: int = 1) -> ActionStatus:
        name = self.name(stage, attempt)
        return self.facts.status_by_action.get(name, ActionStatus.UNKNOWN)

    def act(self, kind: ActionKind, stage: MoveStage, attempt: int = 1) -> MoveDecision:
        name = self.name(stage, attempt)
        return MoveDecision(action=PlatformAction(self.instance, kind, name))

    def refused_recently(self, stage: MoveStage, attempt: int) -> bool:
        since = self.facts.refused_for_s.get(self.name(stage, attempt), 0.0)
        return since < self.facts.retry_after_s


def _advance_planned(step: _Step) -> MoveDecision:
    """Start a move, unless its ids were used before.

    A slow log can deliver a second copy of a plan after the move has ended.
    Its action ids would have no effect, so it must not be started again.
    """
    facts = step.facts
    if step.status(MoveStage.DRAINING) is not ActionStatus.UNKNOWN:
        reason = "it is a late copy of a move that has ended"
        return MoveDecision(MoveStage.ABANDONED, reason=reason)
    if facts.abandon:
        return MoveDecision(MoveStage.ABANDONED, reason=facts.abandon)
    if not facts.may_start:
        return MoveDecision(wait=Wait.BUDGET)
    return MoveDecision(MoveStage.DRAINING)


def _advance_draining(step: _Step) -> MoveDecision:
    """Drain, wait until work ended, or return the instance.

    A move that is abandoned before its drain uses up the drain's id for an
    undrain: a copy of the drain that is still under way then finds its id known
    and cannot drain the instance after the move has ended.
    """
    facts = step.facts
    drain = step.status(MoveStage.DRAINING)
    if step.status(MoveStage.ABANDONED) is not ActionStatus.UNKNOWN:
        # Another holder has begun to return the instance; only that can go on.
        reason = facts.abandon or "an earlier controller began to return it"
        return _return(step, MoveStage.ABANDONED, reason)
    if drain is ActionStatus.UNKNOWN:
        if facts.abandon:
            return step.act(ActionKind.UNDRAIN, MoveStage.DRAINING)
        if not facts.may_start:
            return MoveDecision(wait=Wait.BUDGET)
        return step.act(ActionKind.DRAIN, MoveStage.DRAINING)
    if facts.abandon:
        return _return(step, MoveStage.ABANDONED, facts.abandon)
    if facts.dead:
        return MoveDecision(MoveStage.DRAINED)
    if drain is ActionStatus.REFUSED:
        reason = "the platform refused to drain it"
        return _return(step, MoveStage.ABANDONED, reason)
    if drain is ActionStatus.RUNNING:
        return MoveDecision(wait=Wait.PLATFORM)
    if not facts.is_idle:
        return MoveDecision(wait=Wait.COUNT if facts.running is None else Wait.WORK)
    return MoveDecision(MoveStage.DRAINED)


def _advance_drained(step: _Step) -> MoveDecision:
    if not step.move.reboot:
        return _return(step, MoveStage.JOINED)
    if not step.facts.is_idle:
        return MoveDecision(wait=Wait.WORK)
    return MoveDecision(MoveStage.REBOOTING)


def _advance_rebooting(step: _Step) -> MoveDecision:
    if step.status(MoveStage.JOINED) is not ActionStatus.UNKNOWN:
        return _return(step, MoveStage.JOINED, _unrebooted(step))
    for attempt in range(1, step.facts.max_tries + 1):
        match step.status(MoveStage.REBOOTING, attempt):
            case ActionStatus.DONE:
                return _return(step, MoveStage.JOINED)
            case ActionStatus.RUNNING:
                return MoveDecision(wait=Wait.PLATFORM)
            case ActionStatus.UNKNOWN if not step.facts.is_idle:
                # Work that slipped in must not be lost to the reboot.
                return MoveDecision(wait=Wait.WORK)
            case ActionStatus.UNKNOWN:
                return step.act(ActionKind.REBOOT, MoveStage.REBOOTING, attempt)
        if step.refused_recently(MoveStage.REBOOTING, attempt):
            return MoveDecision(wait=Wait.RETRY)
    return _return(step, MoveStage.JOINED, _unrebooted(step))


def _unrebooted(step: _Step) -> str:
    tries = range(1, step.facts.max_tries + 1)
    statuses = {step.status(MoveStage.REBOOTING, attempt) for attempt in tries}
    if statuses == {ActionStatus.REFUSED}:
        return "the platform refused to reboot it"
    return ""


def _return(step: _Step, end: MoveStage, reason: str = "") -> MoveDecision:
    """Ask the platform to return the instance, then record the end."""
    for attempt in range(1, MAX_RETURN_TRIES + 1):
        match step.status(end, attempt):
            case ActionStatus.DONE:
                return MoveDecision(end, reason=reason)
            case ActionStatus.RUNNING:
                return MoveDecision(wait=Wait.PLATFORM)
            case ActionStatus.UNKNOWN:
                return step.act(ActionKind.UNDRAIN, end, attempt)
        if step.refused_recently(end, attempt):
            return MoveDecision(wait=Wait.RETRY)
    return MoveDecision(end, reason="the platform refused to return it to service")


def _tries(move_id: str, stage: MoveStage, count: int) -> tuple[str, ...]:
    return tuple(action_id(move_id, stage, number + 1) for number in range(count))
