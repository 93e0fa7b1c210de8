"""Periodic loops of one process wake at common ticks."""

import pytest

from lycheeloom.model.ticks import seconds_until_tick


@pytest.mark.parametrize("interval_s", [0.05, 0.1, 0.2, 0.5, 2.0])
def test_loops_wake_together(interval_s):
    """Loops that were started at different times must share their wake-ups."""
    due = {
        round((now + seconds_until_tick(interval_s, now)) / interval_s, 3) % 1
        for now in (1000.0, 1000.0 + interval_s / 3, 1007.77)
    }
    assert max(due) - min(due) < 0.01 or max(due) - min(due) > 0.99


def test_early_timer_does_not_wake_twice_for_one_tick():
    """A timer that fires 1 ms early must skip the tick for which it was set."""
    due = 1000.0 + seconds_until_tick(0.2, 1000.0)
    assert seconds_until_tick(0.2, due - 0.001) == pytest.approx(0.201)
