"""Passes what the leader learns about runs to the ratings of the workers."""

from __future__ import annotations

from lycheeloom.jobs.fleet import Fleet, Run
from lycheeloom.jobs.model import EndKind
from lycheeloom.jobs.stall_limits import STALL_S, StallLimits
from lycheeloom.jobs.worker_ratings import RatingChange, WorkerRatings
from lycheeloom.telemetry import log_event

from . import metrics


class RatingRecorder:
    """Records ends, progress and stalls of runs, and reports changes of ratings.

    Without ``is_enabled``, nothing is recorded, no worker has a rating, and runs stall
    after ``STALL_S``.
    """

    def __init__(self, fleet: Fleet, *, is_enabled: bool) -> None:
        self._fleet = fleet
        self._is_enabled = is_enabled
        self._ratings = WorkerRatings(fleet)
        self._stall_limits = StallLimits(fleet, self._ratings)

    def note_end(self, run: Run, kind: EndKind, now_s: float) -> None:
        """Record the end of a run; only those that show its worker's health count."""
        if not self._is_enabled or kind not in (EndKind.DONE, EndKind.FAILED):
            return
        state = self._fleet.state_by_id[run.worker_id]
        self._ratings.note_end(
            run,
            succeeded=kind is EndKind.DONE,
            # The first lists after an outage show ends that happened before.
            is_timely=state.has_current_lists,
            now_s=now_s,
        )

    def note_progress(self, run: Run, now_s: float) -> None:
        """Record the progress of a run that a list shows as running."""
        if self._is_enabled:
            self._ratings.note_progress(run, now_s)

    def note_list(self, worker_id: str, now_s: float) -> None:
        """Record that a list of a worker was processed."""
        if self._is_enabled:
            self._stall_limits.note_list(worker_id, now_s)

    def note_stall(self, run: Run, stood_s: float, now_s: float) -> None:
        """Record that a run is being stopped after ``stood_s`` without progress."""
        if not self._is_enabled:
            return
        self._ratings.note_stall(run, now_s)
        if stood_s <= STALL_S:
            metrics.EARLY_STALLS.inc()

    def has_stalled_early(self, run: Run, requested_s: float, now_s: float) -> bool:
        """Return whether a run is to be stopped before it lacks progress for 2 s.

        The list that shows its progress was requested at ``requested_s``.
        """
        if not self._is_enabled:
            return False
        limit_s = self._stall_limits.limit_s(run, requested_s, now_s)
        return limit_s < STALL_S and requested_s - run.progress_changed_s > limit_s

    def forget_worker(self, worker_id: str, now_s: float) -> None:
        """Discard what is known about an incarnation that has ended."""
        if self._is_enabled:
            self._ratings.forget_worker(worker_id, now_s)

    def refresh(self, now_s: float) -> None:
        """Rate the workers, before tasks are planned."""
        if not self._is_enabled:
            return
        for change in self._ratings.refresh(now_s):
            _report(change)


def _report(change: RatingChange) -> None:
    """Write one line for a worker that becomes badly rated or recovers."""
    if change.rating is None:
        log_event(
            "worker_recovered",
            worker=change.worker_id,
            pool=change.pool,
            reason=change.reason,
        )
        return
    metrics.BAD_RATINGS.labels(change.pool, change.rating.value).inc()
    log_event(
        "worker_badly_rated",
        level="WARNING",
        worker=change.worker_id,
        pool=change.pool,
        rating=change.rating.value,
        reason=change.reason,
    )
