"""Signals about workers: probes, and outcomes of recorded requests."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from itertools import count

import gevent
from gevent.pool import Pool

from lycheeloom.clients import Unavailable, UsageReport, WorkerClient
from lycheeloom.fleet import HealthMonitor
from lycheeloom.log import LogTail, Replayed
from lycheeloom.model.records import (
    Outcome,
    RequestClaimed,
    RequestFinished,
    RequestReleased,
)

# 5,100 workers are then probed every 510 s, and 30 workers every 3 s; more would
# take too much of the 3.5% of a core that a daemon may use.
PROBES_PER_S = 10
MAX_PROBES = 16
# A worker that did not answer is probed again so soon, and the others of its
# rack at once, so that a lost rack is seen as a whole.
MISS_RETRY_S = 5.0
# A count of running tasks is not used when it is older.
COUNT_KEPT_S = 10.0
MAX_CLAIMS = 20_000


class WorkerProbes:
    """Probes workers in turn and tells the monitor who answers."""

    def __init__(
        self,
        tail: LogTail,
        client: WorkerClient,
        monitor: HealthMonitor,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._tail = tail
        self._client = client
        self._monitor = monitor
        self._clock = clock
        self._running: dict[str, tuple[float, int]] = {}
        # When to probe out of turn.
        self._due_at: dict[str, float] = {}
        self._pool = Pool(MAX_PROBES)

    def run(self) -> None:
        """Probe all workers in turn until stopped."""
        for _ in count():
            names = list(self._tail.state.config.instance_by_id)
            for name in names:
                self._probe_due()
                self._pool.spawn(self._probe, name)
                gevent.sleep(1 / PROBES_PER_S)
            if not names:
                gevent.sleep(1 / PROBES_PER_S)

    def probe_now(self, names: Iterable[str]) -> None:
        """Probe workers whose running tasks are waited for."""
        self._pool.map(self._probe, names)

    def running_by_instance(self) -> dict[str, int]:
        """Return the recent counts of running tasks."""
        oldest = self._clock() - COUNT_KEPT_S
        return {name: n for name, (at, n) in self._running.items() if at >= oldest}

    def _probe_due(self) -> None:
        now = self._clock()
        for name in [name for name, at in self._due_at.items() if at <= now]:
            del self._due_at[name]
            self._pool.spawn(self._probe, name)

    def _probe(self, name: str) -> None:
        instance = self._tail.state.config.instance_by_id.get(name)
        if instance is None:
            return
        match self._client.usage(instance.address):
            case UsageReport() as report:
                now = self._clock()
                self._running[name] = (now, len(report.tasks))
                self._monitor.record_heartbeat(name, now, report.boot_id)
            case Unavailable():
                now = self._clock()
                self._running.pop(name, None)
                if self._monitor.record_miss(name, now):
                    self._probe_rack_soon(name, now)
                self._due_at[name] = now + MISS_RETRY_S

    def _probe_rack_soon(self, name: str, now: float) -> None:
        instances = self._tail.state.config.instance_by_id
        place = instances[name].zone, instances[name].rack
        for other in instances.values():
            if (other.zone, other.rack) == place:
                self._due_at.setdefault(other.id, now)

    def forget(self, known: Collection[str]) -> None:
        """Drop counts of workers that are no longer configured."""
        for name in self._running.keys() - known:
            del self._running[name]


class OutcomeWatch:
    """Learns outcomes from the records of requests as they are replayed."""

    def __init__(
        self,
        tail: LogTail,
        monitor: HealthMonitor,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._tail = tail
        self._monitor = monitor
        self._clock = clock
        self._worker_by_request: OrderedDict[str, str] = OrderedDict()
        tail.add_listener(self._on_replayed)

    def _on_replayed(self, replayed: Replayed) -> None:
        effects = replayed.applied.effective
        for record, effective in zip(replayed.batch.records, effects, strict=True):
            if effective:
                self._observe(record)

    def _observe(self, record: object) -> None:
        match record:
            case RequestClaimed(request_id=request, worker=worker):
                self._worker_by_request[request] = worker
                if len(self._worker_by_request) > MAX_CLAIMS:
                    self._worker_by_request.popitem(last=False)
            case RequestReleased(request_id=request):
                self._worker_by_request.pop(request, None)
            case RequestFinished(request_id=request, outcome=outcome):
                self._finish(request, outcome)

    def _finish(self, request: str, outcome: Outcome) -> None:
        worker = self._worker_by_request.pop(request, None)
        if worker is None:
            return
        now = self._clock()
        if outcome is Outcome.RAN:
            self._monitor.task_ended(worker, self._queue_of(request), True, now)
        elif outcome is Outcome.MAY_HAVE_RUN:
            # The worker took the task and never gave an answer.
            self._monitor.lease_lost(worker, now)

    def _queue_of(self, request: str) -> str:
        recorded = self._tail.state.requests.request_by_id.get(request)
        return recorded.queue if recorded is not None else ""
