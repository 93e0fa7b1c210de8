"""Tests that the controller detects a worker on which every task fails."""

from __future__ import annotations

from bench.fault_fleet import FaultFleet
from lycheeloom.clients import LogClient
from lycheeloom.fleet.monitor import SYMPTOM_TEXT, Symptom
from lycheeloom.log import recover
from lycheeloom.model.records import Health
from lycheeloom.state import FleetState

from .conftest import Load, wait_until


def read_state(harness: FaultFleet) -> FleetState:
    """Return the state replayed from the log up to its current end."""
    state = recover(LogClient(harness.fleet.platform.log))
    assert isinstance(state, FleetState)
    return state


def test_failing_worker_is_put_on_probation_without_recorded_requests(isolated_harness):
    """Guards against a controller that counts only outcomes recorded in the log.

    Lookups leave no record in the log, so a worker on which all lookups failed was
    never repaired.
    """
    harness = isolated_harness
    harness.fleet.start_controller("c0", "mid")
    harness.fleet.set_faults("w1", fail_all=True)
    key = harness.keys_in_force[0]

    def health_by_instance():
        return read_state(harness).maintenance.health_by_instance

    with Load(harness, 12, lambda entry: harness.submit("lookup", entry, key)):
        wait_until(lambda: "w1" in health_by_instance())
        state = read_state(harness)
    final_health = state.maintenance.health_by_instance
    assert list(final_health) == ["w1"]
    assert final_health["w1"].health is Health.PROBATION
    assert final_health["w1"].reason == SYMPTOM_TEXT[Symptom.FAILING]
    assert not state.requests.request_by_id
