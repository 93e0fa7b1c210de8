"""Recovery of recorded requests whose claim belongs to a lost or removed member."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

from lycheeloom.clients import TaskReport, TaskStatus, WorkerClient
from lycheeloom.log import LogTail, LogWriter
from lycheeloom.model import records as r
from lycheeloom.model.records import Outcome, Record
from lycheeloom.state import RecordedRequest
from lycheeloom.telemetry import log_event

from .rendezvous import select_member

SCAN_INTERVAL_S = 1.0
COMMIT_TIMEOUT_S = 5.0
# A worker that does not answer is polled again for this long.
LOOKUP_TIME_S = 60.0
LOOKUP_INTERVAL_S = 1.0


class ClaimRecovery:
    """Finishes or releases claims of members that left or whose grants were reclaimed.

    Every lease of such a member has expired, so its tasks no longer run and its
    starts are refused. The status of a task at its worker is therefore final.
    """

    def __init__(
        self,
        tail: LogTail,
        writer: LogWriter,
        client: WorkerClient,
        incarnation: Callable[[], str],
        may_act: Callable[[], bool],
    ) -> None:
        self.recovered = 0
        self._tail = tail
        self._writer = writer
        self._client = client
        self._incarnation = incarnation
        self._may_act = may_act
        self._in_progress: set[str] = set()

    def run(self) -> None:
        """Scan for such claims until stopped."""
        while True:
            if self._may_act():
                self.scan()
            gevent.sleep(SCAN_INTERVAL_S)

    def scan(self) -> None:
        """Start the recovery of each claim that this entry is selected for."""
        state = self._tail.state
        members = [member.incarnation for member in state.members.active()]
        for request_id in state.requests.claimed:
            request = state.requests.request_by_id[request_id]
            if request.holder in state.members.member_by_incarnation:
                continue
            if select_member(request_id, members) != self._incarnation():
                continue
            if request_id in self._in_progress:
                continue
            self._in_progress.add(request_id)
            gevent.spawn(self._recover, request, request.attempt)

    def _recover(self, request: RecordedRequest, attempt: int) -> None:
        try:
            report = self._look_up(request, attempt)
            record = decide(request, attempt, report)
            # Later scans must not append another record while this one can still be
            # written.
            outcome = self._writer.append(record).wait_settled(COMMIT_TIMEOUT_S)
            self.recovered += 1
            log_event(
                "claim_recovered",
                request=request.request_id,
                record=type(record).__name__,
                outcome=type(outcome).__name__,
            )
        finally:
            self._in_progress.discard(request.request_id)

    def _look_up(self, request: RecordedRequest, attempt: int) -> TaskReport | None:
        instance = self._tail.state.config.instance_by_id.get(request.worker)
        if instance is None:
            return None
        give_up_at = time.monotonic() + LOOKUP_TIME_S
        while time.monotonic() < give_up_at:
            task = f"{request.request_id}.{attempt}"
            report = self._client.status(instance.address, task)
            is_final = isinstance(report, TaskReport)
            if is_final and report.status is not TaskStatus.RUNNING:
                return report
            gevent.sleep(LOOKUP_INTERVAL_S)
        return None


def decide(request: RecordedRequest, attempt: int, report: TaskReport | None) -> Record:
    """Return the record that finishes or releases a lost attempt.

    ``report`` is the worker's final report about the attempt, or None if there is none.
    """
    request_id = request.request_id
    release = r.RequestReleased(request_id, attempt)
    may_have_run = r.RequestFinished(
        request_id,
        attempt,
        Outcome.MAY_HAVE_RUN,
        b"the entry that ran the request was lost",
    )
    if report is None:
        return release if request.idempotent else may_have_run
    match report.status:
        case TaskStatus.DONE:
            return r.RequestFinished(request_id, attempt, Outcome.RAN, report.answer)
        case TaskStatus.CHECKPOINTED:
            return r.RequestReleased(request_id, attempt, report.checkpoint)
        case TaskStatus.UNKNOWN if report.boot_id == request.worker_boot:
            # The worker never got the start, and would refuse it now.
            return release
    return release if request.idempotent else may_have_run
