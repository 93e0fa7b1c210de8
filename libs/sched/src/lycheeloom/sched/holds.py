"""Leaves free capacity to peers for a bounded time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# Peers hear of free capacity within a heartbeat and a session renewal.
HOLD_S = 0.75
FIRST_PAUSE_S = 0.75
# Peers that never use what is left to them are waited for ever less.
MAX_PAUSE_S = 30.0


@dataclass(slots=True)
class _Hold:
    began: float
    peer_cores: float
    pause_s: float = 0.0
    ended: float | None = None


class Holds:
    """Per pool, whether capacity is being left to peers now.

    A hold lasts ``HOLD_S``. Then this entry takes what is still free, and the
    next freed capacity is held again. If peers took nothing, the next hold
    comes only after a pause that doubles each time.
    """

    def __init__(self) -> None:
        self._hold_by_key: dict[str, _Hold] = {}

    def active(
        self,
        key: str,
        now: float,
        has_room: bool,
        peer_cores: Callable[[], float],
    ) -> bool:
        """Begin or continue a hold; tell whether capacity stays free now.

        ``peer_cores()`` is what peers use of the pool at this time.
        """
        hold = self._hold_by_key.get(key)
        if hold is None:
            self._hold_by_key[key] = _Hold(now, peer_cores())
            return True
        if hold.ended is None:
            if now - hold.began < HOLD_S:
                return True
            hold.ended = now
            if peer_cores() > hold.peer_cores or not has_room:
                hold.pause_s = 0.0
            else:
                hold.pause_s = min(MAX_PAUSE_S, max(FIRST_PAUSE_S, hold.pause_s * 2))
            return False
        if now - hold.ended < hold.pause_s or now == hold.ended:
            return False
        hold.began = now
        hold.peer_cores = peer_cores()
        hold.ended = None
        return True

    def satisfied(self, key: str) -> None:
        """End a hold whose reason is gone."""
        self._hold_by_key.pop(key, None)
