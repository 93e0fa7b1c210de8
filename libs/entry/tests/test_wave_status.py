"""The progress of maintenance waves in the status document."""

from itertools import count

import pytest

from lycheeloom.entry.wave_progress import FORECAST_TTL_S, MoveTimes, WaveProgress
from lycheeloom.fleet import PlannerSettings
from lycheeloom.log import ReplayedBatch
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


class ReplayedFleet:
    """A replayed state of three workers or four, and the wave progress in it."""

    def __init__(self, spare=False, **pool):
        self.state = FleetState()
        self.now = self.log_age = 0.0
        self.sequence = 0
        self.out = set()
        self.times = MoveTimes(lambda: self.log_age, lambda: self.now)
        # Each read is late enough for the forecasts to be computed again.
        self.read_at = count(step=2 * FORECAST_TTL_S).__next__
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
        self.times.on_replayed(ReplayedBatch(offset, batch, b"", applied))

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


def test_end_is_forecast_from_measured_moves():
    """Guards against the expected duration being used although moves have ended."""
    fleet = ReplayedFleet()
    fleet.start()
    assert fleet.status().ends_in_s == 3 * PlannerSettings().expected_move_s
    fleet.move("w1", step_s=10.0)
    assert fleet.status().ends_in_s == 2 * 40.0
    assert fleet.status().reason == ""


def test_elapsed_time_of_open_moves_is_subtracted():
    """Guards against a forecast that does not change while moves are open."""
    fleet = ReplayedFleet()
    fleet.start()
    fleet.move("w1", step_s=10.0)
    fleet.move("w2", JOINING[:2], step_s=10.0)
    assert fleet.status().ends_in_s == 2 * 40.0 - 20.0
    fleet.now += 1000.0
    assert fleet.status().ends_in_s == pytest.approx(2 * 40.0 - 36.0)


def test_moves_replayed_late_are_not_measured():
    """Guards against durations near 0 s, measured while the reader catches up."""
    fleet = ReplayedFleet()
    fleet.start()
    fleet.log_age = 60.0
    fleet.move("w1")
    fleet.log_age = 0.0
    assert fleet.status().ends_in_s == 2 * PlannerSettings().expected_move_s


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
    """Guards against a wave that waits without showing operators the reason."""
    fleet = ReplayedFleet(spare, **pool)
    fleet.start()
    fleet.move("w1", JOINING[:2])
    fleet.out.add("w1")
    if "of its pool in rack" in why:
        fleet.move("w3")
    status = fleet.status()
    assert status.reason.endswith(f"stays in service for now, because {why}.")
    assert status.in_progress == 1
    assert status.ends_in_s is not None


def test_reason_names_the_zone():
    """Guards against a zone's limit that is not given as the reason."""
    fleet = ReplayedFleet(max_unavailable=3, max_unavailable_per_rack=3)
    change = b'{"zones": {"z1": {"max_unavailable": 1}}}'
    fleet.append(ConfigChanged(1, change, "operator"))
    fleet.start()
    fleet.move("w3")
    fleet.move("w1", JOINING[:2])
    assert "1 of at most 1 instances in zone z1 are out" in fleet.status().reason


def test_end_is_unknown_while_faults_block_the_wave():
    """Guards against a forecast end for a wave that faults keep from starting."""
    fleet = ReplayedFleet()
    fleet.start()
    fleet.out.add("w1")
    status = fleet.status()
    assert "1 of at most 1 instances of pool main are out" in status.reason
    assert status.ends_in_s is None


def test_given_up_instances_are_not_waited_for():
    """Guards against a forecast that includes instances that no wave waits for."""
    fleet = ReplayedFleet()
    fleet.start()
    fleet.append(InstanceHealth("w1", Health.GIVEN_UP, 1, "broken"))
    fleet.move("w2", JOINING[:1])
    assert fleet.status().ends_in_s == 2 * PlannerSettings().expected_move_s


@pytest.mark.parametrize(
    ("wanted", "reason"),
    [
        (WaveState.PAUSED, "An operator paused it."),
        (WaveState.ABORTED, "An operator aborted it."),
    ],
)
def test_paused_and_aborted_waves_give_the_reason(wanted, reason):
    """Guards against a wave that is shown as stopped without a reason."""
    fleet = ReplayedFleet()
    fleet.start()
    fleet.command(wanted)
    assert fleet.status().reason == reason
    assert fleet.status().ends_in_s is None


@pytest.mark.parametrize("stage", [MoveStage.ABANDONED, MoveStage.DRAINING])
def test_a_finished_wave_is_not_changed_by_a_later_one(stage):
    """Guards against failures of a later wave that are shown for an earlier one."""
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
    """Guards against moves of a later wave that count for an aborted one."""
    fleet = ReplayedFleet(max_unavailable=3, max_unavailable_per_rack=3)
    fleet.start("a")
    fleet.move("w1", wave="a")
    fleet.move("w2", JOINING[:3], wave="a")
    fleet.move("w3", JOINING[:2], wave="a")
    fleet.command(WaveState.ABORTED, wave="a")
    assert counts(fleet.status("a")) == (1, 2, 0, 3)
    # Moves that were in progress at the abort are followed to their end.
    fleet.move("w2", JOINING[3:], wave="a")
    fleet.move("w3", [MoveStage.ABANDONED], wave="a")
    assert counts(fleet.status("a")) == (2, 0, 1, 3)
    fleet.start("b")
    fleet.move("w3", wave="b")
    fleet.move("w1", JOINING[:2], wave="b")
    assert counts(fleet.status("a")) == (2, 0, 1, 3)
    assert counts(fleet.status("b")) == (1, 1, 0, 3)
    fleet.state = FleetState.load_snapshot(fleet.state.dump_snapshot())
    assert counts(fleet.status("a")) == (2, 0, 1, 3)


def test_removed_instances_are_not_in_progress_forever():
    """Guards against an aborted wave with moves in progress that cannot end."""
    fleet = ReplayedFleet()
    fleet.start()
    fleet.move("w1", JOINING[:2])
    fleet.command(WaveState.ABORTED)
    fleet.append(ConfigChanged(1, b'{"instances": {"w1": null}}', "operator"))
    assert counts(fleet.status()) == (0, 0, 0, 3)


def test_forecasts_are_cached_for_some_seconds():
    """Guards against counting the whole fleet for each read of the status."""
    fleet = ReplayedFleet(max_unavailable=3, max_unavailable_per_rack=3)
    fleet.start("a")
    now, checked = [100.0], []
    fleet.progress = WaveProgress(
        lambda: fleet.state,
        lambda name: checked.append(name) or True,
        fleet.times,
        lambda: now[0],
    )
    first = fleet.status("a").ends_in_s
    fleet.move("w1", wave="a", step_s=1.0)
    assert fleet.status("a").done == 1
    assert fleet.status("a").ends_in_s == first
    assert len(checked) == 3
    # A new wave causes all forecasts to be computed again.
    fleet.start("b")
    assert fleet.status("b").ends_in_s is not None
    assert len(checked) == 6
    now[0] += FORECAST_TTL_S
    assert fleet.status("a").ends_in_s < first
    fleet.command(WaveState.PAUSED, wave="a")
    assert fleet.status("a").ends_in_s is None
