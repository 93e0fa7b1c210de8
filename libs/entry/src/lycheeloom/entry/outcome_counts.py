"""Counts of ended and failed tasks by worker and queue, reported to controllers."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable

from lycheeloom.wire import OutcomeCount, OutcomeReport

PERIOD_S = 5.0
# A controller may miss the reports of one minute, for instance on a connection that
# went silent, and get their counts with the next one.
KEPT_PERIODS = 12
# A worker is suspect for this long after a task has failed on it; the same window as
# that of the controller's health monitor.
SUSPECT_PERIODS = 60
# Limits a report to about 6 KB. Workers with most failures come first; those left out
# are reported with their next failures.
MAX_COUNTS = 100


class OutcomeCounts:
    """Counts how the tasks of unrecorded requests ended.

    Recorded requests are left out, as controllers read their outcomes from the
    log. Only suspect workers are counted: those with a failure in the last
    ``SUSPECT_PERIODS``, and those on probation, which ends with enough successes.
    """

    def __init__(
        self,
        is_on_probation: Callable[[str], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._is_on_probation = is_on_probation
        self._clock = clock
        self._last_failure: dict[str, int] = {}
        self._last_success: dict[str, int] = {}
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
        """Return the sums over the completed periods after period ``after``."""
        through = self._period() - 1
        self._drop_old(through)
        total: dict[tuple[str, str], list[int]] = defaultdict(lambda: [0, 0])
        for period, counts in self._counts.items():
            if not after < period <= through:
                continue
            for key, (ended, failed) in counts.items():
                total[key][0] += ended
                total[key][1] += failed
        # If not all fit, the workers with most failures are reported.
        ordered = sorted(total.items(), key=lambda item: (-item[1][1], item[0]))
        found = tuple(
            OutcomeCount(worker, queue, ended, failed)
            for (worker, queue), (ended, failed) in ordered[:MAX_COUNTS]
        )
        oldest = through - SUSPECT_PERIODS
        succeeded = sorted(
            queue
            for queue in {count.queue for count in found}
            if self._last_success.get(queue, 0) > oldest
        )
        return OutcomeReport(through, found, tuple(succeeded))

    def _period(self) -> int:
        # Starts at 1, as ``report(0)`` returns all periods.
        return int(self._clock() // PERIOD_S) + 1

    def _is_suspect(self, worker: str, period: int) -> bool:
        last = self._last_failure.get(worker)
        if last is not None and last > period - SUSPECT_PERIODS:
            return True
        return self._is_on_probation(worker)

    def _drop_old(self, period: int) -> None:
        for old in [p for p in self._counts if p <= period - KEPT_PERIODS]:
            del self._counts[old]
        oldest = period - SUSPECT_PERIODS
        self._last_failure = {
            worker: last for worker, last in self._last_failure.items() if last > oldest
        }
