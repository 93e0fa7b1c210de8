"""Appends request bodies and answers again before the log drops them.

The state and its snapshots hold only the offsets of bodies and answers, so both
would be lost once they are older than the log's retention.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

from lycheeloom.log import (
    LogTail,
    LogWriter,
    PendingRecord,
    Priority,
    RecordLost,
    RecordReader,
)
from lycheeloom.model.records import RequestFinished, RequestSubmitted
from lycheeloom.state import RecordedRequest, RequestStatus
from lycheeloom.telemetry import log_event

from .duty import DutyElection
from .offset_ages import OffsetAges

# Records older than this fraction of the retention are appended again.
REFRESH_AGE_FRACTION = 0.5
# The age of records from before this process started is not known. They become due
# once the process has run for this fraction of the retention, as the previous holder
# of the duty left none older than REFRESH_AGE_FRACTION.
UNKNOWN_AGE_WAIT_FRACTION = 0.1
# Bounds the pending appends; a step runs every few seconds.
MAX_PENDING_RECORDS = 100


class RecordRefresher:
    """Keeps the bodies of unfinished requests and the kept answers readable."""

    def __init__(
        self,
        duty: DutyElection,
        tail: LogTail,
        writer: LogWriter,
        reader: RecordReader,
        retention_s: float,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.refreshed_count = 0
        self._duty = duty
        self._tail = tail
        self._writer = writer
        self._reader = reader
        self._retention_s = retention_s
        self._clock = clock
        self._ages = OffsetAges(retention_s / 20, clock)
        self._started_at = clock()
        self._offset_at_start = tail.next_offset
        self._pending_by_id: dict[str, PendingRecord] = {}
        # Each lost record is reported once; it cannot be appended again.
        self._lost_ids: set[str] = set()

    def step(self) -> None:
        """Append the records that are due again, a bounded number at a time."""
        self._ages.sample(self._tail.next_offset - 1)
        self._pending_by_id = {
            request_id: pending
            for request_id, pending in self._pending_by_id.items()
            if pending.outcome is None
        }
        if not self._duty.is_held():
            return
        for request in self._due_requests():
            if len(self._pending_by_id) >= MAX_PENDING_RECORDS:
                return
            self._refresh(request)

    def _due_requests(self) -> Iterator[RecordedRequest]:
        request_by_id = self._tail.state.requests.request_by_id
        self._lost_ids.intersection_update(request_by_id)
        through = self._ages.newest_offset_older_than(
            REFRESH_AGE_FRACTION * self._retention_s
        )
        if (
            self._clock() - self._started_at
            >= UNKNOWN_AGE_WAIT_FRACTION * self._retention_s
        ):
            through = max(through, self._offset_at_start - 1)
        for request in list(request_by_id.values()):
            offset = _offset_of(request)
            if offset is None or offset > through:
                continue
            if request.request_id in self._lost_ids:
                continue
            if request.request_id not in self._pending_by_id:
                yield request

    def _refresh(self, request: RecordedRequest) -> None:
        is_finished = request.status is RequestStatus.FINISHED
        kind = RequestFinished if is_finished else RequestSubmitted
        record = self._reader.copy(_offset_of(request), request.request_id, kind)
        if isinstance(record, RecordLost):
            self._lost_ids.add(request.request_id)
            log_event("record_lost", "ERROR", request=request.request_id)
            return
        if record is None:
            log_event("record_unreadable", "WARNING", request=request.request_id)
            return
        pending = self._writer.append(record, Priority.REQUEST)
        self._pending_by_id[request.request_id] = pending
        self.refreshed_count += 1


def _offset_of(request: RecordedRequest) -> int | None:
    """Return the offset of the record that must stay readable, if any."""
    if request.status is RequestStatus.FINISHED:
        return request.answer_offset
    return request.body_offset
