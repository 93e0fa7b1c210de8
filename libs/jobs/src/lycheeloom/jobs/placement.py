"""Selects workers for tasks."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Collection, Sequence

from lycheeloom.model.resources import NO_RESOURCES, Resources

from .fleet import Fleet, WorkerState
from .model import Step

# Allows for rounding errors in sums of fractions of cores.
TOLERANCE_CORES = 1e-6

_Rank = tuple[bool, bool, bool, int, bool, bool, float]


def fits(need: Resources, free: Resources) -> bool:
    """Return whether a task fits, tolerating rounding errors in the core count."""
    return (
        need.cores <= free.cores + TOLERANCE_CORES
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
    )


def is_at_least(need: Resources, other_need: Resources) -> bool:
    """Return whether a need is not smaller than another one in any respect."""
    return (
        need.cores >= other_need.cores
        and need.memory_mb >= other_need.memory_mb
        and need.accelerators >= other_need.accelerators
    )


def unusable_reason(
    state: WorkerState, zones_out_of_service: Collection[str], now_s: float
) -> str:
    """Return why no task may start on a worker; an empty string if one may."""
    if not state.has_current_lists:
        return "no lists"
    if state.awaits_description:
        return "not described"
    if state.is_cordoned:
        return "cordoned"
    if state.worker.draining:
        return "draining"
    if state.worker.zone in zones_out_of_service:
        return "zone out of service"
    if state.backoff_until_s > now_s:
        return "backoff"
    return ""


class UsableWorkers:
    """The workers on which tasks may start, by pool, for one planning round.

    ``now_s`` is the leader's monotonic clock.
    """

    def __init__(
        self, fleet: Fleet, zones_out_of_service: Collection[str], now_s: float
    ) -> None:
        self._fleet = fleet
        self._zones_out_of_service = zones_out_of_service
        self._now_s = now_s
        self._states_by_pool: dict[str, list[WorkerState]] = {}
        # What is free on the workers of a pool, without what is less in all respects.
        self._largest_free_by_pool: dict[str, list[Resources]] = {}

    def of_pool(self, pool: str) -> list[WorkerState]:
        """Return the usable workers of a pool."""
        states = self._states_by_pool.get(pool)
        if states is None:
            states = self._states_by_pool[pool] = [
                state
                for state in self._fleet.state_by_id.values()
                if state.worker.pool == pool
                and not unusable_reason(state, self._zones_out_of_service, self._now_s)
            ]
        return states

    def eligible(self, pool: str, step: Step) -> list[WorkerState]:
        """Return the workers of a pool on which tasks of a step may start."""
        states = self.of_pool(pool)
        if not step.label:
            return states
        return [state for state in states if step.label in state.worker.labels]

    def may_fit(self, pool: str, need: Resources) -> bool:
        """Return False if no worker of a pool has room for a task.

        Room that was taken in this round counts as free until ``refresh``. In a full
        pool, this spares a look at each worker for each step.
        """
        largest_free = self._largest_free_by_pool.get(pool)
        if largest_free is None:
            largest_free = self.refresh(pool)
        return any(fits(need, free) for free in largest_free)

    def refresh(self, pool: str) -> list[Resources]:
        """Determine anew what is free on the workers of a pool."""
        largest_free: list[Resources] = []
        by_cores = sorted(
            (state.free for state in self.of_pool(pool)),
            key=lambda free: (-free.cores, -free.memory_mb, -free.accelerators),
        )
        for free in by_cores:
            if not any(free.fits_in(larger) for larger in largest_free):
                largest_free.append(free)
        self._largest_free_by_pool[pool] = largest_free
        return largest_free


def tasks_by_worker(
    fleet: Fleet, job_id: str, occurrence: int, step_number: int
) -> Counter[str]:
    """Count the runs of one occurrence of a step on each worker."""
    counts: Counter[str] = Counter()
    for state in fleet.state_by_id.values():
        for task in state.run_by_task:
            if task.job_id != job_id or task.occurrence != occurrence:
                continue
            if task.step == step_number:
                counts[state.worker.worker_id] += 1
    return counts


class WorkerChoice:
    """Chooses workers for the tasks of a step, one task after the other.

    Prefers workers without a bad rating, then the step's rack, then workers outside
    ``avoid``, then those with the fewest failures in a row, then the fullest worker in
    use: instances that stay idle can be switched off or moved to another pool. Among
    equal workers, the first one is chosen.

    ``counts`` holds the number of tasks of the step on each worker. After each choice,
    the caller adds the task to it and to the worker's ``used``; until the last choice,
    nothing else about the workers changes.
    """

    def __init__(
        self, states: Sequence[WorkerState], step: Step, counts: Counter[str]
    ) -> None:
        self._states = states
        self._step = step
        self._need = step.reservation
        self._counts = counts
        # Rank and index in ``states`` of the workers with enough free resources. Only
        # the rank of the worker chosen last, the first in the heap, may be outdated.
        self._heap: list[tuple[_Rank, int]] | None = None

    def next_worker(self, avoid: Collection[str] = ()) -> WorkerState | None:
        """Return the best worker with enough free resources, or None."""
        if avoid:
            self._heap = None
            ranked = self._rank_all(avoid)
            return self._states[min(ranked)[1]] if ranked else None
        if self._heap is None:
            self._heap = self._rank_all()
            heapq.heapify(self._heap)
        heap = self._heap
        while heap:
            rank, index = heap[0]
            state = self._states[index]
            current_rank = self._rank(state)
            if current_rank is None:
                heapq.heappop(heap)
            elif current_rank == rank:
                return state
            else:
                heapq.heapreplace(heap, (current_rank, index))
        return None

    def _rank_all(self, avoid: Collection[str] = ()) -> list[tuple[_Rank, int]]:
        return [
            (rank, index)
            for index, state in enumerate(self._states)
            if (rank := self._rank(state, avoid)) is not None
        ]

    def _rank(self, state: WorkerState, avoid: Collection[str] = ()) -> _Rank | None:
        """Return the rank of a worker, None without room; the lowest rank is best.

        Workers in use rank before unused ones, so that few workers are in use; among
        them, the fullest is best. For a long-running task, workers with other
        long-running tasks rank first, and the emptiest is best.
        """
        step, need, worker = self._step, self._need, state.worker
        if state.takes_one_task and state.has_task:
            return None
        count = self._counts[worker.worker_id]
        if step.max_per_worker and count >= step.max_per_worker:
            return None
        # Without objects for the free resources, as this runs for each worker.
        capacity, used = worker.capacity, state.used
        free_cores = capacity.cores - used.cores
        if (
            need.cores > free_cores + TOLERANCE_CORES
            or need.memory_mb > capacity.memory_mb - used.memory_mb
            or need.accelerators > capacity.accelerators - used.accelerators
        ):
            return None
        free_fraction = free_cores / capacity.cores if capacity.cores else 0.0
        has_no_long_running = False
        if step.long_running:
            free_fraction = -free_fraction
            # Tasks planned in the same round are counted but have no run yet.
            has_no_long_running = not count and not any(
                run.step.long_running for run in state.run_by_task.values()
            )
        return (
            state.is_badly_rated,
            bool(step.rack) and step.rack != worker.rack,
            worker.worker_id in avoid,
            state.consecutive_failures,
            has_no_long_running,
            used == NO_RESOURCES,
            free_fraction,
        )


def choose_gang(
    states: list[WorkerState], step: Step, indexes: list[int]
) -> dict[int, WorkerState] | None:
    """Return a worker for each task index of a gang, or None if not all tasks fit.

    Badly rated workers are used only if the others have no room for all tasks; they
    may then get several. With ``same_rack``, several racks are used only if no single
    rack has room for all tasks.
    """
    well_rated = [state for state in states if not state.is_badly_rated]
    if len(well_rated) < len(states):
        state_by_index = choose_gang(well_rated, step, indexes)
        if state_by_index is not None:
            return state_by_index
    if step.same_rack:
        racks = {state.worker.rack for state in states}
        for rack in sorted(racks, key=lambda name: (name != step.rack, name)):
            in_rack = [state for state in states if state.worker.rack == rack]
            state_by_index = _fit_all(in_rack, step, indexes)
            if state_by_index is not None:
                return state_by_index
    return _fit_all(states, step, indexes)


def _fit_all(
    states: list[WorkerState], step: Step, indexes: list[int]
) -> dict[int, WorkerState] | None:
    """Return a worker for each task index, or None if not all tasks fit.

    Prefers the step's rack, then the worker with the most free cores.
    """
    need = step.reservation
    if sum(_max_tasks(state.free, step) for state in states) < len(indexes):
        return None
    # Rank and index in ``states`` of the workers that may have room; the lowest rank
    # goes first.
    heap = [
        (bool(step.rack) and step.rack != state.worker.rack, -state.free.cores, number)
        for number, state in enumerate(states)
    ]
    heapq.heapify(heap)
    free_by_id = {state.worker.worker_id: state.free for state in states}
    counts: Counter[str] = Counter()
    state_by_index: dict[int, WorkerState] = {}
    for index in indexes:
        while heap:
            worker_id = states[heap[0][2]].worker.worker_id
            is_full = step.max_per_worker and counts[worker_id] >= step.max_per_worker
            if not is_full and fits(need, free_by_id[worker_id]):
                break
            heapq.heappop(heap)
        if not heap:
            return None
        is_far, _, number = heap[0]
        state_by_index[index] = states[number]
        counts[worker_id] += 1
        free_by_id[worker_id] = free_by_id[worker_id] - need
        heapq.heapreplace(heap, (is_far, -free_by_id[worker_id].cores, number))
    return state_by_index


def _max_tasks(free: Resources, step: Step) -> float:
    """Return an upper limit of the tasks that fit into free resources."""
    need = step.reservation
    limits = [
        # One more than fits by division, which may round differently than sums.
        available / needed + 1
        for available, needed in (
            (free.cores, need.cores),
            (free.memory_mb, need.memory_mb),
            (free.accelerators, need.accelerators),
        )
        if needed > 0
    ]
    if step.max_per_worker:
        limits.append(step.max_per_worker)
    return max(0.0, min(limits, default=math.inf))
