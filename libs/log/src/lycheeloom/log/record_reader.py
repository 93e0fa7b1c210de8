"""Reads single request records back from the log."""

from __future__ import annotations

from collections.abc import Iterator

from lycheeloom.model.records import (
    Batch,
    Record,
    RequestFinished,
    RequestSubmitted,
)
from lycheeloom.platform import ReadBatches
from lycheeloom.wire import decode_batch

from .client import LogClient
from .tail import LogTail


class RecordReader:
    """Finds bodies and answers by the offsets that the state keeps."""

    def __init__(self, tail: LogTail, client: LogClient) -> None:
        self._tail = tail
        self._client = client

    def submission(
        self, offset: int | None, request_id: str
    ) -> RequestSubmitted | None:
        """Return the submission at an offset, or None if it cannot be read now."""
        for record in self._records(offset):
            if isinstance(record, RequestSubmitted) and record.request_id == request_id:
                return record
        return None

    def finish(self, offset: int | None, request_id: str) -> RequestFinished | None:
        """Return the answer record at an offset, or None if not readable now."""
        for record in self._records(offset):
            if isinstance(record, RequestFinished) and record.request_id == request_id:
                return record
        return None

    def _records(self, offset: int | None) -> Iterator[Record]:
        if offset is None:
            return
        encoded = self._tail.ring.read(offset, 1)
        if not encoded:
            answer = self._client.read(offset, 1, 0.0)
            if not isinstance(answer, ReadBatches) or answer.first != offset:
                return
            encoded = answer.batches
        for data in encoded[:1]:
            batch = decode_batch(data)
            if isinstance(batch, Batch):
                yield from batch.records
