"""The queue of records that wait for the next batch."""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Sequence
from typing import Any

from lycheeloom.model.limits import MAX_BATCH_BYTES
from lycheeloom.model.records import Record

from .outcomes import NotWritten, PendingRecord, Priority

# Upper bound on the encoded size of a batch without its records: the author, the list
# headers and the segment table.
BATCH_OVERHEAD_BYTES = 1024
# Upper bound on the encoded size of a record without its texts, bytes and lists: the
# fixed part and the pointers of the largest record type, and the element that each
# record takes in the record list of the batch.
RECORD_OVERHEAD_BYTES = 192
# While request records are queued, control records leave this fraction of a batch to
# them, so that many control records do not hold up requests.
MIN_REQUEST_FRACTION = 0.25

# Maximum number of queued records of each priority.
MAX_QUEUED_BY_PRIORITY = {Priority.CONTROL: 2_000, Priority.REQUEST: 10_000}
# Request records are refused while the queued records of both priorities take this many
# bytes or more in total. Control records are limited by number only.
MAX_QUEUED_BYTES = 32 * 1024 * 1024


def record_size_bound(record: Record) -> int:
    """Return an upper bound on a record's size in an encoded batch, in bytes."""
    values = (getattr(record, field.name) for field in dataclasses.fields(record))
    return RECORD_OVERHEAD_BYTES + sum(_variable_size(value) for value in values)


def _variable_size(value: Any) -> int:
    """Return an upper bound on what a field adds to the fixed part of its record.

    A text, a byte string or a list takes up to 16 bytes beyond its content, and a list
    also up to 16 bytes for each item. Numbers and flags are in the fixed part.
    """
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
        self._queue_by_priority: dict[Priority, deque[PendingRecord]] = {
            priority: deque() for priority in Priority
        }
        # Size of all queued records. A record that was settled while queued counts
        # until it is dropped from its queue.
        self._queued_bytes = 0
        # The writer lowers this if the log refuses a batch as too large.
        self.max_batch_bytes = MAX_BATCH_BYTES

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queue_by_priority.values())

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
        self._queue_by_priority[pending.priority].append(pending)
        self._queued_bytes += pending.size_bytes

    def put_back(self, batch: Sequence[PendingRecord]) -> None:
        """Put back the records of a batch that was not appended.

        A record for which ``PendingRecord.wait`` has timed out is settled as not
        written instead. The code that appended the record may have appended a copy
        since, and the log would get both once it accepts batches again.
        """
        for pending in reversed(batch):
            pending.is_sent = False
            if pending.wait_timed_out:
                pending.settle(NotWritten("refused after its waiter gave up"))
                continue
            self._queue_by_priority[pending.priority].appendleft(pending)
            self._queued_bytes += pending.size_bytes

    def take_batch(self) -> list[PendingRecord]:
        """Remove and return the records of the next batch, control records first."""
        capacity = self.max_batch_bytes - BATCH_OVERHEAD_BYTES
        has_requests = bool(self._queue_by_priority[Priority.REQUEST])
        control_limit = (
            capacity * (1 - MIN_REQUEST_FRACTION) if has_requests else capacity
        )
        batch = self._take_records(Priority.CONTROL, control_limit, capacity)
        used_bytes = sum(pending.size_bytes for pending in batch)
        batch += self._take_records(
            Priority.REQUEST, capacity - used_bytes, capacity - used_bytes
        )
        return batch

    def fail_all(self, reason: str) -> None:
        """Settle all queued records as not written."""
        for queue in self._queue_by_priority.values():
            for pending in queue:
                pending.settle(NotWritten(reason))
            queue.clear()
        self._queued_bytes = 0

    def _take_records(
        self, priority: Priority, soft_limit: float, hard_limit: float
    ) -> list[PendingRecord]:
        """Remove and return records of up to ``soft_limit`` bytes in total.

        The first record may be larger, up to ``hard_limit`` bytes. Records that were
        withdrawn while queued already have an outcome; they are removed, not returned.
        """
        queue = self._queue_by_priority[priority]
        records: list[PendingRecord] = []
        used_bytes = 0
        while queue:
            pending = queue[0]
            size_bytes = pending.size_bytes
            if pending.outcome is None and used_bytes + size_bytes > (
                soft_limit if records else hard_limit
            ):
                break
            queue.popleft()
            self._queued_bytes -= size_bytes
            if pending.outcome is not None:
                continue
            records.append(pending)
            used_bytes += size_bytes
        return records

    def _is_full(self, priority: Priority) -> bool:
        if len(self._queue_by_priority[priority]) >= MAX_QUEUED_BY_PRIORITY[priority]:
            return True
        return priority is Priority.REQUEST and self._queued_bytes >= MAX_QUEUED_BYTES

    def _drop_settled(self) -> None:
        for priority, queue in self._queue_by_priority.items():
            self._queue_by_priority[priority] = deque(
                pending for pending in queue if pending.outcome is None
            )
        self._queued_bytes = sum(
            pending.size_bytes
            for queue in self._queue_by_priority.values()
            for pending in queue
        )
