"""Scheduling state of a job that has not ended."""

from __future__ import annotations

import copy
from collections.abc import Iterator, Mapping
from dataclasses import replace

from .model import FINAL_STATES, EndKind, Job, JobState, Step, TaskKey
from .records import (
    TASKS_PER_PART,
    JobProgress,
    ProgressPart,
    StepProgress,
    TaskCheckpoint,
    TaskFailures,
)
from .step_graph import chain_ms_by_step, successors_by_step
from .step_tasks import StepTasks
from .task_numbering import StepKey, TaskNumbering
from .task_sets import TaskSet

# No further occurrence of a job is opened while this many of its steps could start and
# have not: after an outage, thousands of occurrences may be due at once.
MAX_UNSTARTED_STEPS = 100


class ActiveJob:
    """Tracks the tasks of a job: waiting, done, failures and checkpoints.

    The leader keeps one for each job that has not ended, built from the job's
    progress records if there are any.

    A job may have many steps and occurrences of which none is due for days, so the
    state of a step is built when the step may start, or when a run of it is reported.
    Of a step that is done, only that is kept.
    """

    def __init__(
        self,
        job: Job,
        progress: JobProgress | None = None,
        part_by_number: Mapping[int, ProgressPart] | None = None,
    ) -> None:
        self.job = job
        # Number of failed runs of a task after which the job fails; None, for no limit,
        # until the leader has found the job's queue in the policy.
        self.max_attempts: int | None = None
        self.state = JobState.QUEUED
        self.highest_run = 0
        self.finished_ms = 0
        # A task of the job has started.
        self.has_begun = False
        # Estimated duration of the longest chain of steps that begins with each step.
        self._chain_ms_by_step = chain_ms_by_step(job.steps)
        self._successors_by_step = successors_by_step(job.steps)
        # The steps whose state has been built and that are not done.
        self.tasks_by_step: dict[StepKey, StepTasks] = {}
        self._numbering = TaskNumbering(job)
        # Positions of all done tasks, those of open steps included.
        self._done = TaskSet()
        # Numbers of the parts of the progress that ``changed_parts`` has yet to return.
        self._changed_parts: set[int] = set()
        self._next_occurrence = 0
        # Result of ``startable_steps`` for a job that is not repeated, until a task
        # begins to wait, starts or ends.
        self._startable: list[tuple[StepKey, StepTasks]] | None = None
        if progress is not None or part_by_number:
            self._restore(progress or JobProgress(self.state), part_by_number or {})

    def copied(self) -> ActiveJob:
        """Return a copy for planning, from which tasks can be taken.

        What is done is shared, so no ends may be noted on the copy.
        """
        copied = copy.copy(self)
        copied.tasks_by_step = {
            step_key: step_tasks.copied()
            for step_key, step_tasks in self.tasks_by_step.items()
        }
        copied._startable = None
        return copied

    @property
    def is_final(self) -> bool:
        """Return whether the job has reached a final state."""
        return self.state in FINAL_STATES

    def find_tasks(self, task: TaskKey) -> StepTasks | None:
        """Return the state of a task's step.

        Returns None if the job has no such task, or if the whole step is done.
        """
        if self._numbering.position(task) is None:
            return None
        step_key = (task.occurrence, task.step)
        return None if self._is_step_done(step_key) else self._open_step(step_key)

    def is_done(self, task: TaskKey) -> bool:
        """Return whether a task is done; a long-running one never is."""
        position = self._numbering.position(task)
        return position is not None and position in self._done

    def startable_steps(self, now_ms: float) -> list[tuple[StepKey, StepTasks]]:
        """Return the steps with waiting tasks that may start.

        Their occurrence is due, and the steps that they depend on are done. Of very
        many occurrences that are due, the later ones are left out; see
        ``unopened_occurrences``. ``now_ms`` is Unix time.
        """
        if self.is_final:
            return []
        if self._startable is not None:
            return self._startable
        startable = [
            (step_key, step_tasks)
            for step_key, step_tasks in self.tasks_by_step.items()
            if self._is_startable(step_key, step_tasks, now_ms)
        ]
        unstarted = sum(step_tasks.is_unstarted for _, step_tasks in startable)
        while unstarted < MAX_UNSTARTED_STEPS and self.unopened_occurrences(now_ms):
            opened = self._open_occurrence(self._next_occurrence)
            self._next_occurrence = self._unfinished_occurrence(
                self._next_occurrence + 1
            )
            unstarted += len(opened)
            startable += opened
        if not self.job.repetitions and not self.unopened_occurrences(now_ms):
            self._startable = startable
        return startable

    def unopened_occurrences(self, now_ms: float) -> int:
        """Return how many due occurrences ``startable_steps`` has not reached yet."""
        return max(0, self.job.due_occurrences(now_ms) - self._next_occurrence)

    def remaining_chain_ms(self, step_key: StepKey) -> float:
        """Return the estimated time from the start of a step to the end of the job."""
        return self._chain_ms_by_step[step_key[1]]

    def chain_ms(self) -> float:
        """Return the estimated duration of the longest chain of dependent steps."""
        return max(self._chain_ms_by_step, default=0.0)

    def take(self, task: TaskKey) -> int:
        """Remove a task from the waiting tasks and return the number of its new run."""
        self.remove_waiting(task)
        return self.next_run()

    def remove_waiting(self, task: TaskKey) -> None:
        """Remove a task from the waiting tasks."""
        waiting = self.tasks_by_step[task.occurrence, task.step].waiting
        waiting.remove(task.index)
        if not waiting:
            self._startable = None

    def next_run(self) -> int:
        """Return a run number that no task of the job has used, and mark it as used."""
        self.highest_run += 1
        return self.highest_run

    def note_run(self, run: int) -> None:
        """Ensure that new run numbers are higher than ``run``."""
        self.highest_run = max(self.highest_run, run)

    def note_begun(self) -> bool:
        """Record that a task has started; return whether it is the job's first."""
        if self.has_begun:
            return False
        self.has_begun = True
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING
        return True

    def put_back(self, task: TaskKey, checkpoint: str = "") -> None:
        """Put a task in front of the waiting tasks after an unfinished run.

        Does nothing if the task is done or already waits.
        """
        step_tasks = self.find_tasks(task)
        if (
            step_tasks is None
            or task.index in step_tasks.done
            or task.index in step_tasks.waiting
        ):
            return
        if checkpoint:
            self._note_checkpoint(task, step_tasks, checkpoint)
        step_tasks.waiting.put_back(task.index)
        self._startable = None

    def note_end(self, task: TaskKey, run: int, kind: EndKind, checkpoint: str) -> bool:
        """Record the end of a run; return whether the progress must be written.

        Ends of long-running tasks change only their checkpoints.
        """
        step_tasks = self.find_tasks(task)
        if step_tasks is None or task.index in step_tasks.done:
            return False
        if kind is EndKind.DONE and not step_tasks.step.long_running:
            self._note_done(task, step_tasks)
            return True
        if checkpoint:
            self._note_checkpoint(task, step_tasks, checkpoint)
        if kind is EndKind.FAILED and not step_tasks.step.long_running:
            return self._note_failed(task, run, step_tasks)
        return bool(checkpoint)

    def cancel(self) -> None:
        """Cancel the job unless it has ended."""
        if not self.is_final:
            self.state = JobState.CANCELLED

    def progress(self) -> JobProgress:
        """Return the progress record from which another leader can continue.

        A job with many tasks has further records; see ``changed_parts``.
        """
        steps = () if self._has_parts else tuple(self._steps_progress())
        return JobProgress(self.state, self.highest_run, steps, self.finished_ms)

    def changed_parts(self) -> dict[int, ProgressPart]:
        """Return the parts of the progress that changed since the last call.

        The result is empty for a job whose progress fits into one record.
        """
        if not self._has_parts:
            return {}
        numbers, self._changed_parts = sorted(self._changed_parts), set()
        return {number: self._part(number) for number in numbers}

    @property
    def _has_parts(self) -> bool:
        return self._numbering.total > TASKS_PER_PART

    def _steps_progress(self) -> Iterator[StepProgress]:
        for step_key in self._numbering.step_keys():
            count = self.job.steps[step_key[1]].count
            done = self._done.slice(self._numbering.first_position(step_key), count)
            step_tasks = self.tasks_by_step.get(step_key)
            failures, checkpoints = (), ()
            if step_tasks is not None:
                failures = tuple(step_tasks.failures_by_index.values())
                checkpoints = tuple(
                    TaskCheckpoint(index, checkpoint)
                    for index, checkpoint in step_tasks.checkpoint_by_index.items()
                )
            if done or failures or checkpoints:
                yield StepProgress(
                    *step_key, done.to_bytes(count), failures, checkpoints
                )

    def _part(self, number: int) -> ProgressPart:
        first = number * TASKS_PER_PART
        failures, checkpoints = [], []
        for step_key, step_tasks in self.tasks_by_step.items():
            # Index in the part of the step's first task.
            shift = self._numbering.first_position(step_key) - first
            if not -step_tasks.step.count < shift < TASKS_PER_PART:
                continue
            indexes = range(
                max(0, -shift), min(step_tasks.step.count, TASKS_PER_PART - shift)
            )
            failures += [
                replace(failed, index=index + shift)
                for index, failed in step_tasks.failures_by_index.items()
                if index in indexes
            ]
            checkpoints += [
                TaskCheckpoint(index + shift, checkpoint)
                for index, checkpoint in step_tasks.checkpoint_by_index.items()
                if index in indexes
            ]
        done = self._done.slice(first, TASKS_PER_PART).to_bytes(TASKS_PER_PART)
        return ProgressPart(done, tuple(failures), tuple(checkpoints))

    def _mark_changed(self, position: int) -> None:
        self._changed_parts.add(position // TASKS_PER_PART)

    def _note_done(self, task: TaskKey, step_tasks: StepTasks) -> None:
        # All tasks of a gang count as done as soon as one of them is done.
        indexes = (
            range(step_tasks.step.count) if step_tasks.step.gang else (task.index,)
        )
        first = self._numbering.first_position((task.occurrence, task.step))
        for index in indexes:
            step_tasks.done.add(index)
            self._done.add(first + index)
            self._mark_changed(first + index)
            step_tasks.checkpoint_by_index.pop(index, None)
            step_tasks.waiting.remove(index)
        self._startable = None
        if step_tasks.is_done:
            self._close_step((task.occurrence, task.step))

    def _note_failed(self, task: TaskKey, run: int, step_tasks: StepTasks) -> bool:
        """Count a failed run; return False if it has been counted before."""
        failures = step_tasks.failures_by_index.get(
            task.index, TaskFailures(task.index)
        )
        if run in failures.runs:
            return False
        failures = failures.with_run(run)
        step_tasks.failures_by_index[task.index] = failures
        self._mark_changed(self._numbering.position(task))
        limit = self.max_attempts
        if limit is not None and failures.count >= limit and not self.is_final:
            self.state = JobState.FAILED
        return True

    def _note_checkpoint(
        self, task: TaskKey, step_tasks: StepTasks, checkpoint: str
    ) -> None:
        step_tasks.checkpoint_by_index[task.index] = checkpoint
        self._mark_changed(self._numbering.position(task))

    def _is_startable(
        self, step_key: StepKey, step_tasks: StepTasks, now_ms: float
    ) -> bool:
        occurrence = step_key[0]
        return (
            bool(step_tasks.waiting)
            and self.job.due_ms(occurrence) <= now_ms
            and self._are_predecessors_done(occurrence, step_tasks.step)
        )

    def _are_predecessors_done(self, occurrence: int, step: Step) -> bool:
        return all(self._is_step_done((occurrence, index)) for index in step.after)

    def _is_step_done(self, step_key: StepKey) -> bool:
        if step_key in self.tasks_by_step:
            return False
        first = self._numbering.first_position(step_key)
        return self._done.has_all(first, self.job.steps[step_key[1]].count)

    def _unfinished_occurrence(self, occurrence: int) -> int:
        """Return the first occurrence, not before the given one, that is not done."""
        tasks = self._numbering.tasks_per_occurrence
        return self._done.first_missing(occurrence * tasks) // tasks

    def _open_occurrence(self, occurrence: int) -> list[tuple[StepKey, StepTasks]]:
        """Build the state of the steps of an occurrence that depend on no open ones.

        Returns those of them that have waiting tasks.
        """
        opened = []
        for index, step in enumerate(self.job.steps):
            step_key = (occurrence, index)
            if step_key in self.tasks_by_step or self._is_step_done(step_key):
                continue
            if self._are_predecessors_done(occurrence, step):
                opened.append((step_key, self._open_step(step_key)))
        return opened

    def _open_step(self, step_key: StepKey) -> StepTasks:
        """Return the state of a step, built if there is none yet."""
        step_tasks = self.tasks_by_step.get(step_key)
        if step_tasks is None:
            step = self.job.steps[step_key[1]]
            first = self._numbering.first_position(step_key)
            step_tasks = StepTasks(step, self._done.slice(first, step.count))
            self.tasks_by_step[step_key] = step_tasks
            self._startable = None
        return step_tasks

    def _close_step(self, step_key: StepKey) -> None:
        """Open the steps that have waited only for this one, or complete the job."""
        del self.tasks_by_step[step_key]
        self._startable = None
        occurrence, done_index = step_key
        for index in self._successors_by_step.get(done_index, ()):
            if self._is_step_done((occurrence, index)):
                continue
            if self._are_predecessors_done(occurrence, self.job.steps[index]):
                self._open_step((occurrence, index))
        self._complete_if_done()

    def _complete_if_done(self) -> None:
        if len(self._done) == self._numbering.total and not self.is_final:
            self.state = JobState.COMPLETED

    def _restore(
        self, progress: JobProgress, part_by_number: Mapping[int, ProgressPart]
    ) -> None:
        self.state = progress.state
        self.highest_run = progress.highest_run
        self.finished_ms = progress.finished_ms
        self.has_begun = progress.state is not JobState.QUEUED
        if self.is_final:
            return
        # Position of the first task that a record describes, and the record.
        saved_from: list[tuple[int, StepProgress | ProgressPart]] = []
        for step_progress in progress.steps:
            is_of_job = step_progress.occurrence < self.job.occurrences
            if not is_of_job or step_progress.step >= len(self.job.steps):
                continue
            step_key = (step_progress.occurrence, step_progress.step)
            first = self._numbering.first_position(step_key)
            saved_from.append((first, step_progress))
            # Earlier versions wrote one record for a job of any size. If this is one,
            # its parts are still to be written.
            last = first + self.job.steps[step_progress.step].count - 1
            parts = range(first // TASKS_PER_PART, last // TASKS_PER_PART + 1)
            self._changed_parts.update(parts)
        for number, part in part_by_number.items():
            first = number * TASKS_PER_PART
            if first < self._numbering.total:
                saved_from.append((first, part))
        for first, saved in saved_from:
            self._done.add_all(TaskSet(saved.done), first)
        for first, saved in saved_from:
            self._restore_details(saved, first)
        self._next_occurrence = self._unfinished_occurrence(0)
        self._complete_if_done()

    def _restore_details(self, saved: StepProgress | ProgressPart, first: int) -> None:
        """Restore failures and checkpoints of the tasks from position ``first`` on."""
        for failures in saved.failures:
            step_key, index = self._numbering.locate(first + failures.index)
            if self._is_step_done(step_key):
                continue
            step_tasks = self._open_step(step_key)
            step_tasks.failures_by_index[index] = replace(failures, index=index)
        for saved_checkpoint in saved.checkpoints:
            step_key, index = self._numbering.locate(first + saved_checkpoint.index)
            if self._is_step_done(step_key):
                continue
            step_tasks = self._open_step(step_key)
            step_tasks.checkpoint_by_index[index] = saved_checkpoint.checkpoint
