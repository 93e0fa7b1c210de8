"""Fills free capacity with queued tasks in the order of the organisations' levels."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping

from lycheeloom.model.config import Pool
from lycheeloom.model.resources import Resources

from .holds import Holds
from .lanes import Lane
from .reservations import Reservations
from .shares import LEVEL_STEP
from .state import SchedulerState
from .tasks import Decision, Task, TaskRecord
from .workers import Worker

# Capacity is left to a peer's organisation only if that organisation is lower by
# this part of
# a fair share; entries know each other's usage only up to a heartbeat ago.
HOLD_MARGIN = 0.02
# The running tasks of a small organisation vary by a few tasks all the time, which its
# own entries make good without capacity from others.
HOLD_TASKS = 3
# The part of the fleet assumed for a task of an organisation not run here yet.
UNKNOWN_TASK_SHARE = 0.01
# A pool's own queues come first only for organisations up to their fair share.
FAIR_LEVEL = 1.0 / LEVEL_STEP
# Everything is tried again this often, so that nothing waits on a missed cause.
SWEEP_S = 1.0

LanesByOrganisation = Mapping[str, Mapping[str, Lane]]
Placer = Callable[[TaskRecord, Resources], Worker | None]


class Filler:
    """Starts queued tasks.

    A pool serves its own queues first, for organisations within their fair share. What
    is left goes to the lowest organisations of any queue, from spare pools first, then
    from other pools. Batch work comes after interactive work.
    """

    def __init__(self, state: SchedulerState, reservations: Reservations) -> None:
        self._state = state
        self._reservations = reservations
        self._holds = Holds()
        self._next_sweep_at = 0.0
        self._sorted_pools: Mapping[str, Pool] = {}
        self._pool_order: list[str] = []

    def fill(self, now: float) -> list[Decision]:
        """Return the starts that use the capacity freed since the last call."""
        state = self._state
        freed = state.workers.freed_pools
        fresh = state.queues.fresh_lanes
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_S
            freed = freed | set(state.config.pool_by_id)
            for lane in state.queues.active_lanes():
                fresh[lane.organisation, lane.queue] = lane
        if not freed and not fresh:
            return []
        state.workers.freed_pools = set()
        state.queues.fresh_lanes = {}
        decisions: list[Decision] = []
        for yielding in (False, True) if state.queues.has_batch else (False,):
            self._fill_own(freed, fresh, yielding, now, decisions)
            self._lend(freed, fresh, yielding, now, decisions)
        # Starts refresh workers, which marks their pools as freed again.
        state.workers.freed_pools = set()
        return decisions

    def _fill_own(
        self,
        freed: set[str],
        fresh: Mapping[tuple[str, str], Lane],
        yielding: bool,
        now: float,
        decisions: list[Decision],
    ) -> None:
        state = self._state
        pools = set(freed)
        for _, queue in fresh:
            pools.add(state.queues.home_pool(queue))
        for pool in sorted(pools):
            if self._is_spare(pool) or not state.workers.has_room(pool):
                continue
            lanes = state.queues.lanes_by_organisation(pool)
            self._fill_pool(pool, False, lanes, yielding, now, decisions)

    def _lend(
        self,
        freed: set[str],
        fresh: dict[tuple[str, str], Lane],
        yielding: bool,
        now: float,
        decisions: list[Decision],
    ) -> None:
        """Give spare pools, then what pools leave, to lanes of any queue."""
        state = self._state
        fresh_lanes: dict[str, dict[str, Lane]] = {}
        for (organisation, queue), lane in fresh.items():
            if lane.count:
                fresh_lanes.setdefault(organisation, {})[queue] = lane
        if not fresh_lanes and not freed:
            return
        for pool in self._spare_first():
            if pool not in freed and not fresh_lanes:
                continue
            if not state.workers.has_room(pool):
                continue
            lanes: LanesByOrganisation = fresh_lanes
            if pool in freed:
                lanes = state.queues.all_lanes_by_organisation()
            self._fill_pool(pool, True, lanes, yielding, now, decisions)

    def _held(self, pool: str, now: float) -> bool:
        workers = self._state.workers
        return self._holds.active(
            pool,
            now,
            workers.has_room(pool),
            lambda: workers.peer_cores(pool),
        )

    def _fill_pool(
        self,
        pool: str,
        lent: bool,
        lanes_by_organisation: LanesByOrganisation,
        yielding: bool,
        now: float,
        decisions: list[Decision],
    ) -> None:
        state = self._state
        heap = [
            (state.shares.level(organisation), organisation)
            for organisation in lanes_by_organisation
            if state.may_run(organisation)
        ]
        if not heap:
            return
        heapq.heapify(heap)
        peer_organisations = self._peer_organisations(pool, lent, lanes_by_organisation)
        failed: dict[tuple, TaskRecord] = {}
        full_for: set[Resources] = set()
        while heap:
            level, organisation = heap[0]
            if not lent and level[0] > FAIR_LEVEL:
                # What is left goes to the lowest organisations of any queue.
                return
            if peer_organisations and self._left_to_peers(
                pool, level[0], peer_organisations, now
            ):
                return
            lanes = lanes_by_organisation.get(organisation)
            decision = None
            if lanes:
                decision = self._start_one(lanes, pool, yielding, now, failed, full_for)
            if decision is None:
                heapq.heappop(heap)
                continue
            decisions.append(decision)
            if not state.workers.has_room(pool):
                return
            if state.may_run(organisation):
                heapq.heapreplace(
                    heap, (state.shares.level(organisation), organisation)
                )
            else:
                heapq.heappop(heap)

    def _start_one(
        self,
        lanes: Mapping[str, Lane],
        pool: str,
        yielding: bool,
        now: float,
        failed: dict[tuple, TaskRecord],
        full_for: set[Resources],
    ) -> Decision | None:
        """Start the oldest task of an organisation that fits, if there is one."""
        state = self._state
        for lane in _by_age(lanes):
            if state.queues.lane_yields(lane, now) != yielding:
                continue
            for size_class, record in lane.heads():
                key = (lane.organisation, lane.queue, size_class)
                if key in failed:
                    continue
                need = state.need(record.task, pool)
                worker = self._place(record, need, pool, now, full_for)
                if worker is None:
                    failed[key] = record
                    self._reservations.consider(
                        lane, size_class, record, need, pool, now
                    )
                    continue
                for passed in failed.values():
                    if passed.passed_over_at is None:
                        passed.passed_over_at = now
                state.queues.take(lane, size_class)
                return state.start(record, worker, need, now)
        return None

    def _place(
        self,
        record: TaskRecord,
        need: Resources,
        pool: str,
        now: float,
        full_for: set[Resources],
    ) -> Worker | None:
        """Choose a worker; ``full_for`` keeps sizes that no longer fit."""
        task: Task = record.task
        excluded = self._state.excluded(record, now)
        if need not in full_for:
            worker = self._state.workers.place(need, pool, task.queue, excluded)
            if worker is not None:
                return worker
            if not excluded:
                full_for.add(need)
        return self._reservations.backfill(task, need, pool, excluded, now)

    def _peer_organisations(
        self, pool: str, lent: bool, lanes_by_organisation: LanesByOrganisation
    ) -> list[str]:
        """Return the organisations that wait for this pool at peers but not here."""
        state = self._state
        organisations = []
        for organisation, queues in state.peer_queues_by_organisation.items():
            if organisation in lanes_by_organisation:
                continue
            if lent or any(state.queues.home_pool(q) == pool for q in queues):
                organisations.append(organisation)
        if not organisations:
            self._holds.satisfied(pool)
        return organisations

    def _left_to_peers(
        self, pool: str, level: float, peer_organisations: list[str], now: float
    ) -> bool:
        """Tell whether free capacity is left to lower organisations at peers.

        Only as much is left free as would bring them up to this level.
        """
        state = self._state
        shares = state.shares
        lacking = 0.0
        for organisation in peer_organisations:
            below = (level - shares.level(organisation)[0]) * LEVEL_STEP
            fair = shares.fair_share(organisation)
            tolerated = max(
                HOLD_MARGIN * fair, HOLD_TASKS * shares.task_share(organisation)
            )
            task_share = shares.task_share(organisation) or UNKNOWN_TASK_SHARE
            wanted = state.peer_queued_by_organisation[organisation] * task_share
            lacking += min(wanted, max(0.0, below * fair - tolerated))
        if not lacking or state.workers.free_part(pool) > lacking:
            return False
        return self._held(pool, now)

    def _spare_first(self) -> list[str]:
        """Return all pools, sorted anew only when the configuration changed."""
        pools = self._state.config.pool_by_id
        if pools is not self._sorted_pools:
            self._sorted_pools = pools
            self._pool_order = sorted(pools, key=lambda p: not self._is_spare(p))
        return self._pool_order

    def _is_spare(self, pool: str) -> bool:
        settings = self._state.config.pool_by_id.get(pool)
        return settings is not None and settings.spare


def _by_age(lanes: Mapping[str, Lane]) -> list[Lane]:
    """Order an organisation's lanes by their oldest task."""
    if len(lanes) == 1:
        return list(lanes.values())
    aged = []
    for lane in lanes.values():
        oldest = lane.oldest()
        if oldest is not None:
            aged.append((oldest.sequence, lane))
    aged.sort(key=lambda item: item[0])
    return [lane for _, lane in aged]
