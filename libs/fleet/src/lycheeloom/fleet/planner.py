"""The planner: one step turns a view of the fleet into records and actions."""

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
from .answers import why_not
from .budgets import BudgetUsage, Layout, Limit
from .explanations import Explanations
from .monitor import HealthMonitor, LostPlace, MonitorSettings
from .movement import MoveRunner
from .moves import action_ids
from .rebalance import Rebalancer
from .repair import Repair, RepairPlanner, RepairSettings, repair_prefix
from .step import Step
from .view import (
    ENDED_STAGES,
    FleetView,
    Move,
    Plan,
    PlannerSettings,
    Wave,
)

CONTROLLER = "maintenance controller"
_MAX_EVENTS_PER_STEP = 50


class Planner:
    """Plans maintenance of a fleet.

    Call ``step(view, now_s)`` about once a second, append the records and take
    the actions. Both may be repeated, lost or delayed: a step that finds them
    without effect returns them again. Feed ``health`` with signals of workers
    and read ``explanations`` for the reasons.
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
        self._last: Step | None = None
        self._pending: dict[str, MoveStep] = {}
        self._hold_until_s = float("-inf")
        self._lost_members: frozenset[str] = frozenset()

    @property
    def buffer_plan(self):
        """The last buffer plan: moves, shortages and need by size."""
        return self._rebalancer.plan

    def action_ids(self, moves: Mapping[str, Move]) -> tuple[str, ...]:
        """Return the action ids whose status the next step needs."""
        names: list[str] = []
        for move in moves.values():
            if move.stage not in ENDED_STAGES:
                names += action_ids(move, self.settings.max_tries)
        return tuple(names)

    def step(self, view: FleetView, now_s: float) -> Plan:
        """Return what to append and what to do now."""
        step = self._begin(view, now_s)
        self._runner.advance_all(step, self._abandon_reason)
        if not view.listed:
            return self._end(step)
        self._note_lost_places(step)
        self._plan_repairs(step)
        if not step.seen.doubted:
            self._plan_waves(step)
            self._plan_pool_changes(step)
        self._change_waves(step)
        return self._end(step)

    def forecast(
        self, view: FleetView, wave_id: str, now_s: float
    ) -> waves.Forecast | None:
        """Foretell the end of a wave, or return None for an unknown one."""
        wave = view.wave_by_id.get(wave_id)
        if wave is None:
            return None
        start_s = max(now_s, self._hold_until_s)
        return waves.forecast(
            wave,
            self._layout_of(view),
            view.move_by_instance,
            start_s,
            self._runner.move_s,
        )

    def why_not(self, instance: str) -> str:
        """Say what keeps an instance from maintenance at the last step."""
        return why_not(self._last, instance, self._hold_until_s)

    def knows(self, instance: str) -> bool:
        """Tell whether the last step saw an instance of this name."""
        last = self._last
        return last is not None and instance in last.layout.location_by_instance

    def out_by_pool(self) -> dict[str, int]:
        """Return how many instances of each pool the last step counted as out."""
        if self._last is None:
            return {}
        layout, ledger = self._last.layout, self._last.ledger
        return {
            pool: size - ledger.available(pool)
            for pool, size in layout.size_by_pool.items()
        }

    def _begin(self, view: FleetView, now_s: float) -> Step:
        layout = self._layout_of(view)
        seen = self.health.assess(layout, now_s)
        out = view.unavailable | seen.silent | layout.out_of_service
        step = Step(view, now_s, layout, BudgetUsage(layout, out), seen, out)
        step.ledger.take_recorded_out(view.health_by_instance, view.move_by_instance)
        self._repeat_pending(step)
        self._last = step
        return step

    def _end(self, step: Step) -> Plan:
        self._runner.sweep()
        return Plan(tuple(step.records), tuple(step.actions))

    def _layout_of(self, view: FleetView) -> Layout:
        if self._layout is None or not self._layout.matches(
            view.config, view.pool_by_instance
        ):
            self._layout = Layout(view.config, view.pool_by_instance)
            self.health.retain(self._layout.location_by_instance)
        return self._layout

    def _repeat_pending(self, step: Step) -> None:
        """Offer moves again whose first record was not replayed yet.

        They count as out until then: a slow log must not let a later step
        choose others on top.
        """
        for name, record in list(self._pending.items()):
            if self._is_settled(step.view, record):
                del self._pending[name]
                continue
            step.ledger.take(name)
            step.records.append(record)

    @staticmethod
    def _is_settled(view: FleetView, record: MoveStep) -> bool:
        if record.duty_epoch != view.duty_epoch:
            return True
        if record.instance not in view.config.instance_by_id:
            return True
        move = view.move_by_instance.get(record.instance)
        if move is None:
            return record.to_pool not in view.config.pool_by_id
        return move.move_id == record.move_id or move.stage not in ENDED_STAGES

    def _start_move(self, step: Step, record: MoveStep) -> None:
        name = record.instance
        step.ledger.take(name)
        self._pending[name] = record
        step.records.append(record)
        pool = step.layout.location_by_instance[name][0]
        self.explanations.add(
            events.MoveStarted(
                name, pool, record.to_pool, record.reboot, record.reason
            ),
            step.now_s,
        )

    def _abandon_reason(self, step: Step, name: str, move: Move) -> str:
        """Say why a move should end early; empty if it should go on."""
        for wave in step.view.wave_by_id.values():
            if wave.state is not WaveState.ABORTED:
                continue
            if move.move_id.startswith(_wave_prefix(wave, name)):
                return "its wave was aborted"
        return ""

    def _plan_repairs(self, step: Step) -> None:
        found = self._repair.decide(
            step.view,
            step.layout,
            step.seen,
            step.now_s,
            held=step.now_s < self._hold_until_s,
        )
        for repair in found:
            if repair.reboot:
                self._start_repair_move(step, repair)
                continue
            self._set_health(step, repair)

    def _start_repair_move(self, step: Step, repair: Repair) -> None:
        if repair.instance in self._pending:
            return
        move_id = f"{repair_prefix(repair.instance)}{step.view.offset}"
        pool = step.layout.location_by_instance[repair.instance][0]
        self._start_move(
            step,
            _planned(step, repair.instance, move_id, pool, True, repair.reason),
        )

    def _set_health(self, step: Step, repair: Repair) -> None:
        name = repair.instance
        step.ledger.take(name)
        step.records.append(
            InstanceHealth(name, repair.health, step.view.duty_epoch, repair.reason)
        )
        pool = step.layout.location_by_instance[name][0]
        self.explanations.add(
            events.HealthDecided(name, pool, repair.health, repair.reason), step.now_s
        )

    def _note_lost_places(self, step: Step) -> None:
        """Hold waves and repair for a while whenever a correlated failure grows."""
        if step.seen.doubted:
            silent, total = len(step.seen.silent), len(step.layout.location_by_instance)
            self.explanations.add(events.ObserverDoubted(silent, total), step.now_s)
        members: set[str] = set()
        for place in step.seen.lost_places:
            members |= place.members
            grown = place.members - self._lost_members
            if grown:
                self._hold_until_s = step.now_s + self.settings.correlated_pause_s
                self._explain_lost_place(step, place, grown)
        self._lost_members = frozenset(members)

    def _explain_lost_place(
        self, step: Step, place: LostPlace, grown: frozenset[str]
    ) -> None:
        lost = len(place.members)
        names = tuple(sorted(grown))
        place_of = step.layout.location_by_instance
        pools = tuple(sorted({place_of[name][0] for name in names}))
        for event in (
            events.PlaceLost(place.place, lost, names, pools),
            events.MaintenanceHeld(place.place, lost, self._hold_until_s, names, pools),
        ):
            self.explanations.add(event, step.now_s)

    def _plan_waves(self, step: Step) -> None:
        if step.now_s < self._hold_until_s:
            return
        running = [
            wave
            for wave in step.view.wave_by_id.values()
            if wave.state is WaveState.RUNNING
        ]
        skipped = self._runner.recently_abandoned(step.now_s)
        noted = started = 0
        for wave in sorted(
            running, key=lambda wave: (not wave.urgent, wave.started_at)
        ):
            moves = step.view.move_by_instance
            for choice in waves.choose(wave, step.layout, step.ledger, moves, skipped):
                if started >= self.settings.max_starts_per_step:
                    return
                if choice.limit is None:
                    started += 1
                    self._start_wave_move(step, wave, choice.instance)
                elif noted < _MAX_EVENTS_PER_STEP:
                    noted += 1
                    self._note_blocked(step, choice.instance, choice.limit)

    def _start_wave_move(self, step: Step, wave: Wave, name: str) -> None:
        pool = step.layout.location_by_instance[name][0]
        kind = "urgent maintenance" if wave.urgent else "maintenance"
        reason = f"{kind} wave {wave.wave_id} has reached it"
        move_id = f"{_wave_prefix(wave, name)}{step.view.offset}"
        self._start_move(step, _planned(step, name, move_id, pool, wave.reboot, reason))

    def _note_blocked(self, step: Step, name: str, limit: Limit) -> None:
        pool = step.layout.location_by_instance[name][0]
        self.explanations.add(events.NotChosen(name, pool, limit), step.now_s)

    def _plan_pool_changes(self, step: Step) -> None:
        view = step.view
        unmovable = step.out | self._pending.keys()
        for move in self._rebalancer.wanted(view, step.layout, step.out, step.now_s):
            if not self._rebalancer.may_start():
                break
            if move.instance in unmovable or step.ledger.is_out(move.instance):
                continue
            limit = step.ledger.blocking_limit(move.instance, covers=move.to_pool)
            if limit is not None:
                self._note_blocked(step, move.instance, limit)
                continue
            self._rebalancer.started(move, step.now_s)
            move_id = f"pool.{move.instance}.{view.offset}"
            reboot = self._in_running_wave(step, move.from_pool)
            reason = _pool_change_reason(view, move.instance, move.to_pool)
            record = _planned(
                step, move.instance, move_id, move.to_pool, reboot, reason
            )
            self._start_move(step, record)
        for short in self._rebalancer.plan.shortages[:_MAX_EVENTS_PER_STEP]:
            size = f"{short.size.cores:g} cores"
            event = events.BufferShort(short.place, short.lacking, size)
            self.explanations.add(event, step.now_s)

    @staticmethod
    def _in_running_wave(step: Step, pool: str) -> bool:
        return any(
            wave.state in (WaveState.RUNNING, WaveState.PAUSED)
            and wave.reboot
            and pool in waves.covered_pools(wave, step.layout)
            for wave in step.view.wave_by_id.values()
        )

    def _change_waves(self, step: Step) -> None:
        """Record the end of finished waves and start the regular one."""
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
                        CONTROLLER,
                    )
                )
        cycle_s = self.settings.regular_cycle_s
        if not cycle_s:
            return
        wave_id = f"regular-{int(step.now_s // cycle_s)}"
        if wave_id not in step.view.wave_by_id:
            step.records.append(
                WaveCommand(
                    wave_id, WaveState.ABSENT, WaveState.RUNNING, operator=CONTROLLER
                )
            )

    @staticmethod
    def _is_finished(step: Step, wave: Wave) -> bool:
        moves = step.view.move_by_instance
        given_up_instances = waves.given_up_instances(step.view.health_by_instance)
        return not any(
            waves.remaining(wave, step.layout, moves, pool, given_up_instances)
            for pool in waves.covered_pools(wave, step.layout)
        )


def _wave_prefix(wave: Wave, instance: str) -> str:
    return f"wave.{wave.wave_id}.{instance}."


def _planned(
    step: Step, name: str, move_id: str, to_pool: str, reboot: bool, reason: str
) -> MoveStep:
    epoch = step.view.duty_epoch
    return MoveStep(name, move_id, MoveStage.PLANNED, epoch, to_pool, reboot, reason)


def _pool_change_reason(view: FleetView, name: str, to_pool: str) -> str:
    if view.config.instance_by_id[name].pool == to_pool:
        return "the configuration puts it into that pool"
    if view.config.pool_by_id[to_pool].spare:
        return "its pool has more than it needs and the spare pool too little"
    return "that pool has fewer instances than it needs"
