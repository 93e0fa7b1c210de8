"""Recovery of the fleet state from the log."""

from __future__ import annotations

from dataclasses import dataclass

from lycheeloom.clients import Expired, ReadBatches, Unavailable
from lycheeloom.state import FleetState
from lycheeloom.wire import BadBatch, decode_batch

from .client import LogClient
from .snapshot_reader import LogRange, SnapshotReader

READ_LIMIT = 1000
# The log may drop the chosen snapshot while it is read; by then a newer one is
# complete or being written.
MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class RecoveryFailed:
    """Why the state could not be recovered; retrying later is safe."""

    reason: str


def recover(client: LogClient) -> FleetState | RecoveryFailed:
    """Return the state at the log's end, replayed from the newest snapshot.

    Without a snapshot the log is replayed from offset 0.
    """
    outcome: FleetState | RecoveryFailed = RecoveryFailed("not attempted")
    for _ in range(MAX_ATTEMPTS):
        outcome = _recover_once(client)
        if isinstance(outcome, FleetState):
            return outcome
    return outcome


def _recover_once(client: LogClient) -> FleetState | RecoveryFailed:
    reader = SnapshotReader(client)
    log_range = reader.find_range()
    if isinstance(log_range, str):
        return RecoveryFailed(log_range)
    state = reader.find_newest(log_range)
    if isinstance(state, str):
        return RecoveryFailed(state)
    if state is None:
        if log_range.oldest > 0:
            return RecoveryFailed(
                f"no complete snapshot between {log_range.oldest} and {log_range.end}"
            )
        state = FleetState()
    return _replay(client, state, log_range)


def _replay(
    client: LogClient, state: FleetState, log_range: LogRange
) -> FleetState | RecoveryFailed:
    while state.next_offset < log_range.end:
        answer = client.read(state.next_offset, READ_LIMIT, 0.0)
        match answer:
            case ReadBatches(first, _, batches):
                if not batches or first != state.next_offset:
                    return RecoveryFailed(f"the log has no offset {state.next_offset}")
                for offset, encoded in enumerate(batches, first):
                    _apply(state, offset, encoded)
            case Expired(oldest):
                return RecoveryFailed(
                    f"offset {state.next_offset} expired, oldest is {oldest}"
                )
            case Unavailable(reason):
                return RecoveryFailed(reason)
    return state


def _apply(state: FleetState, offset: int, encoded: bytes) -> None:
    batch = decode_batch(encoded)
    if isinstance(batch, BadBatch):
        state.skip(offset)
        return
    state.apply(offset, batch)
