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
    Outcome,
    Start,
    Task,
    TeamUsage,
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
    "TeamUsage",
    "Throttle",
    "UsageReport",
]
