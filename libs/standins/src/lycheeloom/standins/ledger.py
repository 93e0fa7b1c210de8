"""Evaluation of the ledger, the record of every task start at the worker stand-ins.

The stand-ins write the ledger, so its counts don't depend on the system under test.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any


def peak_concurrency(
    starts: Iterable[dict[str, Any]], key: str = "organisation"
) -> dict[str, int]:
    """Return the peak number of tasks running at the same time, per value of ``key``.

    ``starts`` are ledger entries of any number of workers in one process, so that
    their time stamps are from the same clock. A task that ends at the moment another
    one starts does not overlap it.

    >>> peak_concurrency([{"organisation": "red", "started_at": 1.0, "ended_at": None}])
    {'red': 1}
    """
    changes: list[tuple[float, int, str]] = []
    for start in starts:
        changes.append((start["started_at"], 1, start[key]))
        if start["ended_at"] is not None:
            changes.append((start["ended_at"], -1, start[key]))
    running: Counter[str] = Counter()
    peak: dict[str, int] = {}
    for _, change, name in sorted(changes):
        running[name] += change
        peak[name] = max(peak.get(name, 0), running[name])
    return peak
