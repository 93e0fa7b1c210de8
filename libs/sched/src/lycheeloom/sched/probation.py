"""Finds workers that fail every task, without counting failures of faulty tasks."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

# Failures in a row, of different tasks, that put a worker on probation: fewer if it is
# known from other workers that tasks of these groups usually succeed.
FAILURES_WITH_EVIDENCE = 3
FAILURES_WITHOUT_EVIDENCE = 6
FIRST_BACKOFF_S = 2.0
MAX_BACKOFF_S = 120.0
# Trials that must succeed in a row before a worker leaves probation.
TRIALS_TO_PASS = 2
# Recent outcomes kept per group of tasks.
WINDOW_OUTCOMES = 50
# A group that fails at this rate or more on other workers is itself at fault.
FAULTY_GROUP_FAILURE_RATE = 0.5
MAX_REMEMBERED_TASKS = 5_000

# Organisation and queue of a task.
TaskGroup = tuple[str, str]


@dataclass(slots=True)
class _WorkerRecord:
    # Group by id of each task that failed since the last success.
    failed_tasks: dict[str, TaskGroup] = field(default_factory=dict)
    on_probation: bool = False
    backoff_s: float = FIRST_BACKOFF_S
    next_trial_at: float = 0.0
    trial_task: str = ""
    trials_passed: int = 0


class Probation:
    """Decides from the outcomes of tasks which workers are on probation."""

    def __init__(self) -> None:
        self._record_by_worker: dict[str, _WorkerRecord] = {}
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
        """Record the trial task of a worker on probation, which runs no other task."""
        self._record_by_worker[worker].trial_task = task_id

    def record_success(self, worker: str, task_id: str, group: TaskGroup) -> bool:
        """Record a success; return whether the worker leaves probation now."""
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
        """Record a failure; return whether the worker enters probation now."""
        self._outcomes(group).append((worker, False))
        record = self._record_by_worker.setdefault(worker, _WorkerRecord())
        if self._task_at_fault(task_id, worker):
            self.discard_trial(worker, task_id)
            return False
        if record.on_probation:
            self._trial_failed(record, task_id, now)
            return False
        record.failed_tasks[task_id] = group
        if not self._worker_at_fault(worker, record):
            return False
        record.on_probation = True
        record.next_trial_at = now + record.backoff_s
        return True

    def put_on_probation(self, worker: str, now: float) -> bool:
        """Put a worker on probation for another reason than its failures at this entry.

        Trials may begin at once. Return whether it was not on probation before.
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
        """Allow a trial at once after a reboot."""
        record = self._record_by_worker.get(worker)
        if record is None:
            return
        record.failed_tasks.clear()
        record.trial_task = ""
        record.backoff_s = FIRST_BACKOFF_S
        record.next_trial_at = 0.0

    def _trial_failed(self, record: _WorkerRecord, task_id: str, now: float) -> None:
        record.trials_passed = 0
        if record.trial_task == task_id:
            record.trial_task = ""
            record.backoff_s = min(MAX_BACKOFF_S, record.backoff_s * 2)
            record.next_trial_at = now + record.backoff_s

    def _task_at_fault(self, task_id: str, worker: str) -> bool:
        """Return whether the task failed on other workers too.

        If so, its failures on those workers no longer count either.
        """
        workers = self._workers_by_failed_task.setdefault(task_id, set())
        workers.add(worker)
        if len(self._workers_by_failed_task) > MAX_REMEMBERED_TASKS:
            self._workers_by_failed_task.popitem(last=False)
        others = [w for w in workers if w != worker and not self.on_probation(w)]
        if not others:
            return False
        for other in others:
            record = self._record_by_worker.get(other)
            if record is not None:
                record.failed_tasks.pop(task_id, None)
        return True

    def _worker_at_fault(self, worker: str, record: _WorkerRecord) -> bool:
        """Return whether the failures in a row are the worker's fault.

        Failures of groups that fail on other workers too do not count. If no outcomes
        of these groups on other workers are known, more failures are needed.
        """
        counted = 0
        has_evidence = False
        for group in record.failed_tasks.values():
            rate = self._failure_rate_elsewhere(group, worker)
            if rate is not None and rate >= FAULTY_GROUP_FAILURE_RATE:
                continue
            counted += 1
            has_evidence = has_evidence or rate is not None
        return counted >= (
            FAILURES_WITH_EVIDENCE if has_evidence else FAILURES_WITHOUT_EVIDENCE
        )

    def _failure_rate_elsewhere(self, group: TaskGroup, worker: str) -> float | None:
        elsewhere = [
            good
            for name, good in self._outcomes(group)
            if name != worker and not self.on_probation(name)
        ]
        if not elsewhere:
            return None
        return elsewhere.count(False) / len(elsewhere)

    def _outcomes(self, group: TaskGroup) -> deque[tuple[str, bool]]:
        return self._outcomes_by_group.setdefault(group, deque(maxlen=WINDOW_OUTCOMES))
