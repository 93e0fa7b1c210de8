"""Exchange of usage and worker reservations between the scheduler and the peers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import gevent

from lycheeloom.cluster import PeerMesh
from lycheeloom.model.resources import Resources
from lycheeloom.model.ticks import seconds_until_tick
from lycheeloom.sched import OrganisationUsage as ScheduledUsage
from lycheeloom.sched import Scheduler
from lycheeloom.wire import OrganisationUsage, QueueCount

from .dispatch import Dispatcher

INTERVAL_S = 0.2
# While no peer has work, the scheduler gets the peers' usage this rarely, for the
# decay of past usage.
IDLE_STEPS = 10


class UsageExchange:
    """Passes local usage to the peers, and the peers' usage to the scheduler."""

    def __init__(
        self, mesh: PeerMesh, scheduler: Scheduler, dispatcher: Dispatcher
    ) -> None:
        self._mesh = mesh
        self._scheduler = scheduler
        self._dispatcher = dispatcher
        self._reserved_by_peers: frozenset[str] = frozenset()
        self._idle_steps = 0

    def run(self) -> None:
        """Run a step every ``INTERVAL_S`` until stopped."""
        while True:
            self.step()
            gevent.sleep(seconds_until_tick(INTERVAL_S))

    def step(self) -> None:
        """Pass usage and reservations in both directions."""
        self._mesh.usage_by_organisation = {
            organisation: self._to_wire(organisation, usage)
            for organisation, usage in self._scheduler.usage_by_organisation().items()
        }
        self._mesh.reserve_workers(self._scheduler.reserved_workers())
        self._reserved_by_peers = self._mesh.workers_reserved_by_peers()
        usage_by_peer = self._mesh.usage_by_peer()
        is_idle = not self._reserved_by_peers and not any(usage_by_peer.values())
        self._idle_steps = self._idle_steps + 1 if is_idle else 0
        if self._idle_steps % IDLE_STEPS > 1:
            return
        self._scheduler.set_peer_usage(
            {
                peer: {
                    organisation: _from_wire(usage)
                    for organisation, usage in by_organisation.items()
                }
                for peer, by_organisation in usage_by_peer.items()
            },
            self._reserved_by_peers,
        )

    def sync_reservations(self) -> None:
        """Pass changed reservations in both directions without waiting for a step."""
        self._mesh.reserve_workers(self._scheduler.reserved_workers())
        if self._mesh.workers_reserved_by_peers() != self._reserved_by_peers:
            self.step()

    def peer_demand(self) -> Mapping[str, int]:
        """Return the running and queued tasks of each organisation at all peers."""
        demand: Counter[str] = Counter()
        for usage_by_organisation in self._mesh.usage_by_peer().values():
            for organisation, usage in usage_by_organisation.items():
                demand[organisation] += usage.running + usage.queued
        return demand

    def _to_wire(self, organisation: str, usage: ScheduledUsage) -> OrganisationUsage:
        running = usage.running
        startable = tuple(
            QueueCount(queue, count)
            for queue, count in usage.queued_by_queue.items()
            if count
        )
        return OrganisationUsage(
            organisation,
            self._dispatcher.running(organisation),
            usage.queued,
            running.cores,
            running.memory_mb,
            running.accelerators,
            startable,
        )


def _from_wire(usage: OrganisationUsage) -> ScheduledUsage:
    running = Resources(usage.cores, usage.memory_mb, usage.accelerators)
    startable = {item.queue: item.count for item in usage.startable}
    return ScheduledUsage(running, usage.queued, startable)
