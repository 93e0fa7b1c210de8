"""Cap'n Proto encoding of log batches and of messages between processes.

The modules are imported on first use, so that a process loads only those it needs:
many processes start at the same time after a loss of power.
"""

from importlib import import_module

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


def __getattr__(name: str) -> object:
    """Import the module that defines a name when the name is first used."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = globals()[name] = getattr(import_module(f".{module}", __name__), name)
    return value
