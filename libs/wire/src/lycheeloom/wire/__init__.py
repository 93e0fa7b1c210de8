"""Cap'n Proto encoding of log batches and of messages between processes."""

from .batches import BadBatch, copy_record, decode_batch, encode_batch
from .peers import (
    BadPeerMessage,
    Heartbeat,
    OrganisationUsage,
    OutcomeCount,
    OutcomeReport,
    OutcomeRequest,
    PeerBody,
    PeerMessage,
    QueueCount,
    RangeRequest,
    RecordRelay,
    decode_peer_message,
    encode_peer_message,
)

__all__ = [
    "BadBatch",
    "BadPeerMessage",
    "Heartbeat",
    "OutcomeCount",
    "OutcomeReport",
    "OutcomeRequest",
    "PeerBody",
    "PeerMessage",
    "QueueCount",
    "RangeRequest",
    "RecordRelay",
    "OrganisationUsage",
    "copy_record",
    "decode_batch",
    "decode_peer_message",
    "encode_batch",
    "encode_peer_message",
]
