"""Leaves free capacity to peers for a bounded time."""

from __future__ import annotations

from dataclasses import dataclass

# Peers hear of free capacity within a heartbeat and a session renewal.
HOLD_S = 0.75
FIRST_OPEN_S = 0.75
# Peers that never use what is left to them are waited for ever less.
MAX_OPEN_S = 30.0


@dataclass(slots=True)
class _Hold:
    began: float
    open_s: float


class Holds:
    """Per pool, whether capacity is being left to peers now.

    A hold lasts ``HOLD_S``; then the pool is open to this entry for a time
    that doubles with each hold that did not satisfy the peers.
    """

    def __init__(self) -> None:
        self._hold_by_key: dict[str, _Hold] = {}

    def active(self, key: str, now: float) -> bool:
        """Begin or continue a hold; tell whether capacity stays free now."""
        hold = self._hold_by_key.get(key)
        if hold is None:
            self._hold_by_key[key] = _Hold(now, FIRST_OPEN_S)
            return True
        elapsed_s = now - hold.began
        if elapsed_s < HOLD_S:
            return True
        if elapsed_s < HOLD_S + hold.open_s:
            return False
        hold.began = now
        hold.open_s = min(MAX_OPEN_S, hold.open_s * 2)
        return True

    def satisfied(self, key: str) -> None:
        """End a hold whose reason is gone."""
        self._hold_by_key.pop(key, None)
