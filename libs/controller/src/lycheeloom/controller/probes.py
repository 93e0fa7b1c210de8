"""Sources of health signals: probes of workers and replayed request outcomes."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from itertools import count

import gevent
from gevent.pool import Pool

from lycheeloom.clients import Unavailable, UsageReport, WorkerClient
from lycheeloom.fleet import HealthMonitor
from lycheeloom.log import LogTail, ReplayedBatch
from lycheeloom.model.records import (
    Outcome,
    RequestClaimed,
    RequestFinished,
    RequestReleased,
)

# Probes each of 5,100 workers every 510 s, or of 30 workers every 3 s. A higher
# rate would take too much of the 3.5% of a core that a daemon may use.
PROBES_PER_S = 10
MAX_CONCURRENT_PROBES = 16
# A worker that did not answer is probed again after this time, the others of its
# rack at once, so that the failure of a whole rack is recognised.
FAILED_PROBE_RETRY_S = 5.0
# Older counts of running tasks are not used.
TASK_COUNT_MAX_AGE_S = 10.0
MAX_TRACKED_CLAIMS = 20_000


class WorkerProber:
    """Probes workers in turn and reports to the monitor which of them answer."""

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
        self._running_sample_by_instance: dict[str, tuple[float, int]] = {}
        # Times of probes out of turn, after a failed probe in the rack.
        self._early_probe_at: dict[str, float] = {}
        self._calls = Pool(MAX_CONCURRENT_PROBES)

    def run(self) -> None:
        """Probe all workers in turn until stopped."""
        for _ in count():
            names = list(self._tail.state.config.instance_by_id)
            for name in names:
                self._start_due_early_probes()
                self._calls.spawn(self._probe, name)
                gevent.sleep(1 / PROBES_PER_S)
            if not names:
                gevent.sleep(1 / PROBES_PER_S)

    def probe_now(self, names: Iterable[str]) -> None:
        """Probe workers at once, as a move waits for their running tasks."""
        self._calls.map(self._probe, names)

    def running_by_instance(self) -> dict[str, int]:
        """Return the recent numbers of running tasks."""
        oldest = self._clock() - TASK_COUNT_MAX_AGE_S
        return {
            name: n
            for name, (at, n) in self._running_sample_by_instance.items()
            if at >= oldest
        }

    def _start_due_early_probes(self) -> None:
        now = self._clock()
        for name in [name for name, at in self._early_probe_at.items() if at <= now]:
            del self._early_probe_at[name]
            self._calls.spawn(self._probe, name)

    def _probe(self, name: str) -> None:
        instance = self._tail.state.config.instance_by_id.get(name)
        if instance is None:
            return
        match self._client.usage(instance.address):
            case UsageReport() as report:
                now = self._clock()
                self._running_sample_by_instance[name] = (now, len(report.tasks))
                self._monitor.record_heartbeat(name, now, report.boot_id)
            case Unavailable():
                now = self._clock()
                self._running_sample_by_instance.pop(name, None)
                if self._monitor.record_miss(name, now):
                    self._schedule_rack_probes(name, now)
                self._early_probe_at[name] = now + FAILED_PROBE_RETRY_S

    def _schedule_rack_probes(self, name: str, now: float) -> None:
        instances = self._tail.state.config.instance_by_id
        rack = instances[name].zone, instances[name].rack
        for other in instances.values():
            if (other.zone, other.rack) == rack:
                self._early_probe_at.setdefault(other.id, now)

    def forget_unconfigured(self, known: Collection[str]) -> None:
        """Drop the counts of workers that are no longer configured."""
        for name in self._running_sample_by_instance.keys() - known:
            del self._running_sample_by_instance[name]


class ReplayedOutcomes:
    """Reports the outcomes of requests to the monitor as records are replayed."""

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

    def _on_replayed(self, replayed: ReplayedBatch) -> None:
        effects = replayed.applied.effective
        for record, effective in zip(replayed.batch.records, effects, strict=True):
            if effective:
                self._apply(record)

    def _apply(self, record: object) -> None:
        match record:
            case RequestClaimed(request_id=request, worker=worker):
                self._worker_by_request[request] = worker
                if len(self._worker_by_request) > MAX_TRACKED_CLAIMS:
                    self._worker_by_request.popitem(last=False)
            case RequestReleased(request_id=request):
                self._worker_by_request.pop(request, None)
            case RequestFinished(request_id=request, outcome=outcome):
                self._record_finish(request, outcome)

    def _record_finish(self, request: str, outcome: Outcome) -> None:
        worker = self._worker_by_request.pop(request, None)
        if worker is None:
            return
        now = self._clock()
        if outcome is Outcome.RAN:
            self._monitor.record_outcome(worker, self._queue_of(request), True, now)
        elif outcome is Outcome.MAY_HAVE_RUN:
            # The worker accepted the task and never answered.
            self._monitor.record_lost_lease(worker, now)

    def _queue_of(self, request: str) -> str:
        recorded = self._tail.state.requests.request_by_id.get(request)
        return recorded.queue if recorded is not None else ""
