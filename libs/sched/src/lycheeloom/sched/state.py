"""The state that all parts of the scheduler share, and its basic operations."""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import NO_RESOURCES, Resources

from .events import (
    FleetEvent,
    PreemptionRequested,
    TaskEnded,
    TaskEvent,
    TaskQueued,
    TaskRefused,
    TaskStarted,
)
from .probation import Probation
from .queues import Queues
from .shares import OrganisationShares
from .sizes import SizeEstimator
from .tasks import (
    Checkpoint,
    PreemptionReason,
    Start,
    Task,
    TaskRecord,
    TaskState,
    Throttle,
)
from .waits import WaitEstimator
from .workers import Worker, WorkerTable

MAX_EVENTS_PER_TASK = 20
MAX_EVENTS_PER_ORGANISATION = 50
MAX_FLEET_EVENTS = 500
# Ended tasks whose events are kept for explanations.
EXPLAINABLE_ENDED_TASKS = 2_000
# A worker that refused a task is not offered the task again for this long.
EXCLUSION_S = 2.0


@dataclass(slots=True, eq=False)
class SchedulerState:
    """State that all parts of the scheduler read and change."""

    workers: WorkerTable
    config: FleetConfig = field(default_factory=FleetConfig)
    shares: OrganisationShares = field(default_factory=OrganisationShares)
    queues: Queues = field(default_factory=Queues)
    sizes: SizeEstimator = field(default_factory=SizeEstimator)
    probation: Probation = field(default_factory=Probation)
    waits: WaitEstimator = field(default_factory=WaitEstimator)
    record_by_id: dict[str, TaskRecord] = field(default_factory=dict)
    grant_by_organisation: Mapping[str, int] = field(default_factory=dict)
    # Queued tasks that the peers' grants allow them to start.
    peer_queued_by_organisation: Counter[str] = field(default_factory=Counter)
    peer_queues_by_organisation: dict[str, set[str]] = field(default_factory=dict)
    fleet_events: deque[FleetEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_FLEET_EVENTS)
    )
    events_by_ended_task: OrderedDict[str, list[TaskEvent]] = field(
        default_factory=OrderedDict
    )
    refusals_by_organisation: dict[str, deque[TaskRefused]] = field(
        default_factory=dict
    )
    # Running tasks of this entry that borrow capacity or are batch work.
    reclaimable_count_by_pool: Counter[str] = field(default_factory=Counter)
    sequence: int = 0

    def may_run(self, organisation: str) -> bool:
        """Return whether the grant allows the organisation one more running task.

        Callers of open queues that are not a configured organisation have no upper
        limit and therefore no grants.
        """
        if organisation not in self.config.organisation_by_id:
            return True
        return self.shares.running(organisation) < self.grant_by_organisation.get(
            organisation, 0
        )

    def need(self, task: Task, pool: str) -> Resources:
        """Return the resources to reserve for a task on a worker of the pool.

        A correction never makes a task too large for a pool whose workers are large
        enough for its declared size.
        """
        corrected = self.sizes.corrected_size(task)
        if corrected is task.resources:
            return corrected
        sizes = self.workers.worker_sizes(pool)
        if any(corrected.fits_in(size) for size in sizes):
            return corrected
        for size in sizes:
            if task.resources.fits_in(size):
                return Resources(
                    min(corrected.cores, size.cores),
                    min(corrected.memory_mb, size.memory_mb),
                    min(corrected.accelerators, size.accelerators),
                )
        return corrected

    def excluded(self, record: TaskRecord, now: float) -> frozenset[str]:
        """Return the workers that must not be offered the task now."""
        if record.excluded and now - record.queued_at < EXCLUSION_S:
            return record.excluded | record.task.excluded_workers
        return record.task.excluded_workers

    def enqueue(self, task: Task, now: float, reason: str) -> TaskRecord:
        """Queue a new task."""
        self.sequence += 1
        record = TaskRecord(task, self.sequence, now)
        self.record_by_id[task.id] = record
        self.queues.add(record)
        append_event(record, TaskQueued(now, task.queue, reason))
        return record

    def requeue(
        self, record: TaskRecord, now: float, reason: str, excluded: frozenset[str]
    ) -> TaskRecord:
        """Queue a task in front again that was checkpointed or refused by a worker.

        The record is replaced, because subqueues drop removed records only later.
        """
        again = replace(
            record,
            state=TaskState.QUEUED,
            worker="",
            pool="",
            need=NO_RESOURCES,
            queued_at=now if excluded else record.queued_at,
            excluded=excluded,
            checkpointing=False,
            throttled=False,
            passed_over_at=None,
        )
        self.record_by_id[record.task.id] = again
        self.queues.add(again, first=True)
        append_event(again, TaskQueued(now, record.task.queue, reason))
        return again

    def start(
        self, record: TaskRecord, worker: Worker, need: Resources, now: float
    ) -> Start:
        """Start a task that has left its queue, and charge its organisation."""
        task = record.task
        record.state = TaskState.RUNNING
        record.worker = worker.id
        record.pool = worker.pool
        record.need = need
        record.started_at = now
        record.expected_end = now + self.sizes.corrected_run_s(task)
        self.workers.attach(worker, record, now)
        self.shares.started(task.organisation, need, now)
        self.sizes.remember(task)
        self.waits.record_start(task.organisation, task.queue, now)
        borrowed = worker.pool != self.queues.home_pool(task.queue)
        record.reclaimable = borrowed or self.queues.is_batch(task.queue)
        self.reclaimable_count_by_pool[worker.pool] += record.reclaimable
        append_event(record, TaskStarted(now, worker.id, worker.pool, need, borrowed))
        return Start(task, worker.id, need)

    def release(self, record: TaskRecord, now: float) -> None:
        """Free the running slot and the capacity of a task that ended."""
        worker = self.workers.worker_by_id.get(record.worker)
        if worker is not None and record.task.id in worker.running:
            self.workers.detach(worker, record, now)
        self.reclaimable_count_by_pool[record.pool] -= record.reclaimable
        organisation = record.task.organisation
        was_at_grant = not self.may_run(organisation)
        self.shares.ended(organisation, record.need, now)
        if was_at_grant:
            self.queues.mark_organisation_changed(organisation)

    def forget(self, record: TaskRecord, outcome: str, now: float) -> None:
        """Remove an ended task; its events stay for explanations."""
        record.state = TaskState.ENDED
        del self.record_by_id[record.task.id]
        append_event(record, TaskEnded(now, record.worker or "no worker", outcome))
        self.events_by_ended_task[record.task.id] = record.events
        if len(self.events_by_ended_task) > EXPLAINABLE_ENDED_TASKS:
            self.events_by_ended_task.popitem(last=False)

    def request_checkpoint(
        self, record: TaskRecord, reason: PreemptionReason, now: float
    ) -> Checkpoint:
        """Preempt a running task by a checkpoint; it is queued again afterwards."""
        record.checkpointing = True
        append_event(record, PreemptionRequested(now, "checkpoint", reason.value))
        return Checkpoint(record.task.id, reason)

    def request_throttle(
        self, record: TaskRecord, reason: PreemptionReason, now: float
    ) -> Throttle:
        """Request that a running task is slowed down."""
        record.throttled = True
        append_event(record, PreemptionRequested(now, "throttle", reason.value))
        return Throttle(record.task.id)

    def record_refusal(self, task: Task, reason: str, message: str, now: float) -> None:
        """Keep the refusal of a task for the explanation of its organisation."""
        refusals = self.refusals_by_organisation.get(task.organisation)
        if refusals is None:
            refusals = deque(maxlen=MAX_EVENTS_PER_ORGANISATION)
            self.refusals_by_organisation[task.organisation] = refusals
        refusals.append(TaskRefused(now, task.id, reason, message))


def append_event(record: TaskRecord, event: TaskEvent) -> None:
    """Append an event of a task; when full, the oldest but the first is dropped."""
    if len(record.events) >= MAX_EVENTS_PER_TASK:
        del record.events[1]
    record.events.append(event)
