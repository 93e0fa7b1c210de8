"""Repair and maintenance by a controller process, against workers that fail."""

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

from .conftest import Load, assert_invariants, start_world, wait_until

# Short times, within what the settings allow, so that a test ends soon.
SETTINGS = {"step_s": 0.2, "silent_s": 10, "dead_after_s": 20, "probation_s": 1}
# Long enough for a slow machine to find the lone worker silent within the hold.
HOLD_S = 40
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
    key = next(
        key
        for key, organisation in world.organisation_by_key.items()
        if organisation == "red"
    )
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


def test_silent_worker_is_rebooted_tried_and_given_up(world):
    """Guards against a worker that is rebooted for ever, or never tried again.

    A reboot makes the first worker answer again, and it passes its trial. The
    second one stays silent.
    """
    maintenance = Maintenance(world, max_reboots=2, **SETTINGS)
    key = next(
        key
        for key, organisation in world.organisation_by_key.items()
        if organisation == "blue"
    )
    mended, dead = "w4", "w8"
    with Load(world, 6, lambda entry: run_batch(world, entry, key)):
        world.fleet.set_faults(mended, down=True)
        wait_until(lambda: maintenance.health(mended) is Health.REBOOTING)
        wait_until(lambda: maintenance.health(mended) is Health.PROBATION)
        wait_until(lambda: maintenance.health(mended) is Health.IN_SERVICE)
    assert_told_in_order(
        maintenance.told("instance", mended),
        "is on probation and gets single trial tasks only, because nothing was heard",
        "is taken out to be rebooted, because nothing was heard from it, reboot 1 of 2",
        "is being rebooted",
        "is on probation and gets single trial tasks only, because it is on trial",
        "is in normal service, because",
    )

    world.fleet.set_faults(dead, slow_ms=60_000)
    wait_until(lambda: maintenance.health(dead) is Health.REBOOTING)
    wait_until(lambda: maintenance.health(dead) is Health.PROBATION)
    wait_until(lambda: maintenance.health(dead) is Health.REBOOTING)
    wait_until(lambda: maintenance.health(dead) is Health.GIVEN_UP)
    given_up_at = len(starts_at(world, dead))
    assert_told_in_order(
        maintenance.told("instance", dead),
        "is on probation and gets single trial tasks only, because nothing was heard",
        "is taken out to be rebooted, because nothing was heard from it, reboot 1 of 2",
        "is being rebooted",
        "because it is on trial after reboot 1 of 2",
        "is taken out to be rebooted, because nothing was heard from it, reboot 2 of 2",
        "is being rebooted",
        "because it is on trial after reboot 2 of 2",
        "has been given up and needs a person to look at it, because nothing was heard",
    )
    assert reboots_by_platform(world, dead) == 2
    # It answers again, but only a person may return it.
    world.fleet.set_faults(dead, slow_ms=0)
    key = next(
        key
        for key, organisation in world.organisation_by_key.items()
        if organisation == "red"
    )
    with Load(world, 6, lambda entry: world.submit("lookup", entry, key)) as load:
        load.wait_for_more(100)
    assert maintenance.health(dead) is Health.GIVEN_UP
    assert len(starts_at(world, dead)) == given_up_at


def run_batch(world, entry, key):
    """Submit a batch request and collect its answer.

    Only recorded requests tell the controller of trials, and only idempotent ones
    are used for them while there are other workers.
    """
    batch = world.submit("batch", entry, key, idempotent=True)
    assert batch.is_accepted_batch, batch
    wait_until(lambda: world.collect(batch, entry, 1000).is_final)
    return batch


def reboots_by_platform(world, name):
    """Return how many reboots of recorded moves the platform has carried out."""
    answer = LogClient(world.fleet.platform.log).read(0, 10_000, 0.0)
    moves = {
        record.move_id
        for encoded in answer.batches
        for record in decode_batch(encoded).records
        if isinstance(record, MoveStep) and record.instance == name
    }
    platform = world.fleet.platform.instances
    answers = [
        world.fleet.call(platform, "GET", f"/v1/actions/{move}.rebooting")
        for move in moves
    ]
    return [document.get("state") for _, document in answers].count("done")


def starts_at(world, worker):
    """Return the starts at a worker."""
    return [start for start in world.fleet.ledger() if start["worker"] == worker]


def assert_told_in_order(told, *parts):
    """Each part is in a sentence, and later ones in later sentences."""
    rest = iter(told)
    for part in parts:
        assert any(part in sentence for sentence in rest), (part, told)
