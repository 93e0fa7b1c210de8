"""Cap'n Proto encoding of log batches and of messages between processes."""

from lycheeloom.model.lazy_exports import lazy_exports

_MODULE_BY_NAME = {
    "BadBatch": "batches",
    "BadPeerMessage": "peers",
    "Heartbeat": "peers",
    "OrganisationUsage": "peers",
    "OutcomeCount": "peers",
    "OutcomeReport": "peers",
    "OutcomeRequest": "peers",
    "PeerBody": "peers",
    "PeerMessage": "peers",
    "QueueCount": "peers",
    "RangeRequest": "peers",
    "RecordRelay": "peers",
    "copy_record": "batches",
    "decode_batch": "batches",
    "decode_peer_message": "peers",
    "encode_batch": "batches",
    "encode_peer_message": "peers",
}
__all__ = sorted(_MODULE_BY_NAME)

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
