"""Moves instances between pools as demand changes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Mapping

import gevent
from gevent.pool import Pool as GreenletPool

from lycheeloom.jobs.fleet import WorkerState
from lycheeloom.jobs.pool_sizes import (
    SWITCH_OFF_IDLE_S,
    Move,
    PoolInstance,
    PoolLoad,
    choose_moves,
)
from lycheeloom.telemetry import log_event

from . import metrics
from .clock import steady_s
from .dispatcher import Dispatcher
from .early_moves import EarlyMoves
from .gentle_waves import GentleWaves
from .inventory import Inventory
from .order_guard import OrderGuard
from .pool_donations import PoolDonations
from .pool_loads import is_usable, measure_loads
from .ports import CallOutcome, CallReply, Instance, InstancePort, InstanceState

ROUND_PAUSE_S = 0.25
# An instance whose order had no effect counts as moving for this long, so that the
# order is not repeated earlier. After other orders, it is added to the time of a move.
RETRY_DELAY_S = 1.0
MAX_ORDERS_IN_FLIGHT = 16


class PoolMoves:
    """Moves instances between pools as demand requires, while this instance leads.

    ``is_in_maintenance`` returns whether an instance, given by its id, is being drained
    or maintained; such instances are not moved. A move takes ``move_s``. With
    ``gentle_waves``, instances that await maintenance are moved last, or not at all if
    the time left of their wave is just enough.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        inventory: Inventory,
        order_guard: OrderGuard,
        port: InstancePort,
        is_in_maintenance: Callable[[str], bool],
        move_s: float,
        gentle_waves: GentleWaves | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._inventory = inventory
        self._order_guard = order_guard
        self._port = port
        self._is_in_maintenance = is_in_maintenance
        self._move_s = move_s
        self._donations = PoolDonations(self._state_of_instance, is_in_maintenance)
        self._gentle_waves = gentle_waves
        # None unless the feature is switched on.
        self._early_moves: EarlyMoves | None = None
        if dispatcher.features.demand_forecast:
            self._early_moves = EarlyMoves(move_s)
        self._order_greenlets = GreenletPool(MAX_ORDERS_IN_FLIGHT)
        # Since when the workers without runs have had none, by worker id.
        self._idle_since_s_by_worker: dict[str, float] = {}
        # Target pool of a move order, and the time until which the instance counts as
        # moving; the pool is an empty string unless the order succeeded.
        self._moving_by_id: dict[str, tuple[str, float]] = {}
        # Instances that were not up when they ceased to count as moving.
        self._unreleased_ids: set[str] = set()
        if gentle_waves is not None:
            gentle_waves.is_moving = self._is_moving

    def run(self) -> None:
        """Move instances until the leader is fenced."""
        while not self._dispatcher.writer.is_fenced:
            gevent.sleep(ROUND_PAUSE_S)
            if self._dispatcher.writer.may_act and self._inventory.instance_by_id:
                self._run_round()

    def _run_round(self) -> None:
        """Choose moves by the current load of the pools, and order them."""
        now_s = steady_s()
        policy = self._dispatcher.view.policy
        standby_pools = {
            pool.name for pool in policy.pool_by_name.values() if pool.standby
        }
        self._note_idle(now_s)
        for instance_id, (_, moving_until_s) in list(self._moving_by_id.items()):
            if now_s > moving_until_s:
                del self._moving_by_id[instance_id]
                self._unreleased_ids.add(instance_id)
        for instance_id in list(self._unreleased_ids):
            self._release(instance_id)
        available = [
            instance
            for instance in self._inventory.instance_by_id.values()
            if instance.state is InstanceState.UP
            and instance.instance_id not in self._moving_by_id
            and not self._is_in_maintenance(instance.instance_id)
        ]
        instances = [
            PoolInstance(
                instance.instance_id,
                instance.pool,
                self._idle_s(instance.worker_id, now_s),
                is_usable(self._dispatcher, instance),
                self._may_move(instance.instance_id),
                self._switch_off_idle_s(instance.instance_id, now_s),
            )
            for instance in available
            if not self._donations.handles(instance.instance_id)
        ]
        if self._gentle_waves is not None:
            # Of the instances that are switched off, those that await maintenance are
            # the last to be moved to a pool.
            gentle_waves = self._gentle_waves
            instances.sort(key=lambda i: gentle_waves.is_pending(i.instance_id))
        arriving = Counter(pool for pool, _ in self._moving_by_id.values())
        loads = measure_loads(self._dispatcher, arriving)
        if self._early_moves is not None:
            size_by_pool = Counter(i.pool for i in instances if i.is_usable)
            loads = self._early_moves.add_forecasts(loads, size_by_pool, now_s)
            if self._gentle_waves is not None:
                self._gentle_waves.forecast_by_pool = {
                    pool: load.forecast for pool, load in loads.items()
                }
        moves = choose_moves(instances, loads, standby_pools)
        if self._dispatcher.features.overload_control:
            moves += self._choose_donations(
                available, moves, loads, standby_pools, now_s
            )
        self._send_orders([move for move in moves if self._prepare(move)])

    def _choose_donations(
        self,
        available: Collection[Instance],
        moves: Collection[Move],
        load_by_pool: Mapping[str, PoolLoad],
        standby_pools: Collection[str],
        now_s: float,
    ) -> list[Move]:
        """Return moves of instances that are emptied for pools below their share."""
        moved_ids = {move.instance_id for move in moves}
        staying = [i for i in available if i.instance_id not in moved_ids]
        usable_ids = {
            instance.instance_id
            for instance in staying
            if is_usable(self._dispatcher, instance)
        }
        movable_ids = set(filter(self._may_move, usable_ids))
        policy = self._dispatcher.view.policy
        priority_by_pool: dict[str, int] = {}
        for active_job in self._dispatcher.active_job_by_id.values():
            queue = policy.queue_by_name.get(active_job.job.queue)
            if queue is None or active_job.job.steps[0].long_running:
                continue
            known = priority_by_pool.get(queue.pool, queue.priority)
            priority_by_pool[queue.pool] = min(known, queue.priority)
        return self._donations.choose(
            staying,
            usable_ids,
            movable_ids,
            load_by_pool,
            priority_by_pool,
            standby_pools,
            now_s,
        )

    def _is_moving(self, instance: Instance) -> bool:
        """Return whether a move is ordered of which the target is not reached yet."""
        moving = self._moving_by_id.get(instance.instance_id)
        return moving is not None and moving[0] != instance.pool

    def _may_move(self, instance_id: str) -> bool:
        if self._gentle_waves is not None and self._gentle_waves.must_stay(instance_id):
            return False
        return self._order_guard.may_order(instance_id)

    def _switch_off_idle_s(self, instance_id: str, now_s: float) -> float:
        if self._early_moves is None:
            return SWITCH_OFF_IDLE_S
        return self._early_moves.switch_off_idle_s(instance_id, now_s)

    def _release(self, instance_id: str) -> None:
        """Allow new tasks on an instance again if it is up."""
        instance = self._inventory.instance_by_id.get(instance_id)
        if instance is None or self._is_in_maintenance(instance_id):
            self._unreleased_ids.discard(instance_id)
            return
        if instance.state is not InstanceState.UP:
            # Its worker may come back under the same id, still without tasks.
            return
        self._unreleased_ids.discard(instance_id)
        state = self._dispatcher.fleet.state_by_id.get(instance.worker_id)
        if state is not None:
            state.is_cordoned = False

    def _note_idle(self, now_s: float) -> None:
        for worker_id, state in self._dispatcher.fleet.state_by_id.items():
            if state.run_by_task or not state.has_current_lists:
                self._idle_since_s_by_worker.pop(worker_id, None)
            else:
                self._idle_since_s_by_worker.setdefault(worker_id, now_s)

    def _idle_s(self, worker_id: str, now_s: float) -> float:
        """Return for how long a worker has had no runs; 0 if it is draining."""
        state = self._dispatcher.fleet.state_by_id.get(worker_id)
        if state is None or state.run_by_task or state.worker.draining:
            return 0.0
        return now_s - self._idle_since_s_by_worker.get(worker_id, now_s)

    def _prepare(self, move: Move) -> bool:
        """Exclude an instance from new tasks; return False if tasks run on it."""
        state = self._state_of(move)
        if state is None:
            return True
        if state.run_by_task:
            return False
        state.is_cordoned = True
        return True

    def _send_orders(self, moves: Collection[Move]) -> None:
        """Record and send the orders; moves that cannot be recorded are given up."""
        if not moves:
            return
        # While the orders are recorded and sent, maintenance must not choose these
        # instances.
        for move in moves:
            self._note_moving(move, "", RETRY_DELAY_S)
        if not self._order_guard.record([move.instance_id for move in moves]):
            log_event("moves_given_up", level="WARNING", moves=len(moves))
            for move in moves:
                self._note_reply(move, CallReply(CallOutcome.NOT_SENT, "not recorded"))
            return
        self._order_greenlets.map(self._send_order, moves)

    def _send_order(self, move: Move) -> None:
        token = self._dispatcher.writer.token
        reply = self._order_guard.send(
            move.instance_id,
            lambda: self._port.move(move.instance_id, move.pool, token),
        )
        instance = self._inventory.instance_by_id.get(move.instance_id)
        log_event(
            "instance_move",
            instance=move.instance_id,
            source=instance.pool if instance else "",
            target=move.pool,
            reason=move.reason,
            size=move.size,
            used=move.load.used,
            waiting=move.load.backlog,
            offered=move.load.offered_load,
            arriving=move.load.arriving,
            token=token,
            outcome=reply.outcome.value,
            detail=reply.reason,
        )
        metrics.INSTANCE_ORDERS.labels("move", reply.outcome.value).inc()
        self._note_reply(move, reply)

    def _note_reply(self, move: Move, reply: CallReply) -> None:
        """Set how long the instance counts as moving, according to the reply."""
        moving_s = RETRY_DELAY_S
        state = self._state_of(move)
        match reply.outcome:
            case CallOutcome.DONE | CallOutcome.UNKNOWN:
                moving_s = self._move_s + RETRY_DELAY_S
                if self._early_moves is not None:
                    self._early_moves.note_move(move)
            case CallOutcome.FENCED:
                self._dispatcher.writer.is_fenced = True
            case _ if state is not None and not self._is_in_maintenance(
                move.instance_id
            ):
                # The order had no effect.
                state.is_cordoned = False
        target_pool = move.pool if reply.outcome is CallOutcome.DONE else ""
        self._note_moving(move, target_pool, moving_s)

    def _note_moving(self, move: Move, target_pool: str, moving_s: float) -> None:
        self._moving_by_id[move.instance_id] = (target_pool, steady_s() + moving_s)

    def _state_of(self, move: Move) -> WorkerState | None:
        instance = self._inventory.instance_by_id.get(move.instance_id)
        return self._state_of_instance(instance) if instance else None

    def _state_of_instance(self, instance: Instance) -> WorkerState | None:
        return self._dispatcher.fleet.state_by_id.get(instance.worker_id)
