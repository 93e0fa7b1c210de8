"""Tests of maintenance waves, with a fake instance for each worker."""

from __future__ import annotations

import dataclasses

import gevent
import pytest
from libs.coordinator.tests.fakes import JOB_ID, FakeCluster, make_job, wait_until

from lycheeloom.coordinator.clock import steady_s, wall_ms
from lycheeloom.coordinator.dispatcher import Dispatcher
from lycheeloom.coordinator.inventory import Inventory
from lycheeloom.coordinator.maintenance import Maintenance, WaveOrder
from lycheeloom.coordinator.order_guard import MAX_EXECUTION_DELAY_S, OrderGuard
from lycheeloom.coordinator.ports import (
    CallOutcome,
    CallReply,
    Instance,
    InstanceState,
)
from lycheeloom.jobs.model import EndKind, Step, Worker

MAINTENANCE_S = 0.3


class FakeInstances:
    """An instance port with one instance per worker, without pool moves.

    An instance is unavailable for ``MAINTENANCE_S`` after its maintenance was ordered.
    Fails the test if tasks run on the instance then.
    """

    def __init__(self, cluster: FakeCluster) -> None:
        self._cluster = cluster
        # Ids of the instances whose maintenance was ordered, in order.
        self.maintained: list[str] = []
        # Outcomes of the next maintenance orders, which have no effect.
        self.failures: list[CallOutcome] = []
        # Workers that have an instance, but that the platform does not list.
        self.unlisted_workers: list[Worker] = []
        # Workers whose instances are being moved.
        self.moving: set[str] = set()
        # End of the last maintenance, by worker id.
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
            for w in [
                *self._cluster.view.worker_by_id.values(),
                *self.unlisted_workers,
            ]
        )

    def maintain(self, instance_id: str, wave: str, token: int) -> CallReply:
        if self.failures:
            return CallReply(self.failures.pop(0))
        worker_id = instance_id.removeprefix("m-")
        assert not self._cluster.workers.worker(worker_id).running
        self.maintained.append(instance_id)
        self._back_at_s[worker_id] = steady_s() + MAINTENANCE_S
        return CallReply(CallOutcome.DONE)

    def begin_maintenance(self, instance_id: str, duration_s: float) -> None:
        """Put an instance into maintenance, as if ordered by another leader."""
        worker_id = instance_id.removeprefix("m-")
        self._back_at_s[worker_id] = steady_s() + duration_s

    def move(self, instance_id: str, pool: str, token: int) -> CallReply:
        return CallReply(CallOutcome.REFUSED)

    def _state(self, worker_id: str) -> InstanceState:
        if worker_id in self.moving:
            return InstanceState.MOVING
        is_away = steady_s() < self._back_at_s.get(worker_id, 0.0)
        return InstanceState.MAINTENANCE if is_away else InstanceState.UP


@pytest.fixture
def instances(cluster):
    """Fake instances of the cluster's workers."""
    return FakeInstances(cluster)


def run_wave(
    cluster: FakeCluster,
    dispatcher: Dispatcher,
    instances: FakeInstances,
    token: int = 1,
    lease_s: float = 0.0,
) -> Maintenance:
    """Let a leader carry out a wave of the two instances, one at a time.

    With ``lease_s`` > 0, the leader has a predecessor whose orders it must respect.
    """
    inventory = Inventory(instances, dispatcher.writer)
    order_guard = OrderGuard(
        dispatcher.replica, dispatcher.writer, lease_s, had_leader=lease_s > 0
    )
    order = WaveOrder("1", ("m-w0", "m-w1"), 20.0, 1, steady_s())
    maintenance = Maintenance(
        dispatcher,
        inventory,
        order_guard,
        instances,
        cluster.store,
        {"1": order},
        dispatcher.replica.table.begun_by_wave,
        MAINTENANCE_S,
    )
    cluster.spawn(inventory.run)
    cluster.spawn(maintenance.run)
    return maintenance


def test_wave_maintains_each_instance_once(cluster, instances):
    """A wave must not be reported as completed before all instances have begun."""
    run_wave(cluster, cluster.start_leader(), instances)
    wait_until(lambda: ("1", "completed") in cluster.store.wave_states)
    assert sorted(instances.maintained) == ["m-w0", "m-w1"]
    assert cluster.store.wave_states == [("1", "running"), ("1", "completed")]


def test_maintenance_waits_for_tasks_that_finish_in_time(cluster, instances):
    """Maintenance must not stop tasks that can end within the drain timeout."""
    # Each task needs more than half a worker.
    cluster.store.add_job(make_job(JOB_ID, Step(2, 5000)))
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    run_wave(cluster, dispatcher, instances)
    gevent.sleep(0.5)
    assert instances.maintained == []
    cluster.workers.end_all_runs()
    wait_until(lambda: len(instances.maintained) == 2)


def test_long_running_task_is_moved_before_maintenance(cluster, instances):
    """A long-running task must not block the maintenance of its instance."""
    step = Step(1, 1000, long_running=True, may_miss=1)
    cluster.store.add_job(make_job(JOB_ID, step))
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    for fake in cluster.workers.by_id.values():
        fake.percent = 100
    run_wave(cluster, dispatcher, instances)
    wait_until(lambda: len(instances.maintained) == 2)
    assert len(cluster.workers.started_runs) >= 2


def test_instance_in_maintenance_by_previous_leader_counts(cluster, instances):
    """A wave must not exceed its limit of unavailable instances.

    The leader is lost while instances of a wave are in maintenance, and the next
    leader sends orders immediately.
    """
    instances.begin_maintenance("m-w0", 1.0)
    began_s = steady_s()
    run_wave(cluster, cluster.start_leader(), instances)
    wait_until(lambda: "m-w1" in instances.maintained)
    assert steady_s() - began_s >= 1.0


def test_order_that_may_be_in_flight_counts(cluster, instances):
    """A wave must not exceed its limit because of an order that takes effect late.

    The previous leader has ordered the maintenance of an instance, which becomes
    unavailable only after the next leader has read the list of instances.
    """
    cluster.store.append_order("m-w0")
    began_s = steady_s()
    run_wave(cluster, cluster.start_leader(), instances, lease_s=1.0)
    wait_until(lambda: "m-w1" in instances.maintained)
    assert steady_s() - began_s >= 1.0


def test_instance_with_an_order_in_flight_is_the_first(cluster, instances):
    """A wave must not exceed its limit because of an order that is seconds late.

    Such an order takes effect after the lease of the previous leader, unless an order
    of the next leader for the same instance fences it.
    """
    cluster.store.append_order("m-w1", wave="1")
    run_wave(cluster, cluster.start_leader(), instances, lease_s=0.5)
    wait_until(lambda: len(instances.maintained) == 2)
    assert instances.maintained == ["m-w1", "m-w0"]


def test_moves_of_the_previous_leader_hold_up_no_wave(cluster, instances):
    """A wave must go on after a takeover while instances still move."""
    cluster.store.append_order("m-w1")
    instances.moving = {"w1"}
    run_wave(cluster, cluster.start_leader(), instances, lease_s=0.5)
    wait_until(lambda: instances.maintained == ["m-w0"])
    instances.moving = set()
    wait_until(lambda: len(instances.maintained) == 2)


def test_worker_that_has_started_since_shows_that_an_order_was_carried_out(
    cluster, instances
):
    """A wave must not be late because a takeover holds up instances that are back."""
    order_age_s = 2.0
    cluster.store.append_order("m-w1", order_age_s, wave="1")
    began_s = steady_s()
    for worker_id in ("w0", "w1"):
        worker = cluster.view.worker_by_id[worker_id]
        cluster.view.worker_by_id[worker_id] = dataclasses.replace(
            worker, started_ms=int(wall_ms())
        )
    instances.moving = {"w1"}
    run_wave(cluster, cluster.start_leader(), instances, lease_s=0.5)
    wait_until(lambda: instances.maintained == ["m-w0"])
    # Afterwards, the order would not count as in flight any more.
    assert steady_s() - began_s < MAX_EXECUTION_DELAY_S - order_age_s


def test_instance_with_an_order_in_flight_counts_until_it_is_fenced(cluster, instances):
    """A wave must not exceed its limit while no order can be sent to the instance."""
    # The instance is not up, for longer than the lease of the previous leader lasts.
    cluster.store.append_order("m-w1", wave="1")
    instances.moving = {"w1"}
    run_wave(cluster, cluster.start_leader(), instances, lease_s=0.5)
    gevent.sleep(1.5)
    assert instances.maintained == []
    instances.moving = set()
    wait_until(lambda: len(instances.maintained) == 2)
    assert instances.maintained == ["m-w1", "m-w0"]


def test_new_leader_reads_the_run_lists_before_it_orders(cluster, instances):
    """Maintenance must not stop tasks that a new leader does not know yet."""
    # Each task needs more than half a worker.
    cluster.store.add_job(make_job(JOB_ID, Step(2, 5000)))
    cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    for fake in cluster.workers.by_id.values():
        fake.is_unresponsive = True
    run_wave(cluster, cluster.start_leader(2), instances, token=2)
    gevent.sleep(1.0)
    assert instances.maintained == []
    for fake in cluster.workers.by_id.values():
        fake.is_unresponsive = False
    gevent.sleep(0.5)
    assert instances.maintained == []
    cluster.workers.end_all_runs(EndKind.DONE)
    wait_until(lambda: len(instances.maintained) == 2)


def test_new_leader_waits_for_workers_that_are_not_listed(cluster, instances):
    """Maintenance must not end tasks on workers that a new leader does not know yet.

    After an outage of the store, the platform's list lacks some workers for seconds.
    """
    # Each task needs more than half a worker.
    cluster.store.add_job(make_job(JOB_ID, Step(2, 5000)))
    cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    worker = cluster.view.worker_by_id.pop("w0")
    instances.unlisted_workers = [worker]
    run_wave(cluster, cluster.start_leader(2), instances, token=2)
    gevent.sleep(1.0)
    assert instances.maintained == []
    instances.unlisted_workers = []
    cluster.view.worker_by_id["w0"] = worker
    gevent.sleep(0.5)
    assert instances.maintained == []
    cluster.workers.end_all_runs(EndKind.DONE)
    wait_until(lambda: len(instances.maintained) == 2)


def test_instance_of_a_worker_that_stays_unlisted_is_maintained(cluster, instances):
    """A wave must not wait longer than the leases of the previous leader last."""
    instances.unlisted_workers = [cluster.view.worker_by_id.pop("w0")]
    run_wave(cluster, cluster.start_leader(), instances)
    wait_until(lambda: sorted(instances.maintained) == ["m-w0", "m-w1"])


def test_new_leader_continues_a_wave(cluster, instances):
    """Instances that have had their maintenance must not get another."""
    dispatcher = cluster.start_leader(1)
    run_wave(cluster, dispatcher, instances)
    wait_until(lambda: len(instances.maintained) == 1)
    wait_until(lambda: any(r.key == "w1" for r in cluster.store.records))
    # The first leader is lost.
    dispatcher.writer.is_fenced = True
    run_wave(cluster, cluster.start_leader(2), instances, token=2)
    wait_until(lambda: ("1", "completed") in cluster.store.wave_states)
    assert sorted(instances.maintained) == ["m-w0", "m-w1"]


def test_refused_order_is_repeated(cluster, instances):
    """A wave must not give up after a refused order."""
    instances.failures = [CallOutcome.REFUSED, CallOutcome.UNKNOWN]
    run_wave(cluster, cluster.start_leader(), instances)
    wait_until(lambda: len(instances.maintained) == 2)
