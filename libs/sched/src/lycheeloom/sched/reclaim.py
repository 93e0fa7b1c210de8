"""Takes back capacity from borrowers, batch work and zones out of service.

Tasks are checkpointed, or throttled if that is impossible, so that no work is lost.
"""

from __future__ import annotations

from .queues import Queues
from .state import SchedulerState
from .tasks import Decision, PreemptionReason, TaskRecord, TaskState

# A waiting task gets this long to start without preemption. Tasks that should end
# within this time are not preempted.
GRACE_S = 1.0
RECLAIM_INTERVAL_S = 0.5


class Reclaimer:
    """Preempts running tasks in favour of tasks that take precedence in the pool."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._next_reclaim_at = 0.0

    def evacuate(self, zones: set[str], now: float) -> list[Decision]:
        """Checkpoint the checkpointable tasks in zones taken out of service."""
        decisions: list[Decision] = []
        for worker in self._state.workers.worker_by_id.values():
            if worker.zone not in zones:
                continue
            for record in worker.running.values():
                if record.task.checkpointable and not record.checkpointing:
                    reason = PreemptionReason.ZONE_OUT
                    decisions.append(
                        self._state.request_checkpoint(record, reason, now)
                    )
        return decisions

    def reclaim(self, now: float) -> list[Decision]:
        """Preempt one task per subqueue whose oldest task has waited too long."""
        if now < self._next_reclaim_at:
            return []
        self._next_reclaim_at = now + RECLAIM_INTERVAL_S
        decisions: list[Decision] = []
        for pool in self._state.config.pool_by_id:
            if not self._state.reclaimable_count_by_pool[pool]:
                continue
            waiting = self._waiting_tasks(pool, now)
            if waiting:
                decisions.extend(self._reclaim_for(pool, waiting, now))
        return decisions

    def _waiting_tasks(self, pool: str, now: float) -> list[TaskRecord]:
        """Return the oldest tasks of the pool's own queues that waited too long."""
        state = self._state
        queues: Queues = state.queues
        waiting = []
        for organisation, subqueues in queues.subqueues_by_organisation(pool).items():
            if not state.may_run(organisation):
                continue
            for subqueue in subqueues.values():
                if queues.subqueue_has_batch_priority(subqueue, now):
                    continue
                record = subqueue.oldest()
                if record is not None and now - record.queued_at > GRACE_S:
                    waiting.append(record)
        return waiting

    def _reclaim_for(
        self, pool: str, waiting: list[TaskRecord], now: float
    ) -> list[Decision]:
        candidates = self._candidates(pool, now)
        decisions: list[Decision] = []
        if not candidates:
            return decisions
        usage_level = self._state.shares.usage_level
        waiting.sort(key=lambda record: usage_level(record.task.organisation))
        # Tasks of organisations furthest above their fair share are preempted first.
        candidates.sort(
            key=lambda item: (usage_level(item[0].task.organisation), item[0].sequence)
        )
        for record in waiting:
            if not candidates:
                break
            victim, reason = candidates[-1]
            is_borrower = reason is PreemptionReason.LOAN_RETURN
            if is_borrower and usage_level(record.task.organisation) >= usage_level(
                victim.task.organisation
            ):
                break
            candidates.pop()
            decisions.append(self._preempt(victim, reason, now))
        return decisions

    def _candidates(
        self, pool: str, now: float
    ) -> list[tuple[TaskRecord, PreemptionReason]]:
        """Return the borrowers and batch tasks of the pool that will not end soon.

        While a requested checkpoint is in progress in the pool, there are none.
        """
        state = self._state
        settings = state.config.pool_by_id[pool]
        found = []
        checkpoints_in_progress = 0
        for worker in state.workers.workers_in_pool(pool):
            for record in worker.running.values():
                if record.checkpointing:
                    checkpoints_in_progress += 1
                    continue
                if record.task.urgent or record.state is not TaskState.RUNNING:
                    continue
                if record.expected_end - now < GRACE_S and not self._overdue(
                    record, now
                ):
                    continue
                if state.queues.has_batch_priority(record, now):
                    found.append((record, PreemptionReason.BATCH_YIELD))
                elif not settings.spare and self._is_borrower(record, pool):
                    found.append((record, PreemptionReason.LOAN_RETURN))
        preemptible = [
            f for f in found if f[0].task.checkpointable or not f[0].throttled
        ]
        return preemptible if not checkpoints_in_progress else []

    def _is_borrower(self, record: TaskRecord, pool: str) -> bool:
        return self._state.queues.home_pool(record.task.queue) != pool

    def _overdue(self, record: TaskRecord, now: float) -> bool:
        """Return whether a task has run longer than expected by more than GRACE_S."""
        return now > record.expected_end + GRACE_S

    def _preempt(
        self, victim: TaskRecord, reason: PreemptionReason, now: float
    ) -> Decision:
        if victim.task.checkpointable:
            return self._state.request_checkpoint(victim, reason, now)
        return self._state.request_throttle(victim, reason, now)
