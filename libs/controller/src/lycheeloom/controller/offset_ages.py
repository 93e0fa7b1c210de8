"""Ages of log offsets, measured by the clock of this process."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

# Older samples are dropped, which makes old offsets look newer than they are.
MAX_SAMPLES = 10_000


class OffsetAges:
    """Samples the end offset of the log at intervals."""

    def __init__(self, interval_s: float, clock: Callable[[], float]) -> None:
        self._interval_s = interval_s
        self._clock = clock
        self._samples: deque[tuple[float, int]] = deque(maxlen=MAX_SAMPLES)

    def sample(self, end_offset: int) -> bool:
        """Record the end offset if ``interval_s`` has passed; tell whether it has."""
        now = self._clock()
        if self._samples and now - self._samples[-1][0] < self._interval_s:
            return False
        self._samples.append((now, end_offset))
        return True

    def newest_offset_older_than(self, age_s: float) -> int:
        """Return the highest offset known to be at least ``age_s`` old, or -1."""
        at = self._clock() - age_s
        offset = -1
        for sampled_at, end in self._samples:
            if sampled_at > at:
                break
            offset = end
        return offset

    def drop_older_than(self, age_s: float) -> None:
        """Drop samples that are not needed to find ages up to ``age_s``."""
        at = self._clock() - age_s
        while len(self._samples) > 1 and self._samples[1][0] <= at:
            self._samples.popleft()
