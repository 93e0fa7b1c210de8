"""Takes capacity back without losing work: loans, batch work, zones out."""

from __future__ import annotations

from .queues import Queues
from .state import SchedulerState
from .tasks import CheckpointReason, Decision, TaskRecord, TaskState

# Short tasks are left to end by themselves within this time.
GRACE_S = 1.0
SCAN_INTERVAL_S = 0.5


class Reclaim:
    """Asks running tasks to make room for those that have a better claim."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._next_scan_at = 0.0

    def evacuate(self, zones: set[str], now: float) -> list[Decision]:
        """Checkpoint what can be checkpointed in zones taken out of service."""
        decisions: list[Decision] = []
        for worker in self._state.workers.worker_by_id.values():
            if worker.zone not in zones:
                continue
            for record in worker.running.values():
                if record.task.checkpointable and not record.checkpointing:
                    reason = CheckpointReason.ZONE_OUT
                    decisions.append(self._state.ask_checkpoint(record, reason, now))
        return decisions

    def scan(self, now: float) -> list[Decision]:
        """Ask for as much room as interactive tasks have waited for."""
        if now < self._next_scan_at:
            return []
        self._next_scan_at = now + SCAN_INTERVAL_S
        decisions: list[Decision] = []
        for pool in self._state.config.pool_by_id:
            if not self._state.lent_by_pool[pool]:
                continue
            waiting = self._waiting(pool, now)
            if waiting:
                decisions.extend(self._take_back(pool, waiting, now))
        return decisions

    def _waiting(self, pool: str, now: float) -> list[TaskRecord]:
        """Return the tasks of the pool's own queues that waited too long."""
        state = self._state
        queues: Queues = state.queues
        waiting = []
        for organisation, lanes in queues.lanes_by_organisation(pool).items():
            if not state.may_run(organisation):
                continue
            for lane in lanes.values():
                if queues.lane_yields(lane, now):
                    continue
                record = lane.oldest()
                if record is not None and now - record.queued_at > GRACE_S:
                    waiting.append(record)
        return waiting

    def _take_back(
        self, pool: str, waiting: list[TaskRecord], now: float
    ) -> list[Decision]:
        candidates = self._candidates(pool, now)
        decisions: list[Decision] = []
        if not candidates:
            return decisions
        level = self._state.shares.level
        waiting.sort(key=lambda record: level(record.task.organisation))
        # The organisations furthest above their share give way first.
        candidates.sort(
            key=lambda item: (level(item[0].task.organisation), item[0].sequence)
        )
        for record in waiting:
            if not candidates:
                break
            victim, reason = candidates[-1]
            same_kind = reason is CheckpointReason.LOAN_RETURN
            if same_kind and level(record.task.organisation) >= level(
                victim.task.organisation
            ):
                break
            candidates.pop()
            decisions.append(self._ask(victim, reason, now))
        return decisions

    def _candidates(
        self, pool: str, now: float
    ) -> list[tuple[TaskRecord, CheckpointReason]]:
        """Return borrowers and batch tasks on the pool that will run longer."""
        state = self._state
        settings = state.config.pool_by_id[pool]
        found = []
        pending = 0
        for worker in state.workers.in_pool(pool):
            for record in worker.running.values():
                if record.checkpointing:
                    pending += 1
                    continue
                if record.task.urgent or record.state is not TaskState.RUNNING:
                    continue
                if record.expected_end - now < GRACE_S and not self._overdue(
                    record, now
                ):
                    continue
                if state.queues.yields(record, now):
                    found.append((record, CheckpointReason.BATCH_YIELD))
                elif not settings.spare and self._is_borrower(record, pool):
                    found.append((record, CheckpointReason.LOAN_RETURN))
        usable = [f for f in found if f[0].task.checkpointable or not f[0].throttled]
        return usable if not pending else []

    def _is_borrower(self, record: TaskRecord, pool: str) -> bool:
        return self._state.queues.home_pool(record.task.queue) != pool

    def _overdue(self, record: TaskRecord, now: float) -> bool:
        """Tell whether a task has run far longer than was expected."""
        return now > record.expected_end + GRACE_S

    def _ask(
        self, victim: TaskRecord, reason: CheckpointReason, now: float
    ) -> Decision:
        if victim.task.checkpointable:
            return self._state.ask_checkpoint(victim, reason, now)
        return self._state.ask_throttle(victim, reason, now)
