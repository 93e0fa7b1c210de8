"""Runs the scheduler and the simple policies on the same load."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from lycheeloom.model.config import FleetConfig
from lycheeloom.sched import Scheduler

from .baselines import EqualSplit, FirstComeFirstServed
from .entries import Policy

ENTRIES = 3
Result = TypeVar("Result")


def schedulers(config: FleetConfig, seed: int) -> list[Policy]:
    """Return a scheduler for each entry."""
    return [Scheduler(config, seed * 100 + n) for n in range(ENTRIES)]


def compare(
    config: FleetConfig, seed: int, measure: Callable[[list[Policy], bool], Result]
) -> tuple[Result, Result, Result]:
    """Measure the scheduler, first come first served and equal split, in this order.

    ``measure(policies, coordinated)`` gets a policy for each entry; entries that
    are coordinated tell each other their usage.
    """
    ours = measure(schedulers(config, seed), True)
    first = measure([FirstComeFirstServed(config) for _ in range(ENTRIES)], False)
    split = [EqualSplit(config, seed * 100 + n, n, ENTRIES) for n in range(ENTRIES)]
    return ours, first, measure(split, False)
