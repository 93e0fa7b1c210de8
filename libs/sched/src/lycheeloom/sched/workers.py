"""The workers with their free capacity, and the choice of a worker for a task."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lycheeloom.model.config import FleetConfig, Instance, ZoneState
from lycheeloom.model.resources import NO_RESOURCES, Resources

from .capacity import CapacityTree
from .tasks import TaskRecord

# Fitting workers compared for one start. More of them cost time and spread tasks no
# better.
CANDIDATES = 3
# A zone that is back in service may use this fraction of its capacity at first and all
# of it after RAMP_S, so that workers with cold caches are not all filled at once.
RAMP_START_FRACTION = 0.25
RAMP_S = 3.0
RAMP_STEP_S = 0.25


@dataclass(slots=True, eq=False)
class Worker:
    """One worker as this entry knows it."""

    id: str
    pool: str
    zone: str
    rack: str
    size: Resources
    tree_index: int = 0
    available: bool = False
    free: Resources = NO_RESOURCES
    own_used: Resources = NO_RESOURCES
    boot_id: str = ""
    on_probation: bool = False
    # This entry keeps the worker free for a waiting task.
    reserved: bool = False
    reserved_by_peer: bool = False
    running: dict[str, TaskRecord] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class _ZoneIndex:
    """The workers of one pool in one zone."""

    zone: str
    workers: list[Worker]
    tree: CapacityTree


class WorkerTable:
    """All workers, indexed by pool and zone for placement."""

    def __init__(self, seed: int) -> None:
        self.worker_by_id: dict[str, Worker] = {}
        self.total_cores = 0.0
        self.freed_pools: set[str] = set()
        # Reserved workers that changed since the reservations were last checked.
        self.changed_reserved: set[str] = set()
        self._random = random.Random(seed)
        self._zones_by_pool: dict[str, list[_ZoneIndex]] = {}
        self._sizes_by_pool: dict[str, set[Resources]] = {}
        self._zones_out_of_service: set[str] = set()
        self._returned_at_by_zone: dict[str, float] = {}
        self._next_ramp_at = 0.0
        self._pool_by_instance: Mapping[str, str] = {}
        self._instance_by_id: Mapping[str, Instance] = {}
        # Running tasks of this entry per queue and zone of a pool, and per queue and
        # rack, for spreading.
        self._running_by_location: Counter[tuple[str, str]] = Counter()

    def set_config(self, config: FleetConfig, now: float) -> tuple[set[str], set[str]]:
        """Apply instances and zones; return the zones taken out and returned."""
        out = {z.id for z in config.zone_by_id.values() if z.state is ZoneState.OUT}
        taken_out, returned = (
            out - self._zones_out_of_service,
            self._zones_out_of_service - out,
        )
        self._zones_out_of_service = out
        for zone in returned:
            self._returned_at_by_zone[zone] = now
            self._next_ramp_at = now
        for zone in taken_out:
            self._returned_at_by_zone.pop(zone, None)
        if config.instance_by_id != self._instance_by_id:
            self._instance_by_id = config.instance_by_id
            self._rebuild(now)
        elif taken_out or returned:
            self._refresh_zones(taken_out | returned, now)
        return taken_out, returned

    def set_pool_by_instance(self, mapping: Mapping[str, str], now: float) -> None:
        """Set the pool that each worker is in now."""
        if mapping == self._pool_by_instance:
            return
        self._pool_by_instance = dict(mapping)
        self._rebuild(now)

    def zone_is_out(self, zone: str) -> bool:
        """Return whether operators have taken the zone out of service."""
        return zone in self._zones_out_of_service

    def worker_sizes(self, pool: str) -> set[Resources]:
        """Return the distinct worker sizes of a pool."""
        return self._sizes_by_pool.get(pool, set())

    def workers_in_pool(self, pool: str) -> Iterable[Worker]:
        """Return the workers of a pool."""
        for zone_index in self._zones_by_pool.get(pool, ()):
            yield from zone_index.workers

    def peer_cores(self, pool: str) -> float:
        """Return the cores of a pool that peers use, as last reported."""
        return sum(
            worker.size.cores - worker.free.cores - worker.own_used.cores
            for worker in self.workers_in_pool(pool)
            if worker.available
        )

    def free_fraction(self, pool: str) -> float:
        """Return the free cores of a pool as a fraction of all cores of the fleet."""
        free = sum(
            w.free.cores for w in self.workers_in_pool(pool) if self.accepts_starts(w)
        )
        return free / self.total_cores if self.total_cores else 0.0

    def has_room(self, pool: str) -> bool:
        """Return whether any usable worker of the pool has free cores."""
        for zone_index in self._zones_by_pool.get(pool, ()):
            if zone_index.tree.nodes[1][0] > 0:
                return True
        return False

    def advance_ramps(self, now: float) -> None:
        """Raise the capacity of zones that are back in service."""
        if not self._returned_at_by_zone or now < self._next_ramp_at:
            return
        self._next_ramp_at = now + RAMP_STEP_S
        zones = set(self._returned_at_by_zone)
        for zone, returned_at in list(self._returned_at_by_zone.items()):
            if now - returned_at >= RAMP_S:
                del self._returned_at_by_zone[zone]
        self._refresh_zones(zones, now)

    def place(
        self, need: Resources, pool: str, queue: str, excluded: frozenset[str]
    ) -> Worker | None:
        """Choose a worker with room, spreading a queue over zones and racks."""
        indexes = [
            zone_index
            for zone_index in self._zones_by_pool.get(pool, ())
            if zone_index.tree.may_fit(need)
        ]
        if len(indexes) > 1:
            # Equally loaded zones are chosen at random, not always the first.
            self._random.shuffle(indexes)
            indexes.sort(
                key=lambda zone_index: self._zone_load(queue, pool, zone_index)
            )
        for zone_index in indexes:
            worker = self._place_in(zone_index, need, queue, excluded)
            if worker is not None:
                return worker
        return None

    def attach(self, worker: Worker, record: TaskRecord, now: float) -> None:
        """Reserve capacity on a worker for a started task."""
        worker.running[record.task.id] = record
        worker.free = worker.free - record.need
        worker.own_used = worker.own_used + record.need
        queue = record.task.queue
        self._running_by_location[queue, f"{worker.pool}/{worker.zone}"] += 1
        self._running_by_location[queue, worker.rack] += 1
        self.refresh(worker, now)

    def detach(self, worker: Worker, record: TaskRecord, now: float) -> None:
        """Free the capacity of a task that ended."""
        del worker.running[record.task.id]
        worker.free = worker.free + record.need
        worker.own_used = worker.own_used - record.need
        queue = record.task.queue
        self._running_by_location[queue, f"{record.pool}/{worker.zone}"] -= 1
        self._running_by_location[queue, worker.rack] -= 1
        self.refresh(worker, now)

    def resize(self, worker: Worker, extra: Resources, now: float) -> None:
        """Reserve more capacity for a running task."""
        worker.free = worker.free - extra
        worker.own_used = worker.own_used + extra
        self.refresh(worker, now)

    def observe(
        self, worker: Worker, available: bool, free: Resources | None, now: float
    ) -> None:
        """Apply what a worker reported about itself.

        Its report may not include the tasks that this entry has just started, so
        ``free`` is limited to what this entry's own tasks leave.
        """
        worker.available = available
        if free is not None:
            left = worker.size - worker.own_used
            worker.free = Resources(
                min(free.cores, left.cores),
                min(free.memory_mb, left.memory_mb),
                min(free.accelerators, left.accelerators),
            )
        self.refresh(worker, now)

    def set_reserved_by_peers(self, worker_ids: Iterable[str], now: float) -> None:
        """Set the workers that peers have reserved; this entry starts nothing there."""
        wanted = set(worker_ids)
        for worker in self.worker_by_id.values():
            reserved = worker.id in wanted
            if reserved != worker.reserved_by_peer:
                worker.reserved_by_peer = reserved
                self.refresh(worker, now)

    def refresh(self, worker: Worker, now: float) -> None:
        """Update the index after a worker changed."""
        if worker.reserved:
            self.changed_reserved.add(worker.id)
        for zone_index in self._zones_by_pool.get(worker.pool, ()):
            if zone_index.zone == worker.zone:
                usable = self._usable_capacity(worker, now)
                zone_index.tree.set(worker.tree_index, usable)
                if usable is not None:
                    self.freed_pools.add(worker.pool)
                return

    def accepts_starts(self, worker: Worker) -> bool:
        """Return whether the worker is available, in service and in the fleet."""
        return (
            worker.available
            and worker.zone not in self._zones_out_of_service
            and worker.id in self.worker_by_id
        )

    def accepts_normal_work(self, worker: Worker) -> bool:
        """Return whether the worker may start other tasks than trials.

        Reservations are not considered.
        """
        return self.accepts_starts(worker) and not worker.on_probation

    def _usable_capacity(self, worker: Worker, now: float) -> Resources | None:
        if not self.accepts_starts(worker) or worker.on_probation:
            return None
        if worker.reserved or worker.reserved_by_peer:
            return None
        returned_at = self._returned_at_by_zone.get(worker.zone)
        if returned_at is None or now - returned_at >= RAMP_S:
            return worker.free
        fraction = (
            RAMP_START_FRACTION
            + (1 - RAMP_START_FRACTION) * (now - returned_at) / RAMP_S
        )
        kept = Resources(
            worker.size.cores * (1 - fraction),
            int(worker.size.memory_mb * (1 - fraction)),
            int(worker.size.accelerators * (1 - fraction)),
        )
        return worker.free - kept

    def _place_in(
        self,
        zone_index: _ZoneIndex,
        need: Resources,
        queue: str,
        excluded: frozenset[str],
    ) -> Worker | None:
        count = len(zone_index.workers)
        tree_index = self._random.randrange(count)
        chosen: Worker | None = None
        best = (0, 0.0)
        found = 0
        wrapped = False
        while found < CANDIDATES:
            tree_index = zone_index.tree.find(need, tree_index)
            if tree_index < 0:
                if wrapped:
                    break
                wrapped, tree_index = True, 0
                continue
            worker = zone_index.workers[tree_index]
            tree_index += 1
            if worker.id in excluded:
                continue
            found += 1
            key = (self._running_by_location[queue, worker.rack], worker.free.cores)
            if chosen is None or key < best:
                chosen, best = worker, key
        return chosen

    def _zone_load(self, queue: str, pool: str, zone_index: _ZoneIndex) -> float:
        running = self._running_by_location[queue, f"{pool}/{zone_index.zone}"]
        return running / len(zone_index.workers)

    def _refresh_zones(self, zones: set[str], now: float) -> None:
        for worker in self.worker_by_id.values():
            if worker.zone in zones:
                self.refresh(worker, now)

    def _rebuild(self, now: float) -> None:
        """Rebuild the index after instances or pools changed."""
        previous = self.worker_by_id
        self.worker_by_id = {}
        grouped: dict[tuple[str, str], list[Worker]] = {}
        self._sizes_by_pool = {}
        self.total_cores = sum(i.size.cores for i in self._instance_by_id.values())
        for instance in self._instance_by_id.values():
            worker = previous.get(instance.id) or _new_worker(instance)
            worker.size = instance.size
            worker.zone = instance.zone
            worker.rack = instance.rack
            worker.pool = self._pool_by_instance.get(instance.id, instance.pool)
            self.worker_by_id[instance.id] = worker
            grouped.setdefault((worker.pool, worker.zone), []).append(worker)
            self._sizes_by_pool.setdefault(worker.pool, set()).add(worker.size)
        self._zones_by_pool = {}
        for (pool, zone), workers in grouped.items():
            workers.sort(key=lambda worker: (worker.rack, worker.id))
            zone_index = _ZoneIndex(zone, workers, CapacityTree(len(workers)))
            for tree_index, worker in enumerate(workers):
                worker.tree_index = tree_index
            self._zones_by_pool.setdefault(pool, []).append(zone_index)
        for worker in self.worker_by_id.values():
            self.refresh(worker, now)


def _new_worker(instance: Instance) -> Worker:
    return Worker(
        instance.id,
        instance.pool,
        instance.zone,
        instance.rack,
        instance.size,
        free=instance.size,
    )
