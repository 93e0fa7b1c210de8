"""Carries out maintenance waves: drains instances and orders their maintenance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import gevent

from lycheeloom.jobs.availability import may_stop
from lycheeloom.jobs.fleet import WorkerState
from lycheeloom.jobs.records import Kind, Record, WaveProgress, encode, key_of
from lycheeloom.jobs.waves import WaveInstance, WaveTime, choose_next
from lycheeloom.telemetry import log_event

from . import metrics
from .clock import steady_s
from .dispatcher import Dispatcher
from .inventory import Inventory
from .order_guard import OrderGuard
from .ports import (
    Appended,
    CallOutcome,
    Instance,
    InstancePort,
    InstanceState,
    StorePort,
)

ROUND_PAUSE_S = 0.1
# On an instance being drained, tasks other than long-running ones are stopped only if
# they still run after this time.
DRAIN_TIMEOUT_S = 2.5
# Delay before an order for the same instance is repeated.
ORDER_RETRY_S = 0.3


@dataclass(frozen=True, slots=True)
class WaveOrder:
    """A maintenance wave as requested by the operator.

    The instances are to have their maintenance within ``time_limit_s``, and at most
    ``max_unavailable`` of them may be unavailable at the same time.
    """

    wave: str
    instances: tuple[str, ...]
    time_limit_s: float
    max_unavailable: int
    # When this process received the wave, by its monotonic clock.
    received_s: float


class _Stage(Enum):
    # The instance gets no new tasks, and its runs have to end before the order is sent.
    DRAINING = "draining"
    # The maintenance has been ordered.
    AWAY = "away"


@dataclass(slots=True)
class _HandledInstance:
    """An instance being drained or maintained; its stage began at ``since_s``.

    The next order is not sent before ``retry_at_s``.
    """

    wave: str
    pool: str
    worker_id: str
    stage: _Stage
    since_s: float
    retry_at_s: float = 0.0


class Maintenance:
    """Carries out the operator's maintenance waves while this instance leads.

    An instance of a wave has begun once its maintenance is ordered; the ids of these
    instances are recorded, so that a new leader continues the wave without maintaining
    them again. A wave is reported to the operator as running, and as completed when all
    its instances that the platform lists have begun. Maintenance takes
    ``maintenance_s`` per instance.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        inventory: Inventory,
        order_guard: OrderGuard,
        port: InstancePort,
        store: StorePort,
        order_by_wave: Mapping[str, WaveOrder],
        begun_by_wave: Mapping[str, frozenset[str]],
        maintenance_s: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._inventory = inventory
        self._order_guard = order_guard
        self._port = port
        self._store = store
        self._order_by_wave = order_by_wave
        self._begun_by_wave = {
            wave: set(begun) for wave, begun in begun_by_wave.items()
        }
        self._maintenance_s = maintenance_s
        self._handled_by_id: dict[str, _HandledInstance] = {}
        self._reported_state_by_wave: dict[str, str] = {}

    def run(self) -> None:
        """Carry out all waves until the leader is fenced."""
        while not self._dispatcher.writer.is_fenced:
            gevent.sleep(ROUND_PAUSE_S)
            open_orders = [
                order
                for order in self._order_by_wave.values()
                if not self._is_completed(order)
            ]
            if not self._dispatcher.writer.may_act:
                continue
            for order in open_orders:
                self._advance_wave(order)

    def handles(self, instance_id: str) -> bool:
        """Return whether an instance is being drained or maintained."""
        return instance_id in self._handled_by_id

    def _is_completed(self, order: WaveOrder) -> bool:
        return self._reported_state_by_wave.get(order.wave) == "completed"

    def _advance_wave(self, order: WaveOrder) -> None:
        """Choose instances to drain, and maintain those that are drained."""
        instance_by_id = self._inventory.instance_by_id
        if not instance_by_id:
            return
        begun = self._begun_by_wave.setdefault(order.wave, set())
        pending = [
            instance_by_id[instance_id]
            for instance_id in order.instances
            if instance_id in instance_by_id and instance_id not in begun
        ]
        self._release_returned(order)
        if not pending:
            self._report(order, "completed")
            return
        self._report(order, "running")
        self._choose(order, pending)
        for instance in pending:
            handled = self._handled_by_id.get(instance.instance_id)
            if handled is not None and handled.stage is _Stage.DRAINING:
                self._drain(order, instance, handled)

    def _choose(self, order: WaveOrder, pending: list[Instance]) -> None:
        """Begin to drain the pending instances that the wave's limits allow."""
        away = self._count_away(order)
        candidates = [
            self._to_wave_instance(instance)
            for instance in pending
            if instance.instance_id not in self._handled_by_id
            and instance.state is InstanceState.UP
            and self._order_guard.may_order(instance.instance_id)
        ]
        time = WaveTime(
            steady_s() - order.received_s,
            order.time_limit_s,
            self._maintenance_s + DRAIN_TIMEOUT_S,
        )
        for instance_id in choose_next(candidates, away, order.max_unavailable, time):
            instance = self._inventory.instance_by_id[instance_id]
            self._handled_by_id[instance_id] = _HandledInstance(
                order.wave,
                instance.pool,
                instance.worker_id,
                _Stage.DRAINING,
                steady_s(),
            )
            state = self._state_of(instance.worker_id)
            if state is not None:
                state.is_cordoned = True
            log_event(
                "maintenance_chosen",
                wave=order.wave,
                instance=instance_id,
                pool=instance.pool,
                worker=instance.worker_id,
                left=len(pending),
                elapsed_s=time.elapsed_s,
            )

    def _count_away(self, order: WaveOrder) -> Counter[str]:
        """Count the instances that are being drained or maintained, by pool.

        Also counts the wave's instances that an earlier leader has sent into
        maintenance, and those for which its last order may still be in flight.
        """
        away = Counter(handled.pool for handled in self._handled_by_id.values())
        for instance_id in order.instances:
            instance = self._inventory.instance_by_id.get(instance_id)
            if instance is None or instance_id in self._handled_by_id:
                continue
            is_away = instance.state is InstanceState.MAINTENANCE
            if is_away or not self._order_guard.may_order(instance_id):
                away[instance.pool] += 1
        return away

    def _to_wave_instance(self, instance: Instance) -> WaveInstance:
        """Describe an instance and the load of its pool for ``choose_next``."""
        fleet = self._dispatcher.fleet
        pool = self._dispatcher.view.policy.pool_by_name.get(instance.pool)
        capacity = used = 0.0
        for state in fleet.state_by_id.values():
            if state.worker.pool == instance.pool:
                capacity += state.worker.capacity.cores
                used += state.used.cores
        state = self._state_of(instance.worker_id)
        return WaveInstance(
            instance.instance_id,
            instance.pool,
            len(state.run_by_task) if state else 0,
            used / capacity if capacity else 0.0,
            bool(pool and pool.standby),
        )

    def _drain(
        self, order: WaveOrder, instance: Instance, handled: _HandledInstance
    ) -> None:
        """Stop the runs on an instance; order its maintenance when none is left."""
        now_s = steady_s()
        if instance.worker_id != handled.worker_id:
            # The instance has crashed and restarted meanwhile, with a new worker.
            handled.worker_id, handled.since_s = instance.worker_id, now_s
        state = self._state_of(handled.worker_id)
        if state is not None and not self._runs_are_known(state):
            return
        if state is not None and state.run_by_task:
            state.is_cordoned = True
            self._stop_runs(state, now_s - handled.since_s > DRAIN_TIMEOUT_S)
            return
        if now_s < handled.retry_at_s:
            return
        handled.retry_at_s = now_s + ORDER_RETRY_S
        self._send_order(order, instance, handled)

    def _runs_are_known(self, state: WorkerState) -> bool:
        """Return whether all runs on a worker are known or their lease has expired."""
        link = self._dispatcher.link_by_id.get(state.worker.worker_id)
        return state.has_current_lists or (link is not None and link.is_lease_expired)

    def _stop_runs(self, state: WorkerState, is_time_over: bool) -> None:
        """Stop the long-running tasks and, when the drain time is over, the others."""
        for run in list(state.run_by_task.values()):
            active_job = self._dispatcher.active_job_by_id.get(run.task.job_id)
            if active_job is None:
                # The job has ended, so its runs are being stopped already.
                continue
            if not run.step.long_running and not is_time_over:
                continue
            if may_stop(self._dispatcher.fleet, active_job, run, steady_s()):
                self._dispatcher.stop_run(run, "maintenance")

    def _send_order(
        self, order: WaveOrder, instance: Instance, handled: _HandledInstance
    ) -> None:
        if not self._order_guard.record([instance.instance_id]):
            log_event("maintenance_order", wave=order.wave, outcome="not recorded")
            return
        reply = self._port.maintain(
            instance.instance_id, order.wave, self._dispatcher.writer.token
        )
        log_event(
            "maintenance_order",
            wave=order.wave,
            instance=instance.instance_id,
            token=self._dispatcher.writer.token,
            outcome=reply.outcome.value,
            reason=reply.reason,
        )
        metrics.INSTANCE_ORDERS.labels("maintenance", reply.outcome.value).inc()
        match reply.outcome:
            case CallOutcome.DONE:
                handled.stage = _Stage.AWAY
                handled.since_s = steady_s()
                self._note_begun(order, instance.instance_id)
            case CallOutcome.FENCED:
                self._dispatcher.writer.is_fenced = True
            case CallOutcome.INVALID:
                # The platform will never accept the order: the wave goes on without
                # this instance.
                self._release(instance.instance_id)
                self._note_begun(order, instance.instance_id)

    def _note_begun(self, order: WaveOrder, instance_id: str) -> None:
        """Record that the maintenance of an instance has begun."""
        begun = self._begun_by_wave[order.wave]
        begun.add(instance_id)
        value = encode(WaveProgress(tuple(sorted(begun))))
        self._dispatcher.writer.write([Record(key_of(Kind.WAVE, order.wave), value)])

    def _release_returned(self, order: WaveOrder) -> None:
        """Release the wave's instances that are back or can no longer be drained."""
        for instance_id, handled in list(self._handled_by_id.items()):
            if handled.wave != order.wave:
                continue
            instance = self._inventory.instance_by_id.get(instance_id)
            if handled.stage is _Stage.DRAINING:
                if instance is None or instance.state is not InstanceState.UP:
                    self._release(instance_id)
                continue
            away_s = steady_s() - handled.since_s
            is_back = instance is None or (
                away_s > self._maintenance_s and instance.state is InstanceState.UP
            )
            if is_back:
                self._release(instance_id)

    def _release(self, instance_id: str) -> None:
        """Stop handling an instance; its worker may get tasks again."""
        handled = self._handled_by_id.pop(instance_id, None)
        state = self._state_of(handled.worker_id) if handled else None
        if state is not None:
            state.is_cordoned = False

    def _report(self, order: WaveOrder, state: str) -> None:
        """Report a state to the operator unless it was the last one reported."""
        if self._reported_state_by_wave.get(order.wave) == state:
            return
        result = self._store.write_wave_state(order.wave, state)
        log_event("wave_state", wave=order.wave, state=state, result=result)
        if isinstance(result, Appended):
            self._reported_state_by_wave[order.wave] = state

    def _state_of(self, worker_id: str) -> WorkerState | None:
        return self._dispatcher.fleet.state_by_id.get(worker_id)
