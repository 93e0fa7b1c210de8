"""The work of the snapshot and housekeeping duties."""

from __future__ import annotations

import time
from collections.abc import Callable

from lycheeloom.log import (
    LogTail,
    LogWriter,
    PendingRecord,
    Priority,
    SnapshotPolicy,
    SnapshotResult,
    SnapshotWriter,
)
from lycheeloom.model.records import AnswersExpired
from lycheeloom.telemetry import log_event

from .duty import DutyElection
from .offset_ages import OffsetAges

EXPIRY_INTERVAL_S = 10.0


class SnapshotLoop:
    """Writes a snapshot when one is due while the duty is held."""

    def __init__(
        self, duty: DutyElection, tail: LogTail, writer: LogWriter, retention_s: float
    ) -> None:
        self._duty = duty
        self.writer = SnapshotWriter(writer, tail, SnapshotPolicy(retention_s))

    def step(self) -> None:
        """Write a snapshot if one is due."""
        if not self._duty.is_held() or not self.writer.is_due():
            return
        result = self.writer.write()
        if result is not SnapshotResult.EMPTY:
            log_event("snapshot", result=result.value, covers=self.writer.covers_offset)


class AnswerExpiry:
    """Expires kept answers once their queue's retention time has passed.

    The time runs from when this process saw the request finish, and from its own
    start for earlier requests, so answers are never dropped too early.
    """

    def __init__(
        self,
        duty: DutyElection,
        tail: LogTail,
        writer: LogWriter,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._duty = duty
        self._tail = tail
        self._writer = writer
        self._ages = OffsetAges(EXPIRY_INTERVAL_S, clock)
        self._pending: PendingRecord | None = None
        self._is_due = False

    def step(self) -> None:
        """Expire the answers that are older than the retention of their queue."""
        if self._ages.sample(self._tail.next_offset - 1):
            self._is_due = True
        queues = self._tail.state.config.queue_by_id
        longest = max((q.answer_retention_s for q in queues.values()), default=0)
        self._ages.drop_older_than(longest)
        if self._pending is not None and self._pending.outcome is None:
            return
        if self._is_due and self._duty.is_held():
            self._is_due = False
            self._expire_next()

    def _expire_next(self) -> None:
        """Append the expiry of one queue; the next queue follows an interval later."""
        oldest = self._oldest_finish_by_queue()
        for queue in self._tail.state.config.queue_by_id.values():
            first = oldest.get(queue.id)
            through = self._ages.newest_offset_older_than(queue.answer_retention_s)
            if first is None or through < first:
                continue
            record = AnswersExpired(through, queue.id)
            self._pending = self._writer.append(record, Priority.CONTROL)
            return

    def _oldest_finish_by_queue(self) -> dict[str, int]:
        """Return the offset at which the oldest kept request finished, by queue."""
        oldest: dict[str, int] = {}
        for request in self._tail.state.requests.request_by_id.values():
            ended_at = request.finished_at
            if ended_at is not None:
                first = oldest.get(request.queue, ended_at)
                oldest[request.queue] = min(first, ended_at)
        return oldest
