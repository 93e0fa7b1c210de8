"""A buffer of recent encoded batches.

Peers that cannot read the log get batches from it, and ``RecordReader`` saves reads of
the log.
"""

from __future__ import annotations

from collections import deque

MAX_RING_BYTES = 4 * 1024 * 1024


class BatchRing:
    """The latest encoded batches at consecutive offsets, up to ``max_bytes``.

    The newest batch is kept even if it alone is larger than ``max_bytes``.
    """

    def __init__(self, max_bytes: int = MAX_RING_BYTES) -> None:
        self._max_bytes = max_bytes
        self._batches: deque[bytes] = deque()
        self._first_offset = 0
        self._total_bytes = 0

    @property
    def first_offset(self) -> int:
        """The offset of the oldest batch that is kept."""
        return self._first_offset

    @property
    def next_offset(self) -> int:
        """The offset after the newest batch that is kept."""
        return self._first_offset + len(self._batches)

    def add(self, offset: int, encoded: bytes) -> None:
        """Add a batch; after a gap in the offsets, drop all earlier batches."""
        if offset != self.next_offset:
            self._batches.clear()
            self._total_bytes = 0
            self._first_offset = offset
        self._batches.append(encoded)
        self._total_bytes += len(encoded)
        while self._total_bytes > self._max_bytes and len(self._batches) > 1:
            self._total_bytes -= len(self._batches.popleft())
            self._first_offset += 1

    def read(self, first_offset: int, max_bytes: int) -> tuple[bytes, ...]:
        """Return batches from ``first_offset`` on, up to ``max_bytes`` in total.

        The first batch is returned even if it is larger. Returns nothing if the batch
        at ``first_offset`` is not kept.
        """
        if not self._first_offset <= first_offset < self.next_offset:
            return ()
        batches: list[bytes] = []
        size_bytes = 0
        for index in range(first_offset - self._first_offset, len(self._batches)):
            encoded = self._batches[index]
            size_bytes += len(encoded)
            if batches and size_bytes > max_bytes:
                break
            batches.append(encoded)
        return tuple(batches)
