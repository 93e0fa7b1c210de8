"""Estimates waiting times from recent start rates."""

from __future__ import annotations

from collections import deque

# Older starts do not count towards the present rate.
WINDOW_S = 10.0
MAX_STARTS = 200
# A rate from fewer starts is too uncertain to refuse tasks because of it.
MIN_STARTS = 5


class WaitEstimator:
    """Estimates how long a new task of an organisation waits on a queue."""

    def __init__(self) -> None:
        self._starts_by_subqueue: dict[tuple[str, str], deque[float]] = {}

    def record_start(self, organisation: str, queue: str, now: float) -> None:
        """Count the start of a task."""
        starts = self._starts_by_subqueue.get((organisation, queue))
        if starts is None:
            starts = deque(maxlen=MAX_STARTS)
            self._starts_by_subqueue[organisation, queue] = starts
        starts.append(now)

    def expected_wait_s(
        self, organisation: str, queue: str, queued: int, now: float
    ) -> float | None:
        """Return the expected wait in seconds behind ``queued`` tasks.

        None means that too few tasks started recently for an estimate.
        """
        if not queued:
            return 0.0
        starts = self._starts_by_subqueue.get((organisation, queue))
        if starts is None:
            return None
        while starts and now - starts[0] > WINDOW_S:
            starts.popleft()
        if len(starts) < MIN_STARTS or now <= starts[0]:
            return None
        return queued * (now - starts[0]) / len(starts)
