"""Workers reserved for tasks that need more room than becomes free at once.

A large task would never start on a full fleet, because smaller tasks take whatever
becomes free. So a worker is reserved for it. Until the expected start, the worker is
backfilled only with tasks that end before then. An urgent task reserves the worker
on which tasks are preempted for it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lycheeloom.model.resources import NO_RESOURCES, Resources

from .events import WorkerReserved
from .state import SchedulerState, append_event
from .subqueues import SizeClass, Subqueue
from .tasks import Decision, Task, TaskRecord, TaskState
from .workers import Worker

# A task that others have passed over gets a reservation once it has waited for this
# fraction of the time that the worker will take to have room, and at the latest after
# RESERVE_AFTER_S. So small tasks, for which a worker soon has room and little is kept
# idle, get one early.
RESERVE_WAIT_FRACTION = 0.25
RESERVE_AFTER_S = 2.0
# Reservations hold at most this fraction of a pool's workers, or one worker if more.
MAX_RESERVED_FRACTION = 0.1
# Tasks of other entries on a worker are assumed to end after this time.
ASSUMED_PEER_TASK_S = 10.0
# The search for a worker looks at every worker of a pool; this bounds its cost.
SEARCH_INTERVAL_PER_WORKER_S = 0.0005
# Peers are told only of reservations older than this; see ``published_worker_ids``.
PUBLISH_AFTER_S = 1.0
# All reservations are checked this often; those whose task is gone are released.
CHECK_INTERVAL_S = 0.5


@dataclass(slots=True, eq=False)
class Reservation:
    """A worker reserved for an urgent task or for a size class of a subqueue.

    ``fraction`` is the part of the worker that the task needs, ``expected_at`` the
    time at which the worker is expected to have room.
    """

    worker: Worker
    pool: str
    fraction: float
    created_at: float
    expected_at: float
    urgent_task: str = ""
    subqueue: Subqueue | None = None
    size_class: SizeClass = (0, 0, 0)


class Reservations:
    """All reservations of this entry."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._by_worker: dict[str, Reservation] = {}
        self._by_pool: dict[str, dict[str, Reservation]] = {}
        self._worker_by_urgent_task: dict[str, str] = {}
        self._now = 0.0
        self._next_check_at = 0.0
        self._next_search_at_by_pool: dict[str, float] = {}

    def has_urgent(self, urgent_task: str) -> bool:
        """Return whether a worker is reserved for an urgent task."""
        return urgent_task in self._worker_by_urgent_task

    def published_worker_ids(self) -> tuple[str, ...]:
        """Return the reserved workers that peers should not start tasks on.

        Young reservations of tasks that are not urgent are left out. They often end
        before peers learn of them, and what peers then leave free on the worker would
        stay idle until this entry notices.
        """
        now = self._now
        return tuple(
            name
            for name, reservation in self._by_worker.items()
            if reservation.urgent_task or now - reservation.created_at > PUBLISH_AFTER_S
        )

    def reserve_urgent(
        self, record: TaskRecord, worker: Worker, expected_at: float, now: float
    ) -> None:
        """Reserve a worker for an urgent task."""
        task_id = record.task.id
        self._worker_by_urgent_task[task_id] = worker.id
        reservation = Reservation(
            worker, worker.pool, 0.0, now, expected_at, urgent_task=task_id
        )
        self._add(reservation, now)
        append_event(record, WorkerReserved(now, worker.id, expected_at))

    def release_urgent(self, task_id: str, now: float) -> None:
        """Release the worker reserved for an urgent task."""
        worker_id = self._worker_by_urgent_task.get(task_id)
        if worker_id is not None:
            self._release(self._by_worker[worker_id], now)

    def start_ready(self, now: float) -> list[Decision]:
        """Start tasks whose reserved worker has room; release what is not needed."""
        self._now = now
        changed = self._state.workers.changed_reserved
        if now >= self._next_check_at:
            self._next_check_at = now + CHECK_INTERVAL_S
            changed.update(self._by_worker)
        if not changed and not self._worker_by_urgent_task:
            return []
        self._state.workers.changed_reserved = set()
        worker_ids = changed | set(self._worker_by_urgent_task.values())
        decisions: list[Decision] = []
        for worker_id in sorted(worker_ids):
            reservation = self._by_worker.get(worker_id)
            if reservation is None:
                continue
            decision = self._start_on(reservation, now)
            if decision is not None:
                decisions.append(decision)
        return decisions

    def backfill(
        self,
        task: Task,
        need: Resources,
        pool: str,
        excluded: frozenset[str],
        now: float,
    ) -> Worker | None:
        """Return a reserved worker on which the task ends before the expected start."""
        reservations = self._by_pool.get(pool)
        if not reservations:
            return None
        end = now + self._state.sizes.corrected_run_s(task)
        for reservation in reservations.values():
            worker = reservation.worker
            if end > reservation.expected_at or reservation.urgent_task:
                continue
            if worker.id in excluded or not self._state.workers.accepts_starts(worker):
                continue
            if not worker.on_probation and need.fits_in(worker.free):
                return worker
        return None

    def reserve_if_starved(
        self,
        subqueue: Subqueue,
        size_class: SizeClass,
        record: TaskRecord,
        need: Resources,
        pool: str,
        now: float,
    ) -> None:
        """Reserve a worker for a record that has been passed over for too long."""
        passed_over_at = record.passed_over_at
        if passed_over_at is None or now <= passed_over_at:
            return
        if now < self._next_search_at_by_pool.get(pool, now):
            return
        workers = list(self._state.workers.workers_in_pool(pool))
        self._next_search_at_by_pool[pool] = now + SEARCH_INTERVAL_PER_WORKER_S * len(
            workers
        )
        best: tuple[float, str] | None = None
        for worker in self._candidates(workers, need):
            expected_at = expected_room_at(worker, need, now)
            if best is None or (expected_at, worker.id) < best:
                best = (expected_at, worker.id)
        if best is None:
            return
        wait_s = min(RESERVE_AFTER_S, RESERVE_WAIT_FRACTION * (best[0] - now))
        if now - passed_over_at < wait_s:
            return
        worker = self._state.workers.worker_by_id[best[1]]
        fraction = need.dominant_share(worker.size)
        reserved = sum(r.fraction for r in self._by_pool.get(pool, {}).values())
        if reserved + fraction > max(1.0, len(workers) * MAX_RESERVED_FRACTION):
            return
        reservation = Reservation(
            worker,
            pool,
            fraction,
            now,
            best[0],
            subqueue=subqueue,
            size_class=size_class,
        )
        self._add(reservation, now)
        append_event(record, WorkerReserved(now, worker.id, best[0]))

    def _start_on(self, reservation: Reservation, now: float) -> Decision | None:
        state = self._state
        worker = reservation.worker
        record = self._next_task(reservation)
        if record is None or not state.workers.accepts_normal_work(worker):
            self._release(reservation, now)
            return None
        need = state.need(record.task, worker.pool)
        if not need.fits_in(worker.size):
            self._release(reservation, now)
            return None
        if not need.fits_in(worker.free):
            return None
        self._release(reservation, now)
        if not state.may_run(record.task.organisation):
            return None
        if reservation.subqueue is None:
            state.queues.take_urgent(record)
        else:
            state.queues.take(reservation.subqueue, reservation.size_class)
        return state.start(record, worker, need, now)

    def _next_task(self, reservation: Reservation) -> TaskRecord | None:
        """Return the task that the reservation is for, None if it is gone."""
        if reservation.subqueue is not None:
            return reservation.subqueue.head(reservation.size_class)
        record = self._state.record_by_id.get(reservation.urgent_task)
        if record is None or record.state is not TaskState.QUEUED:
            return None
        return record

    def _add(self, reservation: Reservation, now: float) -> None:
        worker = reservation.worker
        worker.reserved = True
        self._by_worker[worker.id] = reservation
        self._by_pool.setdefault(reservation.pool, {})[worker.id] = reservation
        self._state.workers.refresh(worker, now)

    def _release(self, reservation: Reservation, now: float) -> None:
        worker = reservation.worker
        worker.reserved = False
        del self._by_worker[worker.id]
        del self._by_pool[reservation.pool][worker.id]
        self._worker_by_urgent_task.pop(reservation.urgent_task, None)
        self._state.workers.refresh(worker, now)

    def _candidates(self, workers: Iterable[Worker], need: Resources) -> list[Worker]:
        accepts_starts = self._state.workers.accepts_starts
        return [
            worker
            for worker in workers
            if accepts_starts(worker)
            and not worker.on_probation
            and not worker.reserved
            and not worker.reserved_by_peer
            and need.fits_in(worker.size)
        ]


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
    return now + ASSUMED_PEER_TASK_S
