"""Scheduling state of one step of a job."""

from __future__ import annotations

import copy
from dataclasses import dataclass, field

from .model import Step
from .records import TaskFailures
from .task_sets import TaskSet, WaitingTasks


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

    def copied(self) -> StepTasks:
        """Return a copy with its own waiting tasks; it shares the rest."""
        copied = copy.copy(self)
        copied.waiting = self.waiting.copied()
        return copied

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return len(self.done) >= self.step.count

    @property
    def is_unstarted(self) -> bool:
        """Return whether all tasks wait."""
        return len(self.waiting) >= self.step.count
