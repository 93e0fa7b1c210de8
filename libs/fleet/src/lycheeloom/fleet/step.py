"""What one step of the planner works on."""

from __future__ import annotations

from dataclasses import dataclass, field

from .budgets import BudgetUsage, Layout
from .monitor import Assessment
from .view import FleetView, PlannedRecord, PlatformAction


@dataclass(slots=True)
class Step:
    """What one step works on and collects."""

    view: FleetView
    now_s: float
    layout: Layout
    ledger: BudgetUsage
    seen: Assessment
    out: frozenset[str]
    records: list[PlannedRecord] = field(default_factory=list)
    actions: list[PlatformAction] = field(default_factory=list)
