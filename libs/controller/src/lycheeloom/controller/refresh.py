"""Appends bodies and answers again before the log drops them.

The state and its snapshots hold only offsets, so a request that waits longer
than the log's retention would lose its body, and a kept answer its text.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

from lycheeloom.log import (
    LogTail,
    LogWriter,
    Pending,
    Priority,
    RecordLost,
    RecordReader,
)
from lycheeloom.model.records import RequestFinished, RequestSubmitted
from lycheeloom.state import RecordedRequest, RequestStatus
from lycheeloom.telemetry import log_event

from .duty import DutyKeeper
from .offset_ages import OffsetAges

# Records older than this part of the retention are appended again.
REFRESH_PART = 0.5
# The age of records from before this process began is unknown. The last holder
# of the duty left none older than REFRESH_PART.
UNKNOWN_AGE_PART = 0.1
# Bounds the appends of one step, which is taken every few seconds.
MAX_RECORDS_PER_STEP = 100


class RecordRefresher:
    """Keeps the records of unfinished requests and kept answers readable."""

    def __init__(
        self,
        duty: DutyKeeper,
        tail: LogTail,
        writer: LogWriter,
        reader: RecordReader,
        retention_s: float,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.refreshed = 0
        self._duty = duty
        self._tail = tail
        self._writer = writer
        self._reader = reader
        self._retention_s = retention_s
        self._clock = clock
        self._ages = OffsetAges(retention_s / 20, clock)
        self._began_at = clock()
        self._first_own_offset = tail.next_offset
        self._pending_by_id: dict[str, Pending] = {}
        # Reported once; there is nothing left to append again.
        self._lost_ids: set[str] = set()

    def step(self) -> None:
        """Append what is due again, a bounded number of records at a time."""
        self._ages.note(self._tail.next_offset - 1)
        self._pending_by_id = {
            request_id: pending
            for request_id, pending in self._pending_by_id.items()
            if pending.outcome is None
        }
        if not self._duty.is_held():
            return
        for request in self._due():
            if len(self._pending_by_id) >= MAX_RECORDS_PER_STEP:
                return
            self._refresh(request)

    def _due(self) -> Iterator[RecordedRequest]:
        known = self._tail.state.requests.request_by_id
        self._lost_ids.intersection_update(known)
        through = self._ages.offset_before(REFRESH_PART * self._retention_s)
        if self._clock() - self._began_at >= UNKNOWN_AGE_PART * self._retention_s:
            through = max(through, self._first_own_offset - 1)
        for request in list(known.values()):
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
        self.refreshed += 1


def _offset_of(request: RecordedRequest) -> int | None:
    """Return the offset of the record that must stay readable, if any."""
    if request.status is RequestStatus.FINISHED:
        return request.answer_offset
    return request.body_offset
