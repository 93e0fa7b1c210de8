"""The context of one planner step."""

from __future__ import annotations

from dataclasses import dataclass, field

from .budgets import BudgetUsage, Layout
from .monitor import Assessment
from .view import FleetView, PlannedRecord, PlatformAction


@dataclass(slots=True)
class StepContext:
    """The inputs of one planner step and the records and actions it collects.

    ``not_serving`` holds the instances that are observed to be unavailable or
    silent, or whose zone operators took out of service.
    """

    view: FleetView
    now_s: float
    layout: Layout
    budgets: BudgetUsage
    assessment: Assessment
    not_serving: frozenset[str]
    records: list[PlannedRecord] = field(default_factory=list)
    actions: list[PlatformAction] = field(default_factory=list)
