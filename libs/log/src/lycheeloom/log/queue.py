"""Records that wait for the next batch."""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Sequence
from typing import Any

from lycheeloom.model.limits import MAX_BATCH_BYTES
from lycheeloom.model.records import Record

from .outcomes import NotWritten, Pending, Priority

# Room in a batch for the author, list headers and the message's segment table.
BATCH_OVERHEAD_BYTES = 1024
# Fixed part and pointers of the largest record, with its list element.
RECORD_OVERHEAD_BYTES = 192
# Control records leave this part of a batch to waiting request records, so that
# a long run of control records does not stop requests.
REQUEST_PART = 0.25

MAX_QUEUED_BY_PRIORITY = {Priority.CONTROL: 2_000, Priority.REQUEST: 10_000}
MAX_QUEUED_BYTES = 32 * 1024 * 1024


def record_size_bound(record: Record) -> int:
    """Return an upper bound of a record's size in an encoded batch, in bytes."""
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
    """Bounded queues, one for each priority."""

    def __init__(self) -> None:
        self._waiting: dict[Priority, deque[Pending]] = {
            priority: deque() for priority in Priority
        }
        self._bytes = 0
        self.max_batch_bytes = MAX_BATCH_BYTES

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._waiting.values())

    def add(self, pending: Pending) -> None:
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
        self._bytes += pending.size_bytes

    def put_back(self, batch: Sequence[Pending]) -> None:
        """Return records of a batch that was certainly not appended.

        A record whose waiter gave up is settled instead. It would be written after
        the outage, beside the copy that its waiter appended since.
        """
        for pending in reversed(batch):
            pending.is_sent = False
            if pending.is_given_up:
                pending.settle(NotWritten("refused after its waiter gave up"))
                continue
            self._waiting[pending.priority].appendleft(pending)
            self._bytes += pending.size_bytes

    def take_batch(self) -> list[Pending]:
        """Remove the records of the next batch, control records first."""
        whole = self.max_batch_bytes - BATCH_OVERHEAD_BYTES
        has_requests = bool(self._waiting[Priority.REQUEST])
        control_part = whole * (1 - REQUEST_PART) if has_requests else whole
        batch = self._take(Priority.CONTROL, control_part, whole)
        used = sum(pending.size_bytes for pending in batch)
        batch += self._take(Priority.REQUEST, whole - used, whole - used)
        return batch

    def fail_all(self, reason: str) -> None:
        """Settle everything that waits as not written."""
        for waiting in self._waiting.values():
            for pending in waiting:
                pending.settle(NotWritten(reason))
            waiting.clear()
        self._bytes = 0

    def _take(self, priority: Priority, soft: float, hard: float) -> list[Pending]:
        """Take records up to ``soft`` bytes; one larger record up to ``hard``."""
        waiting = self._waiting[priority]
        taken: list[Pending] = []
        used = 0
        while waiting:
            pending = waiting[0]
            size = pending.size_bytes
            if pending.outcome is None and used + size > (soft if taken else hard):
                break
            waiting.popleft()
            self._bytes -= size
            if pending.outcome is not None:
                continue
            taken.append(pending)
            used += size
        return taken

    def _is_full(self, priority: Priority) -> bool:
        if len(self._waiting[priority]) >= MAX_QUEUED_BY_PRIORITY[priority]:
            return True
        return priority is Priority.REQUEST and self._bytes >= MAX_QUEUED_BYTES

    def _drop_settled(self) -> None:
        for priority, waiting in self._waiting.items():
            self._waiting[priority] = deque(
                pending for pending in waiting if pending.outcome is None
            )
        self._bytes = sum(
            pending.size_bytes
            for waiting in self._waiting.values()
            for pending in waiting
        )
