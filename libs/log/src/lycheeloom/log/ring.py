"""A buffer of recent encoded batches, for peers that cannot read the log."""

from __future__ import annotations

from collections import deque

MAX_RING_BYTES = 4 * 1024 * 1024


class BatchRing:
    """The latest encoded batches at consecutive offsets, up to ``max_bytes``.

    The newest batch is kept even if it is larger.
    """

    def __init__(self, max_bytes: int = MAX_RING_BYTES) -> None:
        self._max_bytes = max_bytes
        self._batches: deque[bytes] = deque()
        self._first_offset = 0
        self._bytes = 0

    @property
    def first_offset(self) -> int:
        """The oldest offset kept."""
        return self._first_offset

    @property
    def next_offset(self) -> int:
        """The offset after the newest batch kept."""
        return self._first_offset + len(self._batches)

    def add(self, offset: int, encoded: bytes) -> None:
        """Add a batch; after a gap in the offsets, drop all earlier batches."""
        if offset != self.next_offset:
            self._batches.clear()
            self._bytes = 0
            self._first_offset = offset
        self._batches.append(encoded)
        self._bytes += len(encoded)
        while self._bytes > self._max_bytes and len(self._batches) > 1:
            self._bytes -= len(self._batches.popleft())
            self._first_offset += 1

    def read(self, first_offset: int, max_bytes: int) -> tuple[bytes, ...]:
        """Return batches from ``first_offset`` on, or none if it is not kept.

        The first batch is returned even if it is larger than ``max_bytes``.
        """
        if not self._first_offset <= first_offset < self.next_offset:
            return ()
        taken: list[bytes] = []
        size = 0
        for index in range(first_offset - self._first_offset, len(self._batches)):
            encoded = self._batches[index]
            size += len(encoded)
            if taken and size > max_bytes:
                break
            taken.append(encoded)
        return tuple(taken)
