"""Maintenance waves against instances in memory."""

from __future__ import annotations

import gevent
import pytest
from libs.coordinator.tests.fakes import ID, World, make_job, wait_until

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.dispatcher import Dispatcher
from lycheeloom.coordinator.inventory import Inventory
from lycheeloom.coordinator.maintenance import Maintenance, WaveOrder
from lycheeloom.coordinator.order_guard import OrderGuard
from lycheeloom.coordinator.ports import (
    CallOutcome,
    CallReply,
    Instance,
    InstanceState,
)
from lycheeloom.jobs.model import EndKind, Step

MAINTENANCE_S = 0.3


class FakeInstances:
    """One instance for each worker; records what is ordered."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.maintained: list[str] = []
        # Answers of the next orders, before they are carried out.
        self.outcomes: list[CallOutcome] = []
        self._back_at_s: dict[str, float] = {}

    def list_instances(self) -> tuple[Instance, ...]:
        return tuple(
            Instance(
                f"m-{w.worker_id}",
                w.pool,
                self._state(w.worker_id),
                w.zone,
                w.worker_id,
            )
            for w in self._world.view.worker_by_id.values()
        )

    def maintain(self, instance_id: str, wave: str, token: int) -> CallReply:
        if self.outcomes:
            return CallReply(self.outcomes.pop(0))
        worker_id = instance_id.removeprefix("m-")
        assert not self._world.workers.at(worker_id).running
        self.maintained.append(instance_id)
        self._back_at_s[worker_id] = steady_s() + MAINTENANCE_S
        return CallReply(CallOutcome.DONE)

    def away_for(self, instance_id: str, duration_s: float) -> None:
        """Let an instance be in maintenance that another leader has ordered."""
        worker_id = instance_id.removeprefix("m-")
        self._back_at_s[worker_id] = steady_s() + duration_s

    def move(self, instance_id: str, pool: str, token: int) -> CallReply:
        return CallReply(CallOutcome.REFUSED)

    def _state(self, worker_id: str) -> InstanceState:
        is_away = steady_s() < self._back_at_s.get(worker_id, 0.0)
        return InstanceState.MAINTENANCE if is_away else InstanceState.UP


@pytest.fixture
def instances(world):
    """Instances of the world's workers."""
    return FakeInstances(world)


def run_wave(
    world: World,
    dispatcher: Dispatcher,
    instances: FakeInstances,
    token: int = 1,
    lease_s: float = 0.0,
) -> Maintenance:
    """Let a leader work on a wave of all instances, one at once."""
    inventory = Inventory(instances, dispatcher.writer)
    turns = OrderGuard(
        dispatcher.replica, dispatcher.writer, lease_s, had_leader=lease_s > 0
    )
    order = WaveOrder("1", ("m-w0", "m-w1"), 20.0, 1, steady_s())
    maintenance = Maintenance(
        dispatcher,
        inventory,
        turns,
        instances,
        world.store,
        {"1": order},
        dispatcher.replica.table.begun_by_wave,
        MAINTENANCE_S,
    )
    world.spawn(inventory.run)
    world.spawn(maintenance.run)
    return maintenance


def test_wave_maintains_each_instance_once(world, instances):
    """Guards against a wave said to be complete before all have begun."""
    run_wave(world, world.lead(), instances)
    wait_until(lambda: ("1", "completed") in world.store.wave_states)
    assert sorted(instances.maintained) == ["m-w0", "m-w1"]
    assert world.store.wave_states == [("1", "running"), ("1", "completed")]


def test_tasks_end_before_their_instance_goes(world, instances):
    """Guards against maintenance that ends tasks which could have finished."""
    # Each task needs more than half of a worker.
    world.store.add_job(make_job(ID, Step(2, 5000)))
    dispatcher = world.lead()
    wait_until(lambda: len(world.workers.begun) == 2)
    run_wave(world, dispatcher, instances)
    gevent.sleep(0.5)
    assert instances.maintained == []
    world.workers.end_all()
    wait_until(lambda: len(instances.maintained) == 2)


def test_long_running_task_moves_first(world, instances):
    """Guards against a service that never leaves an instance due for maintenance."""
    step = Step(1, 1000, long_running=True, may_miss=1)
    world.store.add_job(make_job(ID, step))
    dispatcher = world.lead()
    wait_until(lambda: len(world.workers.begun) == 1)
    for fake in world.workers.by_id.values():
        fake.percent = 100
    run_wave(world, dispatcher, instances)
    wait_until(lambda: len(instances.maintained) == 2)
    assert len(world.workers.begun) >= 2


def test_instance_sent_away_by_the_leader_before_counts(world, instances):
    """Guards against more instances away at once than a wave allows.

    Pattern: the leader is lost while instances of a wave are in maintenance, and
    the next one orders at once.
    """
    instances.away_for("m-w0", 1.0)
    began_s = steady_s()
    run_wave(world, world.lead(), instances)
    wait_until(lambda: "m-w1" in instances.maintained)
    assert steady_s() - began_s >= 1.0


def test_order_that_may_be_on_its_way_counts(world, instances):
    """Guards against an instance that goes away just after the list was read."""
    world.store.append_order("m-w0")
    began_s = steady_s()
    run_wave(world, world.lead(), instances, lease_s=1.0)
    wait_until(lambda: "m-w1" in instances.maintained)
    assert steady_s() - began_s >= 1.0


def test_new_leader_reads_the_lists_before_it_orders(world, instances):
    """Guards against maintenance that ends tasks which a new leader does not know."""
    # Each task needs more than half of a worker.
    world.store.add_job(make_job(ID, Step(2, 5000)))
    world.lead(1)
    wait_until(lambda: len(world.workers.begun) == 2)
    for fake in world.workers.by_id.values():
        fake.is_silent = True
    run_wave(world, world.lead(2), instances, token=2)
    gevent.sleep(1.0)
    assert instances.maintained == []
    for fake in world.workers.by_id.values():
        fake.is_silent = False
    gevent.sleep(0.5)
    assert instances.maintained == []
    world.workers.end_all(EndKind.DONE)
    wait_until(lambda: len(instances.maintained) == 2)


def test_new_leader_goes_on_with_a_wave(world, instances):
    """Guards against a second maintenance of instances that had theirs."""
    dispatcher = world.lead(1)
    run_wave(world, dispatcher, instances)
    wait_until(lambda: len(instances.maintained) == 1)
    wait_until(lambda: any(r.key == "w1" for r in world.store.records))
    dispatcher.writer.is_fenced = True
    run_wave(world, world.lead(2), instances, token=2)
    wait_until(lambda: ("1", "completed") in world.store.wave_states)
    assert sorted(instances.maintained) == ["m-w0", "m-w1"]


def test_busy_instance_is_ordered_again(world, instances):
    """Guards against a wave that gives up after an order was refused."""
    instances.outcomes = [CallOutcome.REFUSED, CallOutcome.UNKNOWN]
    run_wave(world, world.lead(), instances)
    wait_until(lambda: len(instances.maintained) == 2)
