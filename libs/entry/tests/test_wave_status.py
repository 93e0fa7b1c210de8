"""The progress of maintenance waves in the status document."""

import pytest

from lycheeloom.entry.status import wave_statuses
from lycheeloom.model.records import MoveStage, WaveState
from lycheeloom.state.maintenance import Maintenance, Move, Wave


@pytest.mark.parametrize("stage", [MoveStage.ABANDONED, MoveStage.DRAINING])
def test_a_finished_wave_is_not_changed_by_a_later_one(stage):
    """Guards against failures of a later wave that are shown on an earlier one."""
    maintenance = Maintenance(
        pool_by_instance={"w1": "lookup"},
        move_by_instance={"w1": Move("wave.b.w1.9", stage, "lookup", True, "", 10)},
        wave_by_id={
            "a": Wave("a", WaveState.DONE, (), False, True, 1),
            "b": Wave("b", WaveState.RUNNING, (), False, True, 8),
        },
    )
    first, second = wave_statuses(maintenance).values()
    assert (first.done, first.in_progress, first.failed) == (1, 0, 0)
    assert second.done == 0
    assert second.in_progress + second.failed == 1
