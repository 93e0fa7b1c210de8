"""Reservations of workers for tasks that need more room than any worker has free.

A large task would never start on a full fleet, because smaller tasks take whatever
becomes free. So a worker is reserved for the large task. Until the large task is
expected to start, the worker is backfilled only with tasks that should end before then.

For an urgent task, running tasks are preempted on a worker, and this worker is reserved
for the urgent task.
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

# A task is passed over when it fits on no worker and another task starts instead. A
# worker is reserved for the task once the time since it was first passed over reaches
# this fraction of the time until a worker is expected to have room for it, or
# RESERVE_AFTER_S if that is less. So small tasks get a reservation early: a worker soon
# has room for them, and little capacity is kept idle.
RESERVE_WAIT_FRACTION = 0.25
RESERVE_AFTER_S = 2.0
# Reservations for tasks that are not urgent take at most this fraction of a pool's
# workers, or one worker if that is more. Each reservation counts only as the part of
# its worker that the task needs.
MAX_RESERVED_FRACTION = 0.1
# If a worker gets enough room only when tasks of other entries end, those tasks are
# assumed to end after this time.
ASSUMED_PEER_TASK_S = 10.0
# Minimum time between two searches of a pool for a worker to reserve, divided by the
# number of workers in the pool. A search looks at every worker of the pool, so this
# bounds the cost of searching.
SEARCH_INTERVAL_PER_WORKER_S = 0.0005
# Peers are told of reservations that are older than this, and of those for urgent tasks
# at once; see ``published_worker_ids``.
PUBLISH_AFTER_S = 1.0
# All reservations are checked this often, also if their workers did not change. So a
# reservation whose task is gone is released within this time.
CHECK_INTERVAL_S = 0.5


@dataclass(slots=True, eq=False)
class Reservation:
    """A worker reserved for an urgent task or for a size class of a subqueue.

    ``fraction`` is the part of the worker that the task needs, 0.0 for an urgent task.
    ``expected_at`` is the time at which the worker is expected to have room.

    A reservation for an urgent task has the id of the task as ``urgent_task_id``, and
    no subqueue. Any other reservation has an empty ``urgent_task_id``, and is for the
    task that is first in ``size_class`` of ``subqueue`` when the worker has room. A
    size class may have several reservations.
    """

    worker: Worker
    pool: str
    fraction: float
    created_at: float
    expected_at: float
    urgent_task_id: str = ""
    subqueue: Subqueue | None = None
    size_class: SizeClass = (0, 0, 0)


class Reservations:
    """All reservations of this entry; a worker has at most one."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._reservation_by_worker: dict[str, Reservation] = {}
        self._reservations_by_pool: dict[str, dict[str, Reservation]] = {}
        self._worker_id_by_urgent_task: dict[str, str] = {}
        self._now = 0.0
        self._next_check_at = 0.0
        self._next_search_at_by_pool: dict[str, float] = {}

    def has_worker_for(self, urgent_task_id: str) -> bool:
        """Return whether a worker is reserved for an urgent task."""
        return urgent_task_id in self._worker_id_by_urgent_task

    def published_worker_ids(self) -> tuple[str, ...]:
        """Return the reserved workers that peers should not start tasks on.

        For tasks that are not urgent, reservations up to ``PUBLISH_AFTER_S`` old are
        left out. Many are released before peers learn of them. Peers would then leave
        room free on the worker that no reservation needs any more, and that room would
        stay idle until this entry notices.
        """
        now = self._now
        return tuple(
            worker_id
            for worker_id, reservation in self._reservation_by_worker.items()
            if reservation.urgent_task_id
            or now - reservation.created_at > PUBLISH_AFTER_S
        )

    def reserve_urgent(
        self, record: TaskRecord, worker: Worker, expected_at: float, now: float
    ) -> None:
        """Reserve a worker for an urgent task."""
        task_id = record.task.id
        self._worker_id_by_urgent_task[task_id] = worker.id
        reservation = Reservation(
            worker, worker.pool, 0.0, now, expected_at, urgent_task_id=task_id
        )
        self._add(reservation, now)
        append_event(record, WorkerReserved(now, worker.id, expected_at))

    def release_urgent(self, task_id: str, now: float) -> None:
        """Release the worker reserved for an urgent task, if there is one."""
        worker_id = self._worker_id_by_urgent_task.get(task_id)
        if worker_id is not None:
            self._release(self._reservation_by_worker[worker_id], now)

    def start_ready(self, now: float) -> list[Decision]:
        """Start tasks whose reserved worker has room; release unneeded reservations.

        Checks the reservations of urgent tasks and of workers that changed, and every
        ``CHECK_INTERVAL_S`` all reservations.
        """
        self._now = now
        changed_or_due_ids = self._state.workers.changed_reserved_worker_ids
        if now >= self._next_check_at:
            self._next_check_at = now + CHECK_INTERVAL_S
            changed_or_due_ids.update(self._reservation_by_worker)
        if not changed_or_due_ids and not self._worker_id_by_urgent_task:
            return []
        self._state.workers.changed_reserved_worker_ids = set()
        worker_ids_to_check = changed_or_due_ids | set(
            self._worker_id_by_urgent_task.values()
        )
        decisions: list[Decision] = []
        for worker_id in sorted(worker_ids_to_check):
            reservation = self._reservation_by_worker.get(worker_id)
            if reservation is None:
                continue
            decision = self._start_on(reservation, now)
            if decision is not None:
                decisions.append(decision)
        return decisions

    def worker_to_backfill(
        self,
        task: Task,
        need: Resources,
        pool: str,
        excluded: frozenset[str],
        now: float,
    ) -> Worker | None:
        """Return a reserved worker on which the task may run meanwhile, or None.

        The task must be expected to end by the time at which the reservation expects
        room on the worker. Workers reserved for urgent tasks are not backfilled.
        """
        reservations = self._reservations_by_pool.get(pool)
        if not reservations:
            return None
        expected_end = now + self._state.sizes.corrected_run_s(task)
        for reservation in reservations.values():
            worker = reservation.worker
            if expected_end > reservation.expected_at or reservation.urgent_task_id:
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
        """Reserve a worker for a task that was passed over and has waited long enough.

        See ``RESERVE_WAIT_FRACTION`` for how long. The worker is the one expected to
        have room first. None is reserved if no worker of the pool is eligible, if the
        last search of the pool is too recent, or if the reservations of the pool would
        exceed ``MAX_RESERVED_FRACTION``.
        """
        passed_over_at = record.passed_over_at
        if passed_over_at is None or now <= passed_over_at:
            return
        if now < self._next_search_at_by_pool.get(pool, now):
            return
        workers = list(self._state.workers.workers_in_pool(pool))
        self._next_search_at_by_pool[pool] = now + SEARCH_INTERVAL_PER_WORKER_S * len(
            workers
        )
        # The earliest time at which a worker is expected to have room, and the id of
        # that worker.
        earliest: tuple[float, str] | None = None
        for worker in self._candidates(workers, need):
            expected_at = expected_room_at(worker, need, now)
            if earliest is None or (expected_at, worker.id) < earliest:
                earliest = (expected_at, worker.id)
        if earliest is None:
            return
        wait_s = min(RESERVE_AFTER_S, RESERVE_WAIT_FRACTION * (earliest[0] - now))
        if now - passed_over_at < wait_s:
            return
        worker = self._state.workers.worker_by_id[earliest[1]]
        fraction = need.dominant_share(worker.size)
        reserved = sum(
            r.fraction for r in self._reservations_by_pool.get(pool, {}).values()
        )
        if reserved + fraction > max(1.0, len(workers) * MAX_RESERVED_FRACTION):
            return
        reservation = Reservation(
            worker,
            pool,
            fraction,
            now,
            earliest[0],
            subqueue=subqueue,
            size_class=size_class,
        )
        self._add(reservation, now)
        append_event(record, WorkerReserved(now, worker.id, earliest[0]))

    def _start_on(self, reservation: Reservation, now: float) -> Decision | None:
        """Start the task of a reservation if its worker has room.

        The reservation is released if the task starts, is gone, is too large for the
        worker or must wait for a grant. It is also released if the worker accepts no
        starts or is on probation.
        """
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
        """Return the queued task that the reservation is for now, None if gone."""
        if reservation.subqueue is not None:
            return reservation.subqueue.head(reservation.size_class)
        record = self._state.record_by_id.get(reservation.urgent_task_id)
        if record is None or record.state is not TaskState.QUEUED:
            return None
        return record

    def _add(self, reservation: Reservation, now: float) -> None:
        worker = reservation.worker
        worker.reserved = True
        self._reservation_by_worker[worker.id] = reservation
        self._reservations_by_pool.setdefault(reservation.pool, {})[worker.id] = (
            reservation
        )
        self._state.workers.refresh(worker, now)

    def _release(self, reservation: Reservation, now: float) -> None:
        worker = reservation.worker
        worker.reserved = False
        del self._reservation_by_worker[worker.id]
        del self._reservations_by_pool[reservation.pool][worker.id]
        self._worker_id_by_urgent_task.pop(reservation.urgent_task_id, None)
        self._state.workers.refresh(worker, now)

    def _candidates(self, workers: Iterable[Worker], need: Resources) -> list[Worker]:
        """Return the workers that may be reserved and are large enough."""
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
    """Return when a worker is expected to have room for ``need``.

    If too little room is left even after all running tasks of this entry have ended,
    the rest must come from tasks of other entries; see ``ASSUMED_PEER_TASK_S``.
    """
    free = worker.free
    if need.fits_in(free):
        return now
    expected_ends = sorted(
        (max(now, record.expected_end), record.sequence, record.need)
        for record in worker.running.values()
    )
    freed = NO_RESOURCES
    for expected_end, _, ended_need in expected_ends:
        freed = freed + ended_need
        if need.fits_in(free + freed):
            return expected_end
    return now + ASSUMED_PEER_TASK_S
