"""Measures how much work is submitted to each pool."""

from __future__ import annotations

from collections import defaultdict, deque

from lycheeloom.model.resources import Resources

from .model import Job

# Long enough for a few jobs of a pool in a surge, shorter than a move.
RATE_WINDOW_S = 1.0


class PoolDemand:
    """Work that has come to each pool within the last ``RATE_WINDOW_S``.

    ``needed_instances("pool", capacity, now_s)`` returns how many instances of a given
    capacity the pool needs to keep up if work continues to arrive at this rate.
    """

    def __init__(self) -> None:
        self._recent_by_pool: dict[str, deque[tuple[float, Job]]] = defaultdict(deque)

    def note(self, pool: str, job: Job, now_s: float) -> None:
        """Note a job that has just been accepted."""
        self._recent_by_pool[pool].append((now_s, job))

    def needed_instances(self, pool: str, capacity: Resources, now_s: float) -> float:
        """Return the instances' worth of work that comes in each second."""
        recent = self._recent_by_pool[pool]
        while recent and recent[0][0] < now_s - RATE_WINDOW_S:
            recent.popleft()
        return sum(_instance_s(job, capacity) for _, job in recent) / RATE_WINDOW_S


def _instance_s(job: Job, capacity: Resources) -> float:
    """Return the seconds for which a job's tasks fill an instance.

    Long-running tasks do not come again and again, and repeated jobs come when
    they are due.
    """
    if job.repetitions:
        return 0.0
    return sum(
        step.count * step.need.dominant_share(capacity) * step.estimated_ms / 1000
        for step in job.steps
        if not step.long_running
    )
