"""Reads single request records back from the log."""

from __future__ import annotations

from collections.abc import Iterator

from lycheeloom.model.records import (
    Batch,
    CopiedRecord,
    Record,
    RequestFinished,
    RequestSubmitted,
)
from lycheeloom.platform import ReadBatches
from lycheeloom.wire import copy_record, decode_batch

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

    def copy(
        self,
        offset: int | None,
        request_id: str,
        kind: type[RequestSubmitted | RequestFinished],
    ) -> CopiedRecord | None:
        """Return the record as it stands in the log, for appending it again."""
        encoded = self._encoded(offset)
        for index, record in enumerate(_decode(encoded)):
            if isinstance(record, kind) and record.request_id == request_id:
                return copy_record(encoded, index)
        return None

    def _records(self, offset: int | None) -> Iterator[Record]:
        yield from _decode(self._encoded(offset))

    def _encoded(self, offset: int | None) -> bytes | None:
        if offset is None:
            return None
        encoded = self._tail.ring.read(offset, 1)
        if not encoded:
            answer = self._client.read(offset, 1, 0.0)
            if not isinstance(answer, ReadBatches) or answer.first != offset:
                return None
            encoded = answer.batches
        return encoded[0] if encoded else None


def _decode(encoded: bytes | None) -> tuple[Record, ...]:
    if encoded is None:
        return ()
    batch = decode_batch(encoded)
    return batch.records if isinstance(batch, Batch) else ()
