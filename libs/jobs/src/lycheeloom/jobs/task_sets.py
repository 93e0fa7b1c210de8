"""Compact sets of the tasks of a step, which may have very many tasks."""

from __future__ import annotations

from collections.abc import Iterator

_FULL_BYTE = 0xFF


class TaskSet:
    """Set of task indexes, stored as bits: one byte holds eight tasks.

    Example: ``TaskSet(b"\\x05")`` contains tasks 0 and 2.
    """

    def __init__(self, bits: bytes = b"") -> None:
        self._bits = bytearray(bits)
        self._size = int.from_bytes(bits).bit_count()

    def copied(self) -> TaskSet:
        """Return a copy."""
        copied = TaskSet()
        copied._bits, copied._size = self._bits.copy(), self._size
        return copied

    def add(self, index: int) -> None:
        """Add a task; does nothing if the set contains it."""
        if index in self:
            return
        byte_index = index // 8
        if byte_index >= len(self._bits):
            self._bits.extend(bytes(byte_index + 1 - len(self._bits)))
        self._bits[byte_index] |= 1 << index % 8
        self._size += 1

    def to_bytes(self, count: int) -> bytes:
        """Return the bits of tasks 0 to ``count`` - 1, the lowest bit first."""
        length = (count + 7) // 8
        return bytes(self._bits[:length]).ljust(length, b"\0")

    def slice(self, start: int, count: int) -> TaskSet:
        """Return the tasks from ``start`` on, renumbered from 0 to ``count`` - 1."""
        end = start + count
        bits = int.from_bytes(self._bits[start // 8 : (end + 7) // 8], "little")
        bits = bits >> start % 8 & (1 << count) - 1
        return TaskSet(bits.to_bytes((count + 7) // 8, "little"))

    def add_all(self, tasks: TaskSet, start: int) -> None:
        """Add tasks whose index 0 stands for ``start``."""
        bits = int.from_bytes(tasks._bits, "little") << start % 8
        first, length = start // 8, (bits.bit_length() + 7) // 8
        if len(self._bits) < first + length:
            self._bits.extend(bytes(first + length - len(self._bits)))
        former = int.from_bytes(self._bits[first : first + length], "little")
        merged = former | bits
        self._bits[first : first + length] = merged.to_bytes(length, "little")
        self._size += merged.bit_count() - former.bit_count()

    def has_all(self, start: int, count: int) -> bool:
        """Return whether the set contains ``count`` tasks from ``start`` on."""
        if count == 1:
            return start in self
        return len(self.slice(start, count)) == count

    def first_missing(self, start: int) -> int:
        """Return the first index, not below ``start``, that the set lacks."""
        index = start
        while index in self:
            is_full_byte = index % 8 == 0 and self._bits[index // 8] == _FULL_BYTE
            index += 8 if is_full_byte else 1
        return index

    def __contains__(self, index: int) -> bool:
        byte_index = index // 8
        if not 0 <= byte_index < len(self._bits):
            return False
        return bool(self._bits[byte_index] >> index % 8 & 1)

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[int]:
        for byte_index, byte in enumerate(self._bits):
            if not byte:
                continue
            for bit in range(8):
                if byte >> bit & 1:
                    yield byte_index * 8 + bit


class WaitingTasks:
    """Tasks of a step that are neither done nor have a run, in starting order.

    Tasks that have been put back come first, the latest before the others; then those
    that have never started, by index. Memory and the cost of each method depend on the
    tasks that were put back, not on those that have never started.
    """

    def __init__(self, count: int, done: TaskSet) -> None:
        self._count = count
        # Tasks that have started, including those that were put back.
        self._started = TaskSet(done.to_bytes(count))
        # No task before this one has never started.
        self._next = 0
        self._returned: dict[int, None] = {}

    def copied(self) -> WaitingTasks:
        """Return a copy, at a cost that suits a copy of all jobs of a leader."""
        copied = WaitingTasks.__new__(WaitingTasks)
        copied._count, copied._next = self._count, self._next
        copied._started = self._started.copied()
        copied._returned = self._returned.copy()
        return copied

    @property
    def first(self) -> int:
        """Return the task to start first; there must be one."""
        if self._returned:
            return next(reversed(self._returned))
        while self._next in self._started:
            self._next += 1
        return self._next

    def remove(self, index: int) -> None:
        """Remove a task; does nothing if it does not wait."""
        if index in self._returned:
            del self._returned[index]
        else:
            self._started.add(index)

    def put_back(self, index: int) -> None:
        """Put a task in front of the others; does nothing if it waits already."""
        if index not in self:
            self._returned[index] = None

    def __contains__(self, index: int) -> bool:
        if index in self._returned:
            return True
        return 0 <= index < self._count and index not in self._started

    def __len__(self) -> int:
        return len(self._returned) + self._count - len(self._started)

    def __iter__(self) -> Iterator[int]:
        yield from reversed(self._returned)
        for index in range(self._next, self._count):
            if index not in self._started:
                yield index
