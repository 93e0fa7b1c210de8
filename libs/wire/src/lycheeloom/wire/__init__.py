"""Cap'n Proto codecs for log batches and peer messages."""

from .batches import BadBatch, copy_record, decode_batch, encode_batch
from .peers import (
    BadPeerMessage,
    Heartbeat,
    OutcomeCount,
    OutcomeReport,
    OutcomeRequest,
    PeerBody,
    PeerMessage,
    QueueCount,
    RangeRequest,
    RecordRelay,
    TeamUsage,
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
    "TeamUsage",
    "copy_record",
    "decode_batch",
    "decode_peer_message",
    "encode_batch",
    "encode_peer_message",
]
