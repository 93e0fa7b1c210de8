"""A virtual clock and fake workers that run tasks on its time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import NO_RESOURCES, Resources


class VirtualClock:
    """Calls scheduled functions in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def call_at(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a function call at a time in seconds."""
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, call))

    def run(self, until: float) -> None:
        """Advance to a time and make all calls that are due by then."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until


@dataclass(frozen=True, slots=True)
class TaskBehaviour:
    """The actual size and run time of a task, whatever its caller declared."""

    size: Resources
    run_s: float
    crashes: bool = False


@dataclass(slots=True, eq=False)
class _RunningTask:
    task_id: str
    behaviour: TaskBehaviour
    reserved: Resources
    remaining_s: float
    started_at: float
    on_end: Callable[[bool], None]


@dataclass(slots=True, eq=False)
class _FakeWorker:
    size: Resources
    reserved: Resources = NO_RESOURCES
    runs: dict[str, _RunningTask] = field(default_factory=dict)
    speed: float = 1.0
    updated_at: float = 0.0
    # Scheduled ends of an older version are ignored.
    event_version: int = 0
    fails_all_tasks: bool = False


# Run time of a task that crashes or that its worker fails.
CRASH_AFTER_S = 0.2


class FakeWorkers:
    """Workers that share their processors and kill tasks that exceed their memory.

    A start is refused if the reserved sizes would exceed the worker. If the
    actual sizes exceed its processors, all its tasks slow down equally; if they
    exceed its memory, the newest task is killed.
    """

    def __init__(self, config: FleetConfig, clock: VirtualClock) -> None:
        self._clock = clock
        self.refusals = 0
        self.killed = 0
        self._worker_by_id = {
            name: _FakeWorker(instance.size)
            for name, instance in config.instance_by_id.items()
        }

    def fail_all_tasks(self, worker_id: str) -> None:
        """Make a worker fail each task shortly after it started."""
        self._worker_by_id[worker_id].fails_all_tasks = True

    def free(self, worker_id: str) -> Resources:
        """Return the free resources that a worker reports."""
        worker = self._worker_by_id[worker_id]
        return worker.size - worker.reserved

    def start(
        self,
        worker_id: str,
        task_id: str,
        behaviour: TaskBehaviour,
        reserved: Resources,
        on_end: Callable[[bool], None],
    ) -> bool:
        """Start a task if its reserved size fits; return whether it was started.

        ``on_end`` is called at its end with True if it succeeded.
        """
        worker = self._worker_by_id[worker_id]
        if not reserved.fits_in(worker.size - worker.reserved):
            self.refusals += 1
            return False
        self._advance(worker)
        run_s = behaviour.run_s
        if behaviour.crashes or worker.fails_all_tasks:
            run_s = min(run_s, CRASH_AFTER_S)
        now = self._clock.now
        worker.runs[task_id] = _RunningTask(
            task_id, behaviour, reserved, run_s, now, on_end
        )
        worker.reserved = worker.reserved + reserved
        memory_mb = sum(run.behaviour.size.memory_mb for run in worker.runs.values())
        if memory_mb > worker.size.memory_mb:
            self.killed += 1
            # The task is killed once it has filled its memory.
            worker.runs[task_id].remaining_s = min(run_s, CRASH_AFTER_S)
            worker.runs[task_id].behaviour = TaskBehaviour(
                NO_RESOURCES, run_s, crashes=True
            )
        self._schedule_next_end(worker)
        return True

    def _advance(self, worker: _FakeWorker) -> None:
        done_s = (self._clock.now - worker.updated_at) * worker.speed
        worker.updated_at = self._clock.now
        for run in worker.runs.values():
            run.remaining_s -= done_s

    def _schedule_next_end(self, worker: _FakeWorker) -> None:
        cores = sum(run.behaviour.size.cores for run in worker.runs.values())
        worker.speed = min(1.0, worker.size.cores / cores) if cores else 1.0
        worker.event_version += 1
        if not worker.runs:
            return
        first = min(worker.runs.values(), key=lambda run: run.remaining_s)
        event_version = worker.event_version
        end = self._clock.now + max(0.0, first.remaining_s) / worker.speed
        self._clock.call_at(end, lambda: self._end(worker, first, event_version))

    def _end(self, worker: _FakeWorker, run: _RunningTask, event_version: int) -> None:
        if event_version != worker.event_version:
            return
        self._advance(worker)
        del worker.runs[run.task_id]
        worker.reserved = worker.reserved - run.reserved
        if not worker.runs:
            worker.reserved = NO_RESOURCES
        self._schedule_next_end(worker)
        run.on_end(not run.behaviour.crashes and not worker.fails_all_tasks)

    def stop(self, worker_id: str, task_id: str) -> float | None:
        """Stop a task; return its remaining run time, or None if it does not run."""
        worker = self._worker_by_id[worker_id]
        run = worker.runs.get(task_id)
        if run is None:
            return None
        self._advance(worker)
        del worker.runs[task_id]
        worker.reserved = worker.reserved - run.reserved
        self._schedule_next_end(worker)
        return max(0.01, run.remaining_s)
