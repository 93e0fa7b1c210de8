"""Tests of the signs that show a leader that cannot keep up."""

from __future__ import annotations

import gevent
import pytest
from libs.coordinator.tests.fakes import busy_wait, wait_until
from prometheus_client import REGISTRY

from lycheeloom.coordinator import round_timer
from lycheeloom.coordinator.round_timer import (
    LATE_LOG_INTERVAL_S,
    LATE_S,
    PLAN_INTERVAL_S,
    PLAN_PAUSE_S,
    RoundTimer,
)


class Clock:
    """A monotonic clock that only a test advances."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch):
    """The clock of the round timer."""
    clock = Clock()
    monkeypatch.setattr(round_timer, "steady_s", clock)
    return clock


@pytest.fixture
def late_lines(monkeypatch):
    """Fields of the lines about a late leader, in order."""
    lines = []

    def note(event, level, **fields):
        assert (event, level) == ("leader_late", "WARNING")
        lines.append(fields)

    monkeypatch.setattr(round_timer, "log_event", note)
    return lines


def advance_during(timer: RoundTimer, clock: Clock, duration_s: float) -> None:
    """Let time pass while the timer waits, and then begin a round."""
    greenlet = gevent.spawn(setattr, clock, "now_s", clock.now_s + duration_s)
    timer.wait()
    greenlet.join()
    timer.begin()


def total(metric: str) -> float:
    """Return the sum of all values of a histogram."""
    return REGISTRY.get_sample_value(f"lycheeloom_leader_{metric}_seconds_sum")


def test_round_that_begins_late_is_reported(clock, late_lines):
    """Guards against a leader whose polls and renewals are late without a sign."""
    timer = RoundTimer()
    timer.begin()
    timer.end(0, 2)
    total_s = total("late")
    advance_during(timer, clock, 3.0)
    timer.end(5, 2)
    late_s = 3.0 - PLAN_INTERVAL_S - PLAN_PAUSE_S
    assert late_lines == [
        {"late_s": pytest.approx(late_s), "round_s": 0.0, "starts": 5, "workers": 2}
    ]
    assert total("late") - total_s == pytest.approx(late_s)


def test_delay_counts_from_the_event_that_made_the_round_due(clock, late_lines):
    """Guards against allowing a round that is due at once the wait without events."""
    timer = RoundTimer()
    timer.begin()
    timer.wake()
    clock.now_s += PLAN_INTERVAL_S
    timer.end(0, 2)
    # The pause is as long as the round, which took PLAN_INTERVAL_S.
    advance_during(timer, clock, PLAN_INTERVAL_S + LATE_S + PLAN_PAUSE_S)
    timer.end(0, 2)
    assert [line["late_s"] for line in late_lines] == [
        pytest.approx(LATE_S + PLAN_PAUSE_S)
    ]


def test_long_round_is_reported(clock, late_lines):
    """Guards against a leader whose rounds delay all else without a sign."""
    timer = RoundTimer()
    total_s = total("round")
    timer.begin()
    clock.now_s += LATE_S + 0.1
    timer.end(7, 180)
    assert late_lines == [
        {
            "late_s": 0.0,
            "round_s": pytest.approx(LATE_S + 0.1),
            "starts": 7,
            "workers": 180,
        }
    ]
    assert total("round") - total_s == pytest.approx(LATE_S + 0.1)


def test_late_rounds_are_reported_once_in_an_interval(clock, late_lines):
    """Guards against lines that add to the load of a leader that cannot keep up."""
    timer = RoundTimer()
    duration_s = 0.6 * LATE_LOG_INTERVAL_S
    assert duration_s > LATE_S
    for _ in range(5):
        timer.begin()
        clock.now_s += duration_s
        timer.end(0, 2)
    assert len(late_lines) == 3


def test_rounds_in_time_are_not_reported(late_lines):
    """Guards against a leader that is reported while it is idle."""
    timer = RoundTimer()
    for _ in range(5):
        timer.begin()
        timer.end(0, 2)
        timer.wait()
    assert late_lines == []


def test_saturated_leader_reports_itself(cluster, late_lines):
    """Guards against a dispatcher that does not measure its rounds."""
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.by_id) == 2)
    assert late_lines == []
    busy_wait(PLAN_INTERVAL_S + 2 * LATE_S)
    wait_until(lambda: bool(late_lines))
    assert late_lines[0]["late_s"] > LATE_S
    assert late_lines[0]["workers"] == 2


@pytest.mark.parametrize(("factor", "pause_s"), [(1.0, 0.1), (3.0, 0.3)])
def test_pause_is_a_multiple_of_the_last_round(clock, monkeypatch, factor, pause_s):
    """Guards against rounds that take the processor from the starts they plan."""
    pauses = []
    timer = RoundTimer(factor)
    timer.begin()
    clock.now_s += 0.1
    timer.end(0, 0)
    timer.wake()
    monkeypatch.setattr(round_timer.gevent, "sleep", pauses.append)
    timer.wait()
    assert pauses == [pytest.approx(pause_s)]
