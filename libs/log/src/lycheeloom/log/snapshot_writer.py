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

# Time to wait for the replay of one chunk.
CHUNK_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class SnapshotPolicy:
    """When a new snapshot is due, counted from the last complete one.

    ``retention_s`` and ``retention_batches`` are the log's retention; None means that
    the log does not limit the number of batches. A snapshot is due when 0.4 of the
    retention is used up, so that the snapshot is complete before half of it is used up.
    ``max_tail_batches`` and ``max_tail_config_changes`` bound how much a starting
    entry replays after the snapshot: at the planned fleet size the replay of a batch
    takes under 0.1 ms and that of a change of the configuration 27 to 56 ms, as the
    whole document is validated again.
    """

    retention_s: float
    retention_batches: int | None = None
    max_tail_batches: int = 10_000
    max_tail_config_changes: int = 40

    def is_due(self, age_s: float, batches: int, config_changes: int) -> bool:
        """Tell whether the last snapshot is too old or too much follows it.

        ``age_s`` is the age of the last snapshot; ``batches`` and ``config_changes``
        are the numbers of batches and of changes of the configuration after it.
        """
        if batches <= 0:
            return False
        if age_s >= 0.4 * self.retention_s or batches >= self.max_tail_batches:
            return True
        if config_changes >= self.max_tail_config_changes:
            return True
        retention_batches = self.retention_batches
        return retention_batches is not None and batches >= 0.4 * retention_batches


class SnapshotResult(Enum):
    """Result of ``SnapshotWriter.write``.

    ``TORN`` means that a chunk was not replayed in time or was not written, so the
    snapshot was given up; ``EMPTY`` means that no batch has been replayed yet.
    """

    WRITTEN = "written"
    EMPTY = "empty"
    TORN = "torn"


class SnapshotWriter:
    """Writes snapshots in the process that holds the snapshot duty.

    A process without the duty tracks the complete snapshots of the others, so that it
    knows the age of the last one when it takes the duty over.
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
        # Numbers of snapshots that this process has written and given up.
        self.written = 0
        self.torn = 0
        # The last offset that the newest complete snapshot covers; -1 before the first.
        self.covers_offset = -1
        self._started_at = clock()
        self._completed_at: float | None = None
        # Offsets of the configuration changes that the newest snapshot does not cover.
        self._config_offsets: deque[int] = deque()
        tail.add_listener(self._on_replayed)

    def age_s(self) -> float:
        """Return the age of the newest complete snapshot, in seconds.

        Until this process has seen a snapshot become complete, the age is counted from
        the start of the process.
        """
        since = self._started_at if self._completed_at is None else self._completed_at
        return self._clock() - since

    def is_due(self) -> bool:
        """Tell whether a snapshot should be written now.

        Until this process has seen a snapshot become complete, the age of the last one
        is unknown, and a snapshot is due if any batch has been replayed.
        """
        batches = self._tail.next_offset - 1 - self.covers_offset
        if self._completed_at is None:
            return batches > 0
        age_s = self._clock() - self._completed_at
        return self._policy.is_due(age_s, batches, len(self._config_offsets))

    def write(self, timeout_s: float = CHUNK_TIMEOUT_S) -> SnapshotResult:
        """Write one snapshot; wait up to ``timeout_s`` for the replay of each chunk.

        Chunks are written one at a time, so that other records do not wait behind a
        whole snapshot. After the first chunk that fails, no more are written.
        """
        state = self._tail.state
        covers_offset = state.next_offset - 1
        if covers_offset < 0:
            return SnapshotResult.EMPTY
        snapshot_id = f"{self._writer.author}-{covers_offset}"
        for chunk in split_snapshot(snapshot_id, covers_offset, state.dump_snapshot()):
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
