"""Repair and maintenance by a controller process, against workers that fail."""

from __future__ import annotations

import gevent
import pytest

from lycheeloom.model.records import Health, WaveState
from lycheeloom.operator import (
    Entries,
    Explanation,
    Operator,
    Published,
    WaveChanged,
)
from lycheeloom.platform import LogClient

from .conftest import Load, assert_invariants, start_world, wait_until

# Short times, within what the settings allow, so that a test ends soon.
SETTINGS = {"step_s": 0.2, "silent_s": 10, "dead_after_s": 20, "probation_s": 1}
HOLD_S = 25
RACK = ("w0", "w3")
# In another zone than the rack.
LONE_WORKER = "w1"
HELD = "because instances failed together"


@pytest.fixture
def world():
    """A fleet with two workers to a rack; all of a rack may be out at once."""
    for world in start_world(workers=12, workers_per_rack=2):
        result = world.publish("limits", "main", widen_limits)
        assert isinstance(result, Published), result
        yield world
        assert_invariants(world)


def widen_limits(draft):
    """Let a whole rack and more be out at once."""
    draft.change("pools", "main", max_unavailable=6, max_unavailable_per_rack=2)


class Maintenance:
    """A controller as operators see it, and the maintenance state in the log."""

    def __init__(self, world, **settings):
        self._controller = world.fleet.start_controller("c0", "north", **settings)
        world.fleet.wait_ready([self._controller])
        self.operator = Operator(
            LogClient(world.fleet.platform.log),
            world._entries(),
            "operator",
            controllers=Entries.at([self._controller.address]),
        )
        # The controller answers only once it holds the duty.
        wait_until(lambda: self.told("instance", "w0"))

    def told(self, kind, name):
        """Return the sentences that the controller gives as an explanation."""
        answer = self.operator.explain(kind, name)[self._controller.address]
        return list(answer.sentences) if isinstance(answer, Explanation) else []

    def state(self):
        """Return the maintenance state at the end of the log."""
        assert self.operator.refresh() is None
        return self.operator.view.state.maintenance

    def health(self, name):
        """Return the recorded health of an instance."""
        state = self.state().health_by_instance.get(name)
        return state.health if state is not None else Health.IN_SERVICE

    def is_held(self):
        """Tell whether the controller says that it holds maintenance."""
        return any(HELD in sentence for sentence in self.told("instance", "w2"))


def test_failed_rack_is_one_event_that_holds_maintenance(world):
    """Guards against repairs and waves that begin while a rack has just failed,
    and against a hold that operators are not told of.

    One worker of the rack refuses connections and the other does not answer, so
    they are found silent at different times.
    """
    maintenance = Maintenance(world, correlated_pause_s=HOLD_S, **SETTINGS)
    key = next(key for key, team in world.team_by_key.items() if team == "red")
    with Load(world, 3, lambda entry: world.submit("lookup", entry, key)):
        world.fleet.set_faults(RACK[0], down=True)
        world.fleet.set_faults(RACK[1], slow_ms=60_000)
        wait_until(maintenance.is_held)
        assert maintenance.state().health_by_instance == {}
        world.fleet.set_faults(RACK[0], down=False)
        world.fleet.set_faults(RACK[1], slow_ms=0)
        # A wave and a second fault come during the hold.
        world.fleet.set_faults(LONE_WORKER, down=True)
        result = maintenance.operator.command_wave("kernel", WaveState.RUNNING)
        assert isinstance(result, WaveChanged), result
        for kind, name in (*(("instance", name) for name in RACK), ("pool", "main")):
            told = maintenance.told(kind, name)
            assert any(
                "Rack north/north-r0 failed: 2 instances" in text for text in told
            ), told
            assert any("on hold" in text for text in told), told
        assert_nothing_starts_while_held(maintenance)
        wait_until(lambda: maintenance.health(LONE_WORKER) is Health.PROBATION)
        wait_until(lambda: maintenance.state().move_by_instance)
        assert not set(RACK) & set(maintenance.state().health_by_instance)
        aborted = maintenance.operator.command_wave("kernel", WaveState.ABORTED)
        assert isinstance(aborted, WaveChanged), aborted


def assert_nothing_starts_while_held(maintenance):
    """The log has no move and no repair as long as the controller tells of a hold.

    The log is read between two answers of the controller, so what it has was
    written before the second one.
    """
    was_silent = False
    while True:
        state = maintenance.state()
        moves, health = dict(state.move_by_instance), dict(state.health_by_instance)
        out = any(
            "out of service" in text
            for text in maintenance.told("instance", LONE_WORKER)
        )
        if not maintenance.is_held():
            break
        assert moves == {}
        assert health == {}
        was_silent = was_silent or out
        gevent.sleep(0.1)
    # Without the hold, repair would have begun.
    assert was_silent
