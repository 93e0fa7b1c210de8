"""The progress of maintenance waves in the status document."""

from itertools import count

import pytest

from lycheeloom.entry.wave_progress import FORECAST_KEPT_S, MoveTimes, WaveProgress
from lycheeloom.fleet import PlannerSettings
from lycheeloom.log import Replayed
from lycheeloom.model.config import canonical_json
from lycheeloom.model.records import (
    Batch,
    ConfigChanged,
    Duty,
    DutyClaimed,
    Health,
    InstanceHealth,
    MoveStage,
    MoveStep,
    WaveCommand,
    WaveState,
)
from lycheeloom.state import FleetState
from lycheeloom.state.fleet_state import SnapshotContent
from lycheeloom.state.maintenance import Maintenance, Move, Wave

JOINING = (
    MoveStage.PLANNED,
    MoveStage.DRAINING,
    MoveStage.DRAINED,
    MoveStage.REBOOTING,
    MoveStage.JOINED,
)


class World:
    """A replayed state with four workers, and the progress that it shows."""

    def __init__(self, spare=False, **pool):
        self.state = FleetState()
        self.now = self.log_age = 0.0
        self.sequence = 0
        self.out = set()
        self.times = MoveTimes(lambda: self.log_age, lambda: self.now)
        # Between two reads forecasts grow old.
        self.read_at = count(step=2 * FORECAST_KEPT_S).__next__
        self.progress = WaveProgress(
            lambda: self.state,
            lambda name: name not in self.out,
            self.times,
            lambda: self.read_at(),
        )
        places = {"w1": ("z1", "r1"), "w2": ("z1", "r1"), "w3": ("z2", "r2")}
        pools = {"main": {"needed": 1, "max_unavailable": 1, **pool}}
        if spare:
            pools["spare"] = {"spare": True}
            places["s1"] = ("z2", "r2")
        document = {
            "zones": {"z1": {"max_unavailable": 2}, "z2": {}},
            "pools": pools,
            "instances": {
                name: {
                    "pool": "spare" if name == "s1" else "main",
                    "zone": zone,
                    "rack": rack,
                    "address": f"127.0.0.1:{port}",
                    "cores": 8,
                    "memory_mb": 1024,
                }
                for port, (name, (zone, rack)) in enumerate(places.items(), 1)
            },
        }
        self.append(ConfigChanged(0, canonical_json(document), "operator"))
        self.append(DutyClaimed(Duty.MAINTENANCE, 0))

    def append(self, *records):
        self.sequence += 1
        offset, batch = self.state.next_offset, Batch("c", self.sequence, records)
        applied = self.state.apply(offset, batch)
        assert all(applied.effective)
        self.times.on_replayed(Replayed(offset, batch, b"", applied))

    def command(self, wanted, expected=WaveState.RUNNING, wave="w", pools=("main",)):
        self.append(WaveCommand(wave, expected, wanted, pools))

    def start(self, wave="w"):
        self.command(WaveState.RUNNING, WaveState.ABSENT, wave)

    def move(self, name, stages=JOINING, step_s=0.0, wave="w"):
        for stage in stages:
            move_id = f"wave.{wave}.{name}.1"
            self.append(MoveStep(name, move_id, stage, 1, "main", True))
            self.now += step_s

    def status(self, wave="w"):
        return self.progress.statuses()[wave]


def test_end_is_foretold_from_measured_moves():
    """Guards against an assumed duration although moves have ended."""
    world = World()
    world.start()
    assert world.status().ends_in_s == 3 * PlannerSettings().expected_move_s
    world.move("w1", step_s=10.0)
    assert world.status().ends_in_s == 2 * 40.0
    assert world.status().reason == ""


def test_time_of_open_moves_is_taken_off():
    """Guards against an end that stays the same for the whole of a round."""
    world = World()
    world.start()
    world.move("w1", step_s=10.0)
    world.move("w2", JOINING[:2], step_s=10.0)
    assert world.status().ends_in_s == 2 * 40.0 - 20.0
    world.now += 1000.0
    assert world.status().ends_in_s == pytest.approx(2 * 40.0 - 36.0)


def test_moves_replayed_late_are_not_measured():
    """Guards against moves that seem to take no time to a reader catching up."""
    world = World()
    world.start()
    world.log_age = 60.0
    world.move("w1")
    world.log_age = 0.0
    assert world.status().ends_in_s == 2 * PlannerSettings().expected_move_s


@pytest.mark.parametrize(
    ("pool", "spare", "why"),
    [
        ({}, False, "1 of at most 1 instances of pool main are out"),
        (
            {"max_unavailable": 3, "max_unavailable_per_rack": 1},
            False,
            "1 of at most 1 of its pool in rack z1/r1 are out",
        ),
        (
            {"max_unavailable": 3, "max_unavailable_per_rack": 3, "needed": 2},
            False,
            "pool main has 2 in service and needs 2",
        ),
        (
            {"max_unavailable": 3, "max_unavailable_per_rack": 3, "needed": 2},
            True,
            "that would use the last spare instance",
        ),
    ],
)
def test_reason_names_the_limit(pool, spare, why):
    """Guards against a wave that waits without an operator being told why."""
    world = World(spare, **pool)
    world.start()
    world.move("w1", JOINING[:2])
    world.out.add("w1")
    if "of its pool in rack" in why:
        world.move("w3")
    status = world.status()
    assert status.reason.endswith(f"stays in service for now, because {why}.")
    assert status.in_progress == 1
    assert status.ends_in_s is not None


def test_reason_names_the_zone():
    """Guards against a zone's budget that is not told as the reason."""
    world = World(max_unavailable=3, max_unavailable_per_rack=3)
    change = b'{"zones": {"z1": {"max_unavailable": 1}}}'
    world.append(ConfigChanged(1, change, "operator"))
    world.start()
    world.move("w3")
    world.move("w1", JOINING[:2])
    assert "1 of at most 1 instances in zone z1 are out" in world.status().reason


def test_end_is_unknown_while_the_wave_can_make_no_room():
    """Guards against an end foretold for a wave that faults keep from starting."""
    world = World()
    world.start()
    world.out.add("w1")
    status = world.status()
    assert "1 of at most 1 instances of pool main are out" in status.reason
    assert status.ends_in_s is None


def test_given_up_instances_are_not_waited_for():
    """Guards against an end that includes instances that no wave waits for."""
    world = World()
    world.start()
    world.append(InstanceHealth("w1", Health.GIVEN_UP, 1, "broken"))
    world.move("w2", JOINING[:1])
    assert world.status().ends_in_s == 2 * PlannerSettings().expected_move_s


@pytest.mark.parametrize(
    ("wanted", "reason"),
    [
        (WaveState.PAUSED, "An operator paused it."),
        (WaveState.ABORTED, "An operator aborted it."),
    ],
)
def test_commanded_waves_say_so(wanted, reason):
    """Guards against a wave that stands still without a reason."""
    world = World()
    world.start()
    world.command(wanted)
    assert world.status().reason == reason
    assert world.status().ends_in_s is None


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
    state = FleetState(SnapshotContent(maintenance=maintenance))
    times = MoveTimes(lambda: 0.0)
    progress = WaveProgress(lambda: state, lambda name: True, times)
    first, second = progress.statuses().values()
    assert (first.done, first.in_progress, first.failed) == (1, 0, 0)
    assert second.done == 0
    assert second.in_progress + second.failed == 1


def counts(status):
    return status.done, status.in_progress, status.failed, status.total


def test_an_aborted_wave_is_not_changed_by_a_later_one():
    """Guards against a later wave that seems to continue one that was aborted."""
    world = World(max_unavailable=3, max_unavailable_per_rack=3)
    world.start("a")
    world.move("w1", wave="a")
    world.move("w2", JOINING[:3], wave="a")
    world.move("w3", JOINING[:2], wave="a")
    world.command(WaveState.ABORTED, wave="a")
    assert counts(world.status("a")) == (1, 2, 0, 3)
    # What was in progress at the abort is still followed to its end.
    world.move("w2", JOINING[3:], wave="a")
    world.move("w3", [MoveStage.ABANDONED], wave="a")
    assert counts(world.status("a")) == (2, 0, 1, 3)
    world.start("b")
    world.move("w3", wave="b")
    world.move("w1", JOINING[:2], wave="b")
    assert counts(world.status("a")) == (2, 0, 1, 3)
    assert counts(world.status("b")) == (1, 1, 0, 3)
    world.state = FleetState.load_snapshot(world.state.dump_snapshot())
    assert counts(world.status("a")) == (2, 0, 1, 3)


def test_removed_instances_are_not_in_progress_for_good():
    """Guards against an aborted wave with moves in progress that cannot end."""
    world = World()
    world.start()
    world.move("w1", JOINING[:2])
    world.command(WaveState.ABORTED)
    world.append(ConfigChanged(1, b'{"instances": {"w1": null}}', "operator"))
    assert counts(world.status()) == (0, 0, 0, 3)


def test_forecasts_are_kept_for_some_seconds():
    """Guards against a whole count of the fleet for each read of the status."""
    world = World(max_unavailable=3, max_unavailable_per_rack=3)
    world.start("a")
    now, looks = [100.0], []
    world.progress = WaveProgress(
        lambda: world.state,
        lambda name: looks.append(name) or True,
        world.times,
        lambda: now[0],
    )
    first = world.status("a").ends_in_s
    world.move("w1", wave="a", step_s=1.0)
    assert world.status("a").done == 1
    assert world.status("a").ends_in_s == first
    assert len(looks) == 3
    # A wave that is new is not shown with the forecast of another.
    world.start("b")
    assert world.status("b").ends_in_s is not None
    assert len(looks) == 6
    now[0] += FORECAST_KEPT_S
    assert world.status("a").ends_in_s < first
    world.command(WaveState.PAUSED, wave="a")
    assert world.status("a").ends_in_s is None
