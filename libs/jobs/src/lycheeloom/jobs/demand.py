"""Measures the rate at which work is submitted to each pool."""

from __future__ import annotations

from collections import defaultdict, deque

from lycheeloom.model.resources import Resources

from .model import Job

# Long enough to cover a few jobs of a pool during a load spike, but shorter than the
# time an instance takes to change its pool.
RATE_WINDOW_S = 1.0
# The rate of a load that has just begun is measured over this many jobs, and over at
# least this time: a move takes longer than ``RATE_WINDOW_S``.
FAST_RATE_JOBS = 8
FAST_RATE_WINDOW_S = 0.25


class PoolDemand:
    """Tracks the work submitted to each pool within the last ``RATE_WINDOW_S``.

    ``needed_instances("pool", capacity, now_s)`` returns how many instances of a given
    capacity the pool needs to keep up if work continues to arrive at this rate. With
    ``measures_fast``, a rate that rises is noticed sooner.
    """

    def __init__(self, *, measures_fast: bool = False) -> None:
        self._measures_fast = measures_fast
        self._recent_jobs_by_pool: dict[str, deque[tuple[float, Job]]] = defaultdict(
            deque
        )

    def note(self, pool: str, job: Job, now_s: float) -> None:
        """Record a job that has just been accepted."""
        recent = self._recent_jobs_by_pool[pool]
        recent.append((now_s, job))
        # A pool without workers is not measured.
        _drop_old(recent, now_s)

    def needed_instances(self, pool: str, capacity: Resources, now_s: float) -> float:
        """Return the work submitted to a pool, in instance-seconds per second."""
        recent = self._recent_jobs_by_pool[pool]
        _drop_old(recent, now_s)
        rate = sum(_instance_s(job, capacity) for _, job in recent) / RATE_WINDOW_S
        if not self._measures_fast or len(recent) < FAST_RATE_JOBS:
            return rate
        since_s = min(recent[-FAST_RATE_JOBS][0], now_s - FAST_RATE_WINDOW_S)
        fast = sum(_instance_s(job, capacity) for at_s, job in recent if at_s > since_s)
        return max(rate, fast / (now_s - since_s))


def _drop_old(recent: deque[tuple[float, Job]], now_s: float) -> None:
    while recent and recent[0][0] < now_s - RATE_WINDOW_S:
        recent.popleft()


def _instance_s(job: Job, capacity: Resources) -> float:
    """Return the time for which a job's tasks would fill one instance.

    Long-running tasks are left out since they do not recur, and so are repeated
    jobs, which run when they are due and not when they are submitted.
    """
    if job.repetitions:
        return 0.0
    return sum(
        step.count
        * step.reservation.dominant_share(capacity)
        * step.estimated_ms
        / 1000
        for step in job.steps
        if not step.long_running
    )
