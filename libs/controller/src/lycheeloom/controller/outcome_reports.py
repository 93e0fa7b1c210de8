"""Outcomes of requests that the log does not hold, asked from the entries."""

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

# Entries close connections that were idle for 10 s.
REPORT_INTERVAL_S = 5.0
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 1.0
MAX_CALLS = 16
# The monitor keeps 50 outcomes of a worker; one busy entry must not displace
# what the others have seen.
OUTCOMES_PER_REPORT = 10


@dataclass(slots=True)
class _Link:
    """The connection to one entry and the last period that it reported."""

    connection: Connection | None = None
    through_period: int = 0


class OutcomeReports:
    """Asks each entry for the outcomes on workers in question.

    All controllers do so, not only the holder of the duty, so that one that
    takes over has the outcomes of the last minutes.
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
        self._link_by_entry: dict[str, _Link] = {}
        self._pool = Pool(MAX_CALLS)

    def step(self) -> None:
        """Ask all entries once; each call ends in a bounded time."""
        members = self._tail.state.members.active()
        known = {member.incarnation for member in members}
        for gone in self._link_by_entry.keys() - known:
            self._close(self._link_by_entry.pop(gone))
        self._pool.map(self._ask, members)

    def _ask(self, member: Member) -> None:
        link = self._link_by_entry.setdefault(member.incarnation, _Link())
        request = PeerMessage(self._sender, OutcomeRequest(link.through_period))
        try:
            if link.connection is None:
                link.connection = self._connect(member.address, CONNECT_TIMEOUT_S)
            answer = link.connection.call(request, ANSWER_TIMEOUT_S)
        except PeerConnectionError:
            # Asked again in the next step; entries keep the counts of a minute.
            self._close(link)
            return
        report = answer.body
        is_expected = isinstance(report, OutcomeReport)
        if not is_expected or answer.sender != member.incarnation:
            self._close(link)
            return
        link.through_period = report.through_period
        self._take(report)

    def _take(self, report: OutcomeReport) -> None:
        now = self._clock()
        for queue in report.succeeded_queues:
            self._monitor.work_succeeded(queue, now)
        known = self._tail.state.config.instance_by_id
        for count in report.counts:
            if count.worker in known and count.ended:
                self._take_count(count, now)

    def _take_count(self, count: OutcomeCount, now: float) -> None:
        ended = min(count.ended, OUTCOMES_PER_REPORT)
        failed = round(count.failed * ended / count.ended)
        for number in range(ended):
            is_ok = number >= failed
            self._monitor.task_ended(count.worker, count.queue, is_ok, now)

    @staticmethod
    def _close(link: _Link) -> None:
        if link.connection is not None:
            link.connection.close()
            link.connection = None
