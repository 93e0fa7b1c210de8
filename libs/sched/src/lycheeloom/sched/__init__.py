"""Decides which queued task an entry starts next, and on which worker."""

from .budgets import HedgeBudget, RetryBudget
from .scheduler import Scheduler
from .tasks import (
    Accepted,
    Checkpoint,
    Decision,
    Expire,
    Held,
    OrganisationUsage,
    Outcome,
    PreemptionReason,
    Start,
    Task,
    Throttle,
    UsageReport,
)

__all__ = [
    "Accepted",
    "Checkpoint",
    "PreemptionReason",
    "Decision",
    "Expire",
    "HedgeBudget",
    "Held",
    "Outcome",
    "RetryBudget",
    "Scheduler",
    "Start",
    "Task",
    "OrganisationUsage",
    "Throttle",
    "UsageReport",
]
