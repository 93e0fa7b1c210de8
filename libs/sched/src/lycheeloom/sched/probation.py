"""Finds workers that fail every task, without counting failures of faulty tasks.

Such a worker is put on probation: it then gets only trials, one task at a time,
until enough of them in a row have succeeded. After each failed trial, the backoff
before the next one doubles.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

# Failures in a row, of different tasks, that put a worker on probation. Fewer are
# needed with evidence: outcomes on other workers show that a group of these tasks
# usually succeeds.
FAILURES_WITH_EVIDENCE = 3
FAILURES_WITHOUT_EVIDENCE = 6
# Time until the first trial; it doubles with each failed trial up to MAX_BACKOFF_S.
FIRST_BACKOFF_S = 2.0
MAX_BACKOFF_S = 120.0
# Trials that must succeed in a row before a worker leaves probation.
TRIALS_TO_PASS = 2
# Latest outcomes kept for each group of tasks.
WINDOW_OUTCOMES = 50
# A group of tasks that fails at this rate or more on other workers is itself at fault.
FAULTY_GROUP_FAILURE_RATE = 0.5
# Failed tasks for which the workers that failed them are remembered.
MAX_REMEMBERED_TASKS = 5_000

# Groups tasks by organisation and queue.
TaskGroup = tuple[str, str]


@dataclass(slots=True)
class _WorkerRecord:
    """What is known of a worker that has failed tasks or is on probation."""

    # Group of each task that has failed since the last success, by id of the task.
    failed_tasks: dict[str, TaskGroup] = field(default_factory=dict)
    on_probation: bool = False
    backoff_s: float = FIRST_BACKOFF_S
    next_trial_at: float = 0.0
    # Id of the running trial task, empty if there is none.
    trial_task: str = ""
    # Successful trials since the last failed one.
    trials_passed: int = 0


class Probation:
    """Decides from the outcomes of tasks which workers are on probation."""

    def __init__(self) -> None:
        self._record_by_worker: dict[str, _WorkerRecord] = {}
        # Worker and success of each of the latest outcomes.
        self._outcomes_by_group: dict[TaskGroup, deque[tuple[str, bool]]] = {}
        self._workers_by_failed_task: OrderedDict[str, set[str]] = OrderedDict()

    def on_probation(self, worker: str) -> bool:
        """Return whether the worker is on probation and only gets trial tasks."""
        record = self._record_by_worker.get(worker)
        return record is not None and record.on_probation

    def may_start_trial(self, worker: str, now: float) -> bool:
        """Return whether a worker on probation may get a trial task now."""
        record = self._record_by_worker[worker]
        return not record.trial_task and now >= record.next_trial_at

    def record_trial_start(self, worker: str, task_id: str) -> None:
        """Record the start of a trial, the only task that the worker runs."""
        self._record_by_worker[worker].trial_task = task_id

    def record_success(self, worker: str, task_id: str, group: TaskGroup) -> bool:
        """Record a successful task; return whether its worker leaves probation now."""
        self._outcomes(group).append((worker, True))
        record = self._record_by_worker.get(worker)
        if record is None:
            return False
        if not record.on_probation:
            record.failed_tasks.clear()
            return False
        if record.trial_task != task_id:
            return False
        record.trial_task = ""
        record.trials_passed += 1
        if record.trials_passed < TRIALS_TO_PASS:
            return False
        del self._record_by_worker[worker]
        return True

    def record_failure(
        self, worker: str, task_id: str, group: TaskGroup, now: float
    ) -> bool:
        """Record a failed task; return whether its worker enters probation now.

        A failure does not count if the task has failed on other workers too.
        """
        self._outcomes(group).append((worker, False))
        record = self._record_by_worker.setdefault(worker, _WorkerRecord())
        if self._task_at_fault(task_id, worker):
            self.discard_trial(worker, task_id)
            return False
        if record.on_probation:
            self._record_failed_trial(record, task_id, now)
            return False
        record.failed_tasks[task_id] = group
        if not self._worker_at_fault(worker, record):
            return False
        record.on_probation = True
        record.next_trial_at = now + record.backoff_s
        return True

    def put_on_probation(self, worker: str, now: float) -> bool:
        """Put a worker on probation for a reason other than its failures at this entry.

        Trials may begin at once. Returns False if the worker was on probation already.
        """
        record = self._record_by_worker.setdefault(worker, _WorkerRecord())
        if record.on_probation:
            return False
        record.on_probation = True
        record.next_trial_at = now
        return True

    def end(self, worker: str) -> bool:
        """End the probation of a worker; return whether it was on probation."""
        record = self._record_by_worker.get(worker)
        if record is None or not record.on_probation:
            return False
        del self._record_by_worker[worker]
        return True

    def discard_trial(self, worker: str, task_id: str) -> None:
        """Forget a trial whose outcome shows nothing about the worker."""
        record = self._record_by_worker.get(worker)
        if record is not None and record.trial_task == task_id:
            record.trial_task = ""

    def rebooted(self, worker: str) -> None:
        """Forget the failures of a rebooted worker and allow a trial at once."""
        record = self._record_by_worker.get(worker)
        if record is None:
            return
        record.failed_tasks.clear()
        record.trial_task = ""
        record.backoff_s = FIRST_BACKOFF_S
        record.next_trial_at = 0.0

    def _record_failed_trial(
        self, record: _WorkerRecord, task_id: str, now: float
    ) -> None:
        record.trials_passed = 0
        if record.trial_task == task_id:
            record.trial_task = ""
            record.backoff_s = min(MAX_BACKOFF_S, record.backoff_s * 2)
            record.next_trial_at = now + record.backoff_s

    def _task_at_fault(self, task_id: str, worker: str) -> bool:
        """Record a failure; return whether the task has failed on other workers too.

        If so, its failures on those workers no longer count either. Failures on workers
        that are on probation are not considered.
        """
        workers = self._workers_by_failed_task.setdefault(task_id, set())
        workers.add(worker)
        if len(self._workers_by_failed_task) > MAX_REMEMBERED_TASKS:
            self._workers_by_failed_task.popitem(last=False)
        other_workers = [w for w in workers if w != worker and not self.on_probation(w)]
        if not other_workers:
            return False
        for other in other_workers:
            record = self._record_by_worker.get(other)
            if record is not None:
                record.failed_tasks.pop(task_id, None)
        return True

    def _worker_at_fault(self, worker: str, record: _WorkerRecord) -> bool:
        """Return whether the failures in a row are the worker's fault.

        Failures of tasks whose group often fails on other workers do not count. More
        failures are needed if no outcomes of the counted groups on other workers are
        known.
        """
        counted_failures = 0
        has_evidence = False
        for group in record.failed_tasks.values():
            rate = self._failure_rate_elsewhere(group, worker)
            if rate is not None and rate >= FAULTY_GROUP_FAILURE_RATE:
                continue
            counted_failures += 1
            has_evidence = has_evidence or rate is not None
        return counted_failures >= (
            FAILURES_WITH_EVIDENCE if has_evidence else FAILURES_WITHOUT_EVIDENCE
        )

    def _failure_rate_elsewhere(self, group: TaskGroup, worker: str) -> float | None:
        """Return the failure rate of a group on other workers, None if unknown."""
        elsewhere = [
            succeeded
            for other, succeeded in self._outcomes(group)
            if other != worker and not self.on_probation(other)
        ]
        if not elsewhere:
            return None
        return elsewhere.count(False) / len(elsewhere)

    def _outcomes(self, group: TaskGroup) -> deque[tuple[str, bool]]:
        return self._outcomes_by_group.setdefault(group, deque(maxlen=WINDOW_OUTCOMES))
