"""Encoding and decoding of messages between entries, and from controllers to them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import capnp

from .checksum import add_checksum, strip_checksum
from .structs import from_struct, to_fields

_SCHEMA = capnp.load(str(Path(__file__).with_name("peers.capnp")))


@dataclass(frozen=True, slots=True)
class QueueCount:
    """Number of requests of an organisation that wait in one queue."""

    queue: str
    count: int


@dataclass(frozen=True, slots=True)
class OrganisationUsage:
    """Resources that one organisation uses and requests it has queued at the sender.

    ``startable`` counts only requests that the sender may start under its grant.
    """

    organisation: str
    running: int
    queued: int
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    startable: tuple[QueueCount, ...] = ()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Liveness, replay position and usage of the sender.

    ``echo_us`` is the ``sent_us`` of the heartbeat that this one answers and
    confirms, or 0. ``next_offset`` is the offset after the last replayed batch.
    ``usage`` holds the organisations whose usage has changed, or all of them if
    ``complete`` is set.
    """

    sent_us: int
    echo_us: int
    next_offset: int
    log_age_ms: int
    draining: bool = False
    usage: tuple[OrganisationUsage, ...] = ()
    complete: bool = False
    reserved_workers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RecordRelay:
    """Consecutive encoded batches of the log; the first one is at ``offset``."""

    offset: int
    batches: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class RangeRequest:
    """Asks a peer for the batches that it has from ``first_offset`` on."""

    first_offset: int


@dataclass(frozen=True, slots=True)
class OutcomeRequest:
    """Asks an entry for the task outcomes of the periods after ``after_period``.

    Periods have a fixed length and are numbered by the entry; 0 asks for all.
    """

    after_period: int


@dataclass(frozen=True, slots=True)
class OutcomeCount:
    """Number of tasks of one queue that ended on one worker, and that failed there."""

    worker: str
    queue: str
    ended: int
    failed: int


@dataclass(frozen=True, slots=True)
class OutcomeReport:
    """Task outcomes through a period on workers with recent failures or on probation.

    ``succeeded_queues`` are the queues in ``counts`` of which a task has succeeded
    on any worker.
    """

    through_period: int
    counts: tuple[OutcomeCount, ...] = ()
    succeeded_queues: tuple[str, ...] = ()


PeerBody = Heartbeat | RecordRelay | RangeRequest | OutcomeRequest | OutcomeReport

_KIND_BY_TAG: dict[str, type] = {
    "heartbeat": Heartbeat,
    "recordRelay": RecordRelay,
    "rangeRequest": RangeRequest,
    "outcomeRequest": OutcomeRequest,
    "outcomeReport": OutcomeReport,
}
_TAG_BY_KIND = {kind: tag for tag, kind in _KIND_BY_TAG.items()}


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message with the incarnation that sent it."""

    sender: str
    body: PeerBody


@dataclass(frozen=True, slots=True)
class BadPeerMessage:
    """The bytes cannot be decoded as a peer message; ``reason`` says why."""

    reason: str


def encode_peer_message(message: PeerMessage) -> bytes:
    """Serialise a peer message.

    Raises ``ValueError`` if a number is negative or needs more than 64 bits, and if
    a value is None.
    """
    fields = to_fields(message.body)
    encoded = _SCHEMA.PeerMessage.new_message(sender=message.sender)
    encoded.init(_TAG_BY_KIND[type(message.body)]).from_dict(fields)
    return add_checksum(encoded.to_bytes())


def decode_peer_message(data: bytes) -> PeerMessage | BadPeerMessage:
    """Decode a peer message."""
    message_bytes = strip_checksum(data)
    if message_bytes is None:
        return BadPeerMessage("the checksum does not match")
    try:
        with _SCHEMA.PeerMessage.from_bytes(message_bytes) as message:
            tag = str(message.which())
            kind = _KIND_BY_TAG.get(tag)
            if kind is None:
                return BadPeerMessage(f"unknown kind of message: {tag}")
            return PeerMessage(message.sender, from_struct(kind, getattr(message, tag)))
    except (capnp.KjException, ValueError) as error:
        return BadPeerMessage(str(error).splitlines()[0])
