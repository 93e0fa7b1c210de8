"""Tests of the ratings of workers under the faults that they answer."""

from __future__ import annotations

import random
from itertools import count

import pytest

from lycheeloom.jobs.fleet import Fleet, Run, RunState
from lycheeloom.jobs.model import Step, TaskKey, Worker
from lycheeloom.jobs.stall_limits import STALL_S, StallLimits
from lycheeloom.jobs.worker_observations import BadRating
from lycheeloom.jobs.worker_ratings import FADE_S, WorkerRatings
from lycheeloom.model.resources import Resources

WORKERS = 12
TASK_S = 0.64
TICK_S = 0.05
# Time between two lists of a worker on which no run ends.
LIST_INTERVAL_S = 0.9
FAULT_S = range(4, 9)


class Pool:
    """A pool whose workers each run the tasks of two jobs at a time.

    ``speed`` returns the speed of a worker at a time; 1 is normal. The durations of
    tasks and the errors of their estimates are random with a fixed seed.
    """

    def __init__(self, speed=lambda number, now_s: 1.0, max_error: float = 0.0):
        self.fleet = Fleet()
        self.ratings = WorkerRatings(self.fleet)
        self.limits = StallLimits(self.fleet, self.ratings)
        self.now_s = 0.0
        # Time, worker and rating of each change.
        self.changes: list[tuple[float, str, BadRating | None]] = []
        self._speed, self._max_error = speed, max_error
        self._random, self._numbers = random.Random(7), count()
        self._work_s: dict[int, tuple[float, float]] = {}
        for number in range(WORKERS):
            worker = Worker(
                f"w{number}", 1, "pool", "", "zone", Resources(32, 64_000, 0)
            )
            self.fleet.add_worker(worker).has_current_lists = True

    def begin(self, worker_id: str, step: Step | None = None, job_id: str = "") -> Run:
        """Start a run; by default, of a new job."""
        duration_s = TASK_S * self._random.uniform(0.7, 1.4)
        error = self._random.uniform(1 - self._max_error, 1 + self._max_error)
        step = step or Step(1, 3100, estimated_ms=int(1000 * duration_s * error))
        number = next(self._numbers)
        task = TaskKey(job_id or f"j{number}", 0, 0, number)
        run = Run(
            task, 1, worker_id, step, "red", "queue", RunState.RUNNING, self.now_s
        )
        run.progress_changed_s = self.now_s
        self.fleet.add_run(run)
        self._work_s[id(run)] = (0.0, duration_s)
        return run

    def end(self, run: Run, *, succeeded: bool = True) -> None:
        self.fleet.remove_run(run)
        self.ratings.note_end(
            run, succeeded=succeeded, is_timely=True, now_s=self.now_s
        )

    def refresh(self) -> None:
        for change in self.ratings.refresh(self.now_s):
            self.changes.append((self.now_s, change.worker_id, change.rating))

    def play(self, until_s: float) -> None:
        """Run tasks on all workers; each is listed when a run ends or after a time."""
        while self.now_s < until_s:
            self.now_s += TICK_S
            for number, (worker_id, state) in enumerate(self.fleet.state_by_id.items()):
                speed = self._speed(number, self.now_s)
                ended = self._advance(list(state.run_by_task.values()), speed)
                phase_s = (self.now_s + 0.1 * number) % LIST_INTERVAL_S
                if ended or phase_s < TICK_S:
                    self._list(worker_id, ended)
                is_limited = state.takes_one_task
                while len(state.run_by_task) < (1 if is_limited else 2):
                    self.begin(worker_id)
            self.refresh()

    def _advance(self, runs: list[Run], speed: float) -> list[Run]:
        for run in runs:
            done_s, duration_s = self._work_s[id(run)]
            self._work_s[id(run)] = (done_s + speed * TICK_S, duration_s)
        return [run for run in runs if self._percent(run) >= 100]

    def _percent(self, run: Run) -> int:
        done_s, duration_s = self._work_s[id(run)]
        return int(100 * done_s / duration_s)

    def _list(self, worker_id: str, ended: list[Run]) -> None:
        for run in ended:
            self.end(run)
        for run in list(self.fleet.state_by_id[worker_id].run_by_task.values()):
            if self._percent(run) != run.percent:
                run.percent = self._percent(run)
                run.progress_changed_s = self.now_s
            self.ratings.note_progress(run, self.now_s)
        self.limits.note_list(worker_id, self.now_s)


def slow_down(*numbers: int):
    """Return the speed of workers of which some are slow for 5 s."""
    return lambda number, now_s: (
        1 / 3 if number in numbers and FAULT_S[0] <= now_s < FAULT_S[-1] + 1 else 1.0
    )


@pytest.mark.parametrize(("max_error", "within_s"), [(0.0, 2.5), (0.9, 3.5)])
def test_worker_at_a_third_of_its_speed_is_found_and_recovers(max_error, within_s):
    """Tasks must not go on to a worker that is slow for 5 s, nor be kept off it later.

    Also with estimates that are off by up to 90%.
    """
    pool = Pool(slow_down(3), max_error)
    pool.play(30.0)
    assert {worker_id for _, worker_id, _ in pool.changes} == {"w3"}
    rated_s, _, rating = pool.changes[0]
    assert rating is BadRating.SLOW
    assert FAULT_S[0] < rated_s < FAULT_S[0] + within_s
    recovered_s, _, rating = pool.changes[-1]
    assert rating is None
    assert FAULT_S[0] + 5 - 1 < recovered_s < FAULT_S[0] + 5 + FADE_S


def test_pool_that_is_slow_as_a_whole_has_no_bad_ratings():
    """Load that slows all workers must not restrict them."""
    pool = Pool(slow_down(*range(WORKERS)))
    pool.play(20.0)
    assert pool.changes == []


def test_at_most_a_third_of_a_pool_counts_as_slow():
    """A cause that slows many workers must not restrict most of the pool.

    They are found one after the other.
    """
    pool = Pool(slow_down(*range(6)))
    most_rated = 0
    while pool.now_s < 15.0:
        pool.play(pool.now_s + TICK_S)
        rated = [i for i in pool.fleet.state_by_id if pool.ratings.rating(i)]
        most_rated = max(most_rated, len(rated))
    assert 0 < most_rated <= WORKERS / 3


def test_estimates_that_are_off_do_not_make_a_worker_slow():
    """No worker at normal speed may be rated because of estimates off by 90%."""
    pool = Pool(max_error=0.9)
    pool.play(60.0)
    assert pool.changes == []


def test_one_long_job_does_not_make_a_worker_slow():
    """A single job that takes far longer than usual and than estimated is no proof."""
    pool = Pool()
    pool.play(3.0)
    for _ in range(2):
        long_run = pool.begin("w3", Step(1, 3100, estimated_ms=640), "long")
        pool._work_s[id(long_run)] = (0.0, 5 * TASK_S)
    pool.play(8.0)
    assert pool.changes == []


def end_on(pool: Pool, worker_id: str, outcomes: str, job_ids: str) -> None:
    """End one run after the other on a worker; F stands for a failure."""
    for outcome, job_id in zip(outcomes, job_ids, strict=True):
        run = pool.begin(worker_id, job_id=job_id)
        pool.now_s += 0.3
        pool.end(run, succeeded=outcome != "F")
        pool.refresh()


def succeed_elsewhere(pool: Pool) -> None:
    for number in range(WORKERS - 1):
        end_on(pool, f"w{number}", "D", "z")


def test_worker_that_fails_a_part_of_its_tasks_is_rated_until_one_succeeds():
    """Alternating failures, which never are consecutive, must not go unnoticed."""
    pool = Pool()
    succeed_elsewhere(pool)
    end_on(pool, "w8", "DFDF", "abcd")
    assert pool.ratings.rating("w8") is BadRating.FAILING
    end_on(pool, "w8", "D", "e")
    assert pool.ratings.rating("w8") is None
    # The earlier failures still count.
    end_on(pool, "w8", "F", "f")
    assert pool.ratings.rating("w8") is BadRating.FAILING


def test_job_that_fails_everywhere_rates_no_worker():
    """A faulty job must not restrict the workers that run it."""
    pool = Pool()
    succeed_elsewhere(pool)
    end_on(pool, "w8", "DFFFF", "azzzz")
    assert pool.ratings.rating("w8") is None


def test_pool_that_fails_as_a_whole_has_no_bad_ratings():
    """A common cause of failures must not restrict a part of the workers."""
    pool = Pool()
    for number in range(WORKERS):
        end_on(pool, f"w{number}", "FF", "ab")
    assert pool.changes == []


def test_rating_fades_after_the_backoff_and_ends_with_the_incarnation():
    """A rating must outlast the backoff, which keeps evidence away, but not for long.

    A restarted worker must not be rated for the runs of its former incarnation.
    """
    pool = Pool()
    for worker_id in ("w0", "w1"):
        pool.ratings.note_stall(pool.begin(worker_id), 0.0)
    pool.fleet.state_by_id["w0"].backoff_until_s = 6.0
    pool.now_s = 6.0 + FADE_S - 0.1
    pool.refresh()
    assert pool.ratings.rating("w0") is BadRating.STALLING
    assert pool.ratings.rating("w1") is None
    pool.ratings.forget_worker("w0", pool.now_s)
    assert pool.ratings.rating("w0") is None
    pool.ratings.note_stall(pool.begin("w0"), pool.now_s)
    pool.now_s += FADE_S
    pool.refresh()
    assert pool.ratings.rating("w0") is None


@pytest.mark.parametrize(("rated", "is_limited"), [(4, True), (5, False)])
def test_limit_of_one_task_never_holds_for_over_a_third_of_a_pool(rated, is_limited):
    """Ratings must not make a pool unusable."""
    pool = Pool()
    for number in range(rated):
        pool.ratings.note_stall(pool.begin(f"w{number}"), 0.0)
    pool.refresh()
    states = [pool.fleet.state_by_id[f"w{number}"] for number in range(rated)]
    assert all(state.is_badly_rated for state in states)
    assert {state.takes_one_task for state in states} == {is_limited}


STANDING_STEP = Step(1, 3100, estimated_ms=640)


def let_one_worker_stand(pool: Pool, *steps: Step, job_id: str = "") -> list[Run]:
    """Let all runs on ``w0`` stand still for 1.2 s while the other workers go on."""
    pool.play(2.0)
    for run in list(pool.fleet.state_by_id["w0"].run_by_task.values()):
        pool.fleet.remove_run(run)
    runs = [pool.begin("w0", step, job_id) for step in steps]
    pool._speed = lambda number, now_s: 0.0 if number == 0 else 1.0
    pool.play(3.25)
    return runs


def test_standing_worker_is_found_early():
    """Tasks must not wait 2 s on a worker that alone makes no progress."""
    pool = Pool()
    runs = let_one_worker_stand(pool, STANDING_STEP, STANDING_STEP)
    assert pool.limits.limit_s(runs[0], pool.now_s, pool.now_s) < 1.2
    assert pool.fleet.state_by_id["w0"].needs_frequent_polls
    # The list was requested earlier, so it does not prove that the run stands still.
    assert pool.limits.limit_s(runs[0], pool.now_s - 0.5, pool.now_s) == STALL_S


@pytest.mark.parametrize(
    ("steps", "job_id"),
    [
        # Only one job: its tasks may be the cause.
        ((STANDING_STEP,) * 2, "a"),
        # One percent of this task may take over a second.
        ((Step(1, 3100, estimated_ms=9_000),) * 2, ""),
        ((Step(1, 3100),) * 2, ""),
        ((Step(1, 3100, estimated_ms=640, long_running=True),) * 2, ""),
    ],
    ids=["one job", "long", "no estimate", "long-running"],
)
def test_runs_that_may_be_in_order_are_not_stopped_early(steps, job_id):
    """A run must not be stopped early if its worker need not be the cause."""
    pool = Pool()
    runs = let_one_worker_stand(pool, *steps, job_id=job_id)
    assert pool.limits.limit_s(runs[0], pool.now_s, pool.now_s) == STALL_S


def test_pool_that_stands_still_as_a_whole_is_not_stopped_early():
    """A pause of all workers must not end all runs."""
    pool = Pool()
    pool.play(2.0)
    pool._speed = lambda number, now_s: 0.0
    pool.play(3.95)
    for runs in pool.fleet.runs_by_task.values():
        assert pool.limits.limit_s(runs[0], pool.now_s, pool.now_s) == STALL_S
