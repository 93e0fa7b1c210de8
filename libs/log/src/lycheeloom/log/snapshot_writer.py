"""Writing snapshots of the fleet state into the log."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lycheeloom.model.records import ConfigChanged, SnapshotChunk

from .outcomes import Effective, Priority
from .snapshot import SnapshotCollector, split_snapshot
from .tail import LogTail, ReplayedBatch
from .writer import LogWriter

CHUNK_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class SnapshotPolicy:
    """When a new snapshot is due, counted from the last complete one.

    ``retention_s`` and ``retention_batches`` are the log's retention. A snapshot is
    due at 0.4 of it, so that it is complete before half of the retention is used up.
    ``max_tail_batches`` and ``max_tail_config_changes`` bound how much a starting
    entry replays: at the planned fleet size a batch takes under 0.1 ms and a change
    of the configuration 27 to 56 ms, as the whole document is validated again.
    """

    retention_s: float
    retention_batches: int | None = None
    max_tail_batches: int = 10_000
    max_tail_config_changes: int = 40

    def is_due(self, age_s: float, batches: int, config_changes: int) -> bool:
        """Tell whether the last snapshot is too old or too many records follow it."""
        if batches <= 0:
            return False
        if age_s >= 0.4 * self.retention_s or batches >= self.max_tail_batches:
            return True
        if config_changes >= self.max_tail_config_changes:
            return True
        kept = self.retention_batches
        return kept is not None and batches >= 0.4 * kept


class SnapshotResult(Enum):
    """Result of ``SnapshotWriter.write``.

    ``TORN`` means that some chunks were not written, so the snapshot is incomplete;
    ``EMPTY`` that there was nothing to write.
    """

    WRITTEN = "written"
    EMPTY = "empty"
    TORN = "torn"


class SnapshotWriter:
    """Writes snapshots in the process that holds the snapshot duty.

    It also tracks complete snapshots of other processes, so that a new holder of the
    duty knows the age of the last one.
    """

    def __init__(
        self,
        writer: LogWriter,
        tail: LogTail,
        policy: SnapshotPolicy,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._writer = writer
        self._tail = tail
        self._policy = policy
        self._clock = clock
        self._collector = SnapshotCollector()
        self.written = 0
        self.torn = 0
        self.covers_offset = -1
        self._started_at = clock()
        self._completed_at: float | None = None
        self._config_offsets: deque[int] = deque()
        tail.add_listener(self._on_replayed)

    def age_s(self) -> float:
        """Return the age of the newest complete snapshot, in seconds.

        Until a snapshot has been completed since this process started, the age counts
        from its start.
        """
        since = self._started_at if self._completed_at is None else self._completed_at
        return self._clock() - since

    def is_due(self) -> bool:
        """Tell whether a snapshot should be written now.

        Until a snapshot has been completed since this process started, the age of the
        last one is unknown, and a snapshot is due if there is anything to write.
        """
        batches = self._tail.next_offset - 1 - self.covers_offset
        if self._completed_at is None:
            return batches > 0
        age_s = self._clock() - self._completed_at
        return self._policy.is_due(age_s, batches, len(self._config_offsets))

    def write(self, timeout_s: float = CHUNK_TIMEOUT_S) -> SnapshotResult:
        """Write one snapshot and wait for the replay of each chunk.

        Chunks are written one at a time, so that other records do not wait behind a
        whole snapshot.
        """
        state = self._tail.state
        covers = state.next_offset - 1
        if covers < 0:
            return SnapshotResult.EMPTY
        snapshot_id = f"{self._writer.author}-{covers}"
        for chunk in split_snapshot(snapshot_id, covers, state.dump_snapshot()):
            pending = self._writer.append(chunk, Priority.REQUEST)
            if not isinstance(pending.wait(timeout_s), Effective):
                self.torn += 1
                return SnapshotResult.TORN
        self.written += 1
        return SnapshotResult.WRITTEN

    def _on_replayed(self, replayed: ReplayedBatch) -> None:
        for record in replayed.batch.records:
            if isinstance(record, SnapshotChunk):
                self._observe_chunk(record)
            elif isinstance(record, ConfigChanged):
                self._config_offsets.append(replayed.offset)

    def _observe_chunk(self, chunk: SnapshotChunk) -> None:
        if chunk.covers_offset <= self.covers_offset:
            return
        if self._collector.add(chunk).assemble() is None:
            return
        self.covers_offset = chunk.covers_offset
        self._completed_at = self._clock()
        self._collector = SnapshotCollector()
        while self._config_offsets and self._config_offsets[0] <= self.covers_offset:
            self._config_offsets.popleft()
