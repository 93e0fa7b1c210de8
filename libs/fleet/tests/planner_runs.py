"""Shared helpers of the planner tests."""

from __future__ import annotations

from lycheeloom.model.records import MoveStage, MoveStep, WaveCommand, WaveState


def command(world, wave_id, expected, wanted, pools=(), urgent=False):
    record = WaveCommand(wave_id, expected, wanted, pools, urgent)
    assert world.append("operator", [record]) == (True,)


def start_wave(world, wave_id="w", pools=(), urgent=False):
    command(world, wave_id, WaveState.ABSENT, WaveState.RUNNING, pools, urgent)


def run(controller, ticks):
    for _ in range(ticks):
        controller.tick()


def planned(plan):
    return [
        record
        for record in plan.records
        if isinstance(record, MoveStep) and record.stage is MoveStage.PLANNED
    ]
