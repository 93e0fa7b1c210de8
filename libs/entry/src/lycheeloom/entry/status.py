"""Builds the status document of an entry."""

from __future__ import annotations

import math
import time
from collections import Counter

from lycheeloom.cluster import Freshness, PeerMesh
from lycheeloom.fleet.buffers import plan_buffers, wanted_buffer
from lycheeloom.log import LogTail
from lycheeloom.model.config import FleetConfig, ZoneState
from lycheeloom.model.limits import SILENCE_TIMEOUT_S
from lycheeloom.model.resources import NO_RESOURCES, Resources
from lycheeloom.model.status import (
    MemberState,
    MemberStatus,
    OrganisationStatus,
    PoolStatus,
    QueueStatus,
    StatusDocument,
    ZoneStatus,
)
from lycheeloom.sched import Scheduler
from lycheeloom.state import Member
from lycheeloom.wire import OrganisationUsage

from .local_requests import LocalRequestTable
from .wave_progress import WaveProgress
from .worker_monitor import WorkerMonitor


class StatusBuilder:
    """Builds the ``StatusDocument`` from the state of the entry's components."""

    def __init__(
        self,
        tail: LogTail,
        mesh: PeerMesh,
        freshness: Freshness,
        scheduler: Scheduler,
        local_requests: LocalRequestTable,
        worker_monitor: WorkerMonitor,
        waves: WaveProgress,
    ) -> None:
        self._tail = tail
        self._mesh = mesh
        self._freshness = freshness
        self._scheduler = scheduler
        self._local_requests = local_requests
        self._worker_monitor = worker_monitor
        self._waves = waves
        # The configuration that the totals below were computed for.
        self._totals_config: FleetConfig | None = None
        self._fleet_resources = NO_RESOURCES
        self._wanted_buffer = 0

    def build(self, instance: str, zone: str, version: str) -> StatusDocument:
        """Return the current status."""
        config = self._tail.state.config
        log_age_s = self._mesh.log_age_s()
        return StatusDocument(
            name=config.name,
            config_version=config.version,
            instance=instance,
            incarnation=self._mesh.incarnation,
            zone=zone,
            program_version=version,
            fresh=self._freshness.is_fresh(),
            draining=self._mesh.draining,
            log_age_ms=None if math.isinf(log_age_s) else round(log_age_s * 1000),
            next_offset=self._tail.next_offset,
            members=self._members(),
            organisations=self._organisations(),
            queues=self._queues(),
            zones=self._zones(),
            pools=self._pools(),
            waves=self._waves.statuses(),
        )

    def _members(self) -> list[MemberStatus]:
        members = self._tail.state.members.member_by_incarnation.values()
        return [self._member(member) for member in members]

    def _member(self, member: Member) -> MemberStatus:
        view = self._mesh.view(member.incarnation)
        age_s = time.monotonic() - view.heard_at
        members = self._tail.state.members.member_by_incarnation
        own = members.get(self._mesh.incarnation)
        is_self = member.incarnation == self._mesh.incarnation
        if member.expelled_at is not None:
            state = MemberState.EXPELLED
        elif view.draining:
            state = MemberState.DRAINING
        elif not is_self and age_s > SILENCE_TIMEOUT_S:
            state = MemberState.SILENT
        else:
            state = MemberState.LIVE
        return MemberStatus(
            incarnation=member.incarnation,
            instance=member.instance,
            address=member.address,
            zone=member.zone,
            state=state,
            heard_ms=None if math.isinf(age_s) else round(age_s * 1000),
            knows_reporter=own is not None and view.next_offset > own.joined_at,
            program_version=member.program_version,
        )

    def fleet_usage(self) -> dict[str, OrganisationUsage]:
        """Return the usage of each organisation, summed over all entries."""
        total: dict[str, OrganisationUsage] = {}
        parts = [self._mesh.usage_by_organisation, *self._mesh.usage_by_peer().values()]
        for usage_by_organisation in parts:
            for organisation, usage in usage_by_organisation.items():
                known = total.get(organisation) or OrganisationUsage(organisation, 0, 0)
                total[organisation] = OrganisationUsage(
                    organisation,
                    known.running + usage.running,
                    known.queued + usage.queued,
                    known.cores + usage.cores,
                    known.memory_mb + usage.memory_mb,
                    known.accelerators + usage.accelerators,
                )
        return total

    def fleet_resources(self) -> Resources:
        """Return the resources of all configured instances."""
        self._update_totals()
        return self._fleet_resources

    def _update_totals(self) -> None:
        state = self._tail.state
        if state.config is self._totals_config:
            return
        self._totals_config = state.config
        instances = state.config.instance_by_id.values()
        self._fleet_resources = sum((item.size for item in instances), NO_RESOURCES)
        plan = plan_buffers(state.config, state.maintenance.pool_by_instance)
        self._wanted_buffer = wanted_buffer(plan.needs)

    def _organisations(self) -> dict[str, OrganisationStatus]:
        state = self._tail.state
        usage_by_organisation = self.fleet_usage()
        size = self.fleet_resources()
        own = self._mesh.incarnation
        document = {}
        for organisation_id, organisation in state.config.organisation_by_id.items():
            usage = usage_by_organisation.get(organisation_id) or OrganisationUsage(
                organisation_id, 0, 0
            )
            used = Resources(usage.cores, usage.memory_mb, usage.accelerators)
            grants = state.grants.of(organisation_id)
            fair_share_event = self._scheduler.explain_organisation(organisation_id)[0]
            document[organisation_id] = OrganisationStatus(
                running=usage.running,
                queued=usage.queued,
                share=organisation.share,
                entitlement=fair_share_event.fair_share,
                dominant_share=used.dominant_share(size),
                upper_limit=organisation.upper_limit,
                grant=grants.count_by_holder.get(own, 0),
                granted=grants.total(),
            )
        return document

    def _queues(self) -> dict[str, QueueStatus]:
        running: Counter[str] = Counter()
        queued: Counter[str] = Counter()
        oldest: dict[str, float] = {}
        for local in self._local_requests.unsettled():
            queue = local.submission.queue
            if local.address_by_attempt:
                running[queue] += 1
                continue
            queued[queue] += 1
            submitted_at = local.submission.submitted_at
            oldest[queue] = min(oldest.get(queue, submitted_at), submitted_at)
        now = time.monotonic()
        return {
            queue_id: QueueStatus(
                pool=queue.pool,
                kind=queue.kind,
                running=running[queue_id],
                queued=queued[queue_id],
                max_queued=queue.max_queued,
                oldest_wait_ms=round((now - oldest.get(queue_id, now)) * 1000),
            )
            for queue_id, queue in self._tail.state.config.queue_by_id.items()
        }

    def _zones(self) -> dict[str, ZoneStatus]:
        config = self._tail.state.config
        workers: Counter[str] = Counter()
        in_service: Counter[str] = Counter()
        for instance in config.instance_by_id.values():
            workers[instance.zone] += 1
            in_service[instance.zone] += self._may_start_on(instance.id)
        return {
            zone_id: ZoneStatus(
                region=zone.region,
                state=zone.state,
                workers=workers[zone_id],
                in_service=in_service[zone_id],
            )
            for zone_id, zone in config.zone_by_id.items()
        }

    def _may_start_on(self, instance_id: str) -> bool:
        config = self._tail.state.config
        instance = config.instance_by_id.get(instance_id)
        if instance is None or not self._worker_monitor.is_in_service(instance_id):
            return False
        return config.zone_by_id[instance.zone].state is ZoneState.IN

    def _pools(self) -> dict[str, PoolStatus]:
        state = self._tail.state
        workers: Counter[str] = Counter()
        in_service: Counter[str] = Counter()
        for instance, pool in state.maintenance.pool_by_instance.items():
            workers[pool] += 1
            in_service[pool] += self._may_start_on(instance)
        self._update_totals()
        spare_pools = sum(pool.spare for pool in state.config.pool_by_id.values())
        return {
            pool_id: PoolStatus(
                workers=workers[pool_id],
                in_service=in_service[pool_id],
                needed=pool.needed,
                buffer=max(0, in_service[pool_id] - pool.needed),
                unavailable=workers[pool_id] - in_service[pool_id],
                # The wanted buffer of the fleet is divided among the spare pools.
                buffer_wanted=(
                    -(-self._wanted_buffer // spare_pools) if pool.spare else 0
                ),
                max_unavailable=pool.max_unavailable,
                spare=pool.spare,
            )
            for pool_id, pool in state.config.pool_by_id.items()
        }
