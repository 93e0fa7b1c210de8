"""Numbers all tasks of a job, for sets and records that cover many steps."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from itertools import accumulate

from .model import Job, TaskKey

# Occurrence, and index of the step within the job.
StepKey = tuple[int, int]


class TaskNumbering:
    """Positions of the tasks of a job: by occurrence, then by step, then by index.

    Example: in a job of two steps with 3 and 2 tasks, task 1 of the second step of the
    first occurrence has position 4, and the second occurrence begins at position 5.
    """

    def __init__(self, job: Job) -> None:
        self._counts = [step.count for step in job.steps]
        self._occurrences = job.occurrences
        # Position of the first task of each step within its occurrence.
        self._offsets = [0, *accumulate(self._counts)]
        self.tasks_per_occurrence = self._offsets.pop()

    @property
    def total(self) -> int:
        """Return the number of tasks in all occurrences."""
        return self.tasks_per_occurrence * self._occurrences

    def first_position(self, step_key: StepKey) -> int:
        """Return the position of a step's first task; the others follow."""
        occurrence, index = step_key
        return occurrence * self.tasks_per_occurrence + self._offsets[index]

    def position(self, task: TaskKey) -> int | None:
        """Return the position of a task; None if the job has no such task."""
        if not 0 <= task.occurrence < self._occurrences:
            return None
        if not 0 <= task.step < len(self._counts):
            return None
        if not 0 <= task.index < self._counts[task.step]:
            return None
        return self.first_position((task.occurrence, task.step)) + task.index

    def locate(self, position: int) -> tuple[StepKey, int]:
        """Return the step of the task at a position, and its index within the step."""
        occurrence, offset = divmod(position, self.tasks_per_occurrence)
        step = bisect_right(self._offsets, offset) - 1
        return (occurrence, step), offset - self._offsets[step]

    def step_keys(self) -> Iterator[StepKey]:
        """Yield all steps of all occurrences."""
        for occurrence in range(self._occurrences):
            for index in range(len(self._counts)):
                yield occurrence, index
