"""Gives workers on probation single trial tasks."""

from __future__ import annotations

from .state import SchedulerState
from .tasks import Decision
from .workers import Worker


class Trials:
    """Chooses a task for each worker on probation whose backoff has ended.

    Idempotent tasks are used, because a trial is likely to fail and a task that
    is not idempotent could not be repeated. Others are used only while no
    worker is left for normal work, as they would wait for good.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._on_probation: dict[str, Worker] = {}

    def enter(self, worker: Worker, now: float) -> None:
        """Close a worker that has entered probation for normal work."""
        worker.on_probation = True
        self._on_probation[worker.id] = worker
        self._state.workers.refresh(worker, now)

    def leave(self, worker: Worker, now: float) -> None:
        """Open a worker that has passed its trials."""
        worker.on_probation = False
        self._on_probation.pop(worker.id, None)
        self._state.workers.refresh(worker, now)

    def start(self, now: float) -> list[Decision]:
        """Start at most one trial on each worker on probation."""
        decisions: list[Decision] = []
        state = self._state
        for worker in self._on_probation.values():
            if not state.workers.accepts(worker) or worker.running:
                continue
            if not state.probation.may_try(worker.id, now):
                continue
            decision = self._start_on(worker, now)
            if decision is not None:
                decisions.append(decision)
        return decisions

    def _start_on(self, worker: Worker, now: float) -> Decision | None:
        state = self._state
        is_only_choice = self._is_only_choice()
        for organisation, lanes in state.queues.lanes_by_organisation(
            worker.pool
        ).items():
            if not state.may_run(organisation):
                continue
            for lane in list(lanes.values()):
                for size_class, record in lane.heads():
                    if not (record.task.idempotent or is_only_choice):
                        continue
                    if worker.id in state.excluded(record, now):
                        continue
                    need = state.need(record.task, worker.pool)
                    if not need.fits_in(worker.free):
                        continue
                    state.probation.trial_started(worker.id, record.task.id)
                    state.queues.take(lane, size_class)
                    return state.start(record, worker, need, now)
        return None

    def _is_only_choice(self) -> bool:
        """Tell whether no worker is left for normal work."""
        workers = self._state.workers
        return not any(
            workers.usable_for_reserved(worker)
            for worker in workers.worker_by_id.values()
        )
