"""Progress of maintenance waves: counts, forecast end and what a wave waits for."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Mapping
from statistics import fmean

from lycheeloom.fleet import PlannerSettings
from lycheeloom.fleet.budgets import BudgetUsage, Layout
from lycheeloom.fleet.events import NotChosen, describe
from lycheeloom.fleet.waves import first_blocked, forecast, given_up_instances
from lycheeloom.log import ReplayedBatch
from lycheeloom.model.records import MoveStage, MoveStep, WaveState
from lycheeloom.model.status import WaveStatus
from lycheeloom.state import FleetState, Wave
from lycheeloom.state.maintenance import Maintenance

# Latest moves that the mean duration is computed from.
MAX_MEASURED_MOVES = 50
# Records replayed later than this after their append are not used for durations: a
# reader that catches up sees the start and the end of a move at once.
MAX_LOG_AGE_S = 5.0
# Forecasts are cached: at 5,100 workers one takes longer than the rest of the status
# document, which is built for each read.
FORECAST_TTL_S = 5.0
# An open move counts as completed by at most this fraction, however long it takes.
MAX_ELAPSED_FRACTION = 0.9
_REASON_BY_STATE = {
    WaveState.PAUSED: "An operator paused it.",
    WaveState.ABORTED: "An operator aborted it.",
}


class MoveTimes:
    """Measures how long moves take, from the records of their stages.

    The log carries no times, so only moves are measured that started and ended
    while this process was at most ``MAX_LOG_AGE_S`` behind the log.
    """

    def __init__(
        self,
        log_age_s: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log_age_s = log_age_s
        self._clock = clock
        self._begun_at_by_move: dict[str, float] = {}
        self._durations: dict[bool, deque[float]] = {
            reboot: deque(maxlen=MAX_MEASURED_MOVES) for reboot in (False, True)
        }

    def on_replayed(self, replayed: ReplayedBatch) -> None:
        """Read the stages of moves in a replayed batch."""
        is_timely = self._log_age_s() <= MAX_LOG_AGE_S
        effects = replayed.applied.effective
        for record, effective in zip(replayed.batch.records, effects, strict=True):
            if effective and isinstance(record, MoveStep):
                self._observe_step(record, is_timely)

    def mean_move_s(self, reboot: bool) -> float:
        """Return the mean duration of recent moves, the expected one without any."""
        durations = self._durations[reboot]
        return fmean(durations) if durations else PlannerSettings().expected_move_s

    def remaining_fractions(
        self, move_by_instance: Mapping[str, str], reboot: bool
    ) -> dict[str, float]:
        """Return the fraction of each open move that remains, by instance.

        It is 1 for a move whose start was not seen.
        """
        now, mean_move_s = self._clock(), self.mean_move_s(reboot)
        left = {}
        for instance, move_id in move_by_instance.items():
            elapsed_s = now - self._begun_at_by_move.get(move_id, now)
            # Moves can take no time if nothing runs and nothing is rebooted.
            fraction = elapsed_s / mean_move_s if mean_move_s else 0.0
            left[instance] = 1 - min(fraction, MAX_ELAPSED_FRACTION)
        return left

    def _observe_step(self, record: MoveStep, is_timely: bool) -> None:
        match record.stage:
            case MoveStage.PLANNED if is_timely:
                self._begun_at_by_move[record.move_id] = self._clock()
            case MoveStage.JOINED | MoveStage.ABANDONED:
                begun_at = self._begun_at_by_move.pop(record.move_id, None)
                has_joined = record.stage is MoveStage.JOINED
                if has_joined and is_timely and begun_at is not None:
                    duration_s = self._clock() - begun_at
                    self._durations[record.reboot].append(duration_s)


class WaveProgress:
    """Computes the progress of each wave from the replayed state.

    ``is_in_service`` tells whether a worker may start tasks. Counts are current;
    forecasts and reasons may be up to ``FORECAST_TTL_S`` old.
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
        # Cached end and reason of each running wave, and when they were computed.
        self._forecast_by_wave: dict[str, dict[str, object]] = {}
        self._forecast_at = float("-inf")

    def statuses(self) -> dict[str, WaveStatus]:
        """Return the progress of each wave."""
        maintenance = self._state().maintenance
        waves = maintenance.wave_by_id.values()
        statuses = {wave.wave_id: _count(wave, maintenance) for wave in waves}
        running = [wave for wave in waves if wave.state is WaveState.RUNNING]
        self._refresh_forecasts(running, statuses)
        for wave in running:
            status = statuses[wave.wave_id]
            update = self._forecast_by_wave[wave.wave_id]
            statuses[wave.wave_id] = status.model_copy(update=update)
        return statuses

    def _refresh_forecasts(
        self, running: list[Wave], statuses: dict[str, WaveStatus]
    ) -> None:
        """Compute the forecasts again if they are old or the running waves changed."""
        names = {wave.wave_id for wave in running}
        now = self._clock()
        is_recent = now < self._forecast_at + FORECAST_TTL_S
        if not names or (is_recent and names == self._forecast_by_wave.keys()):
            return
        layout = self._current_layout()
        usage = self._budget_usage(layout)
        self._forecast_at = now
        self._forecast_by_wave = {
            wave.wave_id: self._forecast_wave(
                wave, statuses[wave.wave_id], layout, usage
            )
            for wave in running
        }

    def _forecast_wave(
        self, wave: Wave, status: WaveStatus, layout: Layout, usage: BudgetUsage
    ) -> dict[str, object]:
        """Return the forecast end of a running wave and the limit that it waits for."""
        maintenance = self._state().maintenance
        moves = maintenance.move_by_instance
        skipped = given_up_instances(maintenance.health_by_instance)
        choice = first_blocked(wave, layout, usage, moves, skipped)
        reason = ""
        if choice is not None:
            pool = layout.location_by_instance[choice.instance][0]
            reason = describe(NotChosen(choice.instance, pool, choice.limit))
        ends_in_s = None
        # Nothing tells when a blocked wave without open moves can go on.
        if not reason or status.in_progress:
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
            self._times.mean_move_s(wave.reboot),
            skipped,
            self._times.remaining_fractions(open_moves, wave.reboot),
        ).end_s

    def _budget_usage(self, layout: Layout) -> BudgetUsage:
        """Count the instances out of service, as the controller does."""
        maintenance = self._state().maintenance
        out = {
            name
            for name in layout.location_by_instance
            if not self._is_in_service(name)
        }
        usage = BudgetUsage(layout, out | layout.out_of_service)
        usage.take_recorded_out(
            maintenance.health_by_instance, maintenance.move_by_instance
        )
        return usage

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
        # Loaded from a snapshot of an older version without counts; the latest moves
        # of its instances may belong to later waves.
        done, failed, in_progress = counts.total, 0, 0
    return WaveStatus(
        state=wave.state,
        pools=list(wave.pools),
        urgent=wave.urgent,
        total=counts.total,
        done=done,
        in_progress=in_progress,
        failed=failed,
        reason=_REASON_BY_STATE.get(wave.state, ""),
    )
