"""Search for the newest complete snapshot, from the log's end backwards."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lycheeloom.clients import Expired, ReadBatches, Unavailable
from lycheeloom.model.records import SnapshotChunk
from lycheeloom.state import FleetState
from lycheeloom.wire import BadBatch, decode_batch

from .client import LogClient
from .snapshot import SnapshotCollector

# Offsets per read; with the log's limit of 4 MiB per answer and 256 KiB per
# batch a read may return fewer, and the rest is read again.
PAGE = 256
# A read from beyond the end is answered with the end's offset.
BEYOND_END = 2**62


@dataclass(frozen=True, slots=True)
class LogRange:
    """Offsets kept by the log, from ``oldest`` up to but without ``end``."""

    oldest: int
    end: int


class SnapshotReader:
    """Reads snapshots with bounded reads; methods return a reason on failure."""

    def __init__(self, client: LogClient) -> None:
        self._client = client

    def find_range(self) -> LogRange | str:
        """Return the offsets that the log keeps."""
        match self._client.read(BEYOND_END, 0, 0.0):
            case ReadBatches(_, end, _):
                pass
            case Expired(oldest):
                return f"the log is empty from {oldest} on"
            case Unavailable(reason):
                return reason
        match self._client.read(0, 1, 0.0):
            case Expired(oldest):
                return LogRange(oldest, end)
            case Unavailable(reason):
                return reason
        return LogRange(0, end)

    def find_newest(self, log_range: LogRange) -> FleetState | None | str:
        """Return the newest usable snapshot's state, None, or a reason."""
        collector = SnapshotCollector()
        end = log_range.end
        while end > log_range.oldest:
            start = max(log_range.oldest, end - PAGE)
            page = self._read_page(start, end)
            if isinstance(page, str):
                return page
            for chunk in _chunks_backwards(page):
                partial = collector.add(chunk)
                # A tail that cannot be replayed up to now makes it useless.
                if partial.covers_offset + 1 < log_range.oldest:
                    continue
                state = _load(partial.unpack(), partial.covers_offset)
                if state is not None:
                    return state
            end = start
        return None

    def _read_page(self, start: int, end: int) -> list[bytes] | str:
        page: list[bytes] = []
        while start < end:
            match self._client.read(start, end - start, 0.0):
                case ReadBatches(first, _, batches) if batches and first == start:
                    page.extend(batches)
                    start += len(batches)
                case ReadBatches():
                    return f"the log has no offset {start}"
                case Expired(oldest):
                    # Only newer offsets can be used from now on.
                    return f"offset {start} expired, oldest is {oldest}"
                case Unavailable(reason):
                    return reason
        return page


def _chunks_backwards(page: list[bytes]) -> Iterator[SnapshotChunk]:
    for encoded in reversed(page):
        batch = decode_batch(encoded)
        if isinstance(batch, BadBatch):
            continue
        for record in reversed(batch.records):
            if isinstance(record, SnapshotChunk):
                yield record


def _load(dump: bytes | None, covers_offset: int) -> FleetState | None:
    """Return the state of a dump, or None if it is not usable."""
    if dump is None:
        return None
    try:
        state = FleetState.load_snapshot(dump)
    except ValueError:
        # Damaged, or written by a program version with another layout.
        return None
    return state if state.next_offset == covers_offset + 1 else None
