"""The planner: each step derives records and actions from a view of the fleet."""

from __future__ import annotations

from collections.abc import Mapping

from lycheeloom.model.records import (
    InstanceHealth,
    MoveStage,
    MoveStep,
    WaveCommand,
    WaveState,
)

from . import events, waves
from .blockers import describe_blocker
from .budgets import BudgetUsage, Layout, Limit
from .explanations import Explanations
from .monitor import FailedDomain, HealthMonitor, MonitorSettings
from .move_runner import MoveRunner
from .moves import action_ids
from .rebalance import Rebalancer
from .repair import Repair, RepairPlanner, RepairSettings, repair_prefix
from .step import StepContext
from .view import (
    ENDED_STAGES,
    FleetView,
    Move,
    Plan,
    PlannerSettings,
    Wave,
)

CONTROLLER_OPERATOR = "maintenance controller"
_MAX_EVENTS_PER_STEP = 50


class Planner:
    """Plans maintenance of a fleet.

    Call ``step(view, now_s)`` about once a second, append the records and request
    the actions. Both may be repeated, lost or delayed: later steps return them
    until they have taken effect. Report the signals of workers to ``health``;
    ``explanations`` holds the reasons for the decisions.
    """

    def __init__(
        self,
        settings: PlannerSettings | None = None,
        monitor: MonitorSettings | None = None,
        repair: RepairSettings | None = None,
    ):
        self.settings = settings or PlannerSettings()
        self.health = HealthMonitor(monitor)
        self.explanations = Explanations()
        self._repair = RepairPlanner(self.health, repair)
        self._rebalancer = Rebalancer(self.settings)
        self._runner = MoveRunner(self.settings, self.explanations, self.health)
        self._layout: Layout | None = None
        self._last_step: StepContext | None = None
        self._unreplayed_moves: dict[str, MoveStep] = {}
        self._hold_until_s = float("-inf")
        self._failed_members: frozenset[str] = frozenset()

    @property
    def buffer_plan(self):
        """The last buffer plan: moves, shortages and the need of each size."""
        return self._rebalancer.plan

    def action_ids(self, moves: Mapping[str, Move]) -> tuple[str, ...]:
        """Return the action ids whose status the next step needs."""
        ids: list[str] = []
        for move in moves.values():
            if move.stage not in ENDED_STAGES:
                ids += action_ids(move, self.settings.max_attempts)
        return tuple(ids)

    def step(self, view: FleetView, now_s: float) -> Plan:
        """Return the records to append and the actions to request now."""
        step = self._begin_step(view, now_s)
        self._runner.advance_all(step, self._abandon_reason)
        if not view.is_list_current:
            return self._end_step(step)
        self._hold_on_failed_domains(step)
        self._plan_repairs(step)
        if not step.assessment.too_many_silent:
            self._plan_waves(step)
            self._plan_pool_changes(step)
        self._update_waves(step)
        return self._end_step(step)

    def forecast(
        self, view: FleetView, wave_id: str, now_s: float
    ) -> waves.Forecast | None:
        """Return the forecast of a wave, None if the wave is not known."""
        wave = view.wave_by_id.get(wave_id)
        if wave is None:
            return None
        start_s = max(now_s, self._hold_until_s)
        return waves.forecast(
            wave,
            self._layout_of(view),
            view.move_by_instance,
            start_s,
            self._runner.mean_move_s,
        )

    def describe_blocker(self, instance: str) -> str:
        """Explain, as of the last step, what keeps an instance from maintenance."""
        return describe_blocker(self._last_step, instance, self._hold_until_s)

    def knows_instance(self, instance: str) -> bool:
        """Tell whether the last step saw an instance of this name."""
        last = self._last_step
        return last is not None and instance in last.layout.location_by_instance

    def unavailable_by_pool(self) -> dict[str, int]:
        """Return the number of instances out of service, by pool, at the last step."""
        if self._last_step is None:
            return {}
        layout, budgets = self._last_step.layout, self._last_step.budgets
        return {
            pool: size - budgets.available(pool)
            for pool, size in layout.size_by_pool.items()
        }

    def _begin_step(self, view: FleetView, now_s: float) -> StepContext:
        layout = self._layout_of(view)
        assessment = self.health.assess(layout, now_s)
        not_serving = view.unavailable | assessment.silent | layout.out_of_service
        step = StepContext(
            view,
            now_s,
            layout,
            BudgetUsage(layout, not_serving),
            assessment,
            not_serving,
        )
        step.budgets.take_recorded_out(view.health_by_instance, view.move_by_instance)
        self._repeat_unreplayed_moves(step)
        self._last_step = step
        return step

    def _end_step(self, step: StepContext) -> Plan:
        self._runner.sweep()
        return Plan(tuple(step.records), tuple(step.actions))

    def _layout_of(self, view: FleetView) -> Layout:
        if self._layout is None or not self._layout.matches(
            view.config, view.pool_by_instance
        ):
            self._layout = Layout(view.config, view.pool_by_instance)
            self.health.retain(self._layout.location_by_instance)
        return self._layout

    def _repeat_unreplayed_moves(self, step: StepContext) -> None:
        """Repeat the first records of moves that have not been replayed yet.

        Their instances count as out of service already, so that a slow log does
        not lead later steps to choose further instances beyond the budget.
        """
        for name, record in list(self._unreplayed_moves.items()):
            if self._is_obsolete(step.view, record):
                del self._unreplayed_moves[name]
                continue
            step.budgets.take(name)
            step.records.append(record)

    @staticmethod
    def _is_obsolete(view: FleetView, record: MoveStep) -> bool:
        if record.duty_epoch != view.duty_epoch:
            return True
        if record.instance not in view.config.instance_by_id:
            return True
        move = view.move_by_instance.get(record.instance)
        if move is None:
            return record.to_pool not in view.config.pool_by_id
        return move.move_id == record.move_id or move.stage not in ENDED_STAGES

    def _start_move(self, step: StepContext, record: MoveStep) -> None:
        name = record.instance
        step.budgets.take(name)
        self._unreplayed_moves[name] = record
        step.records.append(record)
        pool = step.layout.location_by_instance[name][0]
        self.explanations.add(
            events.MoveStarted(
                name, pool, record.to_pool, record.reboot, record.reason
            ),
            step.now_s,
        )

    def _abandon_reason(self, step: StepContext, name: str, move: Move) -> str:
        """Return why a move should end early, empty if it should continue."""
        for wave in step.view.wave_by_id.values():
            if wave.state is not WaveState.ABORTED:
                continue
            if move.move_id.startswith(_wave_prefix(wave, name)):
                return "its wave was aborted"
        return ""

    def _plan_repairs(self, step: StepContext) -> None:
        found = self._repair.decide(
            step.view,
            step.layout,
            step.assessment,
            step.now_s,
            held=step.now_s < self._hold_until_s,
        )
        for repair in found:
            if repair.reboot:
                self._start_repair_move(step, repair)
                continue
            self._set_health(step, repair)

    def _start_repair_move(self, step: StepContext, repair: Repair) -> None:
        if repair.instance in self._unreplayed_moves:
            return
        move_id = f"{repair_prefix(repair.instance)}{step.view.offset}"
        pool = step.layout.location_by_instance[repair.instance][0]
        self._start_move(
            step,
            _planned_record(step, repair.instance, move_id, pool, True, repair.reason),
        )

    def _set_health(self, step: StepContext, repair: Repair) -> None:
        name = repair.instance
        step.budgets.take(name)
        step.records.append(
            InstanceHealth(name, repair.health, step.view.duty_epoch, repair.reason)
        )
        pool = step.layout.location_by_instance[name][0]
        self.explanations.add(
            events.HealthDecided(name, pool, repair.health, repair.reason), step.now_s
        )

    def _hold_on_failed_domains(self, step: StepContext) -> None:
        """Hold waves and repair for some time whenever a correlated failure grows."""
        if step.assessment.too_many_silent:
            silent, total = (
                len(step.assessment.silent),
                len(step.layout.location_by_instance),
            )
            self.explanations.add(events.TooManySilent(silent, total), step.now_s)
        failed: set[str] = set()
        for domain in step.assessment.failed_domains:
            failed |= domain.members
            newly_failed = domain.members - self._failed_members
            if newly_failed:
                self._hold_until_s = step.now_s + self.settings.correlated_pause_s
                self._explain_failed_domain(step, domain, newly_failed)
        self._failed_members = frozenset(failed)

    def _explain_failed_domain(
        self, step: StepContext, domain: FailedDomain, newly_failed: frozenset[str]
    ) -> None:
        lost = len(domain.members)
        names = tuple(sorted(newly_failed))
        locations = step.layout.location_by_instance
        pools = tuple(sorted({locations[name][0] for name in names}))
        for event in (
            events.FailureDomainLost(domain.domain, lost, names, pools),
            events.MaintenanceOnHold(
                domain.domain, lost, self._hold_until_s, names, pools
            ),
        ):
            self.explanations.add(event, step.now_s)

    def _plan_waves(self, step: StepContext) -> None:
        if step.now_s < self._hold_until_s:
            return
        running = [
            wave
            for wave in step.view.wave_by_id.values()
            if wave.state is WaveState.RUNNING
        ]
        skipped = self._runner.recently_abandoned(step.now_s)
        explained = started = 0
        for wave in sorted(
            running, key=lambda wave: (not wave.urgent, wave.started_at)
        ):
            moves = step.view.move_by_instance
            for choice in waves.choose_instances(
                wave, step.layout, step.budgets, moves, skipped
            ):
                if started >= self.settings.max_starts_per_step:
                    return
                if choice.limit is None:
                    started += 1
                    self._start_wave_move(step, wave, choice.instance)
                elif explained < _MAX_EVENTS_PER_STEP:
                    explained += 1
                    self._explain_blocked(step, choice.instance, choice.limit)

    def _start_wave_move(self, step: StepContext, wave: Wave, name: str) -> None:
        pool = step.layout.location_by_instance[name][0]
        kind = "urgent maintenance" if wave.urgent else "maintenance"
        reason = f"{kind} wave {wave.wave_id} has reached it"
        move_id = f"{_wave_prefix(wave, name)}{step.view.offset}"
        self._start_move(
            step, _planned_record(step, name, move_id, pool, wave.reboot, reason)
        )

    def _explain_blocked(self, step: StepContext, name: str, limit: Limit) -> None:
        pool = step.layout.location_by_instance[name][0]
        self.explanations.add(events.NotChosen(name, pool, limit), step.now_s)

    def _plan_pool_changes(self, step: StepContext) -> None:
        view = step.view
        unmovable = step.not_serving | self._unreplayed_moves.keys()
        for move in self._rebalancer.due_moves(
            view, step.layout, step.not_serving, step.now_s
        ):
            if not self._rebalancer.may_start():
                break
            if move.instance in unmovable or step.budgets.is_out(move.instance):
                continue
            limit = step.budgets.blocking_limit(move.instance, to_pool=move.to_pool)
            if limit is not None:
                self._explain_blocked(step, move.instance, limit)
                continue
            self._rebalancer.record_start(move, step.now_s)
            move_id = f"pool.{move.instance}.{view.offset}"
            reboot = self._reboots_in_wave(step, move.from_pool)
            reason = _pool_change_reason(view, move.instance, move.to_pool)
            record = _planned_record(
                step, move.instance, move_id, move.to_pool, reboot, reason
            )
            self._start_move(step, record)
        for shortage in self._rebalancer.plan.shortages[:_MAX_EVENTS_PER_STEP]:
            size = f"{shortage.size.cores:g} cores"
            event = events.BufferShortage(shortage.domain, shortage.lacking, size)
            self.explanations.add(event, step.now_s)

    @staticmethod
    def _reboots_in_wave(step: StepContext, pool: str) -> bool:
        return any(
            wave.state in (WaveState.RUNNING, WaveState.PAUSED)
            and wave.reboot
            and pool in waves.covered_pools(wave, step.layout)
            for wave in step.view.wave_by_id.values()
        )

    def _update_waves(self, step: StepContext) -> None:
        """Record the end of finished waves and start the regular wave if due."""
        for wave in step.view.wave_by_id.values():
            if wave.state is WaveState.RUNNING and self._is_finished(step, wave):
                step.records.append(
                    WaveCommand(
                        wave.wave_id,
                        WaveState.RUNNING,
                        WaveState.DONE,
                        wave.pools,
                        wave.urgent,
                        wave.reboot,
                        CONTROLLER_OPERATOR,
                    )
                )
        cycle_s = self.settings.regular_cycle_s
        if not cycle_s:
            return
        wave_id = f"regular-{int(step.now_s // cycle_s)}"
        if wave_id not in step.view.wave_by_id:
            step.records.append(
                WaveCommand(
                    wave_id,
                    WaveState.ABSENT,
                    WaveState.RUNNING,
                    operator=CONTROLLER_OPERATOR,
                )
            )

    @staticmethod
    def _is_finished(step: StepContext, wave: Wave) -> bool:
        moves = step.view.move_by_instance
        given_up_instances = waves.given_up_instances(step.view.health_by_instance)
        return not any(
            waves.remaining(wave, step.layout, moves, pool, given_up_instances)
            for pool in waves.covered_pools(wave, step.layout)
        )


def _wave_prefix(wave: Wave, instance: str) -> str:
    return f"wave.{wave.wave_id}.{instance}."


def _planned_record(
    step: StepContext, name: str, move_id: str, to_pool: str, reboot: bool, reason: str
) -> MoveStep:
    epoch = step.view.duty_epoch
    return MoveStep(name, move_id, MoveStage.PLANNED, epoch, to_pool, reboot, reason)


def _pool_change_reason(view: FleetView, name: str, to_pool: str) -> str:
    if view.config.instance_by_id[name].pool == to_pool:
        return "the configuration puts it into that pool"
    if view.config.pool_by_id[to_pool].spare:
        return "its pool has more than it needs and the spare pool too little"
    return "that pool has fewer instances than it needs"
