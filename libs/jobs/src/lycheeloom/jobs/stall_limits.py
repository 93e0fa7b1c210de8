"""Decides after which time without progress a run counts as stalled."""

from __future__ import annotations

from collections.abc import Iterator

from .fleet import Fleet, Run, RunState
from .model import Step
from .worker_observations import MIN_PEERS, BadRating
from .worker_ratings import WorkerRatings

# A run without progress for this long is stopped; does not apply to long-running tasks.
STALL_S = 2.0
# The same on a worker that is known or appears to stall. Longer than the interval
# between two lists, 0.9 s, so that one list without progress is not enough.
MIN_STALL_S = 1.0
# Progress is reported in whole percent, and a task may take ten times its estimate, so
# 3% of its progress may take up to this fraction of the estimate.
STALL_ESTIMATE_FRACTION = 0.3
# Workers whose runs all lack progress for this long are polled frequently.
WATCH_S = 0.5
# Other workers are at work if they have made progress within this time, which is longer
# than the interval between two lists.
PEER_PROGRESS_S = 1.0


class StallLimits:
    """Shortens the time after which runs on workers that stall are stopped."""

    def __init__(self, fleet: Fleet, ratings: WorkerRatings) -> None:
        self._fleet = fleet
        self._ratings = ratings

    def note_list(self, worker_id: str, now_s: float) -> None:
        """Choose how often a worker is polled after a list of it was processed."""
        state = self._fleet.state_by_id[worker_id]
        runs = list(self._stoppable_runs(worker_id))
        is_rated = self._ratings.rating(worker_id) is BadRating.STALLING
        state.is_watched = bool(runs) and (
            is_rated or all(now_s - run.progress_changed_s > WATCH_S for run in runs)
        )

    def limit_s(self, run: Run, requested_s: float, now_s: float) -> float:
        """Return after which time without progress a run counts as stalled.

        Shorter than ``STALL_S`` only if the worker is rated as stalling, or if all its
        runs stand still while its peers make progress. ``requested_s`` is when the
        newest list of the worker was requested: a list that is processed late proves no
        progress only up to then. The caller counts a shorter limit up to it too.
        """
        limit_s = min_stall_s(run.step)
        if limit_s >= STALL_S or requested_s - run.progress_changed_s <= limit_s:
            return STALL_S
        if self._ratings.rating(run.worker_id) is BadRating.STALLING:
            return limit_s
        if self._stands_alone(run.worker_id, requested_s - limit_s, now_s):
            return limit_s
        return STALL_S

    def _stoppable_runs(self, worker_id: str) -> Iterator[Run]:
        """Yield the runs of a worker that may be stopped early."""
        for run in self._fleet.state_by_id[worker_id].run_by_task.values():
            if run.state is RunState.RUNNING and min_stall_s(run.step) < STALL_S:
                yield run

    def _stands_alone(self, worker_id: str, since_s: float, now_s: float) -> bool:
        """Return whether no run of a worker has made progress, but those of peers have.

        One run, or several of one job, may stall because of the job.
        """
        if self._ratings.progressed_s(worker_id) >= since_s:
            return False
        runs = list(self._stoppable_runs(worker_id))
        if len({run.task.job_id for run in runs}) < 2:
            return False
        if any(run.progress_changed_s >= since_s for run in runs):
            return False
        pool = self._fleet.state_by_id[worker_id].worker.pool
        peer_ids = [
            peer_id
            for peer_id, state in self._fleet.state_by_id.items()
            if peer_id != worker_id and state.worker.pool == pool and state.has_task
        ]
        progressing = sum(
            now_s - self._ratings.progressed_s(peer_id) <= PEER_PROGRESS_S
            for peer_id in peer_ids
        )
        return progressing >= max(MIN_PEERS, len(peer_ids) / 2)


def min_stall_s(step: Step) -> float:
    """Return the shortest time without progress that shows that a run stalls."""
    if step.long_running or not step.estimated_ms:
        return STALL_S
    return max(MIN_STALL_S, STALL_ESTIMATE_FRACTION * step.estimated_ms / 1000)
