"""What the runs on a worker have shown recently about its speed and its failures."""

from __future__ import annotations

import dataclasses
import math
import statistics
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

# Slow workers are compared with the others over this period.
COMPARE_S = 2.0
# Without this many other workers to compare with, no worker counts as slow.
MIN_PEERS = 3
# Durations, or their ratios to the estimates, are a measure of their own if the middle
# eight tenths of the pool's values differ by at most this factor.
STEADY_FACTOR = 1.6
# Failures and successes are counted over this period.
OUTCOMES_S = 6.0


class BadRating(Enum):
    """Why a worker is badly rated."""

    SLOW = "slow"
    FAILING = "failing"
    STALLING = "stalling"


@dataclass(slots=True)
class StepRuns:
    """The runs of one step of one job on one worker.

    They count once: a wrong estimate or a fault of the tasks affects all of them.
    """

    job_id: str
    queue: str
    estimate_s: float
    # Shortest duration of an ended run, otherwise that projected for a running one;
    # None if not known.
    duration_s: float | None = None
    # Time that the run has taken so far.
    elapsed_s: float = 0.0
    has_ended: bool = False
    # The projection has a sound basis.
    is_comparable: bool = False
    duration_noted_s: float = -math.inf
    successes: int = 0
    failures: int = 0
    outcome_s: float = -math.inf
    failed_s: float = -math.inf

    @property
    def ratio(self) -> float:
        """Return the duration relative to the estimate, 1 without an estimate."""
        return self.duration_s / self.estimate_s if self.estimate_s else 1.0


@dataclass(slots=True)
class Observed:
    """What is known about one incarnation of a worker."""

    pool: str
    # Runs that started earlier may have begun under a former incarnation.
    since_s: float = -math.inf
    runs_by_step: dict[tuple[str, int, int], StepRuns] = field(default_factory=dict)
    # When a run last made progress or was done.
    progressed_s: float = -math.inf
    rating: BadRating | None = None
    rated_s: float = -math.inf
    # Newest evidence for the rating, or the recovery; older evidence does not count.
    evidence_s: float = -math.inf

    def forget_durations(self, now_s: float) -> None:
        """Disregard the durations of all runs that have started so far."""
        self.since_s = now_s
        for runs in self.runs_by_step.values():
            runs.has_ended, runs.duration_noted_s = False, -math.inf


@dataclass(frozen=True, slots=True)
class Usual:
    """Usual duration and ratio to the estimate of the runs of a queue in a pool."""

    duration_s: float
    ratio: float
    are_durations_steady: bool
    are_ratios_steady: bool

    def combine(self, other: Usual) -> Usual:
        """Return the higher of the values."""
        return dataclasses.replace(
            self,
            duration_s=max(self.duration_s, other.duration_s),
            ratio=max(self.ratio, other.ratio),
        )

    def excess(self, runs: StepRuns) -> float:
        """Return by which factor runs took longer than usual.

        If neither durations nor estimates can be relied on, the lower value counts: a
        long job has a long duration but an ordinary ratio, and a job whose estimate is
        too low has the reverse.
        """
        by_duration = runs.duration_s / self.duration_s
        by_ratio = runs.ratio / self.ratio
        if not runs.estimate_s or self.are_durations_steady:
            return by_duration
        return by_ratio if self.are_ratios_steady else min(by_duration, by_ratio)


def discard_old_steps(observed: Observed, now_s: float) -> None:
    """Discard the steps whose runs show nothing recent any more."""
    for key, runs in list(observed.runs_by_step.items()):
        if now_s - max(runs.outcome_s, runs.duration_noted_s) > OUTCOMES_S:
            del observed.runs_by_step[key]


def recent_steps(observed: Observed, now_s: float) -> list[StepRuns]:
    """Return the steps with durations that count for the comparison of workers."""
    return [
        runs
        for runs in observed.runs_by_step.values()
        if now_s - runs.duration_noted_s <= COMPARE_S
    ]


def find_usual_by_queue(recent_by_id: dict[str, list[StepRuns]]) -> dict[str, Usual]:
    """Return the usual values of each queue with enough workers to compare.

    Each worker counts once, so that one with many short runs does not dominate.
    """
    steps_by_queue: dict[str, list[list[StepRuns]]] = defaultdict(list)
    for recent in recent_by_id.values():
        comparable_by_queue: dict[str, list[StepRuns]] = defaultdict(list)
        for runs in recent:
            if runs.is_comparable:
                comparable_by_queue[runs.queue].append(runs)
        for queue, steps in comparable_by_queue.items():
            steps_by_queue[queue].append(steps)
    return {
        queue: Usual(
            _typical([[runs.duration_s for runs in steps] for steps in by_worker]),
            _typical([[runs.ratio for runs in steps] for steps in by_worker]),
            _is_steady([runs.duration_s for steps in by_worker for runs in steps]),
            _is_steady([runs.ratio for steps in by_worker for runs in steps]),
        )
        for queue, by_worker in steps_by_queue.items()
        if len(by_worker) > MIN_PEERS
    }


def _typical(values_by_worker: list[list[float]]) -> float:
    """Return the median over the workers of their median values."""
    medians = [statistics.median_low(values) for values in values_by_worker]
    # Runs that end at once must not lead to a division by zero.
    return max(1e-3, statistics.median_low(medians))


def _is_steady(values: list[float]) -> bool:
    values.sort()
    margin = len(values) // 10
    return values[-1 - margin] <= STEADY_FACTOR * values[margin]


def count_outcomes(observed: Observed, now_s: float) -> tuple[int, int]:
    """Return the number of failed runs and of all runs that have ended recently."""
    failures = ends = 0
    for runs in observed.runs_by_step.values():
        if now_s - runs.outcome_s <= OUTCOMES_S:
            failures += runs.failures
            ends += runs.failures + runs.successes
    return failures, ends
