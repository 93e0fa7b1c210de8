"""Maintenance and buffer planning."""

from .explanations import Explanation, Explanations
from .monitor import HealthMonitor, MonitorSettings
from .planner import Planner
from .repair import RepairSettings
from .view import (
    ActionKind,
    ActionStatus,
    FleetView,
    HealthState,
    Move,
    Plan,
    PlannedRecord,
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
    "HealthMonitor",
    "HealthState",
    "MonitorSettings",
    "Move",
    "Plan",
    "PlannedRecord",
    "Planner",
    "PlannerSettings",
    "PlatformAction",
    "RepairSettings",
    "Wave",
]
