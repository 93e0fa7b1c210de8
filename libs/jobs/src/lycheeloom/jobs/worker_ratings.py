"""Rates workers as slow, failing or stalling by what their runs show."""

from __future__ import annotations

import math
import statistics
from collections import defaultdict
from dataclasses import dataclass

from .fleet import Fleet, Run, RunState
from .worker_observations import (
    COMPARE_S,
    BadRating,
    Observed,
    StepRuns,
    Usual,
    count_outcomes,
    discard_old_steps,
    find_usual_by_queue,
    recent_steps,
)

# A caller's target is 1.6 times the longest chain plus about 0.6 s, so a job whose
# tasks take twice as long as usual just misses it.
SLOW_FACTOR = 2.0
# A run that takes less than this factor of the usual time counts as normal.
NORMAL_FACTOR = 1.5
# A single step may be slow because its own estimate is wrong.
MIN_SLOW_STEPS = 2
# Progress of a run from which its duration can be projected; below it, the time taken
# by its start has too much weight.
MIN_PROJECTED_PERCENT = 20
# A faulty job fails on any worker, so failures of one job do not show a faulty worker.
MIN_FAILED_JOBS = 2
MIN_FAILED_FRACTION = 0.3
# A worker fails tasks at least this many times as often as the rest of its pool.
FAILURE_FACTOR = 2.0
# A rating ends this long after the last evidence and the end of the worker's backoff.
FADE_S = 6.0
REFRESH_INTERVAL_S = 0.25
# A common cause is assumed if more than one in this many workers is affected.
MIN_WORKERS_PER_AFFECTED = 3


@dataclass(frozen=True, slots=True)
class RatingChange:
    """A worker has become badly rated or, without ``rating``, has recovered."""

    worker_id: str
    pool: str
    rating: BadRating | None
    # The evidence for a bad rating, or why it has ended.
    reason: str


class WorkerRatings:
    """Collects the ends and the progress of runs and rates their workers.

    ``refresh`` sets the flags of ``WorkerState`` that the placement of tasks reads. All
    times are those of the leader's monotonic clock.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._observed_by_worker: dict[str, Observed] = {}
        # By pool and queue, the highest values of the last ``COMPARE_S``: a run may
        # have begun while the whole pool was slower than it is now.
        self._usual_by_queue: dict[tuple[str, str], Usual] = {}
        # Time, pool and queue, and values of the last refreshes.
        self._recent_usual: list[tuple[float, tuple[str, str], Usual]] = []
        self._refreshed_s = -math.inf
        self._changes: list[RatingChange] = []

    def rating(self, worker_id: str) -> BadRating | None:
        """Return the bad rating of a worker, None if it has none."""
        observed = self._observed_by_worker.get(worker_id)
        return observed.rating if observed else None

    def progressed_s(self, worker_id: str) -> float:
        """Return when a run on a worker was last seen to make progress or be done."""
        observed = self._observed_by_worker.get(worker_id)
        return observed.progressed_s if observed else -math.inf

    def forget_worker(self, worker_id: str, now_s: float) -> None:
        """Discard what is known about a worker whose incarnation has ended."""
        observed = self._observed_by_worker.pop(worker_id, None)
        if observed is None:
            return
        self._set_rating(worker_id, observed, None, now_s, "incarnation ended")
        self._observed_by_worker[worker_id] = Observed(observed.pool, now_s)

    def note_progress(self, run: Run, now_s: float) -> None:
        """Process the progress of a running run in a list."""
        observed = self._observe(run.worker_id)
        if observed is None or run.step.long_running:
            return
        if run.progress_changed_s >= now_s:
            observed.progressed_s = now_s
        if (
            not self._has_known_duration(run, observed)
            or run.state is not RunState.RUNNING
        ):
            return
        runs = self._runs_of(run, observed)
        elapsed_s = now_s - run.started_s
        is_comparable = run.percent >= MIN_PROJECTED_PERCENT
        duration_s = elapsed_s * 100 / run.percent if is_comparable else elapsed_s
        if runs.has_ended:
            return
        # Of runs in the same list, the fastest one counts.
        if runs.duration_noted_s == now_s and runs.duration_s <= duration_s:
            return
        runs.duration_s, runs.elapsed_s = duration_s, elapsed_s
        runs.is_comparable, runs.duration_noted_s = is_comparable, now_s

    def note_end(
        self, run: Run, *, succeeded: bool, is_timely: bool, now_s: float
    ) -> None:
        """Process a run that was done or failed.

        ``is_timely`` is whether the end was listed right after it happened.
        """
        observed = self._observe(run.worker_id)
        if observed is None or run.step.long_running:
            return
        runs = self._runs_of(run, observed)
        runs.outcome_s = now_s
        if not succeeded:
            runs.failures += 1
            runs.failed_s = now_s
            return
        runs.successes += 1
        observed.progressed_s = now_s
        duration_s = now_s - run.started_s
        is_known = is_timely and self._has_known_duration(run, observed)
        if is_known and not (runs.has_ended and runs.duration_s <= duration_s):
            runs.duration_s = runs.elapsed_s = duration_s
            runs.has_ended = runs.is_comparable = True
        if is_known:
            runs.duration_noted_s = now_s
        if observed.rating is None or run.started_s < observed.rated_s:
            return
        usual = self._usual_by_queue.get((observed.pool, run.queue))
        is_normal = observed.rating is not BadRating.SLOW
        if is_known and usual is not None:
            single = StepRuns("", run.queue, runs.estimate_s, duration_s)
            is_normal = usual.excess(single) < NORMAL_FACTOR
        if is_normal:
            self._set_rating(run.worker_id, observed, None, now_s, "run succeeded")
            # What began while the worker was slow says nothing about its speed now.
            observed.forget_durations(now_s)

    def note_stall(self, run: Run, now_s: float) -> None:
        """Process a run that is being stopped because it made no progress."""
        observed = self._observe(run.worker_id)
        if observed is not None:
            self._set_rating(
                run.worker_id, observed, BadRating.STALLING, now_s, "run stalled"
            )

    def refresh(self, now_s: float) -> list[RatingChange]:
        """Rate all workers if it is time to; return the changes since the last call."""
        if now_s - self._refreshed_s >= REFRESH_INTERVAL_S:
            self._refreshed_s = now_s
            workers_by_pool: dict[str, dict[str, Observed]] = defaultdict(dict)
            for worker_id, observed in list(self._observed_by_worker.items()):
                if worker_id not in self._fleet.state_by_id:
                    del self._observed_by_worker[worker_id]
                    continue
                discard_old_steps(observed, now_s)
                workers_by_pool[observed.pool][worker_id] = observed
            self._discard_old_usual(now_s)
            for pool, observed_by_id in workers_by_pool.items():
                self._rate_slow(pool, observed_by_id, now_s)
                self._rate_failing(observed_by_id, now_s)
                self._fade(observed_by_id, now_s)
            self._set_flags()
        changes, self._changes = self._changes, []
        return changes

    def _discard_old_usual(self, now_s: float) -> None:
        recent_usual = self._recent_usual
        self._recent_usual, self._usual_by_queue = [], {}
        for noted_s, key, usual in recent_usual:
            if now_s - noted_s <= COMPARE_S:
                self._note_usual(key, usual, noted_s)

    def _note_usual(self, key: tuple[str, str], usual: Usual, noted_s: float) -> None:
        self._recent_usual.append((noted_s, key, usual))
        former = self._usual_by_queue.get(key)
        self._usual_by_queue[key] = usual.combine(former) if former else usual

    def _rate_slow(
        self, pool: str, observed_by_id: dict[str, Observed], now_s: float
    ) -> None:
        """Rate the workers on which most steps took longer than on the others."""
        recent_by_id = {
            worker_id: recent
            for worker_id, observed in observed_by_id.items()
            if (recent := recent_steps(observed, now_s))
        }
        for queue, usual in find_usual_by_queue(recent_by_id).items():
            self._note_usual((pool, queue), usual, now_s)
        slow_by_id = {}
        for worker_id, recent in recent_by_id.items():
            evidence = [
                (usual.excess(runs), runs.duration_noted_s)
                for runs in recent
                if (usual := self._usual_by_queue.get((pool, runs.queue)))
                and (runs.has_ended or runs.elapsed_s >= usual.duration_s)
            ]
            slow = [entry for entry in evidence if entry[0] >= SLOW_FACTOR]
            if len(slow) >= MIN_SLOW_STEPS and 3 * len(slow) >= 2 * len(evidence):
                slow_by_id[worker_id] = slow
        # A slow worker with one task at a time soon shows too little to be found again.
        rated_ids = {
            worker_id
            for worker_id, observed in observed_by_id.items()
            if observed.rating is BadRating.SLOW
        }
        affected = len(rated_ids | slow_by_id.keys())
        if affected * MIN_WORKERS_PER_AFFECTED > len(observed_by_id):
            for worker_id in rated_ids:
                observed = observed_by_id[worker_id]
                self._set_rating(worker_id, observed, None, now_s, "many workers slow")
            return
        for worker_id, slow in slow_by_id.items():
            reason = (
                f"{len(slow)} steps took "
                f"{statistics.median_low(excess for excess, _ in slow):.1f} "
                "times as long as usual"
            )
            self._add_evidence(
                worker_id,
                observed_by_id[worker_id],
                BadRating.SLOW,
                max(noted_s for _, noted_s in slow),
                reason,
            )

    def _rate_failing(self, observed_by_id: dict[str, Observed], now_s: float) -> None:
        """Rate the workers that fail tasks much more often than the others."""
        count_by_id = {
            worker_id: count_outcomes(observed, now_s)
            for worker_id, observed in observed_by_id.items()
        }
        pool_failures = sum(failures for failures, _ in count_by_id.values())
        pool_ends = sum(ends for _, ends in count_by_id.values())
        for worker_id, (failures, ends) in count_by_id.items():
            other_ends = pool_ends - ends
            if not failures or not other_ends:
                continue
            fraction = failures / ends
            other_fraction = (pool_failures - failures) / other_ends
            if fraction < max(MIN_FAILED_FRACTION, FAILURE_FACTOR * other_fraction):
                continue
            observed = observed_by_id[worker_id]
            failed = [r for r in observed.runs_by_step.values() if r.failures]
            if len({runs.job_id for runs in failed}) >= MIN_FAILED_JOBS:
                self._add_evidence(
                    worker_id,
                    observed,
                    BadRating.FAILING,
                    max(runs.failed_s for runs in failed),
                    f"{failures} of {ends} runs failed",
                )

    def _fade(self, observed_by_id: dict[str, Observed], now_s: float) -> None:
        """End ratings without new evidence.

        While a backoff keeps tasks off a worker, there can be no evidence.
        """
        for worker_id, observed in observed_by_id.items():
            backoff_until_s = self._fleet.state_by_id[worker_id].backoff_until_s
            last_s = max(observed.evidence_s, backoff_until_s)
            if observed.rating is not None and now_s >= last_s + FADE_S:
                self._set_rating(worker_id, observed, None, now_s, "no new evidence")

    def _set_flags(self) -> None:
        """Set the flags of the workers that the placement of tasks reads."""
        workers: dict[str, int] = defaultdict(int)
        rated: dict[str, int] = defaultdict(int)
        for worker_id, state in self._fleet.state_by_id.items():
            state.is_badly_rated = self.rating(worker_id) is not None
            workers[state.worker.pool] += state.has_current_lists
            rated[state.worker.pool] += state.is_badly_rated
        for state in self._fleet.state_by_id.values():
            pool = state.worker.pool
            is_limited = rated[pool] * MIN_WORKERS_PER_AFFECTED <= workers[pool]
            state.takes_one_task = state.is_badly_rated and is_limited

    def _add_evidence(
        self,
        worker_id: str,
        observed: Observed,
        rating: BadRating,
        evidence_s: float,
        reason: str,
    ) -> None:
        if evidence_s > observed.evidence_s:
            # New evidence of another kind renews the rating that the worker has.
            rating = observed.rating or rating
            self._set_rating(worker_id, observed, rating, evidence_s, reason)

    def _set_rating(
        self,
        worker_id: str,
        observed: Observed,
        rating: BadRating | None,
        evidence_s: float,
        reason: str,
    ) -> None:
        """Set a rating, or renew it with new evidence."""
        if rating is not observed.rating:
            change = RatingChange(worker_id, observed.pool, rating, reason)
            self._changes.append(change)
            observed.rating, observed.rated_s = rating, evidence_s
        observed.evidence_s = max(observed.evidence_s, evidence_s)

    def _observe(self, worker_id: str) -> Observed | None:
        """Return what is known about a worker, None for one that has ended.

        A worker that has moved to another pool is observed anew.
        """
        state = self._fleet.state_by_id.get(worker_id)
        if state is None:
            return None
        observed = self._observed_by_worker.get(worker_id)
        if observed is None or observed.pool != state.worker.pool:
            observed = Observed(state.worker.pool)
            self._observed_by_worker[worker_id] = observed
        return observed

    @staticmethod
    def _runs_of(run: Run, observed: Observed) -> StepRuns:
        key = (run.task.job_id, run.task.occurrence, run.task.step)
        runs = observed.runs_by_step.get(key)
        if runs is None:
            runs = observed.runs_by_step[key] = StepRuns(
                run.task.job_id, run.queue, run.step.estimated_ms / 1000
            )
        return runs

    @staticmethod
    def _has_known_duration(run: Run, observed: Observed) -> bool:
        """Return whether the duration of a run shows the speed of its worker.

        Filling tasks are paced, the tasks of a gang wait for each other, and a task
        may go on from a checkpoint.
        """
        step = run.step
        return (
            not (step.long_running or step.fills or step.gang or step.checkpointing)
            and not run.is_adopted
            and run.unanswered_s is None
            and run.started_s >= observed.since_s
        )
