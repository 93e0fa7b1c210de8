"""Reading single request records from the log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

from lycheeloom.clients import Expired, ReadBatches
from lycheeloom.model.records import (
    Batch,
    CopiedRecord,
    Record,
    RequestFinished,
    RequestSubmitted,
)
from lycheeloom.wire import copy_record, decode_batch

from .client import LogClient
from .tail import LogTail

_RecordT = TypeVar("_RecordT", RequestSubmitted, RequestFinished)


@dataclass(frozen=True, slots=True)
class RecordLost:
    """The log has dropped the record, so it can no longer be read."""

    oldest_offset: int


class RecordReader:
    """Reads submissions and answers at the offsets that the state keeps.

    Recent batches come from the tail's ring, others from the log.
    """

    def __init__(self, tail: LogTail, client: LogClient) -> None:
        self._tail = tail
        self._client = client

    def submission(
        self, offset: int | None, request_id: str
    ) -> RequestSubmitted | RecordLost | None:
        """Return the submission at an offset, or None if not readable now."""
        return self._find(offset, request_id, RequestSubmitted)

    def answer(
        self, offset: int | None, request_id: str
    ) -> RequestFinished | RecordLost | None:
        """Return the answer record at an offset, or None if not readable now."""
        return self._find(offset, request_id, RequestFinished)

    def copy(
        self,
        offset: int | None,
        request_id: str,
        kind: type[RequestSubmitted | RequestFinished],
    ) -> CopiedRecord | RecordLost | None:
        """Return the record as encoded in the log, for appending it again."""
        encoded = self._read_encoded(offset)
        if isinstance(encoded, RecordLost):
            return encoded
        for index, record in enumerate(_decode(encoded)):
            if isinstance(record, kind) and record.request_id == request_id:
                return copy_record(encoded, index)
        return None

    def _find(
        self, offset: int | None, request_id: str, kind: type[_RecordT]
    ) -> _RecordT | RecordLost | None:
        encoded = self._read_encoded(offset)
        if isinstance(encoded, RecordLost):
            return encoded
        for record in _decode(encoded):
            if isinstance(record, kind) and record.request_id == request_id:
                return record
        return None

    def _read_encoded(self, offset: int | None) -> bytes | RecordLost | None:
        if offset is None:
            return None
        encoded = self._tail.ring.read(offset, 1)
        if not encoded:
            answer = self._client.read(offset, 1, 0.0)
            if isinstance(answer, Expired):
                return RecordLost(answer.oldest)
            if not isinstance(answer, ReadBatches) or answer.first != offset:
                return None
            encoded = answer.batches
        return encoded[0] if encoded else None


def _decode(encoded: bytes | None) -> tuple[Record, ...]:
    if encoded is None:
        return ()
    batch = decode_batch(encoded)
    return batch.records if isinstance(batch, Batch) else ()
