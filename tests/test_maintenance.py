"""Tests repair and maintenance by a controller process when workers fail."""

from __future__ import annotations

import gevent
import pytest

from lycheeloom.clients import LogClient
from lycheeloom.model.records import Health, MoveStep, WaveState
from lycheeloom.operator import (
    Entries,
    Explanation,
    Operator,
    Published,
    WaveChanged,
)
from lycheeloom.wire import decode_batch

from .conftest import Load, assert_invariants, wait_until, yield_harness

# Settings of the controller. The times are short, within the range that the settings
# allow, to keep the tests fast.
CONTROLLER_SETTINGS = {
    "step_s": 0.2,
    "silent_s": 10,
    "dead_after_s": 20,
    "probation_s": 1,
}
# How long maintenance is on hold after a correlated failure. On a slow machine too, the
# controller must find UNRELATED_WORKER silent within this time.
HOLD_S = 40
# The workers of one rack.
FAILED_RACK = ("w0", "w3")
# A worker in another zone than the failed rack.
UNRELATED_WORKER = "w1"
HOLD_TEXT = "because instances failed together"


@pytest.fixture
def harness():
    """A fleet with two workers per rack; its limits let a whole rack be unavailable."""
    for harness in yield_harness(workers=12, workers_per_rack=2):
        result = harness.publish("limits", "main", raise_unavailability_limits)
        assert isinstance(result, Published), result
        yield harness
        assert_invariants(harness)


def raise_unavailability_limits(draft):
    """Let more workers than those of one rack be unavailable at once."""
    draft.change("pools", "main", max_unavailable=6, max_unavailable_per_rack=2)


class MaintenanceView:
    """Starts a controller and reads its explanations and the state in the log."""

    def __init__(self, harness, **settings):
        self._controller = harness.fleet.start_controller("c0", "north", **settings)
        harness.fleet.wait_ready([self._controller])
        self.operator = Operator(
            LogClient(harness.fleet.platform.log),
            harness._entries(),
            "operator",
            controllers=Entries.at([self._controller.address]),
        )
        # The controller gives explanations only once it holds the duty.
        wait_until(lambda: self.explain("instance", "w0"))

    def explain(self, kind, name):
        """Return the sentences of the controller's explanation, if it gives one."""
        answer = self.operator.explain(kind, name)[self._controller.address]
        return list(answer.sentences) if isinstance(answer, Explanation) else []

    def state(self):
        """Return the maintenance state at the end of the log."""
        assert self.operator.refresh() is None
        return self.operator.view.state.maintenance

    def health(self, name):
        """Return the health of an instance: as recorded, else in service."""
        state = self.state().health_by_instance.get(name)
        return state.health if state is not None else Health.IN_SERVICE

    def is_on_hold(self):
        """Tell whether the controller reports that maintenance is on hold."""
        return any(HOLD_TEXT in sentence for sentence in self.explain("instance", "w2"))


def test_failed_rack_is_one_event_that_puts_maintenance_on_hold(harness):
    """Guards against repairs and waves that start just after a rack has failed, and
    against a hold that is not explained to operators.

    One worker of the rack refuses connections and the other does not answer, so
    the controller finds them silent at different times.
    """
    maintenance = MaintenanceView(
        harness, correlated_pause_s=HOLD_S, **CONTROLLER_SETTINGS
    )
    key = next(
        key for key, owner in harness.organisation_by_key.items() if owner == "red"
    )
    with Load(harness, 3, lambda entry: harness.submit("lookup", entry, key)):
        harness.fleet.set_faults(FAILED_RACK[0], down=True)
        harness.fleet.set_faults(FAILED_RACK[1], slow_ms=60_000)
        wait_until(maintenance.is_on_hold)
        assert maintenance.state().health_by_instance == {}
        harness.fleet.set_faults(FAILED_RACK[0], down=False)
        harness.fleet.set_faults(FAILED_RACK[1], slow_ms=0)
        # During the hold a wave is started and another worker fails.
        harness.fleet.set_faults(UNRELATED_WORKER, down=True)
        result = maintenance.operator.command_wave("kernel", WaveState.RUNNING)
        assert isinstance(result, WaveChanged), result
        for kind, name in (
            *(("instance", name) for name in FAILED_RACK),
            ("pool", "main"),
        ):
            sentences = maintenance.explain(kind, name)
            assert any(
                "Rack north/north-r0 failed: 2 instances" in text for text in sentences
            ), sentences
            assert any("on hold" in text for text in sentences), sentences
        assert_nothing_starts_during_hold(maintenance)
        wait_until(lambda: maintenance.health(UNRELATED_WORKER) is Health.PROBATION)
        wait_until(lambda: maintenance.state().move_by_instance)
        assert not set(FAILED_RACK) & set(maintenance.state().health_by_instance)
        aborted = maintenance.operator.command_wave("kernel", WaveState.ABORTED)
        assert isinstance(aborted, WaveChanged), aborted


def assert_nothing_starts_during_hold(maintenance):
    """Check that no move and no repair is in the log while maintenance is on hold.

    The log is read between two answers of the controller. If the second answer
    still reports the hold, all that was read was written before the hold ended.
    """
    was_out_of_service = False
    while True:
        state = maintenance.state()
        moves, health = dict(state.move_by_instance), dict(state.health_by_instance)
        is_out_of_service = any(
            "out of service" in text
            for text in maintenance.explain("instance", UNRELATED_WORKER)
        )
        if not maintenance.is_on_hold():
            break
        assert moves == {}
        assert health == {}
        was_out_of_service = was_out_of_service or is_out_of_service
        gevent.sleep(0.1)
    # The controller found UNRELATED_WORKER out of service while maintenance was on
    # hold, so without the hold the repair of this worker would have started.
    assert was_out_of_service


def test_silent_worker_is_rebooted_tried_and_given_up(harness):
    """Guards against a worker that is rebooted without end, or that gets no trial
    tasks after a reboot.

    The reboot makes the first worker answer again, and it passes its trial. The
    second one stays silent.
    """
    maintenance = MaintenanceView(harness, max_reboots=2, **CONTROLLER_SETTINGS)
    key = next(
        key for key, owner in harness.organisation_by_key.items() if owner == "blue"
    )
    recovering, dead = "w4", "w8"
    with Load(harness, 6, lambda entry: run_batch(harness, entry, key)):
        harness.fleet.set_faults(recovering, down=True)
        wait_until(lambda: maintenance.health(recovering) is Health.REBOOTING)
        wait_until(lambda: maintenance.health(recovering) is Health.PROBATION)
        wait_until(lambda: maintenance.health(recovering) is Health.IN_SERVICE)
    assert_explained_in_order(
        maintenance.explain("instance", recovering),
        "is on probation and gets single trial tasks only, because nothing was heard",
        "is taken out to be rebooted, because nothing was heard from it, reboot 1 of 2",
        "is being rebooted",
        "is on probation and gets single trial tasks only, because it is on trial",
        "is in normal service, because",
    )

    harness.fleet.set_faults(dead, slow_ms=60_000)
    wait_until(lambda: maintenance.health(dead) is Health.REBOOTING)
    wait_until(lambda: maintenance.health(dead) is Health.PROBATION)
    wait_until(lambda: maintenance.health(dead) is Health.REBOOTING)
    wait_until(lambda: maintenance.health(dead) is Health.GIVEN_UP)
    starts_when_given_up = len(starts_at(harness, dead))
    assert_explained_in_order(
        maintenance.explain("instance", dead),
        "is on probation and gets single trial tasks only, because nothing was heard",
        "is taken out to be rebooted, because nothing was heard from it, reboot 1 of 2",
        "is being rebooted",
        "because it is on trial after reboot 1 of 2",
        "is taken out to be rebooted, because nothing was heard from it, reboot 2 of 2",
        "is being rebooted",
        "because it is on trial after reboot 2 of 2",
        "has been given up and needs a person to look at it, because nothing was heard",
    )
    assert count_completed_reboots(harness, dead) == 2
    # The worker answers again, but only a person may return it to service.
    harness.fleet.set_faults(dead, slow_ms=0)
    key = next(
        key for key, owner in harness.organisation_by_key.items() if owner == "red"
    )
    with Load(harness, 6, lambda entry: harness.submit("lookup", entry, key)) as load:
        load.wait_for_more_calls(100)
    assert maintenance.health(dead) is Health.GIVEN_UP
    assert len(starts_at(harness, dead)) == starts_when_given_up


def run_batch(harness, entry, key):
    """Submit an idempotent batch request and wait for its answer.

    The controller learns of trial tasks only from recorded requests, and as long as
    there are other workers, only idempotent requests are used as trial tasks.
    """
    batch = harness.submit("batch", entry, key, idempotent=True)
    assert batch.is_accepted_batch, batch
    wait_until(lambda: harness.collect(batch, entry, 1000).is_final)
    return batch


def count_completed_reboots(harness, name):
    """Return how many reboots of an instance the platform has completed.

    The reboots are looked up by the moves that are recorded for the instance.
    """
    answer = LogClient(harness.fleet.platform.log).read(0, 10_000, 0.0)
    move_ids = {
        record.move_id
        for encoded in answer.batches
        for record in decode_batch(encoded).records
        if isinstance(record, MoveStep) and record.instance == name
    }
    platform = harness.fleet.platform.instances
    answers = [
        harness.fleet.call(platform, "GET", f"/v1/actions/{move_id}.rebooting")
        for move_id in move_ids
    ]
    return [document.get("state") for _, document in answers].count("done")


def starts_at(harness, worker):
    """Return the task starts at a worker, from the ledger."""
    return [start for start in harness.fleet.ledger() if start["worker"] == worker]


def assert_explained_in_order(sentences, *parts):
    """Check that each part is in a sentence, and each later part in a later one."""
    remaining = iter(sentences)
    for part in parts:
        assert any(part in sentence for sentence in remaining), (part, sentences)
