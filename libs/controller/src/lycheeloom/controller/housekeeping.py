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

# Time between two expiry records, each of which covers one queue.
EXPIRY_INTERVAL_S = 10.0


class SnapshotLoop:
    """Writes due snapshots while this process holds the snapshot duty."""

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
    """Expires answers after the retention time that their queue declares.

    The time runs from when this process replayed the end of the request. For requests
    that ended earlier it runs from the start of this process, so that answers are never
    dropped too early.
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
        # An interval has passed since the last expiry.
        self._is_due = False

    def step(self) -> None:
        """Expire the old answers of at most one queue, if the duty is held."""
        if self._ages.sample(self._tail.next_offset - 1):
            self._is_due = True
        queues = self._tail.state.config.queue_by_id
        longest_retention_s = max(
            (q.answer_retention_s for q in queues.values()), default=0
        )
        self._ages.drop_older_than(longest_retention_s)
        if self._pending is not None and self._pending.outcome is None:
            return
        if self._is_due and self._duty.is_held():
            self._is_due = False
            self._expire_next()

    def _expire_next(self) -> None:
        """Append the expiry of the first queue that has old answers.

        The next queue follows after ``EXPIRY_INTERVAL_S``.
        """
        oldest_finish_by_queue = self._oldest_finish_by_queue()
        for queue in self._tail.state.config.queue_by_id.values():
            oldest_finish = oldest_finish_by_queue.get(queue.id)
            through_offset = self._ages.newest_offset_older_than(
                queue.answer_retention_s
            )
            if oldest_finish is None or through_offset < oldest_finish:
                continue
            record = AnswersExpired(through_offset, queue.id)
            self._pending = self._writer.append(record, Priority.CONTROL)
            return

    def _oldest_finish_by_queue(self) -> dict[str, int]:
        """Return the offset of the earliest end of a finished request, by queue."""
        oldest_finish_by_queue: dict[str, int] = {}
        for request in self._tail.state.requests.request_by_id.values():
            ended_at = request.finished_at
            if ended_at is not None:
                oldest_finish = oldest_finish_by_queue.get(request.queue, ended_at)
                oldest_finish_by_queue[request.queue] = min(oldest_finish, ended_at)
        return oldest_finish_by_queue
