"""Splitting a snapshot into log records and assembling it again.

The dump is the serialised state, which is already compressed with zlib.
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
    """Split a dump into chunks.

    ``covers_offset`` is the offset of the last batch that the dump covers.
    """
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
    """The chunks of one snapshot that were read so far, out of ``chunk_count``."""

    covers_offset: int
    chunk_count: int
    digest: bytes
    payload_by_index: dict[int, bytes] = field(default_factory=dict)

    def add(self, chunk: SnapshotChunk) -> None:
        """Add a chunk; repeated chunks have no effect."""
        if chunk.index < self.chunk_count:
            self.payload_by_index[chunk.index] = chunk.payload

    def assemble(self) -> bytes | None:
        """Return the whole dump, or None while it is incomplete or damaged."""
        if len(self.payload_by_index) < self.chunk_count:
            return None
        dump = b"".join(
            self.payload_by_index[index] for index in range(self.chunk_count)
        )
        return dump if _digest(dump) == self.digest else None


class SnapshotCollector:
    """Collects the chunks of several snapshots, in any order.

    Chunks belong to the same snapshot if all their fields but index and payload agree.
    """

    def __init__(self) -> None:
        self._snapshot_by_id: dict[tuple[str, int, int, bytes], PartialSnapshot] = {}

    def add(self, chunk: SnapshotChunk) -> PartialSnapshot:
        """Add a chunk and return its snapshot, complete or not."""
        full_id = (chunk.snapshot_id, chunk.covers_offset, chunk.count, chunk.digest)
        snapshot = self._snapshot_by_id.get(full_id)
        if snapshot is None:
            snapshot = PartialSnapshot(chunk.covers_offset, chunk.count, chunk.digest)
            self._snapshot_by_id[full_id] = snapshot
        snapshot.add(chunk)
        return snapshot
