"""Baseline policies: first come first served and an equal split of the workers."""

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

    A queue uses its own pool first, then spare pools, then any other pool. Declared
    sizes are taken as true and organisations are not distinguished.
    """

    def __init__(self, config: FleetConfig, seed: int = 0) -> None:
        self._config = config
        self._queued: dict[str, deque[Task]] = {q: deque() for q in config.queue_by_id}
        self._running: dict[str, tuple[Task, str]] = {}
        self._refused_tasks: dict[str, Task] = {}
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
        """Start tasks from the front of each queue until one does not fit."""
        decisions = []
        for queue, queued in self._queued.items():
            while queued:
                worker = self._choose_worker(queued[0], queue)
                if worker is None:
                    break
                task = queued.popleft()
                self._running[task.id] = (task, worker)
                self._free[worker] = self._free[worker] - task.resources
                decisions.append(Start(task, worker, task.resources))
        return decisions

    def finished(self, task_id: str, outcome: Outcome, now: float) -> None:
        """Release the resources of a task."""
        task, worker = self._running.pop(task_id)
        self._free[worker] = self._free[worker] + task.resources
        if outcome is Outcome.REFUSED_BY_WORKER:
            self._refused_tasks[task_id] = task

    def requeue(self, task_id: str, excluded_worker: str) -> None:
        """Put a task that its worker refused back to the front of its queue."""
        task = self._refused_tasks.pop(task_id)
        self._queued[task.queue].appendleft(task)

    def observe_worker(
        self, worker_id: str, available: bool, free: Resources, boot: str, now: float
    ) -> None:
        """Take over the free resources that a worker reports."""
        self._free[worker_id] = free

    def set_config(self, config: FleetConfig, now: float) -> None:
        """Use the zone states of a new configuration."""
        self._config = config

    def set_grants(self, slots_by_organisation: Mapping[str, int]) -> None:
        """Ignore grants."""

    def set_peer_usage(self, usage: Mapping, reserved: Iterable[str] = ()) -> None:
        """Ignore the usage of peers."""

    def observe_usage(self, reports: Iterable, now: float) -> None:
        """Ignore measured usage, as declared sizes are taken as true."""

    def usage_by_organisation(self) -> dict:
        """Return no usage for peers."""
        return {}

    def reserved_workers(self) -> tuple[str, ...]:
        """Return no reserved workers."""
        return ()

    def _choose_worker(self, task: Task, queue: str) -> str | None:
        own_pool = self._config.queue_by_id[queue].pool
        pools_by_preference = sorted(
            self._pools,
            key=lambda p: (p != own_pool, not self._config.pool_by_id[p].spare),
        )
        for pool in pools_by_preference:
            for name in self._pools[pool]:
                zone = self._config.instance_by_id[name].zone
                if self._config.zone_by_id[zone].state is ZoneState.OUT:
                    continue
                if task.resources.fits_in(self._free[name]):
                    return name
        return None


class EqualSplit(Scheduler):
    """A scheduler that owns an equal part of the workers of each pool.

    Entries exchange no usage, so each is fair only among its own callers.
    """

    def __init__(self, config: FleetConfig, seed: int, entry: int, count: int) -> None:
        self._entry = entry
        self._count = count
        super().__init__(config, seed)

    def set_config(self, config: FleetConfig, now: float) -> None:
        """Keep only the instances of this entry."""
        number_in_pool: dict[str, int] = {}
        own = {}
        for name, instance in config.instance_by_id.items():
            number = number_in_pool.get(instance.pool, 0)
            number_in_pool[instance.pool] = number + 1
            # The shift by one each round gives every entry workers of different zones.
            if (number + number // self._count) % self._count == self._entry:
                own[name] = instance
        super().set_config(replace(config, instance_by_id=own), now)
