"""Starts trial tasks on workers on probation, one at a time."""

from __future__ import annotations

from .state import SchedulerState
from .tasks import Decision
from .workers import Worker


class Trials:
    """Chooses a task for each worker on probation whose backoff has ended.

    Trials are idempotent tasks, because a trial is likely to fail and a task that
    is not idempotent could not be repeated. Other tasks are tried only while no
    worker takes normal work, as they would otherwise wait for ever.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._on_probation: dict[str, Worker] = {}

    def begin_probation(self, worker: Worker, now: float) -> None:
        """Close a worker to normal work; it only gets trial tasks."""
        worker.on_probation = True
        self._on_probation[worker.id] = worker
        self._state.workers.refresh(worker, now)

    def end_probation(self, worker: Worker, now: float) -> None:
        """Open a worker to normal work again."""
        worker.on_probation = False
        self._on_probation.pop(worker.id, None)
        self._state.workers.refresh(worker, now)

    def start(self, now: float) -> list[Decision]:
        """Start at most one trial on each worker on probation that is idle."""
        decisions: list[Decision] = []
        state = self._state
        for worker in self._on_probation.values():
            if not state.workers.accepts_starts(worker) or worker.running:
                continue
            if not state.probation.may_start_trial(worker.id, now):
                continue
            decision = self._start_on(worker, now)
            if decision is not None:
                decisions.append(decision)
        return decisions

    def _start_on(self, worker: Worker, now: float) -> Decision | None:
        state = self._state
        no_other_worker = self._no_worker_for_normal_work()
        for organisation, subqueues in state.queues.subqueues_by_organisation(
            worker.pool
        ).items():
            if not state.may_run(organisation):
                continue
            for subqueue in list(subqueues.values()):
                for size_class, record in subqueue.heads():
                    if not (record.task.idempotent or no_other_worker):
                        continue
                    if worker.id in state.excluded(record, now):
                        continue
                    need = state.need(record.task, worker.pool)
                    if not need.fits_in(worker.free):
                        continue
                    state.probation.record_trial_start(worker.id, record.task.id)
                    state.queues.take(subqueue, size_class)
                    return state.start(record, worker, need, now)
        return None

    def _no_worker_for_normal_work(self) -> bool:
        """Return whether no worker of the fleet takes normal work."""
        workers = self._state.workers
        return not any(
            workers.accepts_normal_work(worker)
            for worker in workers.worker_by_id.values()
        )
