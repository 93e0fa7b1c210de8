"""A virtual clock and workers that run tasks in it."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import NO_RESOURCES, Resources


class VirtualClock:
    """Calls functions in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Call a function at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, call))

    def run(self, until: float) -> None:
        """Advance to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until


@dataclass(frozen=True, slots=True)
class Job:
    """What a task really is, as opposed to what its caller declared."""

    size: Resources
    run_s: float
    crashes: bool = False


@dataclass(slots=True, eq=False)
class _Run:
    task_id: str
    job: Job
    reserved: Resources
    left_s: float
    started_at: float
    ended: Callable[[bool], None]


@dataclass(slots=True, eq=False)
class _FakeWorker:
    size: Resources
    reserved: Resources = NO_RESOURCES
    runs: dict[str, _Run] = field(default_factory=dict)
    speed: float = 1.0
    updated_at: float = 0.0
    plan: int = 0
    fails_everything: bool = False


# A task that crashes, or runs on a worker that fails everything, ends then.
CRASH_AFTER_S = 0.2


class FakeWorkers:
    """Workers that share their processors and kill what overfills memory.

    A start is refused if the reserved sizes would exceed the worker. If the
    real sizes exceed its processors, all its tasks slow down equally; if they
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

    def fail_everything(self, worker_id: str) -> None:
        """Make a worker fail each task shortly after it started."""
        self._worker_by_id[worker_id].fails_everything = True

    def free(self, worker_id: str) -> Resources:
        """Return what the worker reports as free."""
        worker = self._worker_by_id[worker_id]
        return worker.size - worker.reserved

    def start(
        self,
        worker_id: str,
        task_id: str,
        job: Job,
        reserved: Resources,
        ended: Callable[[bool], None],
    ) -> bool:
        """Start a task unless there is no room; ``ended`` hears of its end."""
        worker = self._worker_by_id[worker_id]
        if not reserved.fits_in(worker.size - worker.reserved):
            self.refusals += 1
            return False
        self._advance(worker)
        run_s = job.run_s
        if job.crashes or worker.fails_everything:
            run_s = min(run_s, CRASH_AFTER_S)
        now = self._clock.now
        worker.runs[task_id] = _Run(task_id, job, reserved, run_s, now, ended)
        worker.reserved = worker.reserved + reserved
        memory_mb = sum(run.job.size.memory_mb for run in worker.runs.values())
        if memory_mb > worker.size.memory_mb:
            self.killed += 1
            # The kill is seen after the task has filled its memory.
            worker.runs[task_id].left_s = min(run_s, CRASH_AFTER_S)
            worker.runs[task_id].job = Job(NO_RESOURCES, run_s, crashes=True)
        self._plan(worker)
        return True

    def _advance(self, worker: _FakeWorker) -> None:
        done_s = (self._clock.now - worker.updated_at) * worker.speed
        worker.updated_at = self._clock.now
        for run in worker.runs.values():
            run.left_s -= done_s

    def _plan(self, worker: _FakeWorker) -> None:
        cores = sum(run.job.size.cores for run in worker.runs.values())
        worker.speed = min(1.0, worker.size.cores / cores) if cores else 1.0
        worker.plan += 1
        if not worker.runs:
            return
        first = min(worker.runs.values(), key=lambda run: run.left_s)
        plan = worker.plan
        end = self._clock.now + max(0.0, first.left_s) / worker.speed
        self._clock.at(end, lambda: self._end(worker, first, plan))

    def _end(self, worker: _FakeWorker, run: _Run, plan: int) -> None:
        if plan != worker.plan:
            return
        self._advance(worker)
        del worker.runs[run.task_id]
        worker.reserved = worker.reserved - run.reserved
        if not worker.runs:
            worker.reserved = NO_RESOURCES
        self._plan(worker)
        run.ended(not run.job.crashes and not worker.fails_everything)

    def stop(self, worker_id: str, task_id: str) -> float | None:
        """Checkpoint a task; return the run time that is left, if it runs."""
        worker = self._worker_by_id[worker_id]
        run = worker.runs.get(task_id)
        if run is None:
            return None
        self._advance(worker)
        del worker.runs[task_id]
        worker.reserved = worker.reserved - run.reserved
        self._plan(worker)
        return max(0.01, run.left_s)
