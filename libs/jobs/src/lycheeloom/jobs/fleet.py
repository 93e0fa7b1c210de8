"""The leader's view of the workers and the runs on them."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import Enum

from lycheeloom.model.resources import NO_RESOURCES, Resources

from .model import Step, TaskKey, Worker

# No tasks start on a worker for this long after ``MIN_CONSECUTIVE_FAILURES`` of its
# runs failed in a row; the time doubles with each further failure. A single failure is
# ignored, as it is as likely to be caused by the task itself.
FAILURE_BACKOFF_S = 1.0
MIN_CONSECUTIVE_FAILURES = 2
MAX_FAILURE_BACKOFF_S = 8.0


class RunState(Enum):
    """The leader's knowledge of a run."""

    # The start order is being sent or has not been answered yet.
    STARTING = "starting"
    RUNNING = "running"
    # The start order was not answered; the next list shows whether the run exists.
    UNSURE = "unsure"
    # A stop order is being sent, or the run has not yet disappeared from the lists.
    # The start of the run may have failed.
    STOPPING = "stopping"


@dataclass(slots=True)
class Run:
    """One run of a task on a worker."""

    task: TaskKey
    # Run number; later runs of a task have higher numbers.
    run: int
    worker_id: str
    step: Step
    organisation: str
    queue: str
    state: RunState
    started_s: float
    checkpoint: str = ""
    percent: int = 0
    # When ``percent`` last changed, or last was 100, or the run started.
    progress_changed_s: float = 0.0
    # Tail latency in ms for a task with a latency target, otherwise cores in use.
    latency_or_cores: float = 0.0
    # Percentage of its full speed to which a filling task is limited.
    pace_percent: int = 100
    # Why the leader stopped the run; empty if it did not.
    stop_reason: str = ""
    # The run no longer exists if a list that was requested after this time lacks it.
    gone_if_unlisted_after_s: float = math.inf
    # A list of the worker's current incarnation has contained the run.
    is_listed: bool = False
    # When the caller gave up waiting for the answer to the start; None if it got one.
    unanswered_s: float | None = None
    # An earlier leader has started the run; ``started_s`` is when this one adopted it.
    is_adopted: bool = False


@dataclass(slots=True)
class WorkerState:
    """A worker with its runs, reserved resources and recent failures."""

    worker: Worker
    run_by_task: dict[TaskKey, Run] = field(default_factory=dict)
    # Reserved by the runs and, during a planning round, by the starts planned so far.
    used: Resources = NO_RESOURCES
    # No task starts on the worker before this time.
    backoff_until_s: float = 0.0
    consecutive_failures: int = 0
    # This leader has received the run lists of the worker and the worker responds.
    has_current_lists: bool = False
    # The worker responds, but has ended runs that it has not listed yet.
    has_unlisted_ends: bool = False
    # The worker has restarted, and ``worker`` still describes its former incarnation,
    # which may have been of another kind.
    awaits_description: bool = False
    # The worker gets no new tasks because maintenance or a move is planned.
    is_cordoned: bool = False
    # Tasks prefer other workers; set by ``WorkerRatings``, as are the next two.
    is_badly_rated: bool = False
    # The worker gets a task only while it has no other, long-running ones apart.
    takes_one_task: bool = False
    # Lists are requested more often, since the runs may have stalled.
    is_watched: bool = False
    # Tasks planned for the worker so far in a planning round.
    planned_tasks: int = 0

    @property
    def has_task(self) -> bool:
        """Return whether the worker has a task that is not long-running."""
        return bool(self.planned_tasks) or any(
            not run.step.long_running for run in self.run_by_task.values()
        )

    @property
    def free(self) -> Resources:
        """Return the resources available to new tasks."""
        return self.worker.capacity - self.used

    @property
    def needs_frequent_polls(self) -> bool:
        """Return whether a run on the worker must be followed closely."""
        return self.is_watched or any(
            run.state in (RunState.STOPPING, RunState.UNSURE) or run.step.target_ms
            for run in self.run_by_task.values()
        )

    @property
    def long_running_need(self) -> Resources:
        """Return the resources reserved by long-running tasks."""
        return sum(
            (
                r.step.reservation
                for r in self.run_by_task.values()
                if r.step.long_running
            ),
            NO_RESOURCES,
        )


class Fleet:
    """All workers and runs, and the resources used by each organisation."""

    def __init__(self) -> None:
        self.state_by_id: dict[str, WorkerState] = {}
        # Resources that count towards the upper limit of an organisation.
        self.used_by_organisation: dict[str, Resources] = defaultdict(Resources)
        self.runs_by_task: dict[TaskKey, list[Run]] = defaultdict(list)

    def copied(self) -> Fleet:
        """Return a copy whose workers and use can change; it shares the runs."""
        copied = Fleet()
        copied.state_by_id = {
            worker_id: replace(state, run_by_task=state.run_by_task.copy())
            for worker_id, state in self.state_by_id.items()
        }
        copied.used_by_organisation = self.used_by_organisation.copy()
        for task, runs in self.runs_by_task.items():
            copied.runs_by_task[task] = runs.copy()
        return copied

    def add_worker(self, worker: Worker) -> WorkerState:
        """Add a worker, or update the description of a known one."""
        state = self.state_by_id.get(worker.worker_id)
        if state is None:
            state = self.state_by_id[worker.worker_id] = WorkerState(worker)
        state.worker = worker
        return state

    def remove_worker(self, worker_id: str) -> list[Run]:
        """Remove a worker that has ended; return the runs it had."""
        state = self.state_by_id.get(worker_id)
        if state is None:
            return []
        runs = list(state.run_by_task.values())
        for run in runs:
            self.remove_run(run)
        del self.state_by_id[worker_id]
        return runs

    def add_run(self, run: Run) -> None:
        """Add a run and count its resources for its worker and organisation."""
        state = self.state_by_id[run.worker_id]
        state.run_by_task[run.task] = run
        state.used = state.used + run.step.reservation
        used = self.used_by_organisation[run.organisation]
        self.used_by_organisation[run.organisation] = used + run.step.limit_use
        self.runs_by_task[run.task].append(run)

    def remove_run(self, run: Run) -> None:
        """Remove a run and release its resources."""
        state = self.state_by_id.get(run.worker_id)
        if state is None or state.run_by_task.get(run.task) is not run:
            return
        del state.run_by_task[run.task]
        # Without runs, no rounding errors of the sum remain.
        state.used = (
            state.used - run.step.reservation if state.run_by_task else NO_RESOURCES
        )
        used = self.used_by_organisation[run.organisation]
        self.used_by_organisation[run.organisation] = used - run.step.limit_use
        runs = self.runs_by_task[run.task]
        runs.remove(run)
        if not runs:
            del self.runs_by_task[run.task]

    def find_run(self, worker_id: str, task: TaskKey, run_number: int) -> Run | None:
        """Return the run of a task on a worker if it has this run number."""
        state = self.state_by_id.get(worker_id)
        run = state.run_by_task.get(task) if state else None
        return run if run is not None and run.run == run_number else None

    def runs_of_job(self, job_id: str) -> list[Run]:
        """Return all runs of a job."""
        return [
            run
            for task, runs in self.runs_by_task.items()
            if task.job_id == job_id
            for run in runs
        ]

    def note_outcome(self, worker_id: str, succeeded: bool, now_s: float) -> None:
        """Count a run of a worker as a success or failure.

        After several failures in a row, no tasks start on the worker for a time that
        grows with each further failure.
        """
        state = self.state_by_id.get(worker_id)
        if state is None:
            return
        if succeeded:
            state.consecutive_failures = 0
            return
        state.consecutive_failures += 1
        if state.consecutive_failures < MIN_CONSECUTIVE_FAILURES:
            return
        backoff_s = FAILURE_BACKOFF_S * 2 ** (
            state.consecutive_failures - MIN_CONSECUTIVE_FAILURES
        )
        state.backoff_until_s = max(
            state.backoff_until_s, now_s + min(backoff_s, MAX_FAILURE_BACKOFF_S)
        )
