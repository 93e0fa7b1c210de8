"""Client side of the replicated log: writer, tail, recovery and snapshots."""

from .client import LogClient
from .outcomes import (
    Effective,
    NoEffect,
    NotWritten,
    Outcome,
    PendingRecord,
    Priority,
    Unknown,
)
from .record_reader import RecordLost, RecordReader
from .recovery import RecoveryFailed, recover
from .ring import BatchRing
from .snapshot_reader import SnapshotReader
from .snapshot_writer import SnapshotPolicy, SnapshotResult, SnapshotWriter
from .tail import LogTail, OfferResult, ReplayedBatch
from .writer import LogWriter

__all__ = [
    "BatchRing",
    "Effective",
    "LogClient",
    "LogTail",
    "LogWriter",
    "NoEffect",
    "NotWritten",
    "OfferResult",
    "Outcome",
    "PendingRecord",
    "Priority",
    "RecordLost",
    "RecordReader",
    "RecoveryFailed",
    "ReplayedBatch",
    "SnapshotPolicy",
    "SnapshotReader",
    "SnapshotResult",
    "SnapshotWriter",
    "Unknown",
    "recover",
]
