"""Search for the newest complete snapshot, backwards from the log's end."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lycheeloom.clients import Expired, ReadBatches, Unavailable
from lycheeloom.model.records import SnapshotChunk
from lycheeloom.state import FleetState
from lycheeloom.wire import BadBatch, decode_batch

from .client import LogClient
from .snapshot import SnapshotCollector

# Number of offsets that are read and searched together. As the log limits answers to
# 4 MiB and batches to 256 KiB, this may take several reads.
PAGE_OFFSETS = 256
# The log answers a read beyond its end with the offset of its end.
BEYOND_END = 2**62


@dataclass(frozen=True, slots=True)
class LogRange:
    """Offsets kept by the log, from ``oldest`` up to but excluding ``end``."""

    oldest: int
    end: int


class SnapshotReader:
    """Finds snapshots in the log.

    If the log cannot be read, methods return the reason as a string.
    """

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
        """Return the state of the newest usable snapshot, or None without one."""
        collector = SnapshotCollector()
        end = log_range.end
        while end > log_range.oldest:
            start = max(log_range.oldest, end - PAGE_OFFSETS)
            page = self._read_page(start, end)
            if isinstance(page, str):
                return page
            for chunk in _chunks_backwards(page):
                partial = collector.add(chunk)
                # The log has dropped batches that follow this snapshot, so it cannot
                # be replayed to the end.
                if partial.covers_offset + 1 < log_range.oldest:
                    continue
                state = _load_state(partial.assemble(), partial.covers_offset)
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
                    # Older pages have expired as well, so the search ends here.
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


def _load_state(dump: bytes | None, covers_offset: int) -> FleetState | None:
    """Return the state of a dump, or None if the dump is not usable."""
    if dump is None:
        return None
    try:
        state = FleetState.load_snapshot(dump)
    except ValueError:
        # Damaged, or written by a program version with another data model.
        return None
    return state if state.next_offset == covers_offset + 1 else None
