"""Counts of ended and failed tasks by worker and queue, reported to controllers."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable

from lycheeloom.wire import OutcomeCount, OutcomeReport

# Outcomes are counted in periods of this length, numbered from 1.
PERIOD_S = 5.0
# A controller that misses the reports of one minute, for instance on a connection that
# went silent, gets their counts with its next report.
KEPT_PERIODS = 12
# A worker stays suspect for this long after a task has failed on it. The controller's
# health monitor uses the same window.
SUSPECT_PERIODS = 60
# Limits a report to about 6 KB. Workers with the most failures come first; one that is
# left out is reported when it fails again.
MAX_REPORTED_COUNTS = 100


class OutcomeCounts:
    """Counts how the tasks of unrecorded requests ended.

    Recorded requests are not counted, as controllers read their outcomes from the
    log. Tasks are counted only on suspect workers: those with a failure in the last
    ``SUSPECT_PERIODS``, and those on probation, which enough successes end.
    """

    def __init__(
        self,
        is_on_probation: Callable[[str], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._is_on_probation = is_on_probation
        self._clock = clock
        # The period of the last failure, by worker, and of the last success, by queue.
        self._last_failure: dict[str, int] = {}
        self._last_success: dict[str, int] = {}
        # By period, and by worker and queue: the numbers of ended and of failed tasks.
        self._counts: dict[int, dict[tuple[str, str], list[int]]] = {}

    def record(self, worker: str, queue: str, has_failed: bool) -> None:
        """Count a task that ended on a worker with a known outcome."""
        period = self._period()
        if has_failed:
            self._last_failure[worker] = period
        else:
            self._last_success[queue] = period
        if not self._is_suspect(worker, period):
            return
        if period not in self._counts:
            self._drop_old(period)
        counts = self._counts.setdefault(period, {})
        count = counts.setdefault((worker, queue), [0, 0])
        count[0] += 1
        count[1] += has_failed

    def report(self, after: int) -> OutcomeReport:
        """Return the counts summed over the completed periods after period ``after``.

        The report also names the queues among the reported ones in which a task has
        succeeded on any worker in the last ``SUSPECT_PERIODS``.
        """
        last_period = self._period() - 1
        self._drop_old(last_period)
        sums: dict[tuple[str, str], list[int]] = defaultdict(lambda: [0, 0])
        for period, counts in self._counts.items():
            if not after < period <= last_period:
                continue
            for worker_and_queue, (ended, failed) in counts.items():
                sums[worker_and_queue][0] += ended
                sums[worker_and_queue][1] += failed
        # Most failures first.
        ordered = sorted(sums.items(), key=lambda item: (-item[1][1], item[0]))
        reported = tuple(
            OutcomeCount(worker, queue, ended, failed)
            for (worker, queue), (ended, failed) in ordered[:MAX_REPORTED_COUNTS]
        )
        cutoff_period = last_period - SUSPECT_PERIODS
        succeeded = sorted(
            queue
            for queue in {count.queue for count in reported}
            if self._last_success.get(queue, 0) > cutoff_period
        )
        return OutcomeReport(last_period, reported, tuple(succeeded))

    def _period(self) -> int:
        # The first period is 1, so that ``report(0)`` covers all periods.
        return int(self._clock() // PERIOD_S) + 1

    def _is_suspect(self, worker: str, period: int) -> bool:
        last_failure = self._last_failure.get(worker)
        if last_failure is not None and last_failure > period - SUSPECT_PERIODS:
            return True
        return self._is_on_probation(worker)

    def _drop_old(self, period: int) -> None:
        for old_period in [p for p in self._counts if p <= period - KEPT_PERIODS]:
            del self._counts[old_period]
        cutoff_period = period - SUSPECT_PERIODS
        self._last_failure = {
            worker: last_failure
            for worker, last_failure in self._last_failure.items()
            if last_failure > cutoff_period
        }
