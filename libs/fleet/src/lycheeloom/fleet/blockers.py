"""Explains to operators what keeps an instance from maintenance."""

from __future__ import annotations

from . import events
from .step import StepContext
from .view import ENDED_STAGES


def describe_blocker(
    step: StepContext | None, instance: str, hold_until_s: float
) -> str:
    """Return a sentence about what keeps an instance from maintenance now."""
    if step is None or instance not in step.layout.location_by_instance:
        return f"Instance {instance} is not known."
    pool = step.layout.location_by_instance[instance][0]
    move = step.view.move_by_instance.get(instance)
    if move is not None and move.stage not in ENDED_STAGES:
        return events.describe(events.MoveAdvanced(instance, pool, move.stage))
    if step.budgets.is_out(instance):
        return f"Instance {instance} is out of service already."
    if step.assessment.too_many_silent:
        silent, total = (
            len(step.assessment.silent),
            len(step.layout.location_by_instance),
        )
        return events.describe(events.TooManySilent(silent, total))
    if step.now_s < hold_until_s:
        left_s = round(hold_until_s - step.now_s)
        return (
            f"Instance {instance} stays in service for now, because instances failed"
            f" together; maintenance waits {left_s} more seconds."
        )
    limit = step.budgets.blocking_limit(instance)
    if limit is not None:
        return events.describe(events.NotChosen(instance, pool, limit))
    return f"Nothing keeps instance {instance} from maintenance."
