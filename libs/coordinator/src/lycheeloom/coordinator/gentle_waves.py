"""Chooses the next instances of a wave by the load of their pools."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace

from lycheeloom.jobs.pool_sizes import PoolLoad, room_of
from lycheeloom.jobs.waves import (
    PoolRoom,
    RoundKind,
    RoundTimes,
    WaveInstance,
    WaveTime,
    choose_gently,
    is_wave_due,
)
from lycheeloom.telemetry import log_event

from . import metrics
from .clock import steady_s
from .dispatcher import Dispatcher
from .inventory import Inventory
from .order_guard import OrderGuard
from .pool_loads import is_usable, measure_loads
from .ports import Instance, InstanceState

# The loads of the pools are measured at most this often: it looks at all open jobs, and
# a wave decides every 0.1 s.
LOAD_INTERVAL_S = 0.25
# A wait of a pool is logged again after this time.
LOG_INTERVAL_S = 2.0


class GentleWaves:
    """Plans waves under load; in use with the feature ``gentle_maintenance``.

    Keeps the durations of the rounds that were seen, in memory only: a new leader plans
    with the assumed ones.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        inventory: Inventory,
        order_guard: OrderGuard,
        maintenance_s: float,
        drain_s: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._inventory = inventory
        self._order_guard = order_guard
        self._rounds = RoundTimes(maintenance_s, drain_s)
        # Returns whether a move of an instance has been ordered that the list of
        # instances does not show yet; set by ``PoolMoves``.
        self.is_moving: Callable[[Instance], bool] = lambda instance: False
        # Instances that pools are expected to need shortly; set by ``PoolMoves``.
        self.forecast_by_pool: Mapping[str, float] = {}
        self._load_by_pool: dict[str, PoolLoad] = {}
        self._measured_s = -math.inf
        # When the wait of a pool was last logged, by wave and pool.
        self._logged_s: dict[tuple[str, str], float] = {}
        # Instances that await maintenance, by wave, and the waves that have just enough
        # time left for them.
        self._pending_by_wave: dict[str, frozenset[str]] = {}
        self._due_waves: set[str] = set()

    def choose(
        self,
        wave: str,
        pending: Collection[Instance],
        eligible: Collection[str],
        away: Mapping[str, int],
        handled: Collection[Instance],
        max_unavailable: int,
        time: WaveTime,
    ) -> dict[str, tuple[RoundKind, str]]:
        """Return the ids of the instances to drain now, each with kind and reason.

        ``pending`` contains the instances of the wave that are not done, except those
        that are being drained or maintained. ``away`` counts these by pool, and
        ``handled`` contains those of all waves. Only the ``eligible`` ones are chosen,
        by id; the remaining time is planned for the others too.
        """
        if steady_s() - self._measured_s >= LOAD_INTERVAL_S:
            self._load_by_pool = {
                pool: replace(load, forecast=self.forecast_by_pool.get(pool, 0.0))
                for pool, load in measure_loads(self._dispatcher, {}).items()
            }
            self._measured_s = steady_s()
        candidates = [
            replace(candidate, may_begin=False)
            if candidate.instance_id not in eligible
            else candidate
            for candidate in map(self._describe, pending)
        ]
        choice = choose_gently(
            candidates,
            self._room_by_pool(handled),
            away,
            max_unavailable,
            time,
            self._rounds,
        )
        self._note_pending(wave, candidates, max_unavailable, time)
        self._log_held(wave, choice.held_by_pool, len(pending), time)
        for reason in choice.reason_by_id.values():
            metrics.MAINTENANCE_CHOSEN.labels(reason).inc()
        kind_by_id = {c.instance_id: c.round_kind for c in candidates}
        return {
            instance_id: (kind_by_id[instance_id], reason)
            for instance_id, reason in choice.reason_by_id.items()
        }

    def keep_only(self, open_waves: Collection[str]) -> None:
        """Discard what is kept for waves that are completed or withdrawn."""
        for wave in self._pending_by_wave.keys() - open_waves:
            del self._pending_by_wave[wave]
        self._due_waves.intersection_update(open_waves)
        for key in [key for key in self._logged_s if key[0] not in open_waves]:
            del self._logged_s[key]

    def note_round(self, kind: RoundKind, round_s: float) -> None:
        """Record the duration of a round that has ended."""
        self._rounds.note(kind, round_s)
        metrics.MAINTENANCE_ROUND_SECONDS.labels(kind.value).observe(round_s)

    def is_pending(self, instance_id: str) -> bool:
        """Return whether an instance awaits maintenance."""
        return any(
            instance_id in instance_ids
            for instance_ids in self._pending_by_wave.values()
        )

    def must_stay(self, instance_id: str) -> bool:
        """Return whether an instance awaits maintenance that a move would delay."""
        return any(
            instance_id in self._pending_by_wave.get(wave, ())
            for wave in self._due_waves
        )

    def _describe(self, instance: Instance) -> WaveInstance:
        pool = self._dispatcher.view.policy.pool_by_name.get(instance.pool)
        state = self._dispatcher.fleet.state_by_id.get(instance.worker_id)
        runs = list(state.run_by_task.values()) if state else []
        return WaveInstance(
            instance.instance_id,
            instance.pool,
            len(runs),
            0.0,
            bool(pool and pool.standby),
            any(run.step.long_running for run in runs),
            instance.state is InstanceState.UP
            and not self.is_moving(instance)
            and self._order_guard.may_order(instance.instance_id),
        )

    def _room_by_pool(self, handled: Collection[Instance]) -> dict[str, PoolRoom]:
        handled_ids = {instance.instance_id for instance in handled}
        size_by_pool = Counter(
            instance.pool
            for instance in self._inventory.instance_by_id.values()
            if instance.state is InstanceState.UP
            and instance.instance_id not in handled_ids
            and is_usable(self._dispatcher, instance)
        )
        # Instances that are away have no tasks, so these are being drained.
        long_running = Counter(
            instance.pool
            for instance in handled
            if self._describe(instance).has_long_running
        )
        return {
            pool: room_of(load, size_by_pool[pool], long_running[pool])
            for pool, load in self._load_by_pool.items()
        }

    def _note_pending(
        self,
        wave: str,
        candidates: Collection[WaveInstance],
        max_unavailable: int,
        time: WaveTime,
    ) -> None:
        self._pending_by_wave[wave] = frozenset(c.instance_id for c in candidates)
        is_due = is_wave_due(candidates, max_unavailable, time, self._rounds)
        if is_due and wave not in self._due_waves:
            self._due_waves.add(wave)
            log_event(
                "maintenance_due",
                wave=wave,
                left=len(candidates),
                elapsed_s=time.elapsed_s,
                round_s=self._rounds.expected_s(RoundKind.BUSY),
            )
        elif not is_due:
            self._due_waves.discard(wave)

    def _log_held(
        self, wave: str, held_by_pool: Mapping[str, int], left: int, time: WaveTime
    ) -> None:
        for pool, held in held_by_pool.items():
            if (
                steady_s() - self._logged_s.get((wave, pool), -math.inf)
                < LOG_INTERVAL_S
            ):
                continue
            self._logged_s[wave, pool] = steady_s()
            load = self._load_by_pool.get(pool, PoolLoad(0, 0))
            log_event(
                "maintenance_held",
                wave=wave,
                pool=pool,
                held=held,
                left=left,
                elapsed_s=time.elapsed_s,
                used=load.used,
                waiting=load.backlog,
            )
