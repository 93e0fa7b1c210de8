"""The queued tasks of one organisation on one queue, by size class."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator

from lycheeloom.model.resources import Resources

from .tasks import TaskRecord, TaskState

# Cores, memory and accelerators, each as an exponent of two.
SizeClass = tuple[int, int, int]


def size_class(resources: Resources) -> SizeClass:
    """Round sizes up to powers of two, so that a subqueue has few classes."""
    return (
        math.ceil(math.log2(resources.cores)) if resources.cores > 0 else -99,
        max(resources.memory_mb - 1, 0).bit_length(),
        resources.accelerators.bit_length(),
    )


class Subqueue:
    """The queued tasks of one organisation on one queue.

    Tasks of one size class start in the order of submission. A task of a smaller
    class may start before an older, larger one that does not fit on any worker.
    """

    def __init__(self, organisation: str, queue: str) -> None:
        self.organisation = organisation
        self.queue = queue
        self.count = 0
        self._records_by_class: dict[SizeClass, deque[TaskRecord]] = {}

    def append(self, record: TaskRecord) -> bool:
        """Append a record; return whether its size class was empty before."""
        records = self._records_of_class(record)
        while records and records[0].state is not TaskState.QUEUED:
            records.popleft()
        records.append(record)
        self.count += 1
        return len(records) == 1

    def prepend(self, record: TaskRecord) -> None:
        """Put a record that had left the subqueue back in front."""
        self._records_of_class(record).appendleft(record)
        self.count += 1

    def remove(self, record: TaskRecord) -> None:
        """Remove a record in constant time.

        It is only marked as ended; its deque drops it once it comes to the front.
        """
        record.state = TaskState.ENDED
        self.count -= 1

    def heads(self) -> list[tuple[SizeClass, TaskRecord]]:
        """Return the oldest record of each size class, the oldest of them first."""
        heads = []
        for key in list(self._records_by_class):
            record = self.head(key)
            if record is not None:
                heads.append((key, record))
        if len(heads) > 1:
            heads.sort(key=_sequence_of_head)
        return heads

    def take(self, key: SizeClass) -> TaskRecord:
        """Remove and return the oldest record of a size class."""
        record = self._records_by_class[key].popleft()
        self.count -= 1
        return record

    def oldest(self) -> TaskRecord | None:
        """Return the record with the lowest sequence number, None if there is none."""
        oldest: TaskRecord | None = None
        for key, records in self._records_by_class.items():
            if not records:
                continue
            record = records[0]
            if record.state is not TaskState.QUEUED:
                # head() drops records that were removed. It may delete the class from
                # the mapping, so the iteration has to start again.
                self.head(key)
                return self.oldest()
            if oldest is None or record.sequence < oldest.sequence:
                oldest = record
        return oldest

    def __iter__(self) -> Iterator[TaskRecord]:
        for records in self._records_by_class.values():
            for record in records:
                if record.state is TaskState.QUEUED:
                    yield record

    def _records_of_class(self, record: TaskRecord) -> deque[TaskRecord]:
        key = size_class(record.task.resources)
        return self._records_by_class.setdefault(key, deque())

    def head(self, key: SizeClass) -> TaskRecord | None:
        """Return the oldest record of a size class, None if there is none."""
        records = self._records_by_class.get(key)
        if records is None:
            return None
        while records and records[0].state is not TaskState.QUEUED:
            records.popleft()
        if records:
            return records[0]
        del self._records_by_class[key]
        return None


def _sequence_of_head(item: tuple[SizeClass, TaskRecord]) -> int:
    return item[1].sequence
