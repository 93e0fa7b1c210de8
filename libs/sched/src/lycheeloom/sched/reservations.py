"""Workers kept free for one task: large tasks that wait, and urgent ones."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lycheeloom.model.resources import NO_RESOURCES, Resources

from .events import WorkerReserved
from .state import SchedulerState, note
from .tasks import Decision, Task, TaskRecord, TaskState
from .workers import Worker

# A large task that smaller ones have passed for this long gets a reservation.
RESERVE_AFTER_S = 2.0
# At most this part of a pool, and at least one worker, is reserved.
MAX_RESERVED_PART = 0.1
# The time after which tasks of other entries on a worker are assumed to end.
UNKNOWN_END_S = 10.0
SCAN_INTERVAL_S = 0.5


@dataclass(slots=True)
class Reservation:
    """``worker`` is kept for a task until about ``at``."""

    task_id: str
    worker: Worker
    at: float
    urgent: bool


class Reservations:
    """All reservations of this entry."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._by_task: dict[str, Reservation] = {}
        self._next_scan_at = 0.0

    def has(self, task_id: str) -> bool:
        """Tell whether a worker is kept for the task."""
        return task_id in self._by_task

    def worker_ids(self) -> tuple[str, ...]:
        """Return the workers kept by this entry, for its peers to avoid."""
        return tuple(r.worker.id for r in self._by_task.values())

    def reserve(
        self, record: TaskRecord, worker: Worker, at: float, now: float
    ) -> None:
        """Keep a worker for a task."""
        task = record.task
        worker.reserved_for = task.id
        self._by_task[task.id] = Reservation(task.id, worker, at, task.urgent)
        self._state.workers.refresh(worker, now)
        note(record, WorkerReserved(now, worker.id, at))

    def release(self, task_id: str, now: float) -> None:
        """Stop keeping a worker for a task."""
        reservation = self._by_task.pop(task_id, None)
        if reservation is None:
            return
        reservation.worker.reserved_for = ""
        self._state.workers.refresh(reservation.worker, now)

    def start_ready(self, now: float) -> list[Decision]:
        """Start the tasks whose reserved worker has room, and drop dead ones."""
        state = self._state
        decisions: list[Decision] = []
        for reservation in list(self._by_task.values()):
            worker = reservation.worker
            record = state.record_by_id.get(reservation.task_id)
            if record is None or record.state is not TaskState.QUEUED:
                self.release(reservation.task_id, now)
                continue
            if not state.workers.usable_for_reserved(worker, record.task.id):
                self.release(reservation.task_id, now)
                continue
            need = state.need(record.task, worker.pool)
            if not need.fits_in(worker.free) or not state.may_run(record.task.team):
                continue
            self.release(reservation.task_id, now)
            state.queues.take_record(record)
            decisions.append(state.start(record, worker, need, now))
        return decisions

    def backfill(
        self,
        task: Task,
        need: Resources,
        pool: str,
        excluded: frozenset[str],
        now: float,
    ) -> Worker | None:
        """Return a reserved worker that the task leaves again in time."""
        if not self._by_task:
            return None
        end = now + self._state.sizes.run_s(task)
        for reservation in self._by_task.values():
            worker = reservation.worker
            if worker.pool != pool or reservation.urgent or end > reservation.at:
                continue
            if worker.id in excluded or not self._state.workers.accepts(worker):
                continue
            if not worker.on_probation and need.fits_in(worker.free):
                return worker
        return None

    def scan(self, now: float) -> None:
        """Reserve workers for large tasks that have been passed for too long."""
        if now < self._next_scan_at:
            return
        self._next_scan_at = now + SCAN_INTERVAL_S
        for lane in list(self._state.queues.active_lanes()):
            if not self._state.may_run(lane.team):
                continue
            for _, record in lane.heads():
                passed = record.passed_over_at
                if passed is None or now - passed < RESERVE_AFTER_S:
                    continue
                self._reserve_earliest(record, now)

    def _reserve_earliest(self, record: TaskRecord, now: float) -> None:
        state = self._state
        if self.has(record.task.id):
            return
        pool = state.queues.home_pool(record.task.queue)
        need = state.need(record.task, pool)
        workers = list(state.workers.in_pool(pool))
        if self._reserved_in(pool) >= max(1, int(len(workers) * MAX_RESERVED_PART)):
            return
        best: tuple[float, str] | None = None
        for worker in self._candidates(workers, need):
            at = expected_room_at(worker, need, now)
            if best is None or (at, worker.id) < best:
                best = (at, worker.id)
        if best is not None:
            worker = state.workers.worker_by_id[best[1]]
            self.reserve(record, worker, best[0], now)

    def _candidates(self, workers: Iterable[Worker], need: Resources) -> list[Worker]:
        accepts = self._state.workers.accepts
        return [
            worker
            for worker in workers
            if accepts(worker)
            and not worker.on_probation
            and not worker.reserved_for
            and not worker.reserved_by_peer
            and need.fits_in(worker.size)
        ]

    def _reserved_in(self, pool: str) -> int:
        return sum(r.worker.pool == pool for r in self._by_task.values())


def expected_room_at(worker: Worker, need: Resources, now: float) -> float:
    """Return when the worker is expected to have room for ``need``."""
    free = worker.free
    if need.fits_in(free):
        return now
    ends = sorted(
        (max(now, record.expected_end), record.sequence, record.need)
        for record in worker.running.values()
    )
    freed = NO_RESOURCES
    for end, _, size in ends:
        freed = freed + size
        if need.fits_in(free + freed):
            return end
    return now + UNKNOWN_END_S
