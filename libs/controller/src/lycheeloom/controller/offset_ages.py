"""Lower bounds of the ages of log offsets, by the clock of this process."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

# Beyond this number the oldest samples are dropped. The highest offset that is known to
# have a given age is then too low, so offsets never look older than they are.
MAX_SAMPLES = 10_000


class OffsetAges:
    """Samples the newest offset of the log at intervals.

    An offset is at least as old as the first sample that covers it.
    """

    def __init__(self, interval_s: float, clock: Callable[[], float]) -> None:
        self._interval_s = interval_s
        self._clock = clock
        self._samples: deque[tuple[float, int]] = deque(maxlen=MAX_SAMPLES)

    def sample(self, newest_offset: int) -> bool:
        """Record the newest offset, at most once per interval.

        Returns whether a sample was taken.
        """
        now = self._clock()
        if self._samples and now - self._samples[-1][0] < self._interval_s:
            return False
        self._samples.append((now, newest_offset))
        return True

    def newest_offset_older_than(self, age_s: float) -> int:
        """Return the highest offset known to be at least ``age_s`` old, or -1."""
        latest = self._clock() - age_s
        offset = -1
        for sampled_at, newest_offset in self._samples:
            if sampled_at > latest:
                break
            offset = newest_offset
        return offset

    def drop_older_than(self, age_s: float) -> None:
        """Drop samples that are not needed to find ages up to ``age_s``."""
        latest = self._clock() - age_s
        while len(self._samples) > 1 and self._samples[1][0] <= latest:
            self._samples.popleft()
