"""Tests of the leader's background loops: advice, pacing and pool moves."""

from __future__ import annotations

import dataclasses

import gevent
from libs.coordinator.tests.fakes import JOB_ID, make_job, make_worker, wait_until

from lycheeloom.coordinator.inventory import Inventory
from lycheeloom.coordinator.order_guard import OrderGuard
from lycheeloom.coordinator.pacer import Pacer
from lycheeloom.coordinator.pool_moves import PoolMoves
from lycheeloom.coordinator.ports import (
    Advice,
    CallOutcome,
    CallReply,
    Instance,
    InstanceState,
)
from lycheeloom.coordinator.ticket_fetcher import TicketFetcher
from lycheeloom.jobs.model import AdviceTerms, Pool, RunningTask, Step
from lycheeloom.jobs.records import Kind, key_of

# Longer than any test takes.
LONG_S = 600.0


class FakeAdvice:
    """An advice service that allows worker w1; the first calls are refused."""

    def __init__(self, refusals: int) -> None:
        # Number of the next calls that are refused.
        self.refusals = refusals
        # Step and number of workers of each call.
        self.calls: list[tuple[str, int]] = []

    def advise(self, step, worker_ids, timeout_s):
        self.calls.append((step, len(worker_ids)))
        if self.refusals:
            self.refusals -= 1
            return CallReply(CallOutcome.REFUSED, "status 429")
        return Advice({"w1": "ticket"}, 3.0)


def require_advice(cluster):
    """Make the queue of the cluster require advice."""
    policy = cluster.view.policy
    queue = dataclasses.replace(
        policy.queue_by_name["queue"], advice=AdviceTerms(1.0, 1.0, 3_000.0)
    )
    cluster.view.policy = dataclasses.replace(policy, queue_by_name={"queue": queue})


def test_step_starts_on_the_advised_worker(cluster):
    """A step must start on the allowed worker, also after a refused call for advice."""
    require_advice(cluster)
    cluster.store.add_job(make_job(JOB_ID, Step(2, 1000)))
    dispatcher = cluster.start_leader()
    advice = FakeAdvice(refusals=1)
    cluster.spawn(TicketFetcher(dispatcher, advice).run)
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    assert {worker for worker, _, _ in cluster.workers.started_runs} == {"w1"}
    assert {step for step, _ in advice.calls} == {f"{JOB_ID}.0.0"}


def test_filling_task_is_paused_next_to_a_service_above_its_target(
    cluster, monkeypatch
):
    """Filling tasks must be slowed while a service misses its latency target."""
    steps = (
        Step(1, 1000, long_running=True, target_ms=20, image="serve"),
        Step(1, 1000, long_running=True, fills=True, image="fill"),
    )
    # Both tasks run on the only worker.
    cluster.view.worker_by_id.pop("w1")
    pace_percents: list[int] = []
    monkeypatch.setattr(
        cluster.workers,
        "pace",
        lambda worker, task, run, percent, token: (
            pace_percents.append(percent) or CallReply(CallOutcome.DONE)
        ),
    )
    renew_and_list = cluster.workers.renew_and_list

    def list_latency_over_target(*args):
        lists = renew_and_list(*args)
        # The service has a latency of 50 ms, the filling task uses one core.
        rows = tuple(
            RunningTask(row.task, row.run, "", 100, 50.0 if row.task.step == 0 else 1.0)
            for row in lists.running
        )
        return dataclasses.replace(lists, running=rows)

    monkeypatch.setattr(cluster.workers, "renew_and_list", list_latency_over_target)
    cluster.store.add_job(make_job(JOB_ID, *steps))
    dispatcher = cluster.start_leader()
    cluster.spawn(Pacer(dispatcher, cluster.workers).run)
    wait_until(lambda: 0 in pace_percents)
    assert pace_percents == sorted(pace_percents, reverse=True)


class FakeInstancePort:
    """An instance port with an instance of each worker and one standby instance.

    A move of the standby instance adds worker w9 immediately; other moves have no
    effect.
    """

    def __init__(self, cluster) -> None:
        self._cluster = cluster
        self.moves: list[tuple[str, str]] = []

    def list_instances(self):
        standby = (Instance("m-off", "off", InstanceState.UP, "zone-a", ""),)
        workers = self._cluster.view.worker_by_id.values()
        return standby + tuple(
            Instance(f"m-{w.worker_id}", w.pool, InstanceState.UP, w.zone, w.worker_id)
            for w in workers
        )

    def move(self, instance_id, pool, token):
        self.moves.append((instance_id, pool))
        if instance_id == "m-off":
            self._cluster.view.worker_by_id["w9"] = make_worker(9, pool)
        return CallReply(CallOutcome.DONE)


def add_standby_pool(cluster) -> None:
    """Add a standby pool to the policy."""
    pools = {"pool": Pool("pool"), "off": Pool("off", standby=True)}
    cluster.view.policy = dataclasses.replace(cluster.view.policy, pool_by_name=pools)


def move_instances(cluster, dispatcher, port, lease_s=0.0) -> None:
    """Let a leader move instances.

    It must wait if ``lease_s`` > 0, since it then had a predecessor.
    """
    inventory = Inventory(port, dispatcher.writer)
    order_guard = OrderGuard(
        dispatcher.replica, dispatcher.writer, lease_s, lease_s > 0
    )
    moves = PoolMoves(
        dispatcher, inventory, order_guard, port, lambda instance_id: False, 0.2
    )
    cluster.spawn(inventory.run)
    cluster.spawn(moves.run)


def test_standby_instance_moves_to_pool_with_waiting_work(cluster):
    """Work must not wait while instances are switched off.

    Load pattern: a queue needs several times the capacity of its pool.
    """
    add_standby_pool(cluster)
    cluster.store.add_job(make_job(JOB_ID, Step(30, 1000, estimated_ms=2_000)))
    dispatcher = cluster.start_leader()
    port = FakeInstancePort(cluster)
    move_instances(cluster, dispatcher, port)
    wait_until(lambda: ("m-off", "pool") in port.moves)
    # Three workers have room for eight tasks each.
    wait_until(lambda: len(cluster.workers.started_runs) == 24)
    assert port.moves.count(("m-off", "pool")) == 1


def test_new_leader_waits_before_it_orders_recently_ordered_instances(cluster):
    """Two leaders must not send orders for the same instance within its lease."""
    add_standby_pool(cluster)
    cluster.store.append_order("m-off")
    cluster.store.add_job(make_job(JOB_ID, Step(30, 1000, estimated_ms=2_000)))
    port = FakeInstancePort(cluster)
    move_instances(cluster, cluster.start_leader(), port, lease_s=1.5)
    gevent.sleep(0.7)
    assert port.moves == []
    wait_until(lambda: ("m-off", "pool") in port.moves)


def test_new_leader_orders_instances_without_recent_orders(cluster):
    """Work must not wait because other instances have had recent orders.

    The leader is lost during a load spike, and most standby instances have had no
    order for seconds.
    """
    add_standby_pool(cluster)
    cluster.store.append_order("m-w0")
    cluster.store.append_order("m-off", age_s=2 * LONG_S)
    cluster.store.add_job(make_job(JOB_ID, Step(30, 1000, estimated_ms=2_000)))
    port = FakeInstancePort(cluster)
    move_instances(cluster, cluster.start_leader(), port, lease_s=LONG_S)
    wait_until(lambda: ("m-off", "pool") in port.moves)


def test_order_is_recorded_before_it_is_sent(cluster):
    """An order must never be sent without a record that later leaders can read."""
    add_standby_pool(cluster)
    cluster.store.add_job(make_job(JOB_ID, Step(30, 1000, estimated_ms=2_000)))
    port = FakeInstancePort(cluster)
    dispatcher = cluster.start_leader()
    cluster.store.is_down = True
    move_instances(cluster, dispatcher, port)
    gevent.sleep(0.7)
    assert port.moves == []
    cluster.store.is_down = False
    wait_until(lambda: ("m-off", "pool") in port.moves)
    key = key_of(Kind.ORDER, "m-off")
    assert key in {record.key for record in cluster.store.records}


def test_stop_that_waited_is_not_sent_after_the_lease_of_the_leader(cluster):
    """A leader must not order anything once others may have taken over.

    The stop waits for its turn behind stops that are not answered.
    """
    cluster.store.add_job(make_job(JOB_ID, Step(1, 1000)))
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    stops = []
    cluster.workers.stop = lambda *args: stops.append(args)
    slots = dispatcher._orders._stop_slots
    while not slots.locked():
        slots.acquire()
    (run,) = next(iter(dispatcher.fleet.runs_by_task.values()))
    dispatcher.stop_run(run, "test")
    gevent.sleep(0.05)
    cluster.store.is_down = True
    wait_until(lambda: not dispatcher.writer.may_act)
    slots.release()
    gevent.sleep(0.3)
    assert stops == []
