"""The queue of records that wait for the next batch."""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Sequence
from typing import Any

from lycheeloom.model.limits import MAX_BATCH_BYTES
from lycheeloom.model.records import Record

from .outcomes import NotWritten, PendingRecord, Priority

# Encoded size of the author, the list headers and the segment table of a batch.
BATCH_OVERHEAD_BYTES = 1024
# Size of the fixed part and the pointers of the largest record kind, with its list
# element.
RECORD_OVERHEAD_BYTES = 192
# Control records leave this fraction of a batch to queued request records, so that
# many control records do not hold up requests.
MIN_REQUEST_FRACTION = 0.25

MAX_QUEUED_BY_PRIORITY = {Priority.CONTROL: 2_000, Priority.REQUEST: 10_000}
MAX_QUEUED_BYTES = 32 * 1024 * 1024


def record_size_bound(record: Record) -> int:
    """Return an upper bound on a record's size in an encoded batch, in bytes."""
    values = (getattr(record, field.name) for field in dataclasses.fields(record))
    return RECORD_OVERHEAD_BYTES + sum(_variable_size(value) for value in values)


def _variable_size(value: Any) -> int:
    if isinstance(value, str):
        return len(value.encode()) + 16
    if isinstance(value, bytes):
        return len(value) + 16
    if isinstance(value, tuple):
        return 16 + sum(16 + _variable_size(item) for item in value)
    return 0


class RecordQueue:
    """Bounded queues of records, one for each priority."""

    def __init__(self) -> None:
        self._waiting: dict[Priority, deque[PendingRecord]] = {
            priority: deque() for priority in Priority
        }
        self._queued_bytes = 0
        self.max_batch_bytes = MAX_BATCH_BYTES

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._waiting.values())

    def add(self, pending: PendingRecord) -> None:
        """Queue a record, or settle it as not written if it cannot be queued."""
        if pending.size_bytes > self.max_batch_bytes - BATCH_OVERHEAD_BYTES:
            pending.settle(NotWritten(f"record of {pending.size_bytes} bytes"))
            return
        if self._is_full(pending.priority):
            self._drop_settled()
        if self._is_full(pending.priority):
            pending.settle(NotWritten("queue of unsent records is full"))
            return
        self._waiting[pending.priority].append(pending)
        self._queued_bytes += pending.size_bytes

    def put_back(self, batch: Sequence[PendingRecord]) -> None:
        """Put back the records of a batch that was not appended.

        A record whose caller has stopped waiting is settled instead. Otherwise it
        would be written after the outage, in addition to the copy that its caller
        may have appended since.
        """
        for pending in reversed(batch):
            pending.is_sent = False
            if pending.wait_timed_out:
                pending.settle(NotWritten("refused after its waiter gave up"))
                continue
            self._waiting[pending.priority].appendleft(pending)
            self._queued_bytes += pending.size_bytes

    def take_batch(self) -> list[PendingRecord]:
        """Remove the records of the next batch, control records first."""
        capacity = self.max_batch_bytes - BATCH_OVERHEAD_BYTES
        has_requests = bool(self._waiting[Priority.REQUEST])
        control_limit = (
            capacity * (1 - MIN_REQUEST_FRACTION) if has_requests else capacity
        )
        batch = self._take_records(Priority.CONTROL, control_limit, capacity)
        used = sum(pending.size_bytes for pending in batch)
        batch += self._take_records(Priority.REQUEST, capacity - used, capacity - used)
        return batch

    def fail_all(self, reason: str) -> None:
        """Settle all queued records as not written."""
        for waiting in self._waiting.values():
            for pending in waiting:
                pending.settle(NotWritten(reason))
            waiting.clear()
        self._queued_bytes = 0

    def _take_records(
        self, priority: Priority, soft_limit: float, hard_limit: float
    ) -> list[PendingRecord]:
        """Remove records of up to ``soft_limit`` bytes in total.

        The first record may be larger, up to ``hard_limit`` bytes.
        """
        waiting = self._waiting[priority]
        taken: list[PendingRecord] = []
        used = 0
        while waiting:
            pending = waiting[0]
            size = pending.size_bytes
            if pending.outcome is None and used + size > (
                soft_limit if taken else hard_limit
            ):
                break
            waiting.popleft()
            self._queued_bytes -= size
            if pending.outcome is not None:
                continue
            taken.append(pending)
            used += size
        return taken

    def _is_full(self, priority: Priority) -> bool:
        if len(self._waiting[priority]) >= MAX_QUEUED_BY_PRIORITY[priority]:
            return True
        return priority is Priority.REQUEST and self._queued_bytes >= MAX_QUEUED_BYTES

    def _drop_settled(self) -> None:
        for priority, waiting in self._waiting.items():
            self._waiting[priority] = deque(
                pending for pending in waiting if pending.outcome is None
            )
        self._queued_bytes = sum(
            pending.size_bytes
            for waiting in self._waiting.values()
            for pending in waiting
        )
