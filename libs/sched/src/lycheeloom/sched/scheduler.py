"""The scheduler of one entry. It does no I/O, and callers pass in the time."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import Resources
from lycheeloom.model.verdict import Refusal, RefusalReason

from .admission import Admission
from .allocator import FairShareAllocator
from .events import (
    FleetEvent,
    OrganisationEvent,
    TaskEvent,
    WorkerOnProbation,
    WorkerReturned,
    ZoneChanged,
)
from .explain import explain_organisation, explain_task
from .outages import RackOutages
from .reclaim import Reclaimer
from .reservations import Reservations
from .state import SchedulerState
from .subqueues import Subqueue
from .tasks import (
    Accepted,
    Decision,
    Expire,
    Held,
    OrganisationUsage,
    Outcome,
    Task,
    TaskRecord,
    TaskState,
    UsageReport,
)
from .trials import Trials
from .urgent import UrgentPlacement
from .workers import WorkerTable

# Even the oldest task waits until capacity becomes free. Peers are told only of
# subqueues that have waited longer, so that they keep no capacity idle in vain.
REPORT_AFTER_S = 0.25


class Scheduler:
    """Decides which queued task starts next and where.

    The entry daemon reports what happens and carries out the decisions:

        scheduler = Scheduler(config, seed=1)
        scheduler.set_grants({"search": 10})
        scheduler.observe_worker("w1", True, None, "boot-1", now=0.0)
        scheduler.submit(Task("t1", "search", "lookups"), now=0.0)
        for decision in scheduler.next_decisions(now=0.0):
            match decision:
                case Start(task, worker): ...

    All times are seconds of one monotonic clock.
    """

    def __init__(self, config: FleetConfig, seed: int) -> None:
        state = SchedulerState(WorkerTable(seed))
        self._state = state
        self._admission = Admission(state)
        self._reservations = Reservations(state)
        self._allocator = FairShareAllocator(state, self._reservations)
        self._urgent = UrgentPlacement(state, self._reservations)
        self._reclaimer = Reclaimer(state)
        self._trials = Trials(state)
        self._outages = RackOutages(state)
        self._deadlines: list[tuple[float, str]] = []
        self._pending_decisions: list[Decision] = []
        self._now = 0.0
        self.set_config(config, 0.0)

    def set_config(self, config: FleetConfig, now: float) -> None:
        """Apply a configuration; nothing more starts in zones out of service."""
        state = self._state
        self._now = now
        state.config = config
        state.shares.set_config(config, now)
        taken_out, returned = state.workers.set_config(config, now)
        state.queues.set_config(config)
        self._refuse_disallowed(now)
        for zone in sorted(taken_out | returned):
            state.fleet_events.append(ZoneChanged(now, zone, zone in taken_out))
        if taken_out:
            self._pending_decisions.extend(self._reclaimer.evacuate(taken_out, now))
        for subqueue in state.queues.active_subqueues():
            state.queues.changed_subqueues[subqueue.organisation, subqueue.queue] = (
                subqueue
            )

    def set_pool_by_instance(self, mapping: Mapping[str, str]) -> None:
        """Set the pool that each worker is in now, known from replay of the log."""
        self._state.workers.set_pool_by_instance(mapping, self._now)

    def observe_worker(
        self,
        worker_id: str,
        available: bool,
        free: Resources | None,
        boot_id: str,
        now: float,
    ) -> None:
        """Apply what a worker reported; ``free`` is None if not known."""
        self._now = now
        state = self._state
        worker = state.workers.worker_by_id.get(worker_id)
        if worker is None:
            return
        if boot_id and boot_id != worker.boot_id:
            if worker.boot_id:
                state.probation.rebooted(worker_id)
            worker.boot_id = boot_id
        if available != worker.available:
            event = self._outages.observe(worker, available, now)
            if event is not None:
                state.fleet_events.append(event)
        state.workers.observe(worker, available, free, now)

    def set_probation(self, worker_id: str, on_probation: bool, now: float) -> None:
        """Apply a fleet-wide decision on the probation of a worker."""
        worker = self._state.workers.worker_by_id.get(worker_id)
        if worker is None:
            return
        probation = self._state.probation
        if on_probation and probation.put_on_probation(worker_id, now):
            self._trials.begin_probation(worker, now)
            self._state.fleet_events.append(WorkerOnProbation(now, worker_id))
        elif not on_probation and probation.end(worker_id):
            self._trials.end_probation(worker, now)
            self._state.fleet_events.append(WorkerReturned(now, worker_id))

    def set_grants(self, slots_by_organisation: Mapping[str, int]) -> None:
        """Set how many tasks of each organisation this entry may run at once."""
        state = self._state
        before = state.grant_by_organisation
        state.grant_by_organisation = dict(slots_by_organisation)
        for organisation, slots in slots_by_organisation.items():
            if slots > before.get(organisation, 0):
                state.queues.mark_organisation_changed(organisation)

    def set_peer_usage(
        self,
        usage_by_peer: Mapping[str, Mapping[str, OrganisationUsage]],
        reserved_workers: Iterable[str] = (),
    ) -> None:
        """Set the usage of all peers and the workers they have reserved."""
        state = self._state
        state.shares.set_peer_usage(usage_by_peer, self._now)
        state.workers.set_reserved_by_peers(reserved_workers, self._now)
        queued_by_organisation: Counter[str] = Counter()
        queues_by_organisation: dict[str, set[str]] = {}
        for usage_by_organisation in usage_by_peer.values():
            for organisation, usage in usage_by_organisation.items():
                for queue, count in usage.queued_by_queue.items():
                    if count:
                        queued_by_organisation[organisation] += count
                        queues_by_organisation.setdefault(organisation, set()).add(
                            queue
                        )
        state.peer_queued_by_organisation = queued_by_organisation
        state.peer_queues_by_organisation = queues_by_organisation

    def observe_usage(self, reports: Iterable[UsageReport], now: float) -> None:
        """Correct sizes by usage reports; charge running tasks that exceed theirs."""
        self._now = now
        for report in reports:
            record = self._state.record_by_id.get(report.task_id)
            if record is not None and record.state is TaskState.RUNNING:
                self._raise_need(record, report.peak, now)
            self._state.sizes.observe(report)

    def submit(self, task: Task, now: float) -> Accepted | Held | Refusal:
        """Queue a task or refuse it; a repeated id is accepted without effect."""
        self._now = now
        if task.id in self._state.record_by_id:
            return Accepted()
        verdict = self._admission.check(task, now)
        match verdict:
            case Refusal(reason, message):
                self._state.record_refusal(task, reason.value, message, now)
                return verdict
            case Held(message):
                self._state.enqueue(task, now, f"held, {message}")
            case Accepted():
                self._state.enqueue(task, now, "accepted")
        if task.deadline is not None:
            heapq.heappush(self._deadlines, (task.deadline, task.id))
        return verdict

    def cancel(self, task_ids: Iterable[str], now: float) -> tuple[str, ...]:
        """Remove tasks that do not run; return those that certainly will not run.

        Running tasks are not touched: the caller cancels them at the worker.
        """
        self._now = now
        state = self._state
        cancelled = []
        for task_id in task_ids:
            record = state.record_by_id.get(task_id)
            if record is None or record.state is TaskState.RUNNING:
                continue
            if record.state is TaskState.QUEUED:
                state.queues.discard(record)
            state.forget(record, "cancelled before it ran", now)
            cancelled.append(task_id)
        return tuple(cancelled)

    def next_decisions(self, now: float) -> Sequence[Decision]:
        """Make and return all decisions that are possible now."""
        self._now = now
        state = self._state
        state.workers.advance_ramps(now)
        decisions: list[Decision] = self._pending_decisions
        self._pending_decisions = []
        decisions.extend(self._expire(now))
        decisions.extend(self._reservations.start_ready(now))
        decisions.extend(self._urgent.place(now))
        decisions.extend(self._trials.start(now))
        decisions.extend(self._allocator.allocate(now))
        decisions.extend(self._reclaimer.reclaim(now))
        return decisions

    def finished(self, task_id: str, outcome: Outcome, now: float) -> None:
        """Release a started task.

        A task refused by its worker waits for ``requeue``, one stopped by a
        checkpoint is queued again, and any other is removed.
        """
        self._now = now
        state = self._state
        record = state.record_by_id.get(task_id)
        if record is None or record.state is not TaskState.RUNNING:
            return
        state.release(record, now)
        self._apply_outcome(record, outcome, now)
        if outcome is Outcome.REFUSED_BY_WORKER:
            record.state = TaskState.AWAITING_REQUEUE
            return
        if outcome is Outcome.STOPPED and record.checkpointing:
            state.requeue(record, now, "checkpointed", frozenset())
            return
        state.forget(record, outcome.value, now)

    def requeue(self, task_id: str, excluded_worker: str) -> None:
        """Queue a task again that a worker refused without running it."""
        state = self._state
        record = state.record_by_id.get(task_id)
        if record is None:
            return
        if record.state is TaskState.RUNNING:
            self.finished(task_id, Outcome.REFUSED_BY_WORKER, self._now)
        if record.state is not TaskState.AWAITING_REQUEUE:
            return
        reason = f"refused by worker {excluded_worker}"
        state.requeue(record, self._now, reason, frozenset({excluded_worker}))
        if record.task.deadline is not None:
            heapq.heappush(self._deadlines, (record.task.deadline, task_id))

    def has_queued(self) -> bool:
        """Return whether any task waits for its start."""
        return any(self._state.queues.count_by_organisation.values())

    def is_queued(self, task_id: str) -> bool:
        """Return whether a task waits for its start."""
        record = self._state.record_by_id.get(task_id)
        return record is not None and record.state is TaskState.QUEUED

    def demand_by_organisation(self) -> dict[str, int]:
        """Return running plus queued tasks per organisation, to request grants."""
        state = self._state
        demand = {t: n for t, n in state.queues.count_by_organisation.items() if n}
        for organisation in state.shares.organisations():
            running = state.shares.running(organisation)
            if running:
                demand[organisation] = demand.get(organisation, 0) + running
        return demand

    def usage_by_organisation(self) -> dict[str, OrganisationUsage]:
        """Return the usage of this entry, for its peers."""
        state = self._state
        usage = {}
        for organisation in self.demand_by_organisation():
            queued_by_queue = {}
            if state.may_run(organisation):
                subqueues = state.queues.all_subqueues_by_organisation().get(
                    organisation, {}
                )
                queued_by_queue = {
                    queue: subqueue.count
                    for queue, subqueue in subqueues.items()
                    if self._has_waited(subqueue)
                }
            usage[organisation] = OrganisationUsage(
                state.shares.running_resources(organisation),
                state.queues.count_by_organisation[organisation],
                queued_by_queue,
            )
        return usage

    def reserved_workers(self) -> tuple[str, ...]:
        """Return the workers that peers should leave free for this entry."""
        return self._reservations.published_worker_ids()

    def explain(self, task_id: str) -> tuple[TaskEvent, ...]:
        """Return the events of a task, oldest first, then why it waits."""
        return explain_task(self._state, task_id, self._now)

    def explain_organisation(self, organisation: str) -> tuple[OrganisationEvent, ...]:
        """Return the status of an organisation and its latest refusals."""
        return explain_organisation(self._state, organisation, self._now)

    def fleet_events(self) -> tuple[FleetEvent, ...]:
        """Return the latest events of workers, racks and zones."""
        return tuple(self._state.fleet_events)

    def _expire(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            deadline, task_id = heapq.heappop(self._deadlines)
            record = self._state.record_by_id.get(task_id)
            if record is None or record.task.deadline != deadline:
                continue
            if record.state is TaskState.RUNNING:
                continue
            if record.state is TaskState.QUEUED:
                self._state.queues.discard(record)
            message = "the task could not start before its deadline"
            refusal = Refusal(RefusalReason.DEADLINE, message)
            self._state.record_refusal(record.task, refusal.reason.value, message, now)
            self._state.forget(record, "deadline passed before it ran", now)
            decisions.append(Expire(record.task, refusal))
        return decisions

    def _refuse_disallowed(self, now: float) -> None:
        """Refuse queued tasks whose queue is gone or closed to their organisation."""
        state = self._state
        for record in list(state.record_by_id.values()):
            if record.state is TaskState.RUNNING:
                continue
            refusal = self._admission.check_allowed(record.task)
            if refusal is None:
                continue
            if record.state is TaskState.QUEUED:
                state.queues.discard(record)
            state.forget(record, "no longer allowed", now)
            self._pending_decisions.append(Expire(record.task, refusal))

    def _has_waited(self, subqueue: Subqueue) -> bool:
        oldest = subqueue.oldest()
        return oldest is not None and self._now - oldest.queued_at > REPORT_AFTER_S

    def _raise_need(self, record: TaskRecord, peak: Resources, now: float) -> None:
        need = record.need
        extra = Resources(
            max(0.0, peak.cores - need.cores),
            max(0, peak.memory_mb - need.memory_mb),
            max(0, peak.accelerators - need.accelerators),
        )
        if extra == Resources():
            return
        worker = self._state.workers.worker_by_id.get(record.worker)
        if worker is not None and record.task.id in worker.running:
            self._state.workers.resize(worker, extra, now)
        record.need = need + extra
        self._state.shares.resized(record.task.organisation, extra, now)

    def _apply_outcome(self, record: TaskRecord, outcome: Outcome, now: float) -> None:
        state = self._state
        worker = state.workers.worker_by_id.get(record.worker)
        if worker is None:
            return
        task = record.task
        group = (task.organisation, task.queue)
        match outcome:
            case Outcome.DONE:
                if state.probation.record_success(worker.id, task.id, group):
                    self._trials.end_probation(worker, now)
                    state.fleet_events.append(WorkerReturned(now, worker.id))
            case Outcome.FAILED:
                if self._outages.rack_is_lost(worker.rack):
                    return
                if state.probation.record_failure(worker.id, task.id, group, now):
                    self._trials.begin_probation(worker, now)
                    state.fleet_events.append(WorkerOnProbation(now, worker.id))
            case Outcome.STOPPED:
                state.probation.discard_trial(worker.id, task.id)
            case Outcome.REFUSED_BY_WORKER:
                state.probation.discard_trial(worker.id, task.id)
                # Starts nothing there until the worker reports its free capacity.
                state.workers.observe(worker, worker.available, Resources(), now)
