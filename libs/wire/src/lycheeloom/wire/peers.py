"""Encoding of messages between entries."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import capnp

from .checksum import add_checksum, strip_checksum
from .structs import from_struct, to_fields

_SCHEMA = capnp.load(str(Path(__file__).with_name("peers.capnp")))


@dataclass(frozen=True, slots=True)
class QueueCount:
    """How many requests of an organisation wait in one queue."""

    queue: str
    count: int


@dataclass(frozen=True, slots=True)
class OrganisationUsage:
    """What one organisation runs and has queued on the sender.

    ``startable`` counts only requests that the sender's grant lets it start.
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
    """Liveness, replay position and usage of the sender."""

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
    """Encoded batches starting at ``offset``."""

    offset: int
    batches: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class RangeRequest:
    """Asks a peer for its batches from ``first_offset`` on."""

    first_offset: int


@dataclass(frozen=True, slots=True)
class OutcomeRequest:
    """Asks an entry for the outcomes of tasks after a period; 0 asks for all."""

    after_period: int


@dataclass(frozen=True, slots=True)
class OutcomeCount:
    """Tasks of one queue that ended on one worker; ``failed`` of them failed."""

    worker: str
    queue: str
    ended: int
    failed: int


@dataclass(frozen=True, slots=True)
class OutcomeReport:
    """Outcomes through a period, of the workers that are in question.

    ``succeeded_queues`` are those of ``counts`` that succeeded on any worker.
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
    """The bytes are no peer message that this version knows."""

    reason: str


def encode_peer_message(message: PeerMessage) -> bytes:
    """Serialise a peer message."""
    fields = to_fields(message.body)
    encoded = _SCHEMA.PeerMessage.new_message(sender=message.sender)
    encoded.init(_TAG_BY_KIND[type(message.body)]).from_dict(fields)
    return add_checksum(encoded.to_bytes())


def decode_peer_message(data: bytes) -> PeerMessage | BadPeerMessage:
    """Read a peer message."""
    message_bytes = strip_checksum(data)
    if message_bytes is None:
        return BadPeerMessage("the checksum does not match")
    try:
        with _SCHEMA.PeerMessage.from_bytes(message_bytes) as message:
            tag = str(message.which())
            kind = _KIND_BY_TAG.get(tag)
            if kind is None:
                return BadPeerMessage(f"unknown kind {tag}")
            return PeerMessage(message.sender, from_struct(kind, getattr(message, tag)))
    except (capnp.KjException, ValueError) as error:
        return BadPeerMessage(str(error).splitlines()[0])
