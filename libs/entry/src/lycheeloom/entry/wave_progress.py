"""Progress of maintenance waves: counts, forecast of the end, reason to wait."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Mapping
from statistics import fmean

from lycheeloom.fleet import PlannerSettings
from lycheeloom.fleet.budgets import BudgetUsage, Layout
from lycheeloom.fleet.events import NotChosen, describe
from lycheeloom.fleet.waves import first_blocked, forecast, given_up_instances
from lycheeloom.log import Replayed
from lycheeloom.model.records import MoveStage, MoveStep, WaveState
from lycheeloom.model.status import WaveStatus
from lycheeloom.state import FleetState, Wave
from lycheeloom.state.maintenance import Maintenance

# Moves that the mean duration is taken over.
MEASURED_MOVES = 50
# Records replayed later than this after their append do not tell durations: a
# reader that catches up sees the begin and the end of a move at once.
MAX_LOG_AGE_S = 5.0
# At 5,100 workers a forecast takes longer than all else in the status document,
# which is built for each read.
FORECAST_KEPT_S = 5.0
# A move that lasts longer than usual may end at any time, but has not ended.
LONGEST_ELAPSED = 0.9
_COMMANDED = {
    WaveState.PAUSED: "An operator paused it.",
    WaveState.ABORTED: "An operator aborted it.",
}


class MoveTimes:
    """Measures how long moves take, from the records of their stages.

    The log carries no times, so only moves count that began and ended while this
    process followed the log closely.
    """

    def __init__(
        self,
        log_age_s: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log_age_s = log_age_s
        self._clock = clock
        self._begun_by_move: dict[str, float] = {}
        self._durations: dict[bool, deque[float]] = {
            reboot: deque(maxlen=MEASURED_MOVES) for reboot in (False, True)
        }

    def on_replayed(self, replayed: Replayed) -> None:
        """Take over the steps of moves in a replayed batch."""
        is_timely = self._log_age_s() <= MAX_LOG_AGE_S
        effects = replayed.applied.effective
        for record, effective in zip(replayed.batch.records, effects, strict=True):
            if effective and isinstance(record, MoveStep):
                self._note(record, is_timely)

    def move_s(self, reboot: bool) -> float:
        """Return the mean duration of recent moves, assumed while none ended."""
        durations = self._durations[reboot]
        return fmean(durations) if durations else PlannerSettings().expected_move_s

    def open_left(
        self, move_by_instance: Mapping[str, str], reboot: bool
    ) -> dict[str, float]:
        """Return the fraction that open moves still take, by instance.

        A whole move is assumed for one whose begin was not seen.
        """
        now, move_s = self._clock(), self.move_s(reboot)
        left = {}
        for instance, move_id in move_by_instance.items():
            elapsed_s = now - self._begun_by_move.get(move_id, now)
            # Moves may take no time where nothing runs and nothing is rebooted.
            fraction = elapsed_s / move_s if move_s else 0.0
            left[instance] = 1 - min(fraction, LONGEST_ELAPSED)
        return left

    def _note(self, record: MoveStep, is_timely: bool) -> None:
        match record.stage:
            case MoveStage.PLANNED if is_timely:
                self._begun_by_move[record.move_id] = self._clock()
            case MoveStage.JOINED | MoveStage.ABANDONED:
                begun_at = self._begun_by_move.pop(record.move_id, None)
                has_joined = record.stage is MoveStage.JOINED
                if has_joined and is_timely and begun_at is not None:
                    duration_s = self._clock() - begun_at
                    self._durations[record.reboot].append(duration_s)


class WaveProgress:
    """Tells how far each wave is, from the replayed state.

    ``is_in_service`` tells whether a worker may start tasks. Counts are those of
    the moment; forecasts and reasons may be ``FORECAST_KEPT_S`` old.
    """

    def __init__(
        self,
        state: Callable[[], FleetState],
        is_in_service: Callable[[str], bool],
        times: MoveTimes,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._state = state
        self._is_in_service = is_in_service
        self._times = times
        self._clock = clock
        self._layout: Layout | None = None
        # The fields of each running wave that are not counted, and their time.
        self._foretold: dict[str, dict[str, object]] = {}
        self._foretold_at = float("-inf")

    def statuses(self) -> dict[str, WaveStatus]:
        """Return the progress of each wave."""
        maintenance = self._state().maintenance
        waves = maintenance.wave_by_id.values()
        statuses = {wave.wave_id: _count(wave, maintenance) for wave in waves}
        running = [wave for wave in waves if wave.state is WaveState.RUNNING]
        self._refresh(running, statuses)
        for wave in running:
            counted = statuses[wave.wave_id]
            update = self._foretold[wave.wave_id]
            statuses[wave.wave_id] = counted.model_copy(update=update)
        return statuses

    def _refresh(self, running: list[Wave], counted: dict[str, WaveStatus]) -> None:
        """Foretell the running waves anew if one is new or the last time is old."""
        names = {wave.wave_id for wave in running}
        now = self._clock()
        is_recent = now < self._foretold_at + FORECAST_KEPT_S
        if not names or (is_recent and names == self._foretold.keys()):
            return
        layout = self._current_layout()
        ledger = self._ledger(layout)
        self._foretold_at = now
        self._foretold = {
            wave.wave_id: self._foretell(wave, counted[wave.wave_id], layout, ledger)
            for wave in running
        }

    def _foretell(
        self, wave: Wave, counted: WaveStatus, layout: Layout, ledger: BudgetUsage
    ) -> dict[str, object]:
        """Return the end of a running wave and the limit that it waits for."""
        maintenance = self._state().maintenance
        moves = maintenance.move_by_instance
        skipped = given_up_instances(maintenance.health_by_instance)
        choice = first_blocked(wave, layout, ledger, moves, skipped)
        reason = ""
        if choice is not None:
            pool = layout.location_by_instance[choice.instance][0]
            reason = describe(NotChosen(choice.instance, pool, choice.limit))
        ends_in_s = None
        # A wave that waits while none of its moves is open makes no room itself.
        if not reason or counted.in_progress:
            ends_in_s = self._ends_in_s(wave, layout, skipped)
        return {"reason": reason, "ends_in_s": ends_in_s}

    def _ends_in_s(
        self, wave: Wave, layout: Layout, skipped: frozenset[str]
    ) -> float | None:
        maintenance = self._state().maintenance
        open_moves = maintenance.count_wave(wave).open_moves
        return forecast(
            wave,
            layout,
            maintenance.move_by_instance,
            0.0,
            self._times.move_s(wave.reboot),
            skipped,
            self._times.open_left(open_moves, wave.reboot),
        ).end_s

    def _ledger(self, layout: Layout) -> BudgetUsage:
        """Count who is out of service, as the controller does."""
        maintenance = self._state().maintenance
        out = {
            name
            for name in layout.location_by_instance
            if not self._is_in_service(name)
        }
        ledger = BudgetUsage(layout, out | layout.out_of_service)
        ledger.take_recorded_out(
            maintenance.health_by_instance, maintenance.move_by_instance
        )
        return ledger

    def _current_layout(self) -> Layout:
        state = self._state()
        pools = state.maintenance.pool_by_instance
        if self._layout is None or not self._layout.matches(state.config, pools):
            self._layout = Layout(state.config, pools)
        return self._layout


def _count(wave: Wave, maintenance: Maintenance) -> WaveStatus:
    """Return the state of a wave and the counts of its instances."""
    counts = maintenance.count_wave(wave)
    done, failed, in_progress = counts.done, counts.failed, len(counts.open_moves)
    if wave.state is WaveState.DONE and wave.counts_at_end is None:
        # Read from a snapshot of an older version; later moves of its instances
        # belong to other waves.
        done, failed, in_progress = counts.total, 0, 0
    return WaveStatus(
        state=wave.state,
        pools=list(wave.pools),
        urgent=wave.urgent,
        total=counts.total,
        done=done,
        in_progress=in_progress,
        failed=failed,
        reason=_COMMANDED.get(wave.state, ""),
    )
