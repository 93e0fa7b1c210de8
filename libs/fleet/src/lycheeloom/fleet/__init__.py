"""Maintenance and buffer planning."""

from .explanations import Explanation, Explanations
from .planner import Planner
from .view import (
    ActionKind,
    ActionStatus,
    FleetView,
    HealthState,
    Move,
    Plan,
    PlannerSettings,
    PlatformAction,
    Wave,
)

__all__ = [
    "ActionKind",
    "ActionStatus",
    "Explanation",
    "Explanations",
    "FleetView",
    "HealthState",
    "Move",
    "Plan",
    "Planner",
    "PlannerSettings",
    "PlatformAction",
    "Wave",
]
