"""Tests of the time between the record of an order for an instance and the order."""

from __future__ import annotations

import dataclasses

import gevent
from libs.coordinator.tests.fakes import JOB_ID, FakeCluster, make_job, wait_until

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.inventory import Inventory
from lycheeloom.coordinator.order_guard import MAX_SEND_DELAY_S, OrderGuard
from lycheeloom.coordinator.pool_moves import PoolMoves
from lycheeloom.coordinator.ports import (
    CallOutcome,
    CallReply,
    Instance,
    InstanceState,
)
from lycheeloom.jobs.model import Pool, Step
from lycheeloom.jobs.records import Kind, key_of

# More than twice the orders that are in flight at a time.
STANDBY_COUNT = 40
ORDER_TIMEOUT_S = 1.0


class SilentInstances:
    """Instances that are switched off, and a service that answers no order."""

    def __init__(self, cluster: FakeCluster) -> None:
        self._cluster = cluster
        # Instance and time of each order.
        self.orders: list[tuple[str, float]] = []

    def list_instances(self) -> tuple[Instance, ...]:
        workers = self._cluster.view.worker_by_id.values()
        standby = (
            Instance(f"off-{number}", "off", InstanceState.UP, "zone-a", "")
            for number in range(STANDBY_COUNT)
        )
        return (
            *standby,
            *(
                Instance(w.worker_id, w.pool, InstanceState.UP, w.zone, w.worker_id)
                for w in workers
            ),
        )

    def move(self, instance_id: str, pool: str, token: int) -> CallReply:
        self.orders.append((instance_id, steady_s()))
        gevent.sleep(ORDER_TIMEOUT_S)
        return CallReply(CallOutcome.UNKNOWN, "no answer in time")


def test_order_that_waits_for_others_is_not_sent_long_after_its_record(cluster):
    """The next leader must not order an instance just after a late order for it.

    It counts from the record. Orders that get no answer keep the others waiting.
    """
    policy = cluster.view.policy
    pools = {"pool": Pool("pool"), "off": Pool("off", standby=True)}
    cluster.view.policy = dataclasses.replace(policy, pool_by_name=pools)
    cluster.store.add_job(make_job(JOB_ID, Step(500, 1000, estimated_ms=2_000)))
    recorded_s_by_key: dict[str, float] = {}
    append = cluster.store.append

    def note_append(records, *args):
        for record in records:
            recorded_s_by_key[record.key] = steady_s()
        return append(records, *args)

    cluster.store.append = note_append
    dispatcher = cluster.start_leader()
    port = SilentInstances(cluster)
    inventory = Inventory(port, dispatcher.writer)
    guard = OrderGuard(dispatcher.replica, dispatcher.writer, 0.0, had_leader=False)
    moves = PoolMoves(dispatcher, inventory, guard, port, lambda _: False, 0.2)
    delays_s = []
    move = port.move

    def note_order(instance_id, pool, token):
        key = key_of(Kind.ORDER, instance_id)
        delays_s.append(steady_s() - recorded_s_by_key[key])
        return move(instance_id, pool, token)

    port.move = note_order
    cluster.spawn(inventory.run)
    cluster.spawn(moves.run)
    wait_until(lambda: len({instance for instance, _ in port.orders}) == STANDBY_COUNT)
    # An order takes up to half of its timeout to be sent, and 0.2 s to arrive.
    assert max(delays_s) < MAX_SEND_DELAY_S - ORDER_TIMEOUT_S / 2 - 0.2
