"""Tests of what the clock of a worker says about its incarnation."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheeloom.coordinator import worker_clock
from lycheeloom.coordinator.worker_clock import CLOCK_TOLERANCE_MS, WorkerClock

# Pages of the platform allow clocks of workers to be this slow.
SLOWEST_RATE = 0.98


class Worker:
    """Incarnations of a worker, and calls to it, in a time that the test sets."""

    def __init__(self, monkeypatch, rate: float = 1.0) -> None:
        self.now_s = 1_000.0
        self.started_s = 0.0
        self.rate = rate
        monkeypatch.setattr(worker_clock, "steady_s", lambda: self.now_s)

    def call(self, clock: WorkerClock, there_s: float, back_s: float) -> bool:
        """Make a call whose ways take some time; return whether it is trusted."""
        sent_s = self.now_s
        read_ms = int((sent_s + there_s - self.started_s) * 1000 * self.rate)
        self.now_s += there_s + back_s
        return clock.note(read_ms, sent_s)


@given(
    rate=st.floats(SLOWEST_RATE, 1.0),
    calls=st.lists(
        st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 2.0), st.floats(0.0, 2.0))
    ),
)
@settings(derandomize=True, deadline=None)
def test_answers_of_one_incarnation_are_trusted(rate, calls):
    """A slow clock or a slow network must not look like another incarnation."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        worker, clock = Worker(monkeypatch, rate), WorkerClock()
        for pause_s, there_s, back_s in calls:
            worker.now_s += pause_s
            assert worker.call(clock, there_s, back_s)


@given(
    age_s=st.floats(CLOCK_TOLERANCE_MS / 1000 + 0.01, 1e6),
    down_s=st.floats(0.0, 10.0),
    up_s=st.floats(0.0, 10.0),
    rate=st.floats(SLOWEST_RATE, 1.0),
)
@settings(derandomize=True, deadline=None)
def test_answer_of_the_next_incarnation_is_doubted(age_s, down_s, up_s, rate):
    """A lease must not be computed from the clock of a former incarnation.

    Five hundredths of the time since the last answer may hide the restart.
    """
    with pytest.MonkeyPatch.context() as monkeypatch:
        worker, clock = Worker(monkeypatch, rate), WorkerClock()
        worker.started_s = worker.now_s - age_s
        assert worker.call(clock, 0.0, 0.0)
        worker.now_s += down_s
        worker.started_s = worker.now_s
        worker.now_s += up_s
        since_s = down_s + up_s
        hidden_s = since_s * (1 - worker_clock.MIN_CLOCK_RATE)
        is_visible = age_s * rate + down_s > hidden_s + 2 * CLOCK_TOLERANCE_MS / 1000
        assert not worker.call(clock, 0.0, 0.0) or not is_visible


def test_answer_that_was_overtaken_is_trusted(monkeypatch):
    """Answers on different connections may overtake each other."""
    worker, clock = Worker(monkeypatch), WorkerClock()
    sent_s = worker.now_s
    assert worker.call(clock, 0.5, 0.0)
    assert clock.note(sent_s * 1000, sent_s)


def test_time_is_estimated_from_the_latest_answer(monkeypatch):
    """A lease must end when it should by the clock of the worker."""
    worker, clock = Worker(monkeypatch), WorkerClock()
    assert clock.estimate_ms(worker.now_s) is None
    assert worker.call(clock, 0.0, 0.25)
    worker.now_s += 1.0
    assert clock.estimate_ms(worker.now_s) == (1_001.0) * 1000
