"""How old the offsets of the log are, by this process's clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

# Marks kept; the oldest ones are dropped, which makes ages look shorter.
MAX_MARKS = 10_000


class OffsetAges:
    """Remembers the log's end from time to time."""

    def __init__(self, interval_s: float, clock: Callable[[], float]) -> None:
        self._interval_s = interval_s
        self._clock = clock
        self._marks: deque[tuple[float, int]] = deque(maxlen=MAX_MARKS)

    def note(self, end_offset: int) -> bool:
        """Mark the log's end unless one was marked lately; tells whether it was."""
        now = self._clock()
        if self._marks and now - self._marks[-1][0] < self._interval_s:
            return False
        self._marks.append((now, end_offset))
        return True

    def offset_before(self, age_s: float) -> int:
        """Return the highest offset known to be at least ``age_s`` old, or -1."""
        at = self._clock() - age_s
        offset = -1
        for marked_at, end in self._marks:
            if marked_at > at:
                break
            offset = end
        return offset

    def forget_before(self, age_s: float) -> None:
        """Drop marks that are not needed to find ages up to ``age_s``."""
        at = self._clock() - age_s
        while len(self._marks) > 1 and self._marks[1][0] <= at:
            self._marks.popleft()
