"""Tests of the run numbers that different leaders give."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.model import Job, Step
from lycheeloom.jobs.records import JobProgress, decode, encode
from lycheeloom.jobs.run_numbers import (
    LEADERS_PER_CYCLE,
    MAX_SKIPPED_RUN,
    RUNS_PER_LEADER,
    highest_former_run,
)

MAX_RUN = 2**32 - 1
JOB = Job("a" * 16, "queue", "red", "text", (Step(3, 1000),))


def take_over(token: int, progress: JobProgress | None) -> ActiveJob:
    """Return a job as the leader with a token inherits it."""
    if progress is not None:
        progress = decode(JobProgress, encode(progress))
    active_job = ActiveJob(JOB, progress)
    active_job.note_run(highest_former_run(token, active_job.highest_run))
    return active_job


class RunNumbers(RuleBasedStateMachine):
    """A job under leaders that take over at any moment.

    Each has the latest progress that was recorded, which may be that of any leader, and
    what workers report.
    """

    def __init__(self) -> None:
        super().__init__()
        self.token = 1
        self.active_job = ActiveJob(JOB)
        self.recorded: JobProgress | None = None
        self.given: list[int] = []
        self.given_by_leader = 0

    @initialize(token=st.sampled_from([1, 2, 30_000, LEADERS_PER_CYCLE + 1, 2**40]))
    def open_job(self, token: int) -> None:
        """The job begins under any leader."""
        self.token = token

    @rule(count=st.sampled_from([1, 3, 200, 20_000]))
    def start_runs(self, count: int) -> None:
        """No number is given twice, nor one below a former number."""
        count = min(count, RUNS_PER_LEADER - 1 - self.given_by_leader)
        self.given_by_leader += count
        for _ in range(count):
            run = self.active_job.next_run()
            assert not self.given or run > self.given[-1]
            self.given.append(run)

    @rule()
    def record(self) -> None:
        self.recorded = self.active_job.progress()

    @rule(former_leaders=st.sampled_from([1, 1, 2, 50]))
    def lose_leader(self, former_leaders: int) -> None:
        """Some leaders may have ended before they started anything."""
        self.token += former_leaders
        self.active_job = take_over(self.token, self.recorded)
        self.given_by_leader = 0

    @rule(data=st.data())
    def report(self, data: st.DataObject) -> None:
        """A worker lists a run that any leader has started."""
        if self.given:
            self.active_job.note_run(data.draw(st.sampled_from(self.given)))


TestRunNumbers = RunNumbers.TestCase
TestRunNumbers.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)


def test_leader_that_gave_very_many_numbers_is_followed_by_higher_ones():
    """Numbers must not be given again after a leader that has used up its own.

    The last of its numbers are not recorded.
    """
    first = ActiveJob(JOB)
    first.note_run(3 * RUNS_PER_LEADER)
    recorded = first.progress()
    given = [first.next_run() for _ in range(100)]
    assert take_over(2, recorded).next_run() > given[-1]


def test_numbers_rise_in_a_job_older_than_a_cycle_of_elections():
    """Numbers must not begin anew in a job that was recorded before."""
    recorded = take_over(LEADERS_PER_CYCLE, None).progress()
    last_run = recorded.highest_run + RUNS_PER_LEADER
    assert take_over(LEADERS_PER_CYCLE + 1, recorded).next_run() > last_run


def test_numbers_of_records_suffice_however_often_the_leader_changes():
    """A leader must not fail because records cannot hold the numbers of a job."""
    recorded = None
    for token in [1, 2, 20_000, 32_768, 40_000, 2**31, *range(2**53, 2**53 + 1_000)]:
        active_job = take_over(token, recorded)
        first_run = active_job.next_run()
        assert recorded is None or first_run > recorded.highest_run
        recorded = active_job.progress()
    assert recorded.highest_run <= MAX_SKIPPED_RUN + 1_006
    assert highest_former_run(2**53, MAX_RUN) == MAX_RUN


def test_numbers_begin_at_one_under_the_first_leader():
    """A job that no leader can have started must not have gaps before its first run."""
    assert take_over(1, None).next_run() == 1
