"""Carries out maintenance waves: drains instances and orders their maintenance."""

from __future__ import annotations

from collections.abc import Mapping

import gevent
from gevent.pool import Pool as GreenletPool

from lycheeloom.jobs.availability import may_stop
from lycheeloom.jobs.fleet import WorkerState
from lycheeloom.jobs.records import Kind, Record, WaveProgress, encode, key_of
from lycheeloom.jobs.waves import RoundKind, WaveInstance, WaveTime, choose_next
from lycheeloom.telemetry import log_event

from . import metrics
from .clock import steady_s
from .dispatcher import Dispatcher
from .gentle_waves import GentleWaves
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
from .wave_order import HandledInstance, Stage, WaveOrder, count_away

ROUND_PAUSE_S = 0.1
# On an instance being drained, tasks other than long-running ones are stopped only if
# they still run after this time.
DRAIN_TIMEOUT_S = 2.5
# Delay before an order for the same instance is repeated.
ORDER_RETRY_S = 0.3
MAX_ORDERS_IN_FLIGHT = 16


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
        self._handled_by_id: dict[str, HandledInstance] = {}
        self._reported_state_by_wave: dict[str, str] = {}
        self._order_greenlets = GreenletPool(MAX_ORDERS_IN_FLIGHT)
        # None unless the feature is switched on.
        self.gentle_waves: GentleWaves | None = None
        if dispatcher.features.gentle_maintenance:
            self.gentle_waves = GentleWaves(
                dispatcher, inventory, order_guard, maintenance_s, DRAIN_TIMEOUT_S
            )

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
            if self.gentle_waves is not None and self._inventory.instance_by_id:
                # Also the instances of waves that have ended: they would stay excluded
                # from moves and from later waves.
                self._release_returned()
                self.gentle_waves.keep_only({order.wave for order in open_orders})
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
        if self.gentle_waves is None:
            self._release_returned(order.wave)
        if not pending:
            self._report(order, "completed")
            return
        self._report(order, "running")
        may_run_unknown = self._dispatcher.may_have_unknown_runs
        self._choose(order, [i for i in pending if not may_run_unknown(i.worker_id)])
        ready: list[Instance] = []
        for instance in pending:
            handled = self._handled_by_id.get(instance.instance_id)
            if handled is None or handled.stage is not Stage.DRAINING:
                continue
            if not self._drain(instance, handled):
                continue
            if self.gentle_waves is None:
                self._record_and_send(order, [instance])
            else:
                ready.append(instance)
        self._record_and_send(order, ready)

    def _choose(self, order: WaveOrder, pending: list[Instance]) -> None:
        """Begin to drain the pending instances that the wave's limits allow.

        Those that an order of a former leader may still send into maintenance go first,
        since the order of this leader fences it. Until then they count as away.
        """
        in_flight: list[Instance] = []
        others: list[Instance] = []
        for instance in pending:
            if not self._may_begin(instance):
                continue
            if self._may_be_in_flight(instance, order.wave):
                in_flight.append(instance)
            else:
                others.append(instance)
        if in_flight:
            self._choose_from(order, in_flight, pending)
        self._choose_from(order, others, pending)

    def _choose_from(
        self, order: WaveOrder, eligible: list[Instance], pending: list[Instance]
    ) -> None:
        """Begin to drain instances that are eligible now, planning for all pending."""
        away = count_away(
            order,
            self._handled_by_id,
            self._inventory.instance_by_id,
            lambda instance: self._may_be_away(instance, order.wave),
            {i.instance_id for i in eligible},
        )
        time = WaveTime(
            steady_s() - order.received_s,
            order.time_limit_s,
            self._maintenance_s + DRAIN_TIMEOUT_S,
        )
        if self.gentle_waves is not None:
            self._choose_gently(order, eligible, pending, away, time)
            return
        candidates = [self._to_wave_instance(instance) for instance in eligible]
        for instance_id in choose_next(candidates, away, order.max_unavailable, time):
            self._begin_drain(order, instance_id, len(pending), time.elapsed_s)

    def _may_begin(self, instance: Instance) -> bool:
        return (
            instance.instance_id not in self._handled_by_id
            and instance.state is InstanceState.UP
            and self._order_guard.may_order(instance.instance_id)
        )

    def _may_be_away(self, instance: Instance, wave: str) -> bool:
        """Return whether a former leader has sent an instance away or may have."""
        return (
            instance.state is InstanceState.MAINTENANCE
            or not self._order_guard.may_order(instance.instance_id)
            or self._may_be_in_flight(instance, wave)
        )

    def _may_be_in_flight(self, instance: Instance, wave: str) -> bool:
        """Return whether a former leader's order may still be carried out."""
        if instance.instance_id in self._begun_by_wave[wave]:
            return False
        order = self._order_guard.find_in_flight(instance.instance_id, wave)
        if order is None:
            return False
        state = self._state_of(instance.worker_id)
        # A worker that has started as long after the order as maintenance takes shows
        # that it was carried out.
        back_ms = order.at_ms + self._maintenance_s * 1000
        return state is None or state.worker.started_ms < back_ms

    def _choose_gently(
        self,
        order: WaveOrder,
        eligible: list[Instance],
        pending: list[Instance],
        away: Mapping[str, int],
        time: WaveTime,
    ) -> None:
        """Begin to drain instances by the load of their pools."""
        waiting = [i for i in pending if i.instance_id not in self._handled_by_id]
        handled = [
            self._inventory.instance_by_id[instance_id]
            for instance_id in self._handled_by_id
            if instance_id in self._inventory.instance_by_id
        ]
        chosen = self.gentle_waves.choose(
            order.wave,
            waiting,
            {i.instance_id for i in eligible},
            away,
            handled,
            order.max_unavailable,
            time,
        )
        for instance_id, (kind, reason) in chosen.items():
            self._begin_drain(
                order, instance_id, len(pending), time.elapsed_s, kind, reason=reason
            )

    def _begin_drain(
        self,
        order: WaveOrder,
        instance_id: str,
        left: int,
        elapsed_s: float,
        kind: RoundKind = RoundKind.IDLE,
        **log_fields: object,
    ) -> None:
        """Exclude an instance from new tasks, to maintain it once it is drained."""
        instance = self._inventory.instance_by_id[instance_id]
        self._handled_by_id[instance_id] = HandledInstance(
            order.wave,
            instance.pool,
            instance.worker_id,
            Stage.DRAINING,
            steady_s(),
            steady_s(),
            kind,
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
            left=left,
            elapsed_s=elapsed_s,
            **log_fields,
        )

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

    def _drain(self, instance: Instance, handled: HandledInstance) -> bool:
        """Stop the runs on an instance; return whether its maintenance can be ordered.

        That is so when no runs are left and no order was sent recently.
        """
        now_s = steady_s()
        if instance.worker_id != handled.worker_id:
            # The instance has crashed and restarted meanwhile, with a new worker.
            handled.worker_id, handled.since_s = instance.worker_id, now_s
        state = self._state_of(handled.worker_id)
        if state is None and self._dispatcher.may_have_unknown_runs(handled.worker_id):
            return False
        if state is not None and not self._runs_are_known(state):
            return False
        if state is not None and state.run_by_task:
            state.is_cordoned = True
            self._stop_runs(state, now_s - handled.since_s > DRAIN_TIMEOUT_S)
            return False
        if now_s < handled.retry_at_s:
            return False
        handled.retry_at_s = now_s + ORDER_RETRY_S
        return True

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

    def _record_and_send(self, order: WaveOrder, instances: list[Instance]) -> None:
        """Record the orders for drained instances together and send them."""
        if not instances:
            return
        instance_ids = [i.instance_id for i in instances]
        if not self._order_guard.record(instance_ids, order.wave):
            log_event("maintenance_order", wave=order.wave, outcome="not recorded")
            return
        if len(instances) == 1:
            self._send_order(order, instances[0])
            return
        self._order_greenlets.map(lambda i: self._send_order(order, i), instances)

    def _send_order(self, order: WaveOrder, instance: Instance) -> None:
        handled = self._handled_by_id[instance.instance_id]
        token = self._dispatcher.writer.token
        reply = self._order_guard.send(
            instance.instance_id,
            lambda: self._port.maintain(instance.instance_id, order.wave, token),
        )
        log_event(
            "maintenance_order",
            wave=order.wave,
            instance=instance.instance_id,
            token=token,
            outcome=reply.outcome.value,
            reason=reply.reason,
        )
        metrics.INSTANCE_ORDERS.labels("maintenance", reply.outcome.value).inc()
        match reply.outcome:
            case CallOutcome.DONE:
                handled.stage = Stage.AWAY
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

    def _release_returned(self, wave: str | None = None) -> None:
        """Release the instances that are back or can no longer be drained.

        Considers the instances of one wave or, without ``wave``, of all waves.
        Instances being drained for a wave that was withdrawn are released then too.
        """
        for instance_id, handled in list(self._handled_by_id.items()):
            if wave is not None and handled.wave != wave:
                continue
            instance = self._inventory.instance_by_id.get(instance_id)
            if handled.stage is Stage.DRAINING:
                is_withdrawn = wave is None and handled.wave not in self._wave_names()
                is_up = instance is not None and instance.state is InstanceState.UP
                if is_withdrawn or not is_up:
                    self._release(instance_id)
                continue
            away_s = steady_s() - handled.since_s
            is_back = instance is None or (
                away_s > self._maintenance_s and instance.state is InstanceState.UP
            )
            if not is_back:
                continue
            if self.gentle_waves is not None and instance is not None:
                self.gentle_waves.note_round(
                    handled.kind, steady_s() - handled.chosen_s
                )
            self._release(instance_id)

    def _wave_names(self) -> set[str]:
        return {order.wave for order in self._order_by_wave.values()}

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
