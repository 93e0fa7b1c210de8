"""Corrects declared sizes and run times by what delayed usage reports show."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from lycheeloom.model.resources import Resources

from .tasks import Task, UsageReport

# With fewer reports of an organisation on a queue, nothing is corrected.
MIN_SAMPLES = 5
WINDOW_SAMPLES = 64
# Exceeding the reserved memory kills a task, exceeding the reserved cores only slows
# it down. So memory is corrected to a high quantile and cores to the mean.
MEMORY_QUANTILE = 0.95
# Declared sizes are up to 4 times too large or too small.
MAX_CORRECTION = 4.0
# Reports arrive after the task ended, so this many started tasks are kept for them.
MAX_REMEMBERED_TASKS = 20_000


@dataclass(slots=True)
class _UsageRatios:
    cores: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW_SAMPLES))
    memory: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW_SAMPLES))
    run: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW_SAMPLES))
    cores_factor: float = 1.0
    memory_factor: float = 1.0
    run_factor: float = 1.0


class SizeEstimator:
    """Corrects declared sizes and run times per organisation and queue."""

    def __init__(self) -> None:
        self._ratios_by_subqueue: dict[tuple[str, str], _UsageRatios] = {}
        self._task_by_id: OrderedDict[str, Task] = OrderedDict()

    def remember(self, task: Task) -> None:
        """Keep a started task until its usage report arrives."""
        self._task_by_id[task.id] = task
        if len(self._task_by_id) > MAX_REMEMBERED_TASKS:
            self._task_by_id.popitem(last=False)

    def observe(self, report: UsageReport) -> None:
        """Update the corrections from the report of an ended task."""
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
            ratios.run.append(_clamp_ratio(report.run_s / task.run_s))
        ratios.cores_factor = _mean(ratios.cores)
        ratios.memory_factor = _quantile(ratios.memory, MEMORY_QUANTILE)
        ratios.run_factor = _mean(ratios.run)

    def corrected_size(self, task: Task) -> Resources:
        """Return the corrected size of a task that has not run yet."""
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
        """Return the corrected run time in seconds."""
        ratios = self._ratios_by_subqueue.get((task.organisation, task.queue))
        if ratios is None:
            return task.run_s
        return task.run_s * ratios.run_factor


def _clamp_ratio(ratio: float) -> float:
    return min(max(ratio, 1.0 / MAX_CORRECTION), MAX_CORRECTION)


def _mean(ratios: deque[float]) -> float:
    if len(ratios) < MIN_SAMPLES:
        return 1.0
    return sum(ratios) / len(ratios)


def _quantile(ratios: deque[float], quantile: float) -> float:
    if len(ratios) < MIN_SAMPLES:
        return 1.0
    ordered = sorted(ratios)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
