"""Availability of workers, from probes, the instance list and the log."""

from __future__ import annotations

import time
from collections.abc import Callable
from itertools import count

import gevent
import gevent.pool

from lycheeloom.clients import (
    InstanceList,
    InstanceState,
    Session,
    Unavailable,
    WorkerClient,
)
from lycheeloom.log import LogTail
from lycheeloom.model.records import Health, MoveStage
from lycheeloom.model.ticks import seconds_until_tick
from lycheeloom.sched import Scheduler, UsageReport

from .sessions import WorkerSessions

# Limits an entry to 15 probes a second; with 30 workers each is probed every 2 s.
PROBE_INTERVAL_S = 0.2
PROBES_PER_INTERVAL = 3
# Concurrent probes; the probe of a silent worker takes the whole call timeout.
MAX_PROBES = 16
# Every nth probe of a worker fetches its usage report instead of a session.
USAGE_PROBE_PERIOD = 3
_LEAVING_STAGES = frozenset(
    {MoveStage.DRAINING, MoveStage.DRAINED, MoveStage.REBOOTING}
)
_UNUSABLE_HEALTH = frozenset({Health.REBOOTING, Health.GIVEN_UP})


class WorkerMonitor:
    """Tells the scheduler which workers are available and how much is free."""

    def __init__(
        self,
        tail: LogTail,
        scheduler: Scheduler,
        client: WorkerClient,
        on_change: Callable[[], None],
    ) -> None:
        self.sessions: WorkerSessions | None = None
        self._tail = tail
        self._scheduler = scheduler
        self._client = client
        self._on_change = on_change
        self._listing: InstanceList | None = None
        self._leaving: frozenset[str] = frozenset()
        self._reachable: dict[str, bool] = {}

    def address_of(self, worker: str) -> str | None:
        """Return a worker's address, or None if it is not configured."""
        instance = self._tail.state.config.instance_by_id.get(worker)
        return instance.address if instance else None

    def may_take_tasks(self, worker: str) -> bool:
        """Tell whether the log and the instance list allow a worker new tasks."""
        if worker in self._leaving:
            return False
        maintenance = self._tail.state.maintenance
        move = maintenance.move_by_instance.get(worker)
        if move is not None and move.stage in _LEAVING_STAGES:
            return False
        health = maintenance.health_by_instance.get(worker)
        return health is None or health.health not in _UNUSABLE_HEALTH

    def is_in_service(self, worker: str) -> bool:
        """Tell whether a worker may get new tasks and answered its last probe."""
        return self.may_take_tasks(worker) and self._reachable.get(worker, True)

    def is_on_probation(self, worker: str) -> bool:
        """Tell whether the controller has put a worker on probation."""
        health = self._tail.state.maintenance.health_by_instance.get(worker)
        return health is not None and health.health is Health.PROBATION

    def observe_instances(self, listing: InstanceList) -> None:
        """Take workers out of use that the platform's list marks as leaving."""
        if listing is self._listing:
            return
        self._listing = listing
        leaving = frozenset(
            item.instance
            for item in listing.instances
            if item.state is InstanceState.LEAVING
        )
        for worker in leaving - self._leaving:
            self._mark_unavailable(worker)
        self._leaving = leaving

    def observe_session(self, worker: str, result: Session | Unavailable) -> None:
        """Update a worker's availability from the result of opening a session."""
        now = time.monotonic()
        match result:
            case Session():
                is_available = self.may_take_tasks(worker) and not result.draining
                self._reachable[worker] = True
                self._scheduler.observe_worker(
                    worker, is_available, result.free, result.boot_id, now
                )
            case Unavailable():
                self._reachable[worker] = False
                self._mark_unavailable(worker)
        self._on_change()

    def apply_maintenance(self) -> None:
        """Take workers out of use whose moves in the log require it."""
        for worker in self._tail.state.maintenance.move_by_instance:
            if not self.may_take_tasks(worker):
                self._mark_unavailable(worker)

    def apply_health(self, worker: str) -> None:
        """Apply the controller's latest health decision about a worker."""
        state = self._tail.state.maintenance.health_by_instance.get(worker)
        if state is None:
            return
        if state.health in (Health.PROBATION, Health.IN_SERVICE):
            is_on_probation = state.health is Health.PROBATION
            self._scheduler.set_probation(worker, is_on_probation, time.monotonic())
        if not self.may_take_tasks(worker):
            self._mark_unavailable(worker)

    def run(self) -> None:
        """Probe all workers in turn until stopped."""
        pool = gevent.pool.Pool(MAX_PROBES)
        for round_number in count():
            workers = list(self._tail.state.config.instance_by_id)
            for first in range(0, max(1, len(workers)), PROBES_PER_INTERVAL):
                gevent.sleep(seconds_until_tick(PROBE_INTERVAL_S))
                for worker in workers[first : first + PROBES_PER_INTERVAL]:
                    pool.spawn(self._probe, worker, round_number)

    def _probe(self, worker: str, round_number: int) -> None:
        address = self.address_of(worker)
        if address is None:
            return
        if round_number % USAGE_PROBE_PERIOD == USAGE_PROBE_PERIOD - 1:
            self._fetch_usage(address)
            return
        self.sessions.open(worker, address)

    def _fetch_usage(self, address: str) -> None:
        report = self._client.usage(address)
        if isinstance(report, Unavailable):
            return
        reports = [
            UsageReport(item.task, item.used, item.ran_s, ended=False)
            for item in report.tasks
        ]
        self._scheduler.observe_usage(reports, time.monotonic())

    def _mark_unavailable(self, worker: str) -> None:
        self._scheduler.observe_worker(worker, False, None, "", time.monotonic())
