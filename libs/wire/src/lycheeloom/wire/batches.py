"""Encoding of log batches."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from lycheeloom.model import records
from lycheeloom.model.records import Batch, Record, UnknownRecord

from .structs import from_struct, to_fields

_SCHEMA = capnp.load(str(Path(__file__).with_name("records.capnp")))
# A batch is at most MAX_BATCH_BYTES; the default traversal limit is 64 MiB.

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
    """The bytes are not a batch; ``reason`` says why."""

    reason: str


def encode_batch(batch: Batch) -> bytes:
    """Serialise a batch for the log."""
    message = _SCHEMA.Batch.new_message(
        author=batch.author,
        sequence=batch.sequence,
        records=[
            {_TAG_BY_KIND[type(record)]: to_fields(record)} for record in batch.records
        ],
    )
    return message.to_bytes()


def decode_batch(data: bytes) -> Batch | BadBatch:
    """Read a batch; record kinds of newer programs become ``UnknownRecord``."""
    try:
        with _SCHEMA.Batch.from_bytes(data) as message:
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
        # An enum value of a newer program version.
        return UnknownRecord()
