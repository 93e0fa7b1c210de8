"""Tests that inject a fault at each step of a move with or without a reboot.

A step is either a record (named by its stage) or an action (named by its kind). The
tests guard against a move that hangs, runs an action twice, loses work or leaves an
instance drained or in the wrong pool.
"""

from __future__ import annotations

import pytest

from bench.fleet_simulation import Controller, SimulatedFleet, user_fleet
from lycheeloom.fleet import ActionStatus, PlatformAction
from lycheeloom.model.config import canonical_json
from lycheeloom.model.records import (
    ConfigChanged,
    MoveStage,
    MoveStep,
    WaveCommand,
    WaveState,
)

TARGET = "w00"
RECORD_STEPS = ("planned", "draining", "drained", "rebooting", "joined")
ACTION_STEPS = ("drain", "reboot", "undrain")
RECORD_FAULTS = (
    "answer_lost",
    "refused",
    "slow",
    "repeated",
    "crash_before",
    "crash_after",
    "second_controller",
)
ACTION_FAULTS = RECORD_FAULTS
SLOW_TICKS = 180  # half an hour in steps of 10 s
STEPS_BY_KIND = {
    "reboot": (*RECORD_STEPS, *ACTION_STEPS),
    "move": ("planned", "draining", "drained", "joined", "drain", "undrain"),
    "move_with_reboot": (*RECORD_STEPS, *ACTION_STEPS),
}
CASES = [
    (kind, step, fault)
    for kind, steps in STEPS_BY_KIND.items()
    for step in steps
    for fault in RECORD_FAULTS
]


class FaultyRun:
    """Runs one move and injects one fault at one of its steps."""

    def __init__(self, kind: str, step: str, fault: str):
        self.world = SimulatedFleet(user_fleet(16, 65536))
        self.controller = Controller(self.world, "first")
        # A replaced controller that has not stopped and still acts.
        self.replaced_controller: Controller | None = None
        self.step, self.fault = step, fault
        self.injected_count = 0
        # Actions, or authors with their records, and the tick of their delivery.
        self.delayed_deliveries: list[tuple[int, object]] = []
        self.tick_number = 0
        self._request_move(kind)

    def _request_move(self, kind: str) -> None:
        if kind != "move":
            wave = WaveCommand(
                "w", WaveState.ABSENT, WaveState.RUNNING, ("north",), reboot=True
            )
            self.world.append("operator", [wave])
        if kind != "reboot":
            patch = {"instances": {TARGET: {"pool": "south"}}}
            change = ConfigChanged(1, canonical_json(patch), "operator")
            assert self.world.append("operator", [change]) == (True,)

    def run(self, ticks: int = 1000) -> None:
        for self.tick_number in range(ticks):
            self._deliver_delayed()
            for controller in filter(None, (self.replaced_controller, self.controller)):
                plan = controller.plan()
                for record in plan.records:
                    self._append(controller, record)
                for action in plan.actions:
                    self._request_action(controller, action)
            self.world.advance(10)

    def _deliver_delayed(self) -> None:
        due = [item for at, item in self.delayed_deliveries if at <= self.tick_number]
        self.delayed_deliveries = [
            (at, item) for at, item in self.delayed_deliveries if at > self.tick_number
        ]
        for item in due:
            if isinstance(item, PlatformAction):
                self.world.status_by_action.pop(item.action_id, None)
                self.world.execute(item)
            else:
                self.world.append(*item)

    def _should_inject(self, step: str, instance: str) -> bool:
        """Tell whether the fault belongs here, and count it; it is injected once."""
        if step != self.step or instance != TARGET or self.injected_count:
            return False
        self.injected_count += 1
        return True

    def _append(self, controller: Controller, record) -> None:
        author = controller.author
        is_step = isinstance(record, MoveStep)
        if not is_step or not self._should_inject(str(record.stage), record.instance):
            self.world.append(author, [record])
            return
        match self.fault:
            case "answer_lost" | "repeated":
                self.world.append(author, [record])
                self.world.append(author, [record])
            case "refused":
                return
            case "slow":
                self.delayed_deliveries.append(
                    (self.tick_number + SLOW_TICKS, (author, [record]))
                )
            case "crash_before":
                self._replace_controller()
            case "crash_after":
                self.world.append(author, [record])
                self._replace_controller()
            case "second_controller":
                self.replaced_controller = controller
                self._replace_controller()
                self.world.append(author, [record])

    def _request_action(self, controller: Controller, action: PlatformAction) -> None:
        if not self._should_inject(str(action.kind), action.instance):
            self.world.execute(action)
            return
        match self.fault:
            case "answer_lost":
                self.world.execute(action)
            case "refused":
                self.world.status_by_action[action.action_id] = ActionStatus.REFUSED
            case "slow":
                self.world.status_by_action[action.action_id] = ActionStatus.RUNNING
                self.delayed_deliveries.append((self.tick_number + SLOW_TICKS, action))
            case "repeated":
                self.world.execute(action)
                self.world.execute(action)
            case "crash_before":
                self._replace_controller()
            case "crash_after":
                self.world.execute(action)
                self._replace_controller()
            case "second_controller":
                self.replaced_controller = controller
                self._replace_controller()
                self.world.execute(action)
                self.world.execute(action)

    def _replace_controller(self) -> None:
        self.controller = Controller(self.world, "second")


@pytest.mark.parametrize(("kind", "step", "fault"), CASES)
def test_move_survives_fault(kind, step, fault):
    faulty_run = FaultyRun(kind, step, fault)
    faulty_run.run()
    world = faulty_run.world
    maintenance = world.state.maintenance
    move = maintenance.move_by_instance[TARGET]
    assert faulty_run.injected_count == 1
    assert move.stage in (MoveStage.JOINED, MoveStage.ABANDONED)
    wanted_pool = "north" if kind == "reboot" else "south"
    assert maintenance.pool_by_instance[TARGET] == wanted_pool
    assert set(maintenance.pool_by_instance) == set(world.workers)
    worker = world.workers[TARGET]
    assert worker.alive
    assert not worker.draining
    assert worker.boots >= (kind != "move")
    assert max(world.execution_counts.values()) == 1
    assert world.lost_tasks == 0
    assert world.budget_violations == []


def test_move_is_abandoned_if_work_never_ends():
    """Guards against a reboot that loses work which neither ends nor checkpoints."""
    world = SimulatedFleet(user_fleet(16, 65536), drain_s=float("inf"))
    controller = Controller(world, "first")
    wave = WaveCommand("w", WaveState.ABSENT, WaveState.RUNNING, ("north",))
    world.append("operator", [wave])
    stages = set()
    for _ in range(1500):
        controller.tick()
        stages |= {m.stage for m in world.state.maintenance.move_by_instance.values()}
    assert world.lost_tasks == 0
    assert MoveStage.ABANDONED in stages
    assert MoveStage.DRAINED not in stages


def test_move_ends_if_platform_refuses_every_reboot():
    """Guards against an instance that stays drained after refused reboots."""
    world = SimulatedFleet(user_fleet(16, 65536))
    controller = Controller(world, "first")
    wave = WaveCommand("w", WaveState.ABSENT, WaveState.RUNNING, ("north",))
    world.append("operator", [wave])
    for _ in range(100):
        plan = controller.plan()
        world.append("first", plan.records)
        for action in plan.actions:
            if action.kind == "reboot":
                world.status_by_action[action.action_id] = ActionStatus.REFUSED
            else:
                world.execute(action)
        world.advance(10)
    moves = world.state.maintenance.move_by_instance
    assert any(move.stage is MoveStage.JOINED for move in moves.values())
    texts = [item.text for item in controller.planner.explanations.for_pool("north")]
    assert any("refused to reboot" in text for text in texts)
    assert sum(worker.draining for worker in world.workers.values()) <= 1
