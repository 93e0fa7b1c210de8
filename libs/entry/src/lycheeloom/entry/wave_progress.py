"""Progress of maintenance waves: counts, forecast of the end, reason to wait."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from statistics import fmean

from lycheeloom.fleet import PlannerSettings
from lycheeloom.fleet.budgets import Layout, Ledger
from lycheeloom.fleet.events import NotChosen, sentence
from lycheeloom.fleet.waves import forecast, given_up, waiting
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

    ``is_in_service`` tells whether a worker may start tasks; ``move_s`` tells how
    long a move takes, with or without a reboot.
    """

    def __init__(
        self,
        state: Callable[[], FleetState],
        is_in_service: Callable[[str], bool],
        move_s: Callable[[bool], float],
    ) -> None:
        self._state = state
        self._is_in_service = is_in_service
        self._move_s = move_s
        self._layout: Layout | None = None

    def statuses(self) -> dict[str, WaveStatus]:
        """Return the progress of each wave."""
        maintenance = self._state().maintenance
        waves = maintenance.wave_by_id.values()
        statuses = {wave.wave_id: _count(wave, maintenance) for wave in waves}
        running = [wave for wave in waves if wave.state is WaveState.RUNNING]
        if running:
            layout = self._current_layout()
            ledger = self._ledger(layout)
            for wave in running:
                counted = statuses[wave.wave_id]
                statuses[wave.wave_id] = self._foretell(wave, counted, layout, ledger)
        return statuses

    def _foretell(
        self, wave: Wave, counted: WaveStatus, layout: Layout, ledger: Ledger
    ) -> WaveStatus:
        """Add the end of a running wave and the limit that it waits for."""
        maintenance = self._state().maintenance
        moves = maintenance.move_by_instance
        skipped = given_up(maintenance.health_by_instance)
        choice = waiting(wave, layout, ledger, moves, skipped)
        reason = ""
        if choice is not None:
            pool = layout.place_by_instance[choice.instance][0]
            reason = sentence(NotChosen(choice.instance, pool, choice.limit))
        ends_in_s = None
        # A wave that waits while none of its moves is open makes no room itself.
        if not reason or counted.in_progress:
            move_s = self._move_s(wave.reboot)
            ends_in_s = forecast(wave, layout, moves, 0.0, move_s, skipped).end_s
        update = {"reason": reason, "ends_in_s": ends_in_s}
        return counted.model_copy(update=update)

    def _ledger(self, layout: Layout) -> Ledger:
        """Count who is out of service, as the controller does."""
        maintenance = self._state().maintenance
        out = {
            name for name in layout.place_by_instance if not self._is_in_service(name)
        }
        ledger = Ledger(layout, out | layout.out_of_service)
        ledger.take_recorded(
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
