"""Construction, start and shutdown of an entry."""

from __future__ import annotations

import gc
import time
from dataclasses import dataclass

import gevent
import gevent.event

from lycheeloom.clients import (
    InstanceClient,
    InstanceList,
    LogClient,
    Transport,
    Unavailable,
    WorkerClient,
)
from lycheeloom.cluster import (
    Freshness,
    Identity,
    MembershipManager,
    PeerMesh,
    new_incarnation,
)
from lycheeloom.log import LogTail, LogWriter, RecoveryFailed, ReplayedBatch, recover
from lycheeloom.model.records import (
    ConfigChanged,
    GrantRequested,
    GrantReturned,
    GrantsReclaimed,
    InstanceHealth,
    MemberJoined,
    MemberLeft,
    MemberRefuted,
    MemberVote,
    MoveStep,
)
from lycheeloom.model.status import StatusDocument
from lycheeloom.sched import Scheduler
from lycheeloom.settings import split_address
from lycheeloom.state import FleetState
from lycheeloom.telemetry import log_event
from lycheeloom.telemetry.traces import Tracer
from lycheeloom.wire import OrganisationUsage

from .attempt import AttemptRunner
from .dispatch import Dispatcher
from .explanations import EntryExplanations
from .grant_manager import GrantManager
from .http_api import HttpApi
from .http_server import ClientGuard, HttpServer
from .local_requests import LocalRequest, LocalRequestTable
from .metrics import EntryMetrics
from .outcome_counts import OutcomeCounts
from .recorded_requests import RecordedRequestManager
from .recovery import ClaimRecovery
from .request_handler import RequestHandler
from .sessions import WorkerSessions
from .settings import Settings
from .start_checks import StartChecks
from .status import StatusBuilder
from .usage_exchange import UsageExchange
from .wave_progress import MoveTimes, WaveProgress
from .worker_monitor import WorkerMonitor

PROGRAM_VERSION = "0.1.0"
RECOVERY_RETRY_S = 0.5  # between attempts to read the state from the log
LOOP_DELAY_INTERVAL_S = 5.0  # between two measurements of the event loop's delay
CLOSE_IDLE_INTERVAL_S = 5.0
DRAIN_POLL_S = 0.05
# Draining takes at least this long, so that new requests get a refusal, not a closed
# connection, until the load balancer learns from /readyz that this entry is draining.
MIN_DRAIN_DURATION_S = 1.0
LEAVE_TIMEOUT_S = 3.0
# Net container allocations that start a collection of the youngest generation.
GC_THRESHOLD_NET_ALLOCATIONS = 20_000
# Records that can change the grants of this entry or the number of members.
_GRANT_RECORD_TYPES = {
    GrantRequested,
    GrantReturned,
    GrantsReclaimed,
    MemberJoined,
    MemberLeft,
    MemberRefuted,
    MemberVote,
}


@dataclass(slots=True)
class _Clients:
    log: LogClient
    workers: WorkerClient
    instances: InstanceClient


class EntryService:
    """One entry, which accepts requests, runs them at workers and answers callers."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        transport = Transport()
        self._clients = _Clients(
            LogClient(settings.log, transport),
            WorkerClient(transport),
            InstanceClient(settings.instances, transport),
        )
        self.metrics = EntryMetrics()
        self.local_requests = LocalRequestTable()
        self._tracer = Tracer(settings.instance, settings.trace_ratio)
        self._greenlets: list[gevent.Greenlet] = []
        self._server: HttpServer | None = None
        self._http_clients = ClientGuard(
            settings.limits_in_force,
            lambda reason: self.metrics.clients_refused.labels(reason).inc(),
        )
        self._stopping = gevent.event.Event()

    def run(self) -> None:
        """Serve until stopped, replaced or marked as leaving; drain and shut down."""
        self._build(self._recover_state())
        self._start()
        log_event(
            "entry_started",
            listen=self.settings.listen,
            incarnation=self.membership.incarnation,
            next_offset=self.tail.next_offset,
        )
        while not self._stopping.wait(0.5):  # seconds between membership checks
            if self.membership.is_replaced:
                log_event("entry_replaced", "WARNING")
                break
            if self.membership.is_leaving:
                log_event("instance_leaving")
                break
        self._drain()
        self._stop_all()
        log_event("entry_stopped")

    def stop(self) -> None:
        """Ask ``run`` to shut down."""
        self._stopping.set()

    def _recover_state(self) -> FleetState:
        while True:
            result = recover(self._clients.log)
            if isinstance(result, FleetState):
                return result
            self._log_recovery_failure(result)
            if self._stopping.wait(RECOVERY_RETRY_S):
                return FleetState()  # ``run`` starts the entry, then stops it at once

    def _log_recovery_failure(self, failed: RecoveryFailed) -> None:
        log_event("recovery_failed", "WARNING", reason=failed.reason)

    def _build(self, state: FleetState) -> None:
        settings = self.settings
        incarnation = new_incarnation(settings.instance)
        self.tail = LogTail(self._clients.log, state)
        self.writer = LogWriter(self._clients.log, incarnation, self.tail)
        # The author of the writer is always the current incarnation of this entry.
        self.freshness = Freshness(self.tail, lambda: self.writer.author)
        self.mesh = PeerMesh(incarnation, self.tail, self.freshness)
        self.scheduler = Scheduler(state.config, settings.seed)
        self.membership = MembershipManager(
            Identity(
                settings.instance, settings.peer_listen, settings.zone, PROGRAM_VERSION
            ),
            self.writer,
            self.tail,
            self.mesh,
            self.freshness,
            self._list_instances,
        )
        self._build_request_processing()
        self._build_http()
        self.tail.add_listener(self._on_replayed)
        self.tail.add_reset_listener(lambda state: self._apply_config())

    def _build_request_processing(self) -> None:
        self.monitor = WorkerMonitor(
            self.tail, self.scheduler, self._clients.workers, lambda: self._wake()
        )
        sessions = WorkerSessions(
            self._clients.workers,
            lambda: self.membership.incarnation,
            self.monitor.observe_session,
        )
        self.monitor.sessions = sessions
        self.recorded_requests = RecordedRequestManager(
            self.tail,
            self.writer,
            self._clients.log,
            self.local_requests,
            lambda: self.membership.incarnation,
            lambda: self.membership.is_member and not self.mesh.draining,
        )
        self.dispatcher = Dispatcher(
            self.scheduler,
            self.local_requests,
            self.metrics,
            self._clients.workers,
            self.monitor.address_of,
            self.freshness.is_fresh,
            self.recorded_requests.release_claim,
            self._on_settled,
        )
        self.recorded_requests.dispatcher = self.dispatcher
        self.exchange = UsageExchange(self.mesh, self.scheduler, self.dispatcher)
        self.dispatcher.after_scheduling_round = self.exchange.sync_reservations
        outcomes = OutcomeCounts(self.monitor.is_on_probation)
        self.dispatcher.on_outcome = outcomes.record
        self.mesh.report_outcomes = outcomes.report
        self.grants = GrantManager(
            self.tail,
            self.writer,
            self.scheduler,
            lambda: self.membership.incarnation,
            self.dispatcher.running_count,
            self.exchange.peer_demand,
            lambda: self.mesh.draining,
            self._wake,
        )
        checks = StartChecks(
            self.tail,
            self.freshness,
            self.membership,
            self.dispatcher,
            self.grants,
            self.monitor,
        )
        self.dispatcher.runner = AttemptRunner(
            self._clients.workers,
            sessions,
            self._tracer,
            checks.may_start,
            lambda: self.membership.incarnation,
            checks.may_renew,
            self.recorded_requests.claim,
            self.dispatcher.observe_report,
        )
        self.claim_recovery = ClaimRecovery(
            self.tail,
            self.writer,
            self._clients.workers,
            lambda: self.membership.incarnation,
            lambda: self.membership.is_member and not self.mesh.draining,
        )

    def _build_http(self) -> None:
        self.handler = RequestHandler(
            self.tail,
            self.freshness,
            self.local_requests,
            self.dispatcher,
            self.recorded_requests,
            self.metrics,
            self._tracer,
        )
        times = MoveTimes(self.mesh.log_age_s)
        self.tail.add_listener(times.on_replayed)
        self.status = StatusBuilder(
            self.tail,
            self.mesh,
            self.freshness,
            self.scheduler,
            self.local_requests,
            self.monitor,
            WaveProgress(lambda: self.tail.state, self.monitor.is_in_service, times),
        )
        explanations = EntryExplanations(self.tail, self.scheduler, self.local_requests)
        self._api = HttpApi(
            self.handler,
            self.tail,
            self.metrics,
            self._status_document,
            lambda: self.freshness.is_fresh() and not self.handler.is_draining,
            explanations.explain,
            self.settings.handover_token,
            self._update_metrics,
        )

    def _start(self) -> None:
        # Full collections of modules and state would delay answers by tens of ms.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD_NET_ALLOCATIONS)
        self._apply_config()
        for instance in self.tail.state.maintenance.health_by_instance:
            self.monitor.apply_health(instance)
        self.tail.start()
        self.writer.start()
        self.mesh.start(*split_address(self.settings.peer_listen))
        for loop in (
            self.freshness.run,
            self.membership.run,
            self.membership.poll_instance_list,
            self.dispatcher.run_rounds,
            self.grants.run,
            self.monitor.run,
            self.claim_recovery.run,
            self.exchange.run,
            self._measure_loop_delay,
            self._close_idle_connections,
        ):
            self._greenlets.append(gevent.spawn(loop))
        self._server = HttpServer(
            split_address(self.settings.listen),
            self._api.app,
            log=None,
            clients=self._http_clients,
        )
        self._server.start()

    def _wake(self) -> None:
        self.dispatcher.wake()

    def _list_instances(self) -> InstanceList | Unavailable:
        listing = self._clients.instances.list()
        if isinstance(listing, InstanceList):
            self.monitor.observe_instances(listing)
        return listing

    def _on_replayed(self, replayed: ReplayedBatch) -> None:
        record_types = {type(record) for record in replayed.batch.records}
        if ConfigChanged in record_types:
            self._apply_config()
        elif MoveStep in record_types:
            self._apply_pools()
        for record in replayed.batch.records:
            if isinstance(record, InstanceHealth):
                self.monitor.apply_health(record.instance)
        if record_types & _GRANT_RECORD_TYPES:
            self.grants.schedule_full_step()

    def _apply_config(self) -> None:
        config = self.tail.state.config
        self.scheduler.set_config(config, time.monotonic())
        self.dispatcher.set_retry_and_hedge_budgets(list(config.queue_by_id.values()))
        self._apply_pools()
        self.grants.schedule_full_step()
        self._wake()

    def _apply_pools(self) -> None:
        pools = self.tail.state.maintenance.pool_by_instance
        self.scheduler.set_pool_by_instance(dict(pools))
        self.monitor.apply_maintenance()
        self._wake()

    def _on_settled(self, request: LocalRequest) -> None:
        if request.is_recorded:
            gevent.spawn(self.recorded_requests.record_verdict, request)

    def _measure_loop_delay(self) -> None:
        while True:
            due = time.monotonic() + LOOP_DELAY_INTERVAL_S
            gevent.sleep(LOOP_DELAY_INTERVAL_S)
            self.metrics.loop_delay_s.set(max(0.0, time.monotonic() - due))

    def _update_metrics(self) -> None:
        self.metrics.set_status(self._status_document())
        self.metrics.unknown_records.set(self.tail.state.unknown_records)
        accounts = self._http_clients.accounts
        self.metrics.client_connections.set(len(accounts))
        self.metrics.client_pending_bytes.set(accounts.pending_bytes)
        for gauge in (self.metrics.running, self.metrics.queued, self.metrics.granted):
            gauge.clear()
        for organisation in self.tail.state.config.organisation_by_id:
            own_usage = self.mesh.usage_by_organisation.get(
                organisation
            ) or OrganisationUsage(organisation, 0, 0)
            self.metrics.running.labels(organisation).set(
                self.dispatcher.running_count(organisation)
            )
            self.metrics.queued.labels(organisation).set(own_usage.queued)
            self.metrics.granted.labels(organisation).set(
                self.grants.usable(organisation)
            )

    def _status_document(self) -> StatusDocument:
        return self.status.build(
            self.settings.instance, self.settings.zone, PROGRAM_VERSION
        )

    def _close_idle_connections(self) -> None:
        while True:
            gevent.sleep(CLOSE_IDLE_INTERVAL_S)
            self._clients.workers.close_idle()

    def _drain(self) -> None:
        """Refuse new requests and wait for open ones; leave unless tasks still run."""
        self.handler.is_draining = True
        self.mesh.draining = True
        self.recorded_requests.end_all_waits()
        self.recorded_requests.reassign_pending()
        log_event("draining", open_requests=self.handler.open_requests)
        gevent.sleep(MIN_DRAIN_DURATION_S)
        give_up_at = time.monotonic() + self.settings.drain_timeout_s
        while time.monotonic() < give_up_at:
            is_busy = self.handler.open_requests or self.dispatcher.running_tasks
            if not is_busy and self.writer.is_idle:
                break
            gevent.sleep(DRAIN_POLL_S)
        if self.dispatcher.running_tasks:
            log_event("drain_timeout", "WARNING", tasks=self.dispatcher.running_tasks)
            # The entry stays a member until its peers expel it for its silence.
            return
        self.membership.leave(LEAVE_TIMEOUT_S)

    def _stop_all(self) -> None:
        self._server.stop(timeout=1.0)
        gevent.killall(self._greenlets)
        self.mesh.stop()
        self.writer.stop()
        self.tail.stop()
