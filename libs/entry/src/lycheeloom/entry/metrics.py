"""Prometheus metrics of an entry.

Label values come from the configuration and from enumerations, never from callers.
"""

from __future__ import annotations

import math
from collections import Counter as CountByKey

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
)

from lycheeloom.model.config import ZoneState
from lycheeloom.model.status import StatusDocument

_LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    15.0,
    60.0,
)


class EntryMetrics:
    """All metrics of one entry, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self.requests = self._counter(
            "requests", "Requests that ended, by queue and verdict", "queue", "verdict"
        )
        self.refusals = self._counter(
            "refusals", "Requests refused as not run, by reason", "reason"
        )
        self.latency_s = Histogram(
            "lycheeloom_request_seconds",
            "Time from acceptance to verdict",
            ["queue"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.clients_refused = self._counter(
            "clients_refused", "Refused beyond the client limits, by reason", "reason"
        )
        self.client_connections = self._gauge(
            "client_connections", "Open connections of clients"
        )
        self.client_pending_bytes = self._gauge(
            "client_pending_bytes", "Bytes of requests that are not answered yet"
        )
        self.starts = self._counter(
            "starts", "Starts sent to workers, by result", "result"
        )
        self.retries = self._counter("retries", "Attempts repeated elsewhere", "queue")
        self.hedges = self._counter("hedges", "Second copies of slow requests", "queue")
        self.unknown_records = self._gauge(
            "unknown_records", "Records of newer program versions that were skipped"
        )
        self.members = self._gauge("members", "Members on record by state", "state")
        self.queue_queued = self._gauge(
            "queue_queued_requests", "Requests waiting here", "queue"
        )
        self.queue_bound = self._gauge(
            "queue_bound", "How many requests may wait here", "queue"
        )
        self.running = self._gauge(
            "organisation_running_tasks", "Running tasks here", "organisation"
        )
        self.queued = self._gauge(
            "organisation_queued_tasks", "Queued tasks here", "organisation"
        )
        self.granted = self._gauge(
            "organisation_granted_slots",
            "Running slots held by this entry",
            "organisation",
        )
        self.upper_limit = self._gauge(
            "organisation_upper_limit",
            "Running tasks allowed over the fleet",
            "organisation",
        )
        self.share_ratio = self._gauge(
            "organisation_dominant_share_ratio",
            "Fleet-wide dominant share in use",
            "organisation",
        )
        self.entitlement_ratio = self._gauge(
            "organisation_entitlement_ratio",
            "Fleet-wide share due now",
            "organisation",
        )
        self.zone_in_service = self._gauge(
            "zone_in_service",
            "0 while operators have taken the zone out",
            "zone",
        )
        self.fresh = self._gauge("entry_fresh", "1 if this entry may start tasks")
        self.draining = self._gauge("entry_draining", "1 while it takes no new work")
        self.log_age_s = self._gauge(
            "log_age_seconds", "Time since the last successful log read"
        )
        self.config_version = self._gauge(
            "config_version", "Version of the configuration in force"
        )
        self.loop_delay_s = self._gauge(
            "event_loop_delay_seconds", "Latest delay of a timer"
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"lycheeloom_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"lycheeloom_{name}", text, labels, registry=self.registry)

    def set_status(self, status: StatusDocument) -> None:
        """Set the gauges from the status document.

        Label values that are no longer in the document disappear.
        """
        self.fresh.set(int(status.fresh))
        self.draining.set(int(status.draining))
        self.config_version.set(status.config_version)
        # Alerts compare this gauge with a limit: infinity, unlike 0, raises them for an
        # entry that has never read the log.
        never = status.log_age_ms is None
        self.log_age_s.set(math.inf if never else status.log_age_ms / 1000)
        self._set_members(status)
        self._set_organisations(status)
        self._set_queues(status)
        self.zone_in_service.clear()
        for zone_id, zone in status.zones.items():
            is_in = zone.state is ZoneState.IN
            self.zone_in_service.labels(zone_id).set(int(is_in))

    def _set_members(self, status: StatusDocument) -> None:
        self.members.clear()
        counts = CountByKey(member.state for member in status.members)
        for state, count in counts.items():
            self.members.labels(state).set(count)

    def _set_organisations(self, status: StatusDocument) -> None:
        for gauge in (self.upper_limit, self.share_ratio, self.entitlement_ratio):
            gauge.clear()
        for organisation_id, organisation in status.organisations.items():
            self.upper_limit.labels(organisation_id).set(organisation.upper_limit)
            self.share_ratio.labels(organisation_id).set(organisation.dominant_share)
            self.entitlement_ratio.labels(organisation_id).set(organisation.entitlement)

    def _set_queues(self, status: StatusDocument) -> None:
        self.queue_queued.clear()
        self.queue_bound.clear()
        for queue_id, queue in status.queues.items():
            self.queue_queued.labels(queue_id).set(queue.queued)
            self.queue_bound.labels(queue_id).set(queue.max_queued)
