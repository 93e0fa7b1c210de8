"""Starts queued tasks on free capacity, in the order of weighted fair shares."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping

from lycheeloom.model.config import Pool
from lycheeloom.model.resources import Resources

from .deferrals import PeerDeferrals
from .reservations import Reservations
from .shares import USAGE_LEVEL_STEP
from .state import SchedulerState
from .subqueues import Subqueue
from .tasks import Decision, Task, TaskRecord
from .workers import Worker

# Capacity is left to an organisation at peers only if it is below the next one here by
# this fraction of its fair share, as entries know each other's usage only as of the
# last heartbeat.
DEFERRAL_MARGIN = 0.02
# The same as a number of tasks. The usage of a small organisation always varies by a
# few tasks, which its own entries correct without capacity from others.
DEFERRAL_MIN_TASKS = 3
# Dominant share assumed for a task of an organisation that has not run here yet.
DEFAULT_TASK_SHARE = 0.01
# Organisations above this usage level have no precedence in their queues' own pools.
FAIR_USAGE_LEVEL = 1.0 / USAGE_LEVEL_STEP
# All pools and subqueues are tried again this often, in case a change was missed.
SWEEP_INTERVAL_S = 1.0

SubqueuesByOrganisation = Mapping[str, Mapping[str, Subqueue]]
Placer = Callable[[TaskRecord, Resources], Worker | None]


class FairShareAllocator:
    """Starts queued tasks on free capacity.

    A pool serves its own queues first, for organisations within their fair share. What
    is left is lent to tasks of any queue, to the organisation with the lowest usage
    level first; spare pools are used before other pools. Batch work comes after
    interactive work.
    """

    def __init__(self, state: SchedulerState, reservations: Reservations) -> None:
        self._state = state
        self._reservations = reservations
        self._deferrals = PeerDeferrals()
        self._next_sweep_at = 0.0
        self._sorted_pools: Mapping[str, Pool] = {}
        self._pool_order: list[str] = []

    def allocate(self, now: float) -> list[Decision]:
        """Start the tasks that changes since the last call allow to start."""
        state = self._state
        freed = state.workers.freed_pools
        changed = state.queues.changed_subqueues
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_S
            freed = freed | set(state.config.pool_by_id)
            for subqueue in state.queues.active_subqueues():
                changed[subqueue.organisation, subqueue.queue] = subqueue
        if not freed and not changed:
            return []
        state.workers.freed_pools = set()
        state.queues.changed_subqueues = {}
        decisions: list[Decision] = []
        for batch_priority in (False, True) if state.queues.has_batch else (False,):
            self._allocate_home_pools(freed, changed, batch_priority, now, decisions)
            self._lend_leftover_capacity(freed, changed, batch_priority, now, decisions)
        # Starts refresh workers, which marks their pools as freed again.
        state.workers.freed_pools = set()
        return decisions

    def _allocate_home_pools(
        self,
        freed: set[str],
        changed: Mapping[tuple[str, str], Subqueue],
        batch_priority: bool,
        now: float,
        decisions: list[Decision],
    ) -> None:
        state = self._state
        pools = set(freed)
        for _, queue in changed:
            pools.add(state.queues.home_pool(queue))
        for pool in sorted(pools):
            if self._is_spare(pool) or not state.workers.has_room(pool):
                continue
            subqueues = state.queues.subqueues_by_organisation(pool)
            self._allocate_pool(pool, False, subqueues, batch_priority, now, decisions)

    def _lend_leftover_capacity(
        self,
        freed: set[str],
        changed: dict[tuple[str, str], Subqueue],
        batch_priority: bool,
        now: float,
        decisions: list[Decision],
    ) -> None:
        """Lend spare pools, then what other pools have left, to tasks of any queue."""
        state = self._state
        changed_subqueues: dict[str, dict[str, Subqueue]] = {}
        for (organisation, queue), subqueue in changed.items():
            if subqueue.count:
                changed_subqueues.setdefault(organisation, {})[queue] = subqueue
        if not changed_subqueues and not freed:
            return
        for pool in self._pools_spare_first():
            if pool not in freed and not changed_subqueues:
                continue
            if not state.workers.has_room(pool):
                continue
            subqueues: SubqueuesByOrganisation = changed_subqueues
            if pool in freed:
                subqueues = state.queues.all_subqueues_by_organisation()
            self._allocate_pool(pool, True, subqueues, batch_priority, now, decisions)

    def _defers_to_peers(self, pool: str, now: float) -> bool:
        workers = self._state.workers
        return self._deferrals.defers(
            pool,
            now,
            workers.has_room(pool),
            lambda: workers.peer_cores(pool),
        )

    def _allocate_pool(
        self,
        pool: str,
        lending: bool,
        subqueues_by_organisation: SubqueuesByOrganisation,
        batch_priority: bool,
        now: float,
        decisions: list[Decision],
    ) -> None:
        state = self._state
        heap = [
            (state.shares.usage_level(organisation), organisation)
            for organisation in subqueues_by_organisation
            if state.may_run(organisation)
        ]
        if not heap:
            return
        heapq.heapify(heap)
        peer_organisations = self._peer_organisations(
            pool, lending, subqueues_by_organisation
        )
        unplaced: dict[tuple, TaskRecord] = {}
        unplaceable_sizes: set[Resources] = set()
        while heap:
            usage_level, organisation = heap[0]
            if not lending and usage_level[0] > FAIR_USAGE_LEVEL:
                # The rest is lent by ``_lend_leftover_capacity``.
                return
            if peer_organisations and self._should_leave_to_peers(
                pool, usage_level[0], peer_organisations, now
            ):
                return
            subqueues = subqueues_by_organisation.get(organisation)
            decision = None
            if subqueues:
                decision = self._start_one(
                    subqueues, pool, batch_priority, now, unplaced, unplaceable_sizes
                )
            if decision is None:
                heapq.heappop(heap)
                continue
            decisions.append(decision)
            if not state.workers.has_room(pool):
                return
            if state.may_run(organisation):
                heapq.heapreplace(
                    heap, (state.shares.usage_level(organisation), organisation)
                )
            else:
                heapq.heappop(heap)

    def _start_one(
        self,
        subqueues: Mapping[str, Subqueue],
        pool: str,
        batch_priority: bool,
        now: float,
        unplaced: dict[tuple, TaskRecord],
        unplaceable_sizes: set[Resources],
    ) -> Decision | None:
        """Start the oldest task of an organisation that fits, if there is one."""
        state = self._state
        for subqueue in _by_oldest_task(subqueues):
            if (
                state.queues.subqueue_has_batch_priority(subqueue, now)
                != batch_priority
            ):
                continue
            for size_class, record in subqueue.heads():
                key = (subqueue.organisation, subqueue.queue, size_class)
                if key in unplaced:
                    continue
                need = state.need(record.task, pool)
                worker = self._place(record, need, pool, now, unplaceable_sizes)
                if worker is None:
                    unplaced[key] = record
                    self._reservations.reserve_if_starved(
                        subqueue, size_class, record, need, pool, now
                    )
                    continue
                for passed in unplaced.values():
                    if passed.passed_over_at is None:
                        passed.passed_over_at = now
                state.queues.take(subqueue, size_class)
                return state.start(record, worker, need, now)
        return None

    def _place(
        self,
        record: TaskRecord,
        need: Resources,
        pool: str,
        now: float,
        unplaceable_sizes: set[Resources],
    ) -> Worker | None:
        """Choose a worker; collect sizes that fit nowhere in ``unplaceable_sizes``."""
        task: Task = record.task
        excluded = self._state.excluded(record, now)
        if need not in unplaceable_sizes:
            worker = self._state.workers.place(need, pool, task.queue, excluded)
            if worker is not None:
                return worker
            if not excluded:
                unplaceable_sizes.add(need)
        return self._reservations.backfill(task, need, pool, excluded, now)

    def _peer_organisations(
        self,
        pool: str,
        lending: bool,
        subqueues_by_organisation: SubqueuesByOrganisation,
    ) -> list[str]:
        """Return the organisations that wait for the pool at peers but not here."""
        state = self._state
        organisations = []
        for organisation, queues in state.peer_queues_by_organisation.items():
            if organisation in subqueues_by_organisation:
                continue
            if lending or any(state.queues.home_pool(q) == pool for q in queues):
                organisations.append(organisation)
        if not organisations:
            self._deferrals.cancel(pool)
        return organisations

    def _should_leave_to_peers(
        self, pool: str, usage_level: float, peer_organisations: list[str], now: float
    ) -> bool:
        """Return whether to leave free capacity to organisations at peers.

        At most as much is left free as would bring them up to ``usage_level``.
        """
        state = self._state
        shares = state.shares
        deficit = 0.0
        for organisation in peer_organisations:
            gap = (usage_level - shares.usage_level(organisation)[0]) * USAGE_LEVEL_STEP
            fair = shares.fair_share(organisation)
            tolerated = max(
                DEFERRAL_MARGIN * fair,
                DEFERRAL_MIN_TASKS * shares.mean_task_share(organisation),
            )
            mean_task_share = shares.mean_task_share(organisation) or DEFAULT_TASK_SHARE
            wanted = state.peer_queued_by_organisation[organisation] * mean_task_share
            deficit += min(wanted, max(0.0, gap * fair - tolerated))
        if not deficit or state.workers.free_fraction(pool) > deficit:
            return False
        return self._defers_to_peers(pool, now)

    def _pools_spare_first(self) -> list[str]:
        """Return all pools, spare ones first; sorted only when the pools changed."""
        pools = self._state.config.pool_by_id
        if pools is not self._sorted_pools:
            self._sorted_pools = pools
            self._pool_order = sorted(pools, key=lambda p: not self._is_spare(p))
        return self._pool_order

    def _is_spare(self, pool: str) -> bool:
        settings = self._state.config.pool_by_id.get(pool)
        return settings is not None and settings.spare


def _by_oldest_task(subqueues: Mapping[str, Subqueue]) -> list[Subqueue]:
    """Order an organisation's subqueues by their oldest task."""
    if len(subqueues) == 1:
        return list(subqueues.values())
    by_sequence = []
    for subqueue in subqueues.values():
        oldest = subqueue.oldest()
        if oldest is not None:
            by_sequence.append((oldest.sequence, subqueue))
    by_sequence.sort(key=lambda item: item[0])
    return [subqueue for _, subqueue in by_sequence]
