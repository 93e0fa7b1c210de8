"""Encoding and decoding of log batches."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from lycheeloom.model import records
from lycheeloom.model.records import Batch, CopiedRecord, Record, UnknownRecord

from .checksum import add_checksum, strip_checksum
from .structs import from_struct, to_fields

# Reading uses the default traversal limit of 64 MiB, as a batch has at most
# MAX_BATCH_BYTES.
_SCHEMA = capnp.load(str(Path(__file__).with_name("records.capnp")))

_KIND_BY_TAG: dict[str, type] = {
    "configChanged": records.ConfigChanged,
    "memberJoined": records.MemberJoined,
    "memberVote": records.MemberVote,
    "memberRefuted": records.MemberRefuted,
    "memberLeft": records.MemberLeft,
    "grantsReclaimed": records.GrantsReclaimed,
    "grantRequested": records.GrantRequested,
    "grantReturned": records.GrantReturned,
    "requestSubmitted": records.RequestSubmitted,
    "requestClaimed": records.RequestClaimed,
    "requestReleased": records.RequestReleased,
    "requestFinished": records.RequestFinished,
    "requestCancelled": records.RequestCancelled,
    "answersExpired": records.AnswersExpired,
    "dutyClaimed": records.DutyClaimed,
    "moveStep": records.MoveStep,
    "instanceHealth": records.InstanceHealth,
    "waveCommand": records.WaveCommand,
    "snapshotChunk": records.SnapshotChunk,
}
_TAG_BY_KIND = {kind: tag for tag, kind in _KIND_BY_TAG.items()}


@dataclass(frozen=True, slots=True)
class BadBatch:
    """The bytes cannot be decoded as a batch; ``reason`` says why."""

    reason: str


def encode_batch(batch: Batch) -> bytes:
    """Serialise a batch for the log.

    Raises ``ValueError`` if a number is negative or needs more than 64 bits, and if
    a value is None.
    """
    fields_by_record = [
        None if isinstance(record, CopiedRecord) else to_fields(record)
        for record in batch.records
    ]
    message = _SCHEMA.Batch.new_message(author=batch.author, sequence=batch.sequence)
    records = message.init("records", len(batch.records))
    for index, record in enumerate(batch.records):
        if isinstance(record, CopiedRecord):
            message_bytes = strip_checksum(record.encoded)
            with _SCHEMA.Batch.from_bytes(message_bytes) as source:
                _copy_union_member(source.records[0], records[index])
            continue
        # Assigning a dict to the union member would raise an error inside the
        # library before it succeeds, which crashes a greenlet (see checksum.py).
        member = records[index].init(_TAG_BY_KIND[type(record)])
        member.from_dict(fields_by_record[index])
    return add_checksum(message.to_bytes())


def copy_record(encoded: bytes, index: int) -> CopiedRecord:
    """Return the record at ``index`` of an encoded batch for appending it again.

    The batch must be valid and the record of a known kind, so decode it first.
    """
    copy = _SCHEMA.Batch.new_message()
    message_bytes = strip_checksum(encoded)
    with _SCHEMA.Batch.from_bytes(message_bytes) as source:
        _copy_union_member(source.records[index], copy.init("records", 1)[0])
    return CopiedRecord(add_checksum(copy.to_bytes()))


def _copy_union_member(source: Any, target: Any) -> None:
    # Copying the whole struct keeps fields that are missing in this schema.
    tag = str(source.which())
    setattr(target, tag, getattr(source, tag))


def decode_batch(data: bytes) -> Batch | BadBatch:
    """Decode a batch; records of newer program versions become ``UnknownRecord``."""
    message_bytes = strip_checksum(data)
    if message_bytes is None:
        return BadBatch("the checksum does not match")
    try:
        with _SCHEMA.Batch.from_bytes(message_bytes) as message:
            return Batch(
                message.author,
                message.sequence,
                tuple(_decode_record(record) for record in message.records),
            )
    except (capnp.KjException, ValueError) as error:
        return BadBatch(str(error).splitlines()[0])


def _decode_record(record: Any) -> Record:
    try:
        tag = str(record.which())
    except capnp.KjException:
        return UnknownRecord()
    kind = _KIND_BY_TAG.get(tag)
    if kind is None:
        return UnknownRecord()
    try:
        return from_struct(kind, getattr(record, tag))
    except ValueError:
        # The record has an enum value of a newer program version.
        return UnknownRecord()
