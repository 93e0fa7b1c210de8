"""Tests of the progress of jobs and its records."""

from __future__ import annotations

import tracemalloc
from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheeloom.jobs import active_job as active_job_module
from lycheeloom.jobs.active_job import MAX_UNSTARTED_STEPS, ActiveJob
from lycheeloom.jobs.model import EndKind, Job, JobState, Step, TaskKey
from lycheeloom.jobs.records import (
    TASKS_PER_PART,
    JobProgress,
    Kind,
    ProgressPart,
    Record,
    StepProgress,
    TaskCheckpoint,
    TaskFailures,
    decode,
    encode,
    key_of,
)
from lycheeloom.jobs.table import JobTable

STEPS = (
    Step(3, 1000, estimated_ms=100),
    Step(2, 500, after=(0,), gang=True, checkpointing=True, label="kind"),
    Step(1, 500, after=(0, 1), image="i", target_ms=5, may_miss=1),
)
JOB = Job("a" * 16, "queue", "red", "text", STEPS, 5, 2, 1_000, 500)
ALL_TASKS = [
    TaskKey(JOB.job_id, occurrence, step, index)
    for occurrence in range(JOB.occurrences)
    for step in range(len(STEPS))
    for index in range(STEPS[step].count)
]


def test_records_survive_encoding():
    """No field of a job or of its progress may be lost in the store."""
    assert decode(Job, encode(JOB)) == JOB
    active_job = ActiveJob(JOB)
    active_job.note_end(TaskKey(JOB.job_id, 1, 0, 2), 1, EndKind.DONE, "")
    active_job.note_end(TaskKey(JOB.job_id, 0, 0, 1), 2, EndKind.FAILED, "c")
    assert decode(JobProgress, encode(active_job.progress())) == active_job.progress()


def test_corrupted_records_are_counted_and_ignored():
    """An invalid value or key in the store must not crash the process."""
    table = JobTable()
    value = encode(JOB)
    assert table.apply(0, Record(key_of(Kind.JOB, "x"), value[:-3])) is None
    assert table.apply(1, Record("?", b"x")) is None
    assert table.apply(2, Record("", b"x")) is None
    assert table.unreadable_records == 3
    assert table.entry_by_id == {}


def test_older_record_does_not_replace_a_newer_one():
    """A job's state must not go back where the loaded snapshot and the log overlap."""
    table = JobTable()
    key = key_of(Kind.PROGRESS, "x")
    table.apply(8, Record(key, encode(JobProgress(JobState.COMPLETED))))
    table.apply(3, Record(key, encode(JobProgress(JobState.RUNNING))))
    assert table.entry_by_id["x"].state is JobState.COMPLETED


@given(st.binary(max_size=200))
@settings(derandomize=True, max_examples=100)
def test_arbitrary_bytes_decode_to_none(data):
    """Arbitrary data must not make the decoder raise an exception."""
    assert decode(Job, data) is None


@pytest.fixture
def yearly_job():
    """A job of two steps that runs each minute of a year, and has begun just now."""
    steps = (Step(1, 1000), Step(1, 1000, after=(0,)))
    return ActiveJob(
        Job("b" * 16, "queue", "red", "text", steps, 0, 525_600, 0, 60_000)
    )


def test_occurrences_cost_nothing_before_they_are_due(yearly_job):
    """Accepted timed jobs must not take the leader's time and memory at once.

    20 jobs with 43,200 occurrences each kept every instance from holding the lead.
    """
    assert len(yearly_job.startable_steps(now_ms=59_999)) == 1
    assert len(yearly_job.startable_steps(now_ms=60_000)) == 2
    assert len(yearly_job.tasks_by_step) == 2


def test_large_step_costs_nothing_before_its_tasks_start():
    """The same for a step with very many tasks."""
    active_job = ActiveJob(Job("b" * 16, "queue", "red", "text", (Step(100_000, 10),)))
    tracemalloc.start()
    [(_, step_tasks)] = active_job.startable_steps(0)
    assert len(step_tasks.waiting) == 100_000
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < 50_000


def test_only_some_of_many_due_occurrences_are_opened(yearly_job):
    """After an outage, thousands of occurrences may be due at the same time."""
    now_ms = 60_000 * 10_000
    startable = yearly_job.startable_steps(now_ms)
    assert len(startable) == MAX_UNSTARTED_STEPS
    assert yearly_job.unopened_occurrences(now_ms) == 10_001 - MAX_UNSTARTED_STEPS
    for step_key, _ in startable[:30]:
        yearly_job.take(TaskKey(yearly_job.job.job_id, *step_key, 0))
    assert yearly_job.startable_steps(now_ms)[-1][0] == (MAX_UNSTARTED_STEPS + 29, 0)


def test_step_starts_after_the_steps_that_it_depends_on(yearly_job):
    """Steps are opened one after the other; none may start early or be left out."""
    first = TaskKey(yearly_job.job.job_id, 0, 0, 0)
    run = yearly_job.take(_only_task(yearly_job))
    assert not yearly_job.startable_steps(0)
    yearly_job.note_end(first, run, EndKind.DONE, "")
    assert [key for key, _ in yearly_job.startable_steps(0)] == [(0, 1)]
    successor = restore(yearly_job, {})
    assert [key for key, _ in successor.startable_steps(0)] == [(0, 1)]


def test_unknown_task_changes_nothing(yearly_job):
    """A worker may list a task that its job does not have."""
    for task in ((-1, 0, 0), (525_600, 0, 0), (0, 2, 0), (0, 0, 1), (0, 0, 2**40)):
        key = TaskKey(yearly_job.job.job_id, *task)
        assert not yearly_job.note_end(key, 1, EndKind.DONE, "")
        yearly_job.put_back(key)
    assert not yearly_job.tasks_by_step


def _only_task(active_job: ActiveJob) -> TaskKey:
    """Return the first task of the only step that may start."""
    [(step_key, step_tasks)] = active_job.startable_steps(0)
    return TaskKey(active_job.job.job_id, *step_key, step_tasks.waiting.first)


def restore(active_job: ActiveJob, part_by_number: dict) -> ActiveJob:
    """Return the job as the next leader builds it.

    Adds the parts of the progress that have changed to ``part_by_number``.
    """
    progress = decode(JobProgress, encode(active_job.progress()))
    for number, part in active_job.changed_parts().items():
        part_by_number[number] = decode(ProgressPart, encode(part))
    return ActiveJob(active_job.job, progress, part_by_number)


def test_progress_of_an_earlier_version_is_read_and_split(yearly_job):
    """Tasks must not run again because a new version takes over a large job.

    Earlier versions wrote one record for a job of any size.
    """
    job = yearly_job.job
    steps = [StepProgress(n, step, b"\1") for n in range(2_000) for step in (0, 1)]
    failures = (TaskFailures(0, 2, (5, 6)),)
    steps.append(StepProgress(2_000, 0, b"\0", failures, (TaskCheckpoint(0, "c"),)))
    active_job = ActiveJob(job, JobProgress(JobState.RUNNING, 7, tuple(steps)))
    part_by_number = {}
    for successor in (active_job, restore(active_job, part_by_number)):
        assert successor.is_done(TaskKey(job.job_id, 1_999, 1, 0))
        assert not successor.is_done(TaskKey(job.job_id, 2_000, 0, 0))
        [(step_key, step_tasks)] = successor.startable_steps(2_000 * 60_000)
        assert step_key == (2_000, 0)
        assert step_tasks.failures_by_index == {0: failures[0]}
        assert step_tasks.checkpoint_by_index == {0: "c"}
    assert sorted(part_by_number) == [0, 1, 2, 3]
    assert active_job.changed_parts() == {}


def test_progress_written_by_both_versions_is_joined(yearly_job):
    """A task must not run again because an earlier version led in between."""
    job = yearly_job.job
    part = ProgressPart(b"\x03")
    steps = tuple(StepProgress(0, step, b"\1") for step in (0, 1))
    steps += (StepProgress(1, 0, b"\1"),)
    progress = JobProgress(JobState.RUNNING, 7, steps)
    successor = ActiveJob(job, progress, {0: part, 1: ProgressPart(b"\x01")})
    done = [(0, 0), (0, 1), (1, 0), (TASKS_PER_PART // 2, 0)]
    assert all(successor.is_done(TaskKey(job.job_id, *key, 0)) for key in done)
    assert not successor.is_done(TaskKey(job.job_id, 1, 1, 0))


def test_parts_of_the_largest_progress_fit_into_a_record():
    """A part must fit into a record of the store whatever its tasks have done."""
    job = Job("b" * 16, "queue", "red", "text", (Step(2 * TASKS_PER_PART, 1),))
    active_job = ActiveJob(job)
    for index in range(2 * TASKS_PER_PART):
        task = TaskKey(job.job_id, 0, 0, index)
        for run in range(3):
            active_job.note_end(task, run, EndKind.FAILED, "00000bb87a21d94b")
    parts = active_job.changed_parts()
    assert sorted(parts) == [0, 1]
    assert all(len(encode(part)) < 262_144 / 2 for part in parts.values())
    assert len(encode(active_job.progress())) < 200


def test_steps_that_were_left_out_are_opened_once_others_start():
    """Guards against steps that never start since an earlier result is kept.

    The job is restored with so many steps that were begun before that the others are
    left out at first. The second task of each step has no room.
    """
    steps = (Step(2, 500, checkpointing=True),) * (MAX_UNSTARTED_STEPS + 1)
    job = Job("c" * 16, "queue", "red", "text", steps)
    former = ActiveJob(job)
    former.startable_steps(1.0)
    for number in range(MAX_UNSTARTED_STEPS):
        former.note_end(TaskKey(job.job_id, 0, number, 0), 1, EndKind.STOPPED, "point")
    active_job = ActiveJob(job, former.progress())
    assert len(active_job.startable_steps(1.0)) == MAX_UNSTARTED_STEPS
    for number in range(MAX_UNSTARTED_STEPS):
        active_job.take(TaskKey(job.job_id, 0, number, 0))
    assert len(active_job.startable_steps(1.0)) == MAX_UNSTARTED_STEPS + 1


class ActiveJobMachine(RuleBasedStateMachine):
    """Lets runs of a job end in any order and kind, with changes of leader in between.

    Ends may be reported again later. A change of leader restores the job from its
    encoded progress.
    """

    tasks_per_part = active_job_module.TASKS_PER_PART

    def __init__(self) -> None:
        super().__init__()
        self._patch = patch.object(
            active_job_module, "TASKS_PER_PART", self.tasks_per_part
        )
        self._patch.start()
        self.part_by_number: dict[int, ProgressPart] = {}
        self.active_job = ActiveJob(JOB)
        self.active_job.max_attempts = 4
        self.done_tasks: set[TaskKey] = set()
        # Task, run number and kind of each end so far.
        self.ends: list[tuple[TaskKey, int, EndKind]] = []

    def teardown(self) -> None:
        self._patch.stop()

    @rule(
        occurrence=st.integers(0, 1),
        step=st.integers(0, 2),
        index=st.integers(0, 2),
        kind=st.sampled_from(EndKind),
    )
    def run_and_end(self, occurrence, step, index, kind):
        task = TaskKey(JOB.job_id, occurrence, step, index)
        step_tasks = self.active_job.find_tasks(task)
        if step_tasks is None or self.active_job.is_final:
            is_unknown = index >= STEPS[step].count
            assert self.active_job.is_final or is_unknown or task in self.all_done()
            return
        if index not in step_tasks.waiting:
            return
        run = self.active_job.take(task)
        self.active_job.note_end(task, run, kind, "")
        self.ends.append((task, run, kind))
        if kind is EndKind.DONE:
            self.done_tasks.add(task)
        else:
            self.active_job.put_back(task)

    @rule(end_index=st.integers(0, 50))
    def report_an_end_again(self, end_index):
        if end_index >= len(self.ends):
            return
        state = self.active_job.state
        task, run, kind = self.ends[end_index]
        self.active_job.note_end(task, run, kind, "")
        assert self.active_job.state is state

    @invariant()
    def each_failure_is_counted_once(self):
        for step_key, step_tasks in self.active_job.tasks_by_step.items():
            for index, failures in step_tasks.failures_by_index.items():
                task = TaskKey(JOB.job_id, *step_key, index)
                ends = [end for end in self.ends if end[0] == task]
                assert failures.count == sum(
                    kind is EndKind.FAILED for _, _, kind in ends
                )

    @rule()
    def change_leader(self):
        self.active_job = restore(self.active_job, self.part_by_number)
        self.active_job.max_attempts = 4

    @invariant()
    def done_tasks_stay_done(self):
        for task in self.done_tasks:
            assert self.active_job.is_done(task)
            step_tasks = self.active_job.find_tasks(task)
            assert step_tasks is None or task.index not in step_tasks.waiting

    @invariant()
    def job_is_completed_if_and_only_if_all_tasks_are_done(self):
        all_done = self.all_done() == set(ALL_TASKS)
        assert (self.active_job.state is JobState.COMPLETED) == all_done

    def all_done(self) -> set[TaskKey]:
        """Return the tasks that have ended as done, and the others of their gangs."""
        done_steps = {(task.occurrence, task.step) for task in self.done_tasks}
        return {
            task
            for task in ALL_TASKS
            if task in self.done_tasks
            or (STEPS[task.step].gang and (task.occurrence, task.step) in done_steps)
        }


class ActiveJobInPartsMachine(ActiveJobMachine):
    """The same with progress that is split over records, within a step too."""

    tasks_per_part = 2


TestActiveJob = ActiveJobMachine.TestCase
TestActiveJob.settings = settings(derandomize=True, max_examples=60, deadline=None)
TestActiveJobInParts = ActiveJobInPartsMachine.TestCase
TestActiveJobInParts.settings = TestActiveJob.settings
