"""Scheduling decisions."""

from .budgets import HedgeBudget, RetryBudget
from .scheduler import Scheduler
from .tasks import (
    Accepted,
    Checkpoint,
    CheckpointReason,
    Decision,
    Expire,
    Held,
    OrganisationUsage,
    Outcome,
    Start,
    Task,
    Throttle,
    UsageReport,
)

__all__ = [
    "Accepted",
    "Checkpoint",
    "CheckpointReason",
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
