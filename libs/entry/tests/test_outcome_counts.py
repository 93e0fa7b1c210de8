"""Reports of task outcomes to controllers."""

import pytest

from lycheeloom.entry.outcome_counts import (
    KEPT_PERIODS,
    MAX_COUNTS,
    PERIOD_S,
    SUSPECT_PERIODS,
    OutcomeCounts,
)
from lycheeloom.wire import OutcomeCount, OutcomeReport


class Clock:
    def __init__(self):
        self.now = 1000 * PERIOD_S

    def __call__(self):
        return self.now

    def pass_periods(self, count=1):
        self.now += count * PERIOD_S


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def probation():
    return set()


@pytest.fixture
def counts(clock, probation):
    return OutcomeCounts(probation.__contains__, clock)


def test_only_suspect_workers_are_reported(counts, clock, probation):
    """Guards against reports that grow with the fleet."""
    probation.add("w2")
    counts.record("w1", "find", True)
    for worker in ("w1", "w2", "w3"):
        counts.record(worker, "find", False)
    clock.pass_periods()
    assert counts.report(0).counts == (
        OutcomeCount("w1", "find", 2, 1),
        OutcomeCount("w2", "find", 1, 0),
    )


def test_each_outcome_is_reported_once(counts, clock):
    """Guards against failures that a controller counts again in each report."""
    counts.record("w1", "find", True)
    assert counts.report(0).counts == ()
    clock.pass_periods()
    first = counts.report(0)
    assert first.counts == (OutcomeCount("w1", "find", 1, 1),)
    # Requested again after a lost report, then after one that arrived.
    assert counts.report(0) == first
    counts.record("w1", "book", True)
    clock.pass_periods()
    second = counts.report(first.through_period)
    assert second.counts == (OutcomeCount("w1", "book", 1, 1),)


def test_queues_that_succeed_elsewhere_are_named(counts, clock):
    """Guards against failures of a worker that are blamed on its queue."""
    counts.record("w9", "find", False)
    counts.record("w9", "unrelated", False)
    for worker in ("w1", "w2", "w3"):
        counts.record(worker, "find", True)
        counts.record(worker, "broken", True)
    clock.pass_periods()
    assert counts.report(0).succeeded_queues == ("find",)


def test_old_counts_are_dropped(counts, clock):
    """Guards against memory that grows with every worker that ever failed."""
    counts.record("w1", "find", True)
    clock.pass_periods(KEPT_PERIODS + 1)
    assert counts.report(0) == OutcomeReport(1000 + KEPT_PERIODS + 1)
    clock.pass_periods(SUSPECT_PERIODS)
    counts.record("w1", "find", False)
    clock.pass_periods()
    assert counts.report(0).counts == ()


def test_report_is_bounded(counts, clock):
    """Guards against a report of thousands of workers after a bad release."""
    for number in range(3 * MAX_COUNTS):
        counts.record(f"w{number}", "find", True)
    for _ in range(2):
        counts.record("w250", "find", True)
    clock.pass_periods()
    found = counts.report(0).counts
    assert len(found) == MAX_COUNTS
    assert found[0] == OutcomeCount("w250", "find", 3, 3)
