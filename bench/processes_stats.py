"""Percentiles and linear fits of measurements."""

from __future__ import annotations

import math
import os
import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fit:
    """A straight line through measured points."""

    slope: float
    base: float
    # Largest vertical distance of a measured point from the line.
    largest_error: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the least-squares line through at least 3 different sizes.

    ``fit_line([1, 2, 3], [3, 5, 7])`` gives slope 2 and base 1.
    """
    if len(set(sizes)) < 3:
        raise ValueError(f"a fit needs at least 3 sizes, got {sorted(set(sizes))}")
    slope, base = statistics.linear_regression(sizes, values)
    errors = (
        abs(value - base - slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    return Fit(slope, base, max(errors))


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the smallest measured value that ``percent`` % do not exceed."""
    if not values:
        return math.nan
    rank = max(1, math.ceil(len(values) * percent / 100))
    return sorted(values)[rank - 1]


def summary_ms(values_s: Sequence[float]) -> dict[str, float]:
    """Return count, p50, p99 and maximum of durations, in milliseconds."""
    return {
        "count": len(values_s),
        "p50_ms": round(percentile(values_s, 50) * 1000, 2),
        "p99_ms": round(percentile(values_s, 99) * 1000, 2),
        "max_ms": round(max(values_s, default=math.nan) * 1000, 2),
    }


def machine_load() -> float:
    """Return the machine's load average of the last minute."""
    return round(os.getloadavg()[0], 1)
