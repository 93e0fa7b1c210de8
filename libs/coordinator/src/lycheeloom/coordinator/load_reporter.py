"""Reports the load of overloaded queues to the instances that accept jobs."""

from __future__ import annotations

from collections import Counter

import gevent

from lycheeloom.jobs.acceptance import QueueWait, find_waits, is_overloaded
from lycheeloom.jobs.model import Queue
from lycheeloom.jobs.records import (
    Kind,
    LoadReport,
    OrganisationWait,
    QueueLoad,
    Record,
    encode,
    key_of,
)
from lycheeloom.telemetry import log_event

from . import metrics
from .clock import wall_ms
from .dispatcher import Dispatcher
from .inventory import Inventory
from .ports import InstanceState

# A report is at most a few thousand bytes; four appends a second are a small part of
# what the store accepts.
REPORT_INTERVAL_S = 0.25


def _find_load(queue: Queue, wait: QueueWait) -> QueueLoad | None:
    """Return the load of a queue, None if no job of it could be rejected.

    The work of an organisation at its upper limit may be too much for the limit while
    the pool has room for others.
    """
    organisations = tuple(
        OrganisationWait(organisation, int(wait_ms))
        for organisation, wait_ms in wait.wait_ms_by_organisation.items()
        if is_overloaded(queue, wait_ms)
    )
    if not organisations and not is_overloaded(queue, wait.total_ms):
        return None
    return QueueLoad(queue.name, int(wait.total_ms), organisations)


class LoadReporter:
    """Writes load reports to the leader's log while a queue is overloaded."""

    def __init__(self, dispatcher: Dispatcher, inventory: Inventory) -> None:
        self._dispatcher = dispatcher
        self._inventory = inventory
        # Names of the queues in the last report.
        self._overloaded: frozenset[str] = frozenset()

    def run(self) -> None:
        """Report until the leader is fenced."""
        try:
            while not self._dispatcher.writer.is_fenced:
                gevent.sleep(REPORT_INTERVAL_S)
                if self._dispatcher.writer.may_act:
                    self.report()
        finally:
            metrics.QUEUE_WAIT.clear()

    def report(self) -> None:
        """Write a report if a queue is overloaded or was in the last report."""
        policy = self._dispatcher.view.policy
        waits = find_waits(
            # Tasks of the others may run already.
            self._dispatcher.find_known_jobs(),
            policy,
            self.cores_by_pool(),
            wall_ms(),
        )
        loads = tuple(
            load
            for name, wait in sorted(waits.items())
            if (load := _find_load(policy.queue_by_name[name], wait))
        )
        if not loads and not self._overloaded:
            return
        token = self._dispatcher.writer.token
        record = Record(key_of(Kind.LOAD), encode(LoadReport(token, loads)))
        self._dispatcher.writer.write([record])
        self._note(loads)

    def cores_by_pool(self) -> dict[str, float]:
        """Return the cores that each pool has for jobs with a target.

        These are the cores of instances that are in the pool, moving to it, or spare,
        less what long-running tasks use. Without a list of instances, no pool has any,
        so that no queue has a known wait.
        """
        policy = self._dispatcher.view.policy
        out_of_service = self._dispatcher.view.zones_out_of_service
        count_by_pool = Counter(
            instance.pool
            for instance in self._inventory.instance_by_id.values()
            if instance.state in (InstanceState.UP, InstanceState.MOVING)
            and instance.zone not in out_of_service
        )
        spare = sum(
            count_by_pool[pool.name]
            for pool in policy.pool_by_name.values()
            if pool.standby
        )
        used_by_pool: Counter[str] = Counter()
        # Workers of one pool are alike.
        cores_of_instance: dict[str, float] = {}
        for state in self._dispatcher.fleet.state_by_id.values():
            pool = state.worker.pool
            used_by_pool[pool] += state.long_running_need.cores
            cores_of_instance[pool] = state.worker.capacity.cores
        capacities = self._dispatcher.view.capacities_seen
        largest = max((capacity.cores for capacity in capacities), default=0.0)
        return {
            pool.name: (count_by_pool[pool.name] + spare)
            * cores_of_instance.get(pool.name, largest)
            - used_by_pool[pool.name]
            for pool in policy.pool_by_name.values()
            if not pool.standby
        }

    def _note(self, loads: tuple[QueueLoad, ...]) -> None:
        metrics.QUEUE_WAIT.clear()
        for load in loads:
            metrics.QUEUE_WAIT.labels(load.queue).set(load.wait_ms / 1000)
            if load.queue not in self._overloaded:
                log_event(
                    "queue_overloaded",
                    queue=load.queue,
                    wait_ms=load.wait_ms,
                    organisations=len(load.organisations),
                )
        overloaded = frozenset(load.queue for load in loads)
        for queue in sorted(self._overloaded - overloaded):
            log_event("queue_relieved", queue=queue)
        self._overloaded = overloaded
