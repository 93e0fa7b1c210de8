"""Tests of maintenance waves beside load, with the feature switched on."""

from __future__ import annotations

import dataclasses

import gevent
import pytest
from libs.coordinator.tests.fakes import (
    JOB_ID,
    FakeCluster,
    make_job,
    make_worker,
    wait_until,
)
from libs.coordinator.tests.test_leader_tasks import add_standby_pool
from libs.coordinator.tests.test_maintenance import MAINTENANCE_S, FakeInstances

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.features import Features
from lycheeloom.coordinator.inventory import Inventory
from lycheeloom.coordinator.maintenance import Maintenance, WaveOrder
from lycheeloom.coordinator.order_guard import OrderGuard
from lycheeloom.coordinator.pool_moves import PoolMoves
from lycheeloom.coordinator.ports import (
    CallOutcome,
    CallReply,
    Instance,
    InstanceState,
)
from lycheeloom.jobs.model import Pool, Step
from lycheeloom.jobs.pool_sizes import Move, PoolLoad

LIMIT = 2


class StandbyInstances(FakeInstances):
    """Fake instances with further ones that are switched off, which can be moved.

    A move takes effect at once and gives the instance a worker. Fails the test if too
    many instances are in maintenance.
    """

    def __init__(self, cluster, numbers=()):
        super().__init__(cluster)
        self._standby_numbers = set(numbers)
        self.moves: list[tuple[str, str]] = []

    def list_instances(self):
        return super().list_instances() + tuple(
            Instance(f"m-w{number}", "off", InstanceState.UP, "zone-a", "")
            for number in self._standby_numbers
        )

    def maintain(self, instance_id, wave, token):
        reply = super().maintain(instance_id, wave, token)
        states = [instance.state for instance in self.list_instances()]
        assert states.count(InstanceState.MAINTENANCE) <= LIMIT
        return reply

    def move(self, instance_id, pool, token):
        self.moves.append((instance_id, pool))
        if self.failures:
            return CallReply(self.failures.pop(0))
        worker_id = instance_id.removeprefix("m-")
        number = int(worker_id[1:])
        if pool == "off":
            self._standby_numbers.add(number)
            del self._cluster.view.worker_by_id[worker_id]
        else:
            self._standby_numbers.remove(number)
            self._cluster.view.worker_by_id[worker_id] = make_worker(number, pool)
        return CallReply(CallOutcome.DONE)


@pytest.fixture
def cluster():
    """A cluster with two workers in each of two pools; only one pool has a queue."""
    cluster = FakeCluster(2)
    policy = cluster.view.policy
    pools = {"pool": Pool("pool"), "other": Pool("other")}
    cluster.view.policy = dataclasses.replace(policy, pool_by_name=pools)
    for number in (2, 3):
        cluster.view.worker_by_id[f"w{number}"] = make_worker(number, "other")
    yield cluster
    cluster.close()


@pytest.fixture
def instances(cluster):
    """Fake instances of the cluster's workers."""
    return StandbyInstances(cluster)


def make_order(wave: str, numbers: str, time_limit_s: float = 60.0) -> WaveOrder:
    """Return a wave of the instances with the given numbers."""
    ids = tuple(f"m-w{number}" for number in numbers)
    return WaveOrder(wave, ids, time_limit_s, LIMIT, steady_s())


def make_ports(cluster, instances, dispatcher) -> tuple:
    """Return the first arguments of the loops that order something for instances."""
    inventory = Inventory(instances, dispatcher.writer)
    cluster.spawn(inventory.run)
    guard = OrderGuard(dispatcher.replica, dispatcher.writer, 0.0, had_leader=False)
    return dispatcher, inventory, guard, instances


def start_waves(cluster, instances, order_by_wave, token=1):
    """Start a leader that carries out waves; return its dispatcher and maintenance."""
    dispatcher = cluster.start_leader(token)
    dispatcher.features = Features(gentle_maintenance=True)
    maintenance = Maintenance(
        *make_ports(cluster, instances, dispatcher),
        cluster.store,
        order_by_wave,
        dispatcher.replica.table.begun_by_wave,
        MAINTENANCE_S,
    )
    cluster.spawn(maintenance.run)
    return dispatcher, maintenance


def fill_pool(cluster) -> None:
    """Add a job with more work than the two workers of its pool can do at once."""
    cluster.store.add_job(make_job(JOB_ID, Step(8, 5000, estimated_ms=2_000)))


def test_short_pool_keeps_its_instances_while_time_is_left(cluster, instances):
    """A pool must not lose room while work waits in it and the wave has time.

    Load: one pool is full and has waiting work, the other one is idle.
    """
    fill_pool(cluster)
    order_by_wave: dict[str, WaveOrder] = {}
    dispatcher, _ = start_waves(cluster, instances, order_by_wave)
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    order_by_wave["1"] = make_order("1", "0123")
    wait_until(lambda: len(instances.maintained) == 2)
    gevent.sleep(1.0)
    assert sorted(instances.maintained) == ["m-w2", "m-w3"]
    states = dispatcher.fleet.state_by_id
    assert not states["w0"].is_cordoned and not states["w1"].is_cordoned


def test_new_leader_continues_a_wave_beside_load(cluster, instances):
    """A takeover must not cost a wave an instance, a second round or its limit.

    The leader is lost while instances are in maintenance. Load: a pool is full for the
    whole wave, with tasks that do not end.
    """
    fill_pool(cluster)
    order_by_wave = {"1": make_order("1", "0123", 8.0)}
    dispatcher, _ = start_waves(cluster, instances, order_by_wave)
    wait_until(lambda: any(record.key == "w1" for record in cluster.store.records))
    dispatcher.writer.is_fenced = True
    start_waves(cluster, instances, order_by_wave, token=2)
    wait_until(lambda: ("1", "completed") in cluster.store.wave_states)
    assert sorted(instances.maintained) == ["m-w0", "m-w1", "m-w2", "m-w3"]


def test_instance_with_an_order_in_flight_is_the_first(cluster, instances):
    """A wave must not exceed its limit because of an order that is seconds late."""
    cluster.store.append_order("m-w3", wave="1")
    order = dataclasses.replace(make_order("1", "0123"), max_unavailable=1)
    start_waves(cluster, instances, {"1": order})
    wait_until(lambda: len(instances.maintained) == 4)
    assert instances.maintained[0] == "m-w3"


def test_orders_that_fail_together_are_repeated(cluster, instances):
    """A wave must not leave out instances whose orders were sent with others.

    One order is refused, another one gets no answer.
    """
    instances.failures = [CallOutcome.REFUSED, CallOutcome.UNKNOWN]
    start_waves(cluster, instances, {"1": make_order("1", "0123")})
    wait_until(lambda: ("1", "completed") in cluster.store.wave_states)
    assert sorted(instances.maintained) == ["m-w0", "m-w1", "m-w2", "m-w3"]


def test_instances_of_an_ended_wave_are_released(cluster, instances):
    """A wave must not wait forever for instances that an earlier wave has maintained.

    A wave is completed when its last maintenance has begun, so its last instances are
    still away.
    """
    order_by_wave = {"1": make_order("1", "0123")}
    _, maintenance = start_waves(cluster, instances, order_by_wave)
    wait_until(lambda: ("1", "completed") in cluster.store.wave_states)
    wait_until(lambda: not any(maintenance.handles(f"m-w{n}") for n in range(4)))
    order_by_wave["2"] = make_order("2", "0123")
    wait_until(lambda: ("2", "completed") in cluster.store.wave_states)
    assert len(instances.maintained) == 8


def test_withdrawn_wave_releases_its_instances(cluster, instances):
    """A wave that is withdrawn must not keep workers from tasks and from moves.

    The wave is due from the beginning, and its tasks do not end.
    """
    fill_pool(cluster)
    order_by_wave: dict[str, WaveOrder] = {}
    dispatcher, maintenance = start_waves(cluster, instances, order_by_wave)
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    order_by_wave["1"] = make_order("1", "01", 3.0)
    wait_until(lambda: maintenance.handles("m-w0"))
    del order_by_wave["1"]
    wait_until(lambda: not maintenance.handles("m-w0"))
    assert not dispatcher.fleet.state_by_id["w0"].is_cordoned
    assert not maintenance.gentle_waves.must_stay("m-w1")


def start_moves(cluster, instances, dispatcher, move_s, maintenance=None) -> PoolMoves:
    """Let a leader move instances, beside its waves if it has any."""
    moves = PoolMoves(
        *make_ports(cluster, instances, dispatcher),
        maintenance.handles if maintenance else lambda instance_id: False,
        move_s,
        maintenance.gentle_waves if maintenance else None,
    )
    cluster.spawn(moves.run)
    return moves


@pytest.mark.parametrize(
    ("time_limit_s", "moved"),
    [(60.0, {"m-w8", "m-w9", "m-w6"}), (3.0, {"m-w8", "m-w9"})],
)
def test_instances_of_a_wave_move_last(cluster, time_limit_s, moved):
    """A wave must not be late because its instances are moved while others could be.

    Load: a pool needs three more instances. Two of four that are switched off await
    maintenance; with little time left, these two must not move at all.
    """
    add_standby_pool(cluster)
    # Three of five tasks wait; each would fill 0.625 of an instance for 2 s.
    cluster.store.add_job(make_job(JOB_ID, Step(5, 5000, estimated_ms=2_000)))
    instances = StandbyInstances(cluster, range(6, 10))
    # Nothing is chosen, so the two go on to await maintenance.
    order = make_order("1", "67", time_limit_s)
    order = dataclasses.replace(order, max_unavailable=0)
    dispatcher, maintenance = start_waves(cluster, instances, {"1": order})
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    wait_until(lambda: maintenance.gentle_waves.is_pending("m-w6"))
    start_moves(cluster, instances, dispatcher, 30.0, maintenance)
    wait_until(lambda: len(instances.moves) >= len(moved))
    assert {instance_id for instance_id, _ in instances.moves} == moved


class SlowMoves(StandbyInstances):
    """Fake instances on which a move order gets no answer during a test."""

    def move(self, instance_id, pool, token):
        self.moves.append((instance_id, pool))
        gevent.sleep(60.0)
        return CallReply(CallOutcome.REFUSED)


def test_instance_with_a_move_order_under_way_is_not_chosen(cluster):
    """A wave must not order an instance while a move order for it has no answer."""
    add_standby_pool(cluster)
    cluster.store.add_job(make_job(JOB_ID, Step(4, 5000, estimated_ms=2_000)))
    instances = SlowMoves(cluster, [8])
    order_by_wave: dict[str, WaveOrder] = {}
    dispatcher, maintenance = start_waves(cluster, instances, order_by_wave)
    start_moves(cluster, instances, dispatcher, 0.2, maintenance)
    wait_until(lambda: instances.moves)
    order_by_wave["1"] = make_order("1", "8")
    wait_until(lambda: ("1", "running") in cluster.store.wave_states)
    gevent.sleep(0.5)
    assert instances.maintained == []


def test_refused_move_gives_no_tasks_to_an_instance_in_maintenance(cluster, instances):
    """An instance that is drained must get no tasks when a move order is refused."""
    dispatcher = cluster.start_leader()
    maintained_ids: set[str] = set()
    moves = PoolMoves(
        *make_ports(cluster, instances, dispatcher),
        lambda instance_id: instance_id in maintained_ids,
        0.2,
    )
    wait_until(lambda: "w0" in dispatcher.fleet.state_by_id)
    wait_until(lambda: moves._inventory.instance_by_id)
    state = dispatcher.fleet.state_by_id["w0"]
    move = Move("m-w0", "other", "idle", PoolLoad(0.0, 0.0), 2)
    assert moves._prepare(move)
    maintained_ids.add("m-w0")
    moves._note_reply(move, CallReply(CallOutcome.REFUSED))
    assert state.is_cordoned


def test_instance_that_is_down_for_longer_than_a_move_gets_tasks_again(
    cluster, instances
):
    """An instance must not stay without tasks when its move takes long and fails.

    Its worker keeps its id, and no part of the leader handles it afterwards.
    """
    dispatcher = cluster.start_leader()
    moves = start_moves(cluster, instances, dispatcher, 0.2)
    wait_until(lambda: "w0" in dispatcher.fleet.state_by_id)
    wait_until(lambda: moves._inventory.instance_by_id)
    state = dispatcher.fleet.state_by_id["w0"]
    move = Move("m-w0", "other", "idle", PoolLoad(0.0, 0.0), 2)
    assert moves._prepare(move)
    moves._note_reply(move, CallReply(CallOutcome.UNKNOWN))
    instances.begin_maintenance("m-w0", 3.0)
    wait_until(lambda: "m-w0" not in moves._moving_by_id)
    assert state.is_cordoned
    wait_until(lambda: not state.is_cordoned)
