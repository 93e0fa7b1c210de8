"""Replays the log for an operator."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from lycheeloom.clients import (
    Appended,
    AppendRefused,
    AppendUnknown,
    Expired,
    ReadBatches,
    Unavailable,
)
from lycheeloom.log import SnapshotReader
from lycheeloom.model.records import Batch
from lycheeloom.state import FleetState
from lycheeloom.wire import decode_batch

from .difference import compare, describe_patch

MAX_BATCHES_PER_READ = 1000
# Ends a replay that does not reach the end of the log, for instance because batches
# expire faster than they are read.
MAX_READS_PER_REPLAY = 100_000
# How many versions of the configuration document are kept, to describe the changes
# between them.
MAX_KEPT_DOCUMENTS = 100


class Log(Protocol):
    """The part of ``lycheeloom.clients.LogClient`` that the operator library uses."""

    address: str

    def append(self, batch: bytes) -> Appended | AppendUnknown | AppendRefused:
        """Append one encoded batch."""

    def read(
        self,
        first_offset: int,
        limit: int,
        wait_s: float,
        *,
        margin_s: float = 2.0,
    ) -> ReadBatches | Expired | Unavailable:
        """Read at most ``limit`` batches, starting at ``first_offset``."""


@dataclass(frozen=True, slots=True)
class PublishedChange:
    """One accepted change of the configuration; ``sentences`` describe it."""

    version: int
    operator: str
    offset: int
    patch: Mapping[str, Any]
    sentences: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class BatchOutcome:
    """The offset of the first copy of a batch, and which of its records took effect.

    ``effective`` has one value for each record, in their order.
    """

    offset: int
    effective: tuple[bool, ...]


class LogView:
    """The fleet state replayed from the log, and the outcomes of one author's batches.

    Replay starts from the newest snapshot, since replaying hours of log takes
    minutes.
    """

    def __init__(self, log: Log, author: str) -> None:
        self._log = log
        self._author = author
        self._is_initialised = False
        self.state = FleetState()
        self._outcome_by_sequence: dict[int, BatchOutcome] = {}
        self._document_by_version: dict[int, dict[str, Any]] = {0: {}}

    @property
    def version(self) -> int:
        """The version of the configuration in force."""
        return self.state.configuration.version

    @property
    def document(self) -> dict[str, Any]:
        """The configuration document in force."""
        return self.state.configuration.document

    def catch_up(self) -> Unavailable | None:
        """Replay the log to its end and return the failure, if any."""
        if not self._is_initialised:
            failure = self._load_snapshot()
            if failure is not None:
                return failure
        for _ in range(MAX_READS_PER_REPLAY):
            first = self.state.next_offset
            result = self._log.read(first, MAX_BATCHES_PER_READ, 0.0)
            match result:
                case Unavailable():
                    return result
                case Expired():
                    failure = self._load_snapshot()
                    if failure is not None:
                        return failure
                case ReadBatches(batches=batches):
                    if not batches:
                        return None
                    self._apply(result)
                    if self.state.next_offset == first:
                        return Unavailable(f"no batch at offset {first}")
        return Unavailable("the log grows faster than it is read")

    def describe_read_failure(self, failure: Unavailable) -> str:
        """Return a text that says which log could not be read and why."""
        return f"the log at {self._log.address} cannot be read ({failure.reason})"

    def outcome(self, sequence: int) -> BatchOutcome | None:
        """Return the outcome of a batch of the author, None if no copy was read yet."""
        return self._outcome_by_sequence.get(sequence)

    def changes_since(self, version: int) -> list[PublishedChange]:
        """Return the accepted changes after a version, oldest first."""
        history = self.state.configuration.history
        return [
            self._to_published_change(change)
            for change in history
            if change.version > version
        ]

    def _apply(self, read: ReadBatches) -> None:
        for offset, data in enumerate(read.batches, start=read.first):
            if offset < self.state.next_offset:
                continue
            batch = decode_batch(data)
            # A batch that cannot be decoded has no effect in any replay.
            if not isinstance(batch, Batch):
                self.state.skip(offset)
                continue
            applied = self.state.apply(offset, batch)
            if batch.author == self._author and not applied.is_repeat:
                outcome = BatchOutcome(offset, applied.effective)
                self._outcome_by_sequence[batch.sequence] = outcome
            self._remember_document()

    def _remember_document(self) -> None:
        documents = self._document_by_version
        if self.version not in documents:
            documents[self.version] = self.document
            documents.pop(self.version - MAX_KEPT_DOCUMENTS, None)

    def _load_snapshot(self) -> Unavailable | None:
        """Reset the state to the newest snapshot, or to offset 0 if there is none."""
        reader = SnapshotReader(self._log)
        retained = reader.find_range()
        if isinstance(retained, str):
            return Unavailable(retained)
        state = reader.find_newest(retained)
        if isinstance(state, str):
            return Unavailable(state)
        if state is None and retained.oldest > 0:
            return Unavailable(
                f"the log has no snapshot since offset {retained.oldest}"
            )
        self.state = state or FleetState()
        self._is_initialised = True
        self._remember_document()
        return None

    def _to_published_change(self, change: Any) -> PublishedChange:
        # A document is missing if the version is older than the snapshot with which
        # replay began, or than the documents that are kept.
        before = self._document_by_version.get(change.version - 1)
        after = self._document_by_version.get(change.version)
        if before is None or after is None:
            sentences = tuple(describe_patch(_load_patch(change.patch)))
        else:
            sentences = tuple(item.describe() for item in compare(before, after))
        return PublishedChange(
            change.version,
            change.operator,
            change.offset,
            _load_patch(change.patch),
            sentences,
        )


def _load_patch(text: str) -> Mapping[str, Any]:
    """Parse a patch; one that is not a JSON object counts as empty."""
    patch = json.loads(text)
    return patch if isinstance(patch, dict) else {}
