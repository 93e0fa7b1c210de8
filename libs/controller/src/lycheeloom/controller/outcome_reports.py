"""Polls the entries for task outcomes that are not recorded in the log."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from gevent.pool import Pool

from lycheeloom.cluster import Connection, PeerConnectionError, connect
from lycheeloom.fleet import HealthMonitor
from lycheeloom.log import LogTail
from lycheeloom.state import Member
from lycheeloom.wire import OutcomeCount, OutcomeReport, OutcomeRequest, PeerMessage

# Below the 10 s after which entries close idle connections.
OUTCOME_POLL_INTERVAL_S = 5.0
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 16
# The monitor keeps 50 outcomes of a worker; a single busy entry must not displace
# those that other entries report.
MAX_OUTCOMES_PER_REPORT = 10


@dataclass(slots=True)
class _EntryPoll:
    """The connection to one entry and the last period that it has reported."""

    connection: Connection | None = None
    through_period: int = 0


class OutcomeReportPoller:
    """Polls each entry for the outcomes of workers on which tasks failed.

    All controllers do so, not only the holder of the duty, so that a controller
    that takes over has the outcomes of the last minutes.
    """

    def __init__(
        self,
        tail: LogTail,
        monitor: HealthMonitor,
        sender: str,
        *,
        clock: Callable[[], float] = time.monotonic,
        connect: Callable[[str, float], Connection] = connect,
    ) -> None:
        self._tail = tail
        self._monitor = monitor
        self._sender = sender
        self._clock = clock
        self._connect = connect
        self._poll_by_entry: dict[str, _EntryPoll] = {}
        self._calls = Pool(MAX_CONCURRENT_CALLS)

    def step(self) -> None:
        """Poll all entries once; each call has a timeout."""
        members = self._tail.state.members.active()
        known = {member.incarnation for member in members}
        for gone in self._poll_by_entry.keys() - known:
            self._close(self._poll_by_entry.pop(gone))
        self._calls.map(self._poll_entry, members)

    def _poll_entry(self, member: Member) -> None:
        poll = self._poll_by_entry.setdefault(member.incarnation, _EntryPoll())
        request = PeerMessage(self._sender, OutcomeRequest(poll.through_period))
        try:
            if poll.connection is None:
                poll.connection = self._connect(member.address, CONNECT_TIMEOUT_S)
            answer = poll.connection.call(request, ANSWER_TIMEOUT_S)
        except PeerConnectionError:
            # Retried at the next step; entries keep the counts of the last minute.
            self._close(poll)
            return
        report = answer.body
        is_expected = isinstance(report, OutcomeReport)
        if not is_expected or answer.sender != member.incarnation:
            self._close(poll)
            return
        poll.through_period = report.through_period
        self._apply_report(report)

    def _apply_report(self, report: OutcomeReport) -> None:
        now = self._clock()
        for queue in report.succeeded_queues:
            self._monitor.record_workload_success(queue, now)
        known = self._tail.state.config.instance_by_id
        for count in report.counts:
            if count.worker in known and count.ended:
                self._apply_count(count, now)

    def _apply_count(self, count: OutcomeCount, now: float) -> None:
        ended = min(count.ended, MAX_OUTCOMES_PER_REPORT)
        failed = round(count.failed * ended / count.ended)
        for number in range(ended):
            is_ok = number >= failed
            self._monitor.record_outcome(count.worker, count.queue, is_ok, now)

    @staticmethod
    def _close(poll: _EntryPoll) -> None:
        if poll.connection is not None:
            poll.connection.close()
            poll.connection = None
