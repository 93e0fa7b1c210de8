"""Metrics of a controller, labelled by names from the configuration and waves."""

from __future__ import annotations

import time
from collections import Counter

from prometheus_client import CollectorRegistry, Gauge, ProcessCollector

from lycheeloom.fleet import FleetView, Planner
from lycheeloom.fleet.buffers import wanted_buffer
from lycheeloom.fleet.waves import is_maintained
from lycheeloom.model.records import Duty, Health, MoveStage, WaveState

_ENDED_STAGES = frozenset({MoveStage.JOINED, MoveStage.ABANDONED})


class ControllerMetrics:
    """All metrics of one controller, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._duty_held = self._gauge("duty_held", "1 while the duty is held", "duty")
        self._pool_gauge_by_name = {
            name: self._gauge(f"pool_{name}", text, "pool")
            for name, text in (
                ("in_service", "Instances that may start tasks"),
                ("needed", "Instances that must serve"),
                ("buffer", "Instances beyond the need"),
                ("buffer_wanted", "Spare instances that cover a loss"),
                ("unavailable", "Planned and unplanned unavailability together"),
                ("max_unavailable", "Availability budget"),
            )
        }
        self._wave_instances = self._gauge(
            "wave_instances", "Instances of a wave by state", "wave", "state"
        )
        self._wave_paused = self._gauge("wave_paused", "1 while paused", "wave")
        self._moves_in_progress = self._gauge(
            "moves_in_progress", "Moves that have not ended"
        )
        self._oldest_move_s = self._gauge(
            "oldest_move_seconds", "Age of the last step of the oldest move"
        )
        self._instances = self._gauge("instances", "Instances by health", "health")
        self.step_s = self._gauge("planner_step_seconds", "Time of the last step")
        self.log_age_s = self._gauge(
            "log_age_seconds", "Time since the last successful log read"
        )
        self.records_since_snapshot = self._gauge(
            "records_since_snapshot", "Records after the newest snapshot"
        )
        self.snapshot_age_s = self._gauge(
            "snapshot_age_seconds", "Age of the newest complete snapshot"
        )
        self.log_retention_s = self._gauge(
            "log_retention_seconds", "How long the log keeps records"
        )
        self._stage_start_by_instance: dict[
            str, tuple[tuple[str, MoveStage], float]
        ] = {}

    def set_duty(self, duty: Duty, is_held: bool) -> None:
        """Report whether a duty is held."""
        self._duty_held.labels(duty).set(int(is_held))

    def set_fleet(self, view: FleetView | None, planner: Planner) -> None:
        """Set the metrics of the fleet; ``view`` is None without the duty."""
        for gauge in (
            *self._pool_gauge_by_name.values(),
            self._wave_instances,
            self._wave_paused,
        ):
            gauge.clear()
        self._instances.clear()
        if view is None:
            self._stage_start_by_instance.clear()
            # A former holder would otherwise report its last moves indefinitely.
            self._moves_in_progress.set(0)
            self._oldest_move_s.set(0)
            return
        self._set_pools(view, planner)
        self._set_waves(view)
        self._set_moves(view)
        healths = Counter(state.health for state in view.health_by_instance.values())
        unhealthy = sum(
            n for health, n in healths.items() if health != Health.IN_SERVICE
        )
        for health in Health:
            self._instances.labels(health).set(healths[health])
        total = len(view.config.instance_by_id)
        self._instances.labels(Health.IN_SERVICE).set(total - unhealthy)

    def _set_pools(self, view: FleetView, planner: Planner) -> None:
        unavailable_by_pool = planner.unavailable_by_pool()
        sizes = Counter(view.pool_by_instance.values())
        wanted = wanted_buffer(planner.buffer_plan.needs)
        spare_pools = [p.id for p in view.config.pool_by_id.values() if p.spare]
        for name, pool in view.config.pool_by_id.items():
            out = unavailable_by_pool.get(name, 0)
            values = {
                "in_service": sizes[name] - out,
                "needed": pool.needed,
                "buffer": max(0, sizes[name] - out - pool.needed),
                # The buffer of the whole fleet is split evenly among spare pools.
                "buffer_wanted": wanted / len(spare_pools) if pool.spare else 0,
                "unavailable": out,
                "max_unavailable": pool.max_unavailable,
            }
            for key, value in values.items():
                self._pool_gauge_by_name[key].labels(name).set(value)

    def _set_waves(self, view: FleetView) -> None:
        for wave_id, wave in view.wave_by_id.items():
            if wave.state in (WaveState.DONE, WaveState.ABORTED):
                continue
            pools = set(wave.pools or view.config.pool_by_id)
            counts = Counter(
                self._wave_state(view, wave, name)
                for name, pool in view.pool_by_instance.items()
                if pool in pools
            )
            for state in ("done", "in_progress", "waiting", "failed"):
                self._wave_instances.labels(wave_id, state).set(counts[state])
            paused = int(wave.state is WaveState.PAUSED)
            self._wave_paused.labels(wave_id).set(paused)

    @staticmethod
    def _wave_state(view: FleetView, wave, name: str) -> str:
        move = view.move_by_instance.get(name)
        if is_maintained(wave, move):
            return "done"
        if move is not None and move.stage not in _ENDED_STAGES:
            return "in_progress"
        health = view.health_by_instance.get(name)
        if health is not None and health.health is Health.GIVEN_UP:
            return "failed"
        return "waiting"

    def _set_moves(self, view: FleetView) -> None:
        now = time.monotonic()
        since = {}
        for name, move in view.move_by_instance.items():
            if move.stage in _ENDED_STAGES:
                continue
            step = move.move_id, move.stage
            last = self._stage_start_by_instance.get(name)
            since[name] = last if last and last[0] == step else (step, now)
        self._stage_start_by_instance = since
        self._moves_in_progress.set(len(since))
        self._oldest_move_s.set(
            max((now - at for _, at in since.values()), default=0.0)
        )

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"lycheeloom_{name}", text, labels, registry=self.registry)
