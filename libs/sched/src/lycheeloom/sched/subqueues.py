"""A subqueue: the queued tasks of one organisation on one queue, by size class."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator

from lycheeloom.model.resources import Resources

from .tasks import TaskRecord, TaskState

# Groups tasks of similar size. Cores and memory are given by the exponent of the next
# power of two, accelerators by the number of bits of their count.
SizeClass = tuple[int, int, int]


def size_class(resources: Resources) -> SizeClass:
    """Return the size class of a task, coarse so that a subqueue has few classes.

    Cores and memory are rounded up to a power of two. Accelerators share a class from
    each power of two up to the next: 0, 1, 2 to 3, 4 to 7, and so on.
    """
    # -99 stands for no cores, as zero has no logarithm.
    return (
        math.ceil(math.log2(resources.cores)) if resources.cores > 0 else -99,
        max(resources.memory_mb - 1, 0).bit_length(),
        resources.accelerators.bit_length(),
    )


class Subqueue:
    """The queued tasks of one organisation on one queue.

    Tasks of one size class start in the order of the subqueue, which is that of
    submission except that tasks queued again go to the front. Only the first task of
    each class, its head, is tried. A task that fits on no worker now does not hold
    back younger tasks of other classes.
    """

    def __init__(self, organisation: str, queue: str) -> None:
        self.organisation = organisation
        self.queue = queue
        self.count = 0
        self._records_by_class: dict[SizeClass, deque[TaskRecord]] = {}

    def append(self, record: TaskRecord) -> bool:
        """Append a record; return whether it is the only one of its size class."""
        records = self._records_of_class(record)
        # Drops records that were marked by ``remove``.
        while records and records[0].state is not TaskState.QUEUED:
            records.popleft()
        records.append(record)
        self.count += 1
        return len(records) == 1

    def prepend(self, record: TaskRecord) -> None:
        """Put the record of a task that is queued again first in its size class."""
        self._records_of_class(record).appendleft(record)
        self.count += 1

    def remove(self, record: TaskRecord) -> None:
        """Remove a record in constant time.

        The record is only marked as ended. Its deque drops it later, once all records
        before it have left.
        """
        record.state = TaskState.ENDED
        self.count -= 1

    def heads(self) -> list[tuple[SizeClass, TaskRecord]]:
        """Return the first record of each size class, in the order of submission."""
        heads = []
        for class_key in list(self._records_by_class):
            record = self.head(class_key)
            if record is not None:
                heads.append((class_key, record))
        if len(heads) > 1:
            heads.sort(key=_sequence_of_head)
        return heads

    def take(self, class_key: SizeClass) -> TaskRecord:
        """Remove and return the first record of a size class.

        Call ``head`` or ``heads`` before, which drop the records that were marked by
        ``remove``; this method does not skip them.
        """
        record = self._records_by_class[class_key].popleft()
        self.count -= 1
        return record

    def oldest(self) -> TaskRecord | None:
        """Return the record with the lowest sequence number, None if there is none."""
        oldest: TaskRecord | None = None
        for class_key, records in self._records_by_class.items():
            if not records:
                continue
            record = records[0]
            if record.state is not TaskState.QUEUED:
                # head() drops records that were marked by remove(). It may also delete
                # the class from the mapping, so the search has to start again.
                self.head(class_key)
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
        class_key = size_class(record.task.resources)
        return self._records_by_class.setdefault(class_key, deque())

    def head(self, class_key: SizeClass) -> TaskRecord | None:
        """Return the first record of a size class, None if there is none.

        Drops the records before it that were marked by ``remove``.
        """
        records = self._records_by_class.get(class_key)
        if records is None:
            return None
        while records and records[0].state is not TaskState.QUEUED:
            records.popleft()
        if records:
            return records[0]
        del self._records_by_class[class_key]
        return None


def _sequence_of_head(head: tuple[SizeClass, TaskRecord]) -> int:
    return head[1].sequence
