"""Measures the scheduler and the baseline policies under the same load."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from lycheeloom.model.config import FleetConfig
from lycheeloom.sched import Scheduler

from .baselines import EqualSplit, FirstComeFirstServed
from .entries import SchedulingPolicy

ENTRIES = 3
Result = TypeVar("Result")


def schedulers(config: FleetConfig, seed: int) -> list[SchedulingPolicy]:
    """Return a scheduler for each entry."""
    return [Scheduler(config, seed * 100 + n) for n in range(ENTRIES)]


def compare(
    config: FleetConfig,
    seed: int,
    measure: Callable[[list[SchedulingPolicy], bool], Result],
) -> tuple[Result, Result, Result]:
    """Measure the scheduler, first come first served and equal split, in this order.

    ``measure(policies, coordinated)`` is called with one policy for each entry.
    Coordinated entries tell each other their usage; only the schedulers do so.
    """
    scheduler = measure(schedulers(config, seed), True)
    first_come = measure([FirstComeFirstServed(config) for _ in range(ENTRIES)], False)
    equal_split_policies = [
        EqualSplit(config, seed * 100 + n, n, ENTRIES) for n in range(ENTRIES)
    ]
    return scheduler, first_come, measure(equal_split_policies, False)
