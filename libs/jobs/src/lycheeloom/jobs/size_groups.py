"""Tracks whether large jobs of a queue are served as often as small ones."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Sequence

# Number of recent jobs of a queue from which the sizes of its groups are taken.
SAMPLE_SIZE = 200
# Sizes are determined anew after this many jobs.
RESAMPLE_AFTER = 20
# Jobs below the first fraction are small, those above the last one are the largest.
GROUP_FRACTIONS = (0.7, 0.9)
# A group counts as disadvantaged if it is served less often than this fraction of how
# often the queue is. Callers are to be served at least half as often whatever the size
# of their jobs; the rest is a margin for groups with few jobs.
MIN_SERVED_FRACTION = 0.75
# Older outcomes lose their weight by this factor with each further one of the group.
DECAY = 0.97
MIN_OUTCOMES = 3.0


class SizeGroups:
    """Groups the jobs of each queue by size and counts how many were served in time.

    The state is kept in memory only: a new leader begins without outcomes.
    """

    def __init__(self) -> None:
        self._recent_by_queue: dict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=SAMPLE_SIZE)
        )
        self._limits_by_queue: dict[str, tuple[float, ...]] = {}
        self._added_by_queue: dict[str, int] = defaultdict(int)
        # Outcomes and how many of them were in time, by queue and group.
        self._counts: dict[tuple[str, int], list[float]] = {}

    def note_job(self, queue: str, work: float) -> None:
        """Count a new job of a queue; ``work`` is its size in any unit."""
        recent = self._recent_by_queue[queue]
        recent.append(work)
        self._added_by_queue[queue] += 1
        if self._added_by_queue[queue] % RESAMPLE_AFTER and len(recent) > 1:
            return
        ordered = sorted(recent)
        self._limits_by_queue[queue] = tuple(
            ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
            for fraction in GROUP_FRACTIONS
        )

    def group_of(self, queue: str, work: float) -> int:
        """Return the group of a job: 0 for small ones, 2 for the largest tenth."""
        limits: Sequence[float] = self._limits_by_queue.get(queue, ())
        return sum(work > limit for limit in limits)

    def note_outcome(self, queue: str, group: int, *, in_time: bool) -> None:
        """Count whether a job has been started in time."""
        counts = self._counts.setdefault((queue, group), [0.0, 0.0])
        counts[0] = counts[0] * DECAY + 1.0
        counts[1] = counts[1] * DECAY + in_time

    def is_disadvantaged(self, queue: str, group: int) -> bool:
        """Return whether jobs of a group are served less often than others."""
        counts = self._counts.get((queue, group))
        if counts is None or counts[0] < MIN_OUTCOMES:
            return False
        groups = [c for (name, _), c in self._counts.items() if name == queue]
        served_fraction = sum(c[1] for c in groups) / sum(c[0] for c in groups)
        return counts[1] / counts[0] < MIN_SERVED_FRACTION * served_fraction
