"""Scheduling state of a job that has not ended."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from .model import FINAL_STATES, EndKind, Job, JobState, Step, TaskKey
from .records import JobProgress, StepProgress, TaskCheckpoint, TaskFailures

# Occurrence, and index of the step within the job.
StepKey = tuple[int, int]


@dataclass(slots=True)
class StepTasks:
    """Scheduling state of the tasks of one occurrence of a step."""

    step: Step
    done: set[int] = field(default_factory=set)
    # Indexes of the tasks that are neither done nor have a run, in starting order.
    waiting: list[int] = field(default_factory=list)
    failures_by_index: dict[int, TaskFailures] = field(default_factory=dict)
    checkpoint_by_index: dict[int, str] = field(default_factory=dict)

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return len(self.done) >= self.step.count


class ActiveJob:
    """Tracks the tasks of a job: waiting, done, failures and checkpoints.

    The leader keeps one for each job that has not ended, built from the job's
    progress record if there is one.
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
        self.tasks_by_step: dict[StepKey, StepTasks] = {
            (occurrence, index): StepTasks(step, waiting=list(range(step.count)))
            for occurrence in range(job.occurrences)
            for index, step in enumerate(job.steps)
        }
        if progress is not None:
            self._restore(progress)

    @property
    def is_final(self) -> bool:
        """Return whether the job has reached a final state."""
        return self.state in FINAL_STATES

    def startable_steps(self, now_ms: float) -> Iterator[tuple[StepKey, StepTasks]]:
        """Yield the steps with waiting tasks that may start.

        Their occurrence is due, and the steps that they depend on are done. ``now_ms``
        is Unix time.
        """
        if self.is_final:
            return
        for step_key, step_tasks in self.tasks_by_step.items():
            if not step_tasks.waiting:
                continue
            occurrence = step_key[0]
            if self.job.due_ms(occurrence) > now_ms:
                continue
            if self._predecessors_done(occurrence, step_tasks.step):
                yield step_key, step_tasks

    def remaining_chain_ms(self, step_key: StepKey) -> float:
        """Return the estimated time from the start of a step to the end of the job."""
        return self._chain_ms_by_step[step_key[1]]

    def chain_ms(self) -> float:
        """Return the estimated duration of the longest chain of dependent steps."""
        return max(self._chain_ms_by_step, default=0.0)

    def take(self, task: TaskKey) -> int:
        """Remove a task from the waiting tasks and return the number of its new run."""
        step_tasks = self.tasks_by_step[task.occurrence, task.step]
        step_tasks.waiting.remove(task.index)
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
        step_tasks = self.tasks_by_step.get((task.occurrence, task.step))
        if (
            step_tasks is None
            or task.index in step_tasks.done
            or task.index in step_tasks.waiting
        ):
            return
        if checkpoint:
            step_tasks.checkpoint_by_index[task.index] = checkpoint
        step_tasks.waiting.insert(0, task.index)

    def note_end(self, task: TaskKey, run: int, kind: EndKind, checkpoint: str) -> bool:
        """Record the end of a run; return whether the progress must be written.

        Ends of long-running tasks change only their checkpoints.
        """
        step_tasks = self.tasks_by_step.get((task.occurrence, task.step))
        if step_tasks is None or task.index in step_tasks.done:
            return False
        if checkpoint and kind is not EndKind.DONE:
            step_tasks.checkpoint_by_index[task.index] = checkpoint
        if kind is EndKind.DONE and not step_tasks.step.long_running:
            self._note_done(task, step_tasks)
            return True
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
            if index in step_tasks.waiting:
                step_tasks.waiting.remove(index)
        if not self.is_final and all(
            tasks.is_done for tasks in self.tasks_by_step.values()
        ):
            self.state = JobState.COMPLETED

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

    def _predecessors_done(self, occurrence: int, step: Step) -> bool:
        return all(
            self.tasks_by_step[occurrence, index].is_done for index in step.after
        )

    def _restore(self, progress: JobProgress) -> None:
        self.state = progress.state
        self.highest_run = progress.highest_run
        self.finished_ms = progress.finished_ms
        self.has_begun = progress.state is not JobState.QUEUED
        for saved in progress.steps:
            step_tasks = self.tasks_by_step.get((saved.occurrence, saved.step))
            if step_tasks is None:
                continue
            step_tasks.done = _bit_positions(saved.done)
            step_tasks.waiting = [
                i for i in step_tasks.waiting if i not in step_tasks.done
            ]
            step_tasks.failures_by_index = {f.index: f for f in saved.failures}
            step_tasks.checkpoint_by_index = {
                c.index: c.checkpoint for c in saved.checkpoints
            }


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
    bits = bytearray((step_tasks.step.count + 7) // 8)
    for index in step_tasks.done:
        bits[index // 8] |= 1 << index % 8
    checkpoint_by_index = step_tasks.checkpoint_by_index if with_checkpoints else {}
    return StepProgress(
        step_key[0],
        step_key[1],
        bytes(bits),
        tuple(step_tasks.failures_by_index.values()),
        tuple(TaskCheckpoint(i, c) for i, c in checkpoint_by_index.items()),
    )


def _bit_positions(bits: bytes) -> set[int]:
    return {
        byte_index * 8 + bit
        for byte_index, byte in enumerate(bits)
        for bit in range(8)
        if byte >> bit & 1
    }
