"""Simple policies to compare with: first come first served, equal split."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import replace

from lycheeloom.model.config import FleetConfig, ZoneState
from lycheeloom.model.resources import Resources
from lycheeloom.model.verdict import Refusal, RefusalReason
from lycheeloom.sched import Accepted, Outcome, Scheduler, Start, Task


class FirstComeFirstServed:
    """Starts the tasks of each queue in the order of their arrival.

    A queue uses its own pool, then spare pools, then any other. Declared sizes
    are believed and organisations are not told apart.
    """

    def __init__(self, config: FleetConfig, seed: int = 0) -> None:
        self._config = config
        self._queued: dict[str, deque[Task]] = {q: deque() for q in config.queue_by_id}
        self._running: dict[str, tuple[Task, str]] = {}
        self._parked: dict[str, Task] = {}
        self._free = {n: i.size for n, i in config.instance_by_id.items()}
        self._sizes = set(self._free.values())
        self._pools: dict[str, list[str]] = {}
        for name, instance in config.instance_by_id.items():
            self._pools.setdefault(instance.pool, []).append(name)

    def submit(self, task: Task, now: float) -> Accepted | Refusal:
        """Queue a task unless its queue is full or no worker is large enough."""
        if not any(task.resources.fits_in(size) for size in self._sizes):
            return Refusal(RefusalReason.NEVER_FITS, "larger than any worker")
        queued = self._queued[task.queue]
        if len(queued) >= self._config.queue_by_id[task.queue].max_queued:
            return Refusal(RefusalReason.QUEUE_FULL, "queue is full")
        queued.append(task)
        return Accepted()

    def next_decisions(self, now: float) -> list[Start]:
        """Start the first task of each queue as long as it fits."""
        decisions = []
        for queue, queued in self._queued.items():
            while queued:
                worker = self._place(queued[0], queue)
                if worker is None:
                    break
                task = queued.popleft()
                self._running[task.id] = (task, worker)
                self._free[worker] = self._free[worker] - task.resources
                decisions.append(Start(task, worker, task.resources))
        return decisions

    def finished(self, task_id: str, outcome: Outcome, now: float) -> None:
        """Release a task."""
        task, worker = self._running.pop(task_id)
        self._free[worker] = self._free[worker] + task.resources
        if outcome is Outcome.REFUSED_BY_WORKER:
            self._parked[task_id] = task

    def requeue(self, task_id: str, excluded_worker: str) -> None:
        """Put a refused task back in front."""
        task = self._parked.pop(task_id)
        self._queued[task.queue].appendleft(task)

    def observe_worker(
        self, worker_id: str, available: bool, free: Resources, boot: str, now: float
    ) -> None:
        """Believe what the worker reports."""
        self._free[worker_id] = free

    def set_config(self, config: FleetConfig, now: float) -> None:
        """Take over the states of zones."""
        self._config = config

    def set_grants(self, slots_by_organisation: Mapping[str, int]) -> None:
        """Grants are not used."""

    def set_peer_usage(self, usage: Mapping, reserved: Iterable[str] = ()) -> None:
        """Peers are not looked at."""

    def observe_usage(self, reports: Iterable, now: float) -> None:
        """Declared sizes are believed."""

    def usage_by_organisation(self) -> dict:
        """Tell peers nothing."""
        return {}

    def reserved_workers(self) -> tuple[str, ...]:
        """Reserve nothing."""
        return ()

    def _place(self, task: Task, queue: str) -> str | None:
        home = self._config.queue_by_id[queue].pool
        spare_first = sorted(
            self._pools, key=lambda p: (p != home, not self._config.pool_by_id[p].spare)
        )
        for pool in spare_first:
            for name in self._pools[pool]:
                zone = self._config.instance_by_id[name].zone
                if self._config.zone_by_id[zone].state is ZoneState.OUT:
                    continue
                if task.resources.fits_in(self._free[name]):
                    return name
        return None


class EqualSplit(Scheduler):
    """A scheduler that owns an equal part of the workers of each pool.

    Entries share nothing, so each is fair only among its own callers.
    """

    def __init__(self, config: FleetConfig, seed: int, entry: int, count: int) -> None:
        self._entry = entry
        self._count = count
        super().__init__(config, seed)

    def set_config(self, config: FleetConfig, now: float) -> None:
        """Keep only this entry's part of the instances."""
        number_in_pool: dict[str, int] = {}
        own = {}
        for name, instance in config.instance_by_id.items():
            number = number_in_pool.get(instance.pool, 0)
            number_in_pool[instance.pool] = number + 1
            # Every entry gets workers of different zones.
            if (number + number // self._count) % self._count == self._entry:
                own[name] = instance
        super().set_config(replace(config, instance_by_id=own), now)
