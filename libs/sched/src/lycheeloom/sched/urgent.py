"""Starts urgent tasks at once, preempting running tasks if necessary."""

from __future__ import annotations

from collections.abc import Iterator

from lycheeloom.model.resources import Resources

from .reservations import Reservations
from .state import SchedulerState
from .tasks import Decision, PreemptionReason, TaskRecord, TaskState
from .workers import Worker

# A reserved worker without room after this time is released to choose another.
MAKE_ROOM_TIMEOUT_S = 1.5


class UrgentPlacement:
    """Places urgent tasks before all others, charged to their organisation as usual."""

    def __init__(self, state: SchedulerState, reservations: Reservations) -> None:
        self._state = state
        self._reservations = reservations
        self._preempted_at_by_task: dict[str, float] = {}

    def place(self, now: float) -> list[Decision]:
        """Start urgent tasks, or preempt running tasks for them."""
        decisions: list[Decision] = []
        urgent = self._state.queues.urgent
        for task_id in [t for t in self._preempted_at_by_task if t not in urgent]:
            del self._preempted_at_by_task[task_id]
        for record in list(urgent.values()):
            if self._waits_for_room(record, now):
                continue
            decisions.extend(self._place_one(record, now))
        return decisions

    def _waits_for_room(self, record: TaskRecord, now: float) -> bool:
        task_id = record.task.id
        preempted_at = self._preempted_at_by_task.get(task_id)
        if preempted_at is None or now - preempted_at >= MAKE_ROOM_TIMEOUT_S:
            self._reservations.release_urgent(task_id, now)
            return False
        return self._reservations.has_urgent(task_id)

    def _place_one(self, record: TaskRecord, now: float) -> list[Decision]:
        state = self._state
        task = record.task
        if not state.may_run(task.organisation):
            return self._preempt_same_organisation(record, now)
        for pool in self._pools(record):
            need = state.need(task, pool)
            excluded = state.excluded(record, now)
            worker = state.workers.place(need, pool, task.queue, excluded)
            if worker is not None:
                state.queues.take_urgent(record)
                return [state.start(record, worker, need, now)]
        return self._reserve_and_preempt(record, now)

    def _pools(self, record: TaskRecord) -> Iterator[str]:
        """Yield the queue's own pool, then spare pools, then all others."""
        home = self._state.queues.home_pool(record.task.queue)
        yield home
        pools = self._state.config.pool_by_id.values()
        for spare in (True, False):
            for pool in pools:
                if pool.spare is spare and pool.id != home:
                    yield pool.id

    def _preempt_same_organisation(
        self, record: TaskRecord, now: float
    ) -> list[Decision]:
        """Preempt one task of the organisation, which has used up its grant."""
        if record.task.id in self._preempted_at_by_task:
            return []
        for other in self._state.record_by_id.values():
            if other.task.organisation == record.task.organisation and _is_preemptible(
                other
            ):
                self._preempted_at_by_task[record.task.id] = now
                return [self._preempt(other, now)]
        return []

    def _reserve_and_preempt(self, record: TaskRecord, now: float) -> list[Decision]:
        """Reserve the best worker and preempt tasks of this entry there.

        The best worker is one on which few preemptions make enough room. If there is
        none, it is the one that then lacks least. Peers learn of the reservation and
        do not use what their own tasks free there.
        """
        state = self._state
        best: tuple[tuple[float, ...], Worker, list[TaskRecord]] | None = None
        for pool in self._pools(record):
            need = state.need(record.task, pool)
            for worker in state.workers.workers_in_pool(pool):
                if not self._may_reserve(worker, record, need, now):
                    continue
                victims, lacking = self._victims(worker, need, now)
                key = (lacking, float(len(victims)))
                if best is None or key < best[0]:
                    best = (key, worker, victims)
            if best is not None and best[0][0] <= 0.0:
                break
        if best is None:
            return []
        _, worker, victims = best
        self._reservations.reserve_urgent(
            record, worker, now + MAKE_ROOM_TIMEOUT_S, now
        )
        self._preempted_at_by_task[record.task.id] = now
        return [self._preempt(victim, now) for victim in victims]

    def _may_reserve(
        self, worker: Worker, record: TaskRecord, need: Resources, now: float
    ) -> bool:
        state = self._state
        if not state.workers.accepts_starts(worker) or worker.on_probation:
            return False
        if worker.reserved or worker.reserved_by_peer:
            return False
        if worker.id in state.excluded(record, now):
            return False
        return need.fits_in(worker.size)

    def _victims(
        self, worker: Worker, need: Resources, now: float
    ) -> tuple[list[TaskRecord], float]:
        """Return the tasks to preempt, and the fraction of the need still lacking."""
        usage_level = self._state.shares.usage_level
        running = [r for r in worker.running.values() if _is_preemptible(r)]
        # Tasks of organisations furthest above their fair share are preempted first.
        running.sort(key=lambda r: (usage_level(r.task.organisation), r.sequence))
        free = worker.free
        victims = []
        while running and not need.fits_in(free):
            victim = running.pop()
            free = free + victim.need
            victims.append(victim)
        if need.fits_in(free):
            return victims, 0.0
        return victims, (need - free).dominant_share(need)

    def _preempt(self, victim: TaskRecord, now: float) -> Decision:
        return self._state.request_checkpoint(victim, PreemptionReason.URGENT, now)


def _is_preemptible(record: TaskRecord) -> bool:
    return (
        record.state is TaskState.RUNNING
        and record.task.checkpointable
        and not record.checkpointing
        and not record.task.urgent
    )
