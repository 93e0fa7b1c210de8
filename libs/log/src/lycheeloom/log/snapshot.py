"""Splitting a snapshot into log records and assembling it again.

The dump of the state is already compressed with zlib.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from lycheeloom.model.records import SnapshotChunk

# A batch with a chunk of this size stays under the log's limit of 256 KiB.
CHUNK_BYTES = 192 * 1024


def split_snapshot(
    snapshot_id: str, covers_offset: int, dump: bytes, chunk_bytes: int = CHUNK_BYTES
) -> list[SnapshotChunk]:
    """Split a dump into records; ``covers_offset`` is its last replayed offset."""
    digest = _digest(dump)
    parts = [
        dump[start : start + chunk_bytes] for start in range(0, len(dump), chunk_bytes)
    ]
    return [
        SnapshotChunk(snapshot_id, covers_offset, index, len(parts), digest, part)
        for index, part in enumerate(parts)
    ]


def _digest(dump: bytes) -> bytes:
    return hashlib.blake2b(dump, digest_size=32).digest()


@dataclass(slots=True)
class PartialSnapshot:
    """The chunks of one snapshot that were read so far."""

    covers_offset: int
    count: int
    digest: bytes
    part_by_index: dict[int, bytes] = field(default_factory=dict)

    def add(self, chunk: SnapshotChunk) -> None:
        """Add a chunk; repeated chunks have no effect."""
        if chunk.index < self.count:
            self.part_by_index[chunk.index] = chunk.payload

    def assemble(self) -> bytes | None:
        """Return the whole dump, or None while it is incomplete or damaged."""
        if len(self.part_by_index) < self.count:
            return None
        dump = b"".join(self.part_by_index[index] for index in range(self.count))
        return dump if _digest(dump) == self.digest else None


class SnapshotCollector:
    """Collects chunks in any order until a snapshot is complete."""

    def __init__(self) -> None:
        self._partial_by_key: dict[tuple[str, int, int, bytes], PartialSnapshot] = {}

    def add(self, chunk: SnapshotChunk) -> PartialSnapshot:
        """Add a chunk and return its snapshot, complete or not."""
        key = (chunk.snapshot_id, chunk.covers_offset, chunk.count, chunk.digest)
        partial = self._partial_by_key.get(key)
        if partial is None:
            partial = PartialSnapshot(chunk.covers_offset, chunk.count, chunk.digest)
            self._partial_by_key[key] = partial
        partial.add(chunk)
        return partial
