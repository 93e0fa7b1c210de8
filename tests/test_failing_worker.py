"""A worker that fails what entries start there, seen by the controller."""

from __future__ import annotations

from bench.fault_fleet import FaultFleet
from lycheeloom.clients import LogClient
from lycheeloom.fleet.monitor import SYMPTOM_TEXT, Symptom
from lycheeloom.log import recover
from lycheeloom.model.records import Health
from lycheeloom.state import FleetState

from .conftest import Load, wait_until


def read_state(world: FaultFleet) -> FleetState:
    """Return the state that the log holds now."""
    state = recover(LogClient(world.fleet.platform.log))
    assert isinstance(state, FleetState)
    return state


def test_failing_worker_is_put_on_probation_without_recorded_requests(lone_world):
    """Guards against a controller that sees only outcomes on record: lookups
    leave none, so a worker that fails them all was never repaired.
    """
    world = lone_world
    world.fleet.start_controller("c0", "mid")
    world.fleet.set_faults("w1", fail_all=True)
    key = world.keys_in_force[0]

    def health():
        return read_state(world).maintenance.health_by_instance

    with Load(world, 12, lambda entry: world.submit("lookup", entry, key)):
        wait_until(lambda: "w1" in health())
        state = read_state(world)
    found = state.maintenance.health_by_instance
    assert list(found) == ["w1"]
    assert found["w1"].health is Health.PROBATION
    assert found["w1"].reason == SYMPTOM_TEXT[Symptom.FAILING]
    assert not state.requests.request_by_id
