"""Creates, starts and shuts down the components of a controller."""

from __future__ import annotations

import gc
import secrets
import time
from collections.abc import Callable

import gevent
import gevent.event
from gevent.pywsgi import WSGIServer
from loguru import logger

from lycheeloom.clients import InstanceClient, LogClient, Transport, WorkerClient
from lycheeloom.fleet import MonitorSettings, Planner, PlannerSettings, RepairSettings
from lycheeloom.log import LogTail, LogWriter, RecordReader, recover
from lycheeloom.model.records import Duty
from lycheeloom.settings import split_address
from lycheeloom.state import FleetState
from lycheeloom.telemetry import log_event

from .duty import DutyElection
from .housekeeping import AnswerExpiry, SnapshotLoop
from .http_api import HttpApi
from .maintenance import MaintenanceLoop
from .metrics import ControllerMetrics
from .outcome_reports import OUTCOME_POLL_INTERVAL_S, OutcomeReportPoller
from .probes import ReplayedOutcomes, WorkerProber
from .refresh import RecordRefresher
from .settings import Settings

PROGRAM_VERSION = "0.1.0"
RECOVERY_RETRY_S = 0.5
DUTY_STEP_S = 1.0
HOUSEKEEPING_STEP_S = 5.0
METRICS_STEP_S = 5.0
IDLE_CONNECTION_CHECK_S = 5.0
WEEK_S = 7 * 24 * 3600.0


class ControllerService:
    """A controller process; each duty is held by one of all controllers."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        transport = Transport()
        self._log = LogClient(settings.log, transport)
        self._workers = WorkerClient(transport)
        self._instances = InstanceClient(settings.instances, transport)
        self._stopping = gevent.event.Event()
        self._greenlets: list[gevent.Greenlet] = []

    def run(self) -> None:
        """Serve until ``stop`` is called.

        Nothing is handed over at the end: the next holder continues each move from
        its last recorded stage.
        """
        state = self._recover()
        if state is None:
            return
        self._create_components(state)
        # With 5,100 workers a full garbage collection makes single planner steps take
        # over 40 ms. The recovered state lives as long as the process, so it is
        # excluded from collections.
        gc.collect()
        gc.freeze()
        self._start()
        log_event("controller_started", listen=self.settings.listen)
        self._stopping.wait()
        self._stop_all()
        log_event("controller_stopped")

    def stop(self) -> None:
        """Ask ``run`` to shut down."""
        self._stopping.set()

    def _recover(self) -> FleetState | None:
        while not self._stopping.is_set():
            state = recover(self._log)
            if isinstance(state, FleetState):
                return state
            log_event("recovery_failed", "WARNING", reason=state.reason)
            self._stopping.wait(RECOVERY_RETRY_S)
        return None

    def _create_components(self, state: FleetState) -> None:
        settings = self.settings
        author = f"controller-{settings.instance}-{secrets.token_hex(4)}"
        self.tail = LogTail(self._log, state)
        self.writer = LogWriter(self._log, author, self.tail)
        self.planner = Planner(
            PlannerSettings(
                drain_limit_s=settings.drain_limit_s,
                buffer_moves_per_hour=settings.buffer_moves_per_hour,
                regular_cycle_s=settings.regular_wave_weeks * WEEK_S,
                correlated_pause_s=settings.correlated_pause_s,
                dead_after_s=settings.dead_after_s,
            ),
            MonitorSettings(silent_s=settings.silent_s),
            RepairSettings(
                probation_s=settings.probation_s, max_reboots=settings.max_reboots
            ),
        )
        self.election_by_duty = {
            duty: DutyElection(duty, self.tail, self.writer) for duty in Duty
        }
        # The planner's clock must not jump, but must agree between processes on the
        # number of the current cycle of regular waves.
        started_at, wall = time.monotonic(), time.time()
        clock = lambda: wall + time.monotonic() - started_at  # noqa: E731
        self.probes = WorkerProber(
            self.tail, self._workers, self.planner.health, clock=clock
        )
        self._replayed_outcomes = ReplayedOutcomes(
            self.tail, self.planner.health, clock=clock
        )
        self.outcome_reports = OutcomeReportPoller(
            self.tail, self.planner.health, author, clock=clock
        )
        self.maintenance = MaintenanceLoop(
            self.planner,
            self.election_by_duty[Duty.MAINTENANCE],
            self.tail,
            self.writer,
            self._instances,
            self.probes,
            clock=clock,
        )
        self._create_housekeeping()

    def _create_housekeeping(self) -> None:
        self.snapshots = SnapshotLoop(
            self.election_by_duty[Duty.SNAPSHOT],
            self.tail,
            self.writer,
            self.settings.log_retention_s,
        )
        self.expiry = AnswerExpiry(
            self.election_by_duty[Duty.HOUSEKEEPING], self.tail, self.writer
        )
        self.refresher = RecordRefresher(
            self.election_by_duty[Duty.HOUSEKEEPING],
            self.tail,
            self.writer,
            RecordReader(self.tail, self._log),
            self.settings.log_retention_s,
        )
        self.metrics = ControllerMetrics()
        self.metrics.log_retention_s.set(self.settings.log_retention_s)
        maintenance = self.election_by_duty[Duty.MAINTENANCE]
        self._api = HttpApi(
            self.planner,
            self.metrics.registry,
            maintenance.is_fresh,
            maintenance.is_held,
        )

    def _start(self) -> None:
        self.tail.start()
        self.writer.start()
        elections = list(self.election_by_duty.values())
        self._spawn_loop(lambda: [item.step() for item in elections], DUTY_STEP_S)
        self._spawn_loop(self.maintenance.step, self.settings.step_s)
        self._spawn_loop(self.snapshots.step, HOUSEKEEPING_STEP_S)
        self._spawn_loop(self.expiry.step, HOUSEKEEPING_STEP_S)
        self._spawn_loop(self.refresher.step, HOUSEKEEPING_STEP_S)
        self._spawn_loop(self.outcome_reports.step, OUTCOME_POLL_INTERVAL_S)
        self._spawn_loop(self._update_metrics, METRICS_STEP_S)
        self._spawn_loop(self._workers.close_idle, IDLE_CONNECTION_CHECK_S)
        self._greenlets.append(gevent.spawn(self.probes.run))
        self._server = WSGIServer(
            split_address(self.settings.listen), self._api.app, log=None, error_log=None
        )
        self._server.start()

    def _spawn_loop(self, step: Callable[[], object], interval_s: float) -> None:
        self._greenlets.append(gevent.spawn(_run_loop, step, interval_s))

    def _update_metrics(self) -> None:
        for duty, election in self.election_by_duty.items():
            self.metrics.set_duty(duty, election.is_held())
        self.metrics.set_fleet(self.maintenance.view, self.planner)
        self.metrics.step_s.set(self.maintenance.last_step_s)
        age_s = time.monotonic() - self.tail.last_read_sent_at
        self.metrics.log_age_s.set(age_s)
        covered = self.snapshots.writer.covers_offset
        self.metrics.records_since_snapshot.set(self.tail.next_offset - 1 - covered)
        self.metrics.snapshot_age_s.set(self.snapshots.writer.age_s())

    def _stop_all(self) -> None:
        gevent.killall(self._greenlets)
        self._server.stop(timeout=1.0)
        self.writer.stop()
        self.tail.stop()


def _run_loop(step: Callable[[], object], interval_s: float) -> None:
    """Run a step at intervals; an exception in one step must not end the loop."""
    while True:
        try:
            step()
        except Exception:
            logger.exception("event=step_failed")
        gevent.sleep(interval_s)
