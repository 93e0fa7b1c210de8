"""Workers in memory that end their runs when their leases expire."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.ports import (
    CallOutcome,
    CallReply,
    Renewal,
    TaskLists,
)
from lycheeloom.jobs.model import EndedTask, EndKind, RunningTask, TaskKey, Worker
from lycheeloom.jobs.planner import Start

# Longer leases are shortened to this duration.
MAX_LEASE_MS = 10_000
# Far fewer than a real worker lists at a time, as the jobs of the tests are small.
MAX_LISTED_ENDS = 2
# Duration of a stop.
STOP_DURATION_S = 0.1
# Run number and worker id of a run.
RunOnWorker = tuple[int, str]


@dataclass(slots=True)
class _DoneEnd:
    """A run that has ended ``done`` and that its worker has not forgotten."""

    task: TaskKey
    # Position of the end in the order of all starts and ends.
    position: int


class RunMonitor:
    """Checks that runs stay exclusive, from what the workers carry out.

    A task must not have two runs on workers that are up. It must not start after a run
    has ended ``done`` if that end has been or will be acknowledged, unless the lease of
    its worker lapses between the end and the acknowledgement. ``violations`` describes
    each violation so far.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        # What the workers have carried out, for the message of a failed test.
        self.history: list[str] = []
        self.runs_by_task: dict[TaskKey, list[RunOnWorker]] = defaultdict(list)
        # Tasks with a run that has ended ``done``, whether acknowledged or not.
        self.done_tasks: set[TaskKey] = set()
        self._positions = itertools.count()
        self._last_start_by_task: dict[TaskKey, int] = {}
        # Tasks with an end ``done`` that was acknowledged before the lease lapsed.
        self._acknowledged_tasks: set[TaskKey] = set()
        # Ends that are not acknowledged, by worker id and number of the end.
        self._open_ends: dict[str, dict[int, _DoneEnd]] = defaultdict(dict)

    def note(self, text: str) -> None:
        """Add a line to the history."""
        self.history.append(f"{steady_s():9.3f} {text}")

    def note_start(self, worker_id: str, task: TaskKey, run: int, token: int) -> None:
        """Check a start."""
        self.note(f"{worker_id} starts {task} run {run} by the order of token {token}")
        if others := self.runs_by_task[task]:
            self._add_violation(f"{task} run {run} on {worker_id} beside {others}")
        if task in self._acknowledged_tasks:
            self._add_violation(f"{task} run {run} starts after an acknowledged end")
        self.runs_by_task[task].append((run, worker_id))
        self._last_start_by_task[task] = next(self._positions)

    def note_end(self, worker_id: str, end: EndedTask) -> None:
        """Note the end of a run."""
        self.note(f"{worker_id} ends {end.task} run {end.run}: {end.kind.value}")
        self.runs_by_task[end.task].remove((end.run, worker_id))
        if end.kind is EndKind.DONE:
            self.done_tasks.add(end.task)
            done_end = _DoneEnd(end.task, next(self._positions))
            self._open_ends[worker_id][end.number] = done_end

    def note_acknowledged(self, worker_id: str, acknowledged_end: int) -> None:
        """Check that no task with an acknowledged end has started after that end."""
        open_ends = self._open_ends[worker_id]
        for number in [number for number in open_ends if number <= acknowledged_end]:
            end = open_ends.pop(number)
            self.note(f"{worker_id} forgets the end of {end.task}")
            self._acknowledged_tasks.add(end.task)
            if self._last_start_by_task[end.task] > end.position:
                self._add_violation(
                    f"{end.task} was started after its end on {worker_id}"
                )

    def note_lapse(self, worker_id: str) -> None:
        """Note that a worker's lease has lapsed; its earlier ends count no longer."""
        self.note(f"{worker_id} lapses")
        self._open_ends[worker_id].clear()

    def note_restart(self, worker_id: str) -> None:
        """Note that a worker has lost its runs and ends."""
        self.note(f"{worker_id} restarts")
        self._open_ends[worker_id].clear()
        for runs in self.runs_by_task.values():
            runs[:] = [run for run in runs if run[1] != worker_id]

    def _add_violation(self, text: str) -> None:
        self.note(f"VIOLATION {text}")
        self.violations.append(text)


@dataclass(frozen=True, slots=True)
class Workload:
    """How the runs of a job go: their duration and how many fail before one is done.

    Runs without a duration end only when they are stopped. The first ``stalls`` runs
    make no progress and end only then, too.
    """

    run_s: float | None
    failures: int = 0
    stalls: int = 0


@dataclass(slots=True)
class _LeasedRun:
    start: Start
    started_s: float
    run_s: float | None
    is_stopping: bool = False

    @property
    def percent(self) -> int:
        if self.run_s is None:
            return 100
        return int(99 * min(1.0, (steady_s() - self.started_s) / self.run_s))


@dataclass
class LeasedWorker:
    """One worker with the lease of its runs, by its own clock.

    ``clock_rate`` is the speed of that clock. A restart keeps the id and loses
    everything else; the clock starts anew. ``workload_by_job`` is shared by all
    workers.
    """

    worker: Worker
    monitor: RunMonitor
    workload_by_job: dict[str, Workload]
    clock_rate: float = 1.0
    is_up: bool = True
    # Without power, a worker that is not up does not even refuse connections.
    has_power: bool = True
    # The former incarnation has lost its power.
    has_lost_power: bool = False
    # Highest fencing token of a call to this incarnation.
    token: int = 0
    # When this incarnation started; the first one has been up for long.
    started_s: float = 0.0
    # End of the lease by the worker's clock.
    deadline_ms: float = 0.0
    run_by_task_and_number: dict[tuple[TaskKey, int], _LeasedRun] = field(
        default_factory=dict
    )
    ends: list[EndedTask] = field(default_factory=list)
    end_count: int = 0
    # Highest run number of each task that was stopped or has ended.
    closed_run_by_task: dict[TaskKey, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    _lease_timer: gevent.Greenlet | None = None
    # Set when a run ends or the worker restarts.
    _changed: Event = field(default_factory=Event)

    @property
    def worker_id(self) -> str:
        """Return the id, which all incarnations share."""
        return self.worker.worker_id

    @property
    def clock_ms(self) -> float:
        """Return the time by the worker's clock."""
        return (steady_s() - self.started_s) * 1000 * self.clock_rate

    def start(self, start: Start, token: int, deadline_ms: int) -> CallReply:
        """Start a run, unless it is outdated or does not fit."""
        if not self._accepts(token):
            return self._reply(CallOutcome.FENCED)
        if deadline_ms < self.clock_ms:
            return self._reply(CallOutcome.LATE)
        self._extend_lease(deadline_ms)
        key = (start.task, start.run)
        if key in self.run_by_task_and_number:
            return self._reply(CallOutcome.DONE)
        if start.run <= self.closed_run_by_task[start.task]:
            return self._reply(CallOutcome.OLD_RUN)
        if not self._has_room(start):
            return self._reply(CallOutcome.NO_ROOM)
        workload = self.workload_by_job[start.task.job_id]
        is_stalling = start.run <= workload.stalls
        run_s = math.inf if is_stalling else workload.run_s
        run = _LeasedRun(start, steady_s(), run_s)
        self.run_by_task_and_number[key] = run
        self.monitor.note_start(self.worker_id, start.task, start.run, token)
        if run.run_s is not None and not is_stalling:
            # The first runs of a job fail.
            is_failing = start.run <= workload.failures
            kind = EndKind.FAILED if is_failing else EndKind.DONE
            gevent.spawn_later(run.run_s, self._end, run, kind)
        return self._reply(CallOutcome.DONE)

    def stop(self, task: TaskKey, run_number: int, token: int) -> CallReply:
        """Stop a run; if its start comes later, it is rejected."""
        if not self._accepts(token):
            return self._reply(CallOutcome.FENCED)
        self.closed_run_by_task[task] = max(self.closed_run_by_task[task], run_number)
        run = self.run_by_task_and_number.get((task, run_number))
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            gevent.spawn_later(STOP_DURATION_S, self._end, run, EndKind.STOPPED)
        return self._reply(CallOutcome.DONE)

    def renew_and_list(
        self, token: int, renewal: Renewal | None, wait_ms: int
    ) -> TaskLists | CallReply | None:
        """Renew the lease and list the runs; None if the worker restarts meanwhile.

        All connections end with the incarnation. A renewal over a former one can only
        come late; its acknowledgement has no effect, and nobody gets the answer.
        """
        connection_id = self.worker.started_ms
        if not self._accepts(token):
            return self._reply(CallOutcome.FENCED)
        if renewal is not None and renewal.deadline_ms is not None:
            self._extend_lease(renewal.deadline_ms)
        if renewal is not None and renewal.connection_id != connection_id:
            return None
        acknowledged_end = renewal.acknowledged_end if renewal else 0
        self.monitor.note_acknowledged(self.worker_id, acknowledged_end)
        self.ends = [end for end in self.ends if end.number > acknowledged_end]
        started_ms = self.worker.started_ms
        if not self.ends:
            self._changed.wait(wait_ms / 1000)
        if started_ms != self.worker.started_ms or not self.is_up:
            return None
        return TaskLists(
            int(self.clock_ms),
            started_ms,
            tuple(
                RunningTask(*key, "", run.percent, 0.0)
                for key, run in self.run_by_task_and_number.items()
            ),
            tuple(self.ends[:MAX_LISTED_ENDS]),
            len(self.ends) >= MAX_LISTED_ENDS,
            connection_id,
        )

    def crash(self) -> None:
        """Lose all runs, ends and the token, until ``come_back`` without answers."""
        self.is_up = False
        self.monitor.note_restart(self.worker_id)
        self.run_by_task_and_number.clear()
        self.ends.clear()
        self.end_count = 0
        self.closed_run_by_task.clear()
        self.token = 0
        self.deadline_ms = 0.0
        if self._lease_timer is not None:
            self._lease_timer.kill(block=False)
            self._lease_timer = None
        self._notify()

    def come_back(self, worker: Worker) -> None:
        """Start a new incarnation with the same id."""
        self.worker = worker
        self.started_s = steady_s()
        self.is_up = self.has_power = True

    def _accepts(self, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        return True

    def _has_room(self, start: Start) -> bool:
        cores = sum(
            run.start.step.reservation.cores
            for run in self.run_by_task_and_number.values()
        )
        return cores + start.step.reservation.cores <= self.worker.capacity.cores

    def _extend_lease(self, deadline_ms: float) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms + MAX_LEASE_MS)
        if deadline_ms <= max(self.deadline_ms, self.clock_ms):
            return
        self.deadline_ms = deadline_ms
        if self._lease_timer is not None:
            self._lease_timer.kill(block=False)
        left_s = (deadline_ms - self.clock_ms) / 1000 / self.clock_rate
        self._lease_timer = gevent.spawn_later(left_s, self._lapse)

    def _lapse(self) -> None:
        self._lease_timer = None
        self.monitor.note_lapse(self.worker_id)
        for run in list(self.run_by_task_and_number.values()):
            self._end(run, EndKind.LAPSED)

    def _end(self, run: _LeasedRun, kind: EndKind) -> None:
        """End a run; has no effect if it has ended before."""
        task, number = key = (run.start.task, run.start.run)
        if self.run_by_task_and_number.get(key) is not run:
            return
        del self.run_by_task_and_number[key]
        self.closed_run_by_task[task] = max(self.closed_run_by_task[task], number)
        self.end_count += 1
        end = EndedTask(self.end_count, task, number, kind, "")
        self.ends.append(end)
        self.monitor.note_end(self.worker_id, end)
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def _reply(self, outcome: CallOutcome) -> CallReply:
        return CallReply(outcome, "", int(self.clock_ms))
