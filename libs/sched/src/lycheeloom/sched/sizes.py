"""Corrects the sizes and run times that callers declare, from usage reports.

Each report of an ended task gives the ratio of what the task used to what its caller
declared. The corrections are statistics of the latest ratios.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from lycheeloom.model.resources import Resources

from .tasks import Task, UsageReport

# With fewer ratios for an organisation on a queue, nothing is corrected.
MIN_RATIOS = 5
# Latest ratios per organisation and queue that a correction is computed from.
MAX_RATIOS = 64
# Exceeding the reserved memory kills a task, exceeding the reserved cores only slows
# it down. So memory is corrected by a high quantile of the ratios, cores by their mean.
MEMORY_QUANTILE = 0.95
# Declared sizes are up to 4 times too large or too small, so each ratio is limited to
# the range from 1/4 to 4.
MAX_CORRECTION = 4.0
# A usage report arrives after its task has ended, so the tasks that started last are
# kept to look up what their callers declared.
MAX_REMEMBERED_TASKS = 20_000


@dataclass(slots=True)
class _UsageRatios:
    """Ratios of used to declared amounts, and the corrections that follow from them."""

    cores: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RATIOS))
    memory: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RATIOS))
    run_time: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RATIOS))
    cores_factor: float = 1.0
    memory_factor: float = 1.0
    run_time_factor: float = 1.0


class SizeEstimator:
    """Corrects declared sizes and run times per organisation and queue."""

    def __init__(self) -> None:
        # Keyed by organisation and queue.
        self._ratios_by_subqueue: dict[tuple[str, str], _UsageRatios] = {}
        self._task_by_id: OrderedDict[str, Task] = OrderedDict()

    def remember(self, task: Task) -> None:
        """Keep a started task until its usage report arrives."""
        self._task_by_id[task.id] = task
        if len(self._task_by_id) > MAX_REMEMBERED_TASKS:
            self._task_by_id.popitem(last=False)

    def observe(self, report: UsageReport) -> None:
        """Update the corrections from the report of an ended task; ignore any other."""
        if not report.ended:
            return
        task = self._task_by_id.pop(report.task_id, None)
        if task is None:
            return
        ratios = self._ratios_by_subqueue.setdefault(
            (task.organisation, task.queue), _UsageRatios()
        )
        if task.resources.cores > 0:
            ratios.cores.append(_clamp_ratio(report.peak.cores / task.resources.cores))
        if task.resources.memory_mb > 0:
            ratio = report.peak.memory_mb / task.resources.memory_mb
            ratios.memory.append(_clamp_ratio(ratio))
        if task.run_s > 0:
            ratios.run_time.append(_clamp_ratio(report.run_s / task.run_s))
        ratios.cores_factor = _mean(ratios.cores)
        ratios.memory_factor = _quantile(ratios.memory, MEMORY_QUANTILE)
        ratios.run_time_factor = _mean(ratios.run_time)

    def corrected_size(self, task: Task) -> Resources:
        """Return the declared size of a task, corrected by usage reports.

        Accelerators are not corrected. Without any report for the organisation on the
        queue, the result is the object ``task.resources`` itself.
        """
        ratios = self._ratios_by_subqueue.get((task.organisation, task.queue))
        if ratios is None:
            return task.resources
        declared = task.resources
        return Resources(
            declared.cores * ratios.cores_factor,
            round(declared.memory_mb * ratios.memory_factor),
            declared.accelerators,
        )

    def corrected_run_s(self, task: Task) -> float:
        """Return the declared run time of a task in seconds, corrected by reports."""
        ratios = self._ratios_by_subqueue.get((task.organisation, task.queue))
        if ratios is None:
            return task.run_s
        return task.run_s * ratios.run_time_factor


def _clamp_ratio(ratio: float) -> float:
    return min(max(ratio, 1.0 / MAX_CORRECTION), MAX_CORRECTION)


def _mean(ratios: deque[float]) -> float:
    """Return the mean, or 1.0 (no correction) for fewer than MIN_RATIOS ratios."""
    if len(ratios) < MIN_RATIOS:
        return 1.0
    return sum(ratios) / len(ratios)


def _quantile(ratios: deque[float], quantile: float) -> float:
    """Return a quantile, or 1.0 (no correction) for fewer than MIN_RATIOS ratios."""
    if len(ratios) < MIN_RATIOS:
        return 1.0
    ordered = sorted(ratios)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
