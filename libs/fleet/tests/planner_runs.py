"""Shared helpers of the planner tests."""

from __future__ import annotations

from lycheeloom.model.records import MoveStage, MoveStep, WaveCommand, WaveState


def change_wave(world, wave_id, expected, wanted, pools=(), urgent=False):
    """Append an operator's command that changes the state of a wave."""
    record = WaveCommand(wave_id, expected, wanted, pools, urgent)
    assert world.append("operator", [record]) == (True,)


def start_wave(world, wave_id="w", pools=(), urgent=False):
    change_wave(world, wave_id, WaveState.ABSENT, WaveState.RUNNING, pools, urgent)


def run(controller, ticks):
    """Run planner steps of a controller and let the world's time pass."""
    for _ in range(ticks):
        controller.tick()


def planned_moves(plan):
    """Return the records of a plan that start a move."""
    return [
        record
        for record in plan.records
        if isinstance(record, MoveStep) and record.stage is MoveStage.PLANNED
    ]
