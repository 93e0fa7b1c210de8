"""Scheduling state of a job that has not ended."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from .model import FINAL_STATES, EndKind, Job, JobState, Step, TaskKey
from .records import JobProgress, StepProgress, TaskCheckpoint, TaskFailures
from .task_sets import TaskSet, WaitingTasks

# Occurrence, and index of the step within the job.
StepKey = tuple[int, int]

# No further occurrence of a job is opened while this many of its steps could start and
# have not: after an outage, thousands of occurrences may be due at once.
MAX_UNSTARTED_STEPS = 100


@dataclass(slots=True)
class StepTasks:
    """Scheduling state of the tasks of one occurrence of a step."""

    step: Step
    done: TaskSet = field(default_factory=TaskSet)
    failures_by_index: dict[int, TaskFailures] = field(default_factory=dict)
    checkpoint_by_index: dict[int, str] = field(default_factory=dict)
    # Tasks that are neither done nor have a run.
    waiting: WaitingTasks = field(init=False)

    def __post_init__(self) -> None:
        self.waiting = WaitingTasks(self.step.count, self.done)

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return len(self.done) >= self.step.count

    @property
    def is_unstarted(self) -> bool:
        """Return whether all tasks wait."""
        return len(self.waiting) >= self.step.count


class ActiveJob:
    """Tracks the tasks of a job: waiting, done, failures and checkpoints.

    The leader keeps one for each job that has not ended, built from the job's
    progress record if there is one.

    A job may have many steps and occurrences of which none is due for days, so the
    state of a step is built when the step may start, or when a run of it is reported.
    """

    def __init__(self, job: Job, progress: JobProgress | None = None) -> None:
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
        self._chain_ms_by_step = _chain_ms_by_step(job.steps)
        # The steps whose state has been built.
        self.tasks_by_step: dict[StepKey, StepTasks] = {}
        # Those of them that are not done.
        self._open_tasks_by_step: dict[StepKey, StepTasks] = {}
        self._next_occurrence = 0
        if progress is not None:
            self._restore(progress)

    @property
    def is_final(self) -> bool:
        """Return whether the job has reached a final state."""
        return self.state in FINAL_STATES

    def find_tasks(self, task: TaskKey) -> StepTasks | None:
        """Return the state of a task's step; None if the job has no such task."""
        if not 0 <= task.occurrence < self.job.occurrences:
            return None
        if not 0 <= task.step < len(self.job.steps):
            return None
        if not 0 <= task.index < self.job.steps[task.step].count:
            return None
        return self._open_step((task.occurrence, task.step))

    def is_done(self, task: TaskKey) -> bool:
        """Return whether a task is done; a long-running one never is."""
        step_tasks = self.find_tasks(task)
        return step_tasks is not None and task.index in step_tasks.done

    def startable_steps(self, now_ms: float) -> list[tuple[StepKey, StepTasks]]:
        """Return the steps with waiting tasks that may start.

        Their occurrence is due, and the steps that they depend on are done. Of very
        many occurrences that are due, the later ones are left out; see
        ``unopened_occurrences``. ``now_ms`` is Unix time.
        """
        if self.is_final:
            return []
        startable = [
            (step_key, step_tasks)
            for step_key, step_tasks in self._open_tasks_by_step.items()
            if self._is_startable(step_key, step_tasks, now_ms)
        ]
        unstarted = sum(step_tasks.is_unstarted for _, step_tasks in startable)
        while unstarted < MAX_UNSTARTED_STEPS and self.unopened_occurrences(now_ms):
            opened = self._open_occurrence(self._next_occurrence)
            self._next_occurrence += 1
            unstarted += len(opened)
            startable += opened
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
        self.tasks_by_step[task.occurrence, task.step].waiting.remove(task.index)
        return self.next_run()

    def next_run(self) -> int:
        """Return a run number that no task of the job has used, and mark it as used."""
        self.highest_run += 1
        return self.highest_run

    def note_run(self, run: int) -> None:
        """Ensure that new run numbers are higher than ``run``, reported by a worker."""
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
            step_tasks.checkpoint_by_index[task.index] = checkpoint
        step_tasks.waiting.put_back(task.index)

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
            step_tasks.checkpoint_by_index[task.index] = checkpoint
        if kind is EndKind.FAILED and not step_tasks.step.long_running:
            return self._note_failed(task, run, step_tasks)
        return bool(checkpoint)

    def cancel(self) -> None:
        """Cancel the job unless it has ended."""
        if not self.is_final:
            self.state = JobState.CANCELLED

    def progress(self, *, with_checkpoints: bool = True) -> JobProgress:
        """Return the progress record from which another leader can continue."""
        return JobProgress(
            self.state,
            self.highest_run,
            tuple(
                _step_progress(step_key, step_tasks, with_checkpoints)
                for step_key, step_tasks in self.tasks_by_step.items()
                if step_tasks.done
                or step_tasks.failures_by_index
                or step_tasks.checkpoint_by_index
            ),
            self.finished_ms,
        )

    def _note_done(self, task: TaskKey, step_tasks: StepTasks) -> None:
        # All tasks of a gang count as done as soon as one of them is done.
        indexes = (
            range(step_tasks.step.count) if step_tasks.step.gang else (task.index,)
        )
        for index in indexes:
            step_tasks.done.add(index)
            step_tasks.checkpoint_by_index.pop(index, None)
            step_tasks.waiting.remove(index)
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
        limit = self.max_attempts
        if limit is not None and failures.count >= limit and not self.is_final:
            self.state = JobState.FAILED
        return True

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
        for index in step.after:
            predecessor = self.tasks_by_step.get((occurrence, index))
            if predecessor is None or not predecessor.is_done:
                return False
        return True

    def _open_occurrence(self, occurrence: int) -> list[tuple[StepKey, StepTasks]]:
        """Build the state of the steps of an occurrence that depend on no others.

        Returns those of them that have waiting tasks.
        """
        opened = []
        for index, step in enumerate(self.job.steps):
            step_key = (occurrence, index)
            is_known = step_key in self.tasks_by_step
            if step.after or is_known:
                continue
            opened.append((step_key, self._open_step(step_key)))
        return opened

    def _open_step(self, step_key: StepKey) -> StepTasks:
        """Return the state of a step, built if there is none yet."""
        step_tasks = self.tasks_by_step.get(step_key)
        if step_tasks is None:
            step_tasks = StepTasks(self.job.steps[step_key[1]])
            self.tasks_by_step[step_key] = step_tasks
            self._open_tasks_by_step[step_key] = step_tasks
        return step_tasks

    def _close_step(self, step_key: StepKey) -> None:
        """Open the steps that have waited only for this one, or complete the job."""
        self._open_tasks_by_step.pop(step_key, None)
        occurrence, done_index = step_key
        for index, step in enumerate(self.job.steps):
            if done_index not in step.after:
                continue
            if self._are_predecessors_done(occurrence, step):
                self._open_step((occurrence, index))
        done_steps = len(self.tasks_by_step) - len(self._open_tasks_by_step)
        total_steps = self.job.occurrences * len(self.job.steps)
        if done_steps == total_steps and not self.is_final:
            self.state = JobState.COMPLETED

    def _restore(self, progress: JobProgress) -> None:
        self.state = progress.state
        self.highest_run = progress.highest_run
        self.finished_ms = progress.finished_ms
        self.has_begun = progress.state is not JobState.QUEUED
        for saved in progress.steps:
            self._restore_step(saved)

    def _restore_step(self, saved: StepProgress) -> None:
        is_of_job = saved.occurrence < self.job.occurrences
        if not is_of_job or saved.step >= len(self.job.steps):
            return
        step_key = (saved.occurrence, saved.step)
        step_tasks = StepTasks(
            self.job.steps[saved.step],
            TaskSet(saved.done),
            {f.index: f for f in saved.failures},
            {c.index: c.checkpoint for c in saved.checkpoints},
        )
        self.tasks_by_step[step_key] = step_tasks
        self._open_tasks_by_step[step_key] = step_tasks
        if step_tasks.is_done:
            self._close_step(step_key)


def _chain_ms_by_step(steps: Sequence[Step]) -> list[float]:
    """Return the duration of the longest chain that begins with each of the steps.

    A step depends only on earlier ones; other dependencies are ignored.
    """
    chain_ms_by_step = [float(step.estimated_ms) for step in steps]
    for index in reversed(range(len(steps))):
        for predecessor in steps[index].after:
            if predecessor >= index:
                continue
            chain_ms_by_step[predecessor] = max(
                chain_ms_by_step[predecessor],
                steps[predecessor].estimated_ms + chain_ms_by_step[index],
            )
    return chain_ms_by_step


def _step_progress(
    step_key: StepKey, step_tasks: StepTasks, with_checkpoints: bool
) -> StepProgress:
    checkpoint_by_index = step_tasks.checkpoint_by_index if with_checkpoints else {}
    return StepProgress(
        step_key[0],
        step_key[1],
        step_tasks.done.to_bytes(step_tasks.step.count),
        tuple(step_tasks.failures_by_index.values()),
        tuple(TaskCheckpoint(i, c) for i, c in checkpoint_by_index.items()),
    )
