"""Answers to operators about the last step of the planner."""

from __future__ import annotations

from . import events
from .step import Step
from .view import ENDED_STAGES


def why_not(step: Step | None, instance: str, hold_until_s: float) -> str:
    """Say what keeps an instance from maintenance now, in a sentence."""
    if step is None or instance not in step.layout.location_by_instance:
        return f"Instance {instance} is not known."
    pool = step.layout.location_by_instance[instance][0]
    move = step.view.move_by_instance.get(instance)
    if move is not None and move.stage not in ENDED_STAGES:
        return events.describe(events.MoveAdvanced(instance, pool, move.stage))
    if step.ledger.is_out(instance):
        return f"Instance {instance} is out of service already."
    if step.seen.doubted:
        silent, total = len(step.seen.silent), len(step.layout.location_by_instance)
        return events.describe(events.ObserverDoubted(silent, total))
    if step.now_s < hold_until_s:
        left_s = round(hold_until_s - step.now_s)
        return (
            f"Instance {instance} stays in service for now, because instances failed"
            f" together; maintenance waits {left_s} more seconds."
        )
    limit = step.ledger.blocking_limit(instance)
    if limit is not None:
        return events.describe(events.NotChosen(instance, pool, limit))
    return f"Nothing keeps instance {instance} from maintenance."
