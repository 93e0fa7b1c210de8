"""Leaves free capacity to peers for a bounded time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# Peers hear of free capacity within a heartbeat and a session renewal.
DEFERRAL_S = 0.75
MIN_PAUSE_S = 0.75
# Peers that never use what is left to them are waited for ever less.
MAX_PAUSE_S = 30.0


@dataclass(slots=True)
class _Deferral:
    began_at: float
    peer_cores: float
    pause_s: float = 0.0
    ended_at: float | None = None


class PeerDeferrals:
    """Per pool, whether capacity is being left to peers now.

    A hold lasts ``DEFERRAL_S``. Then this entry takes what is still free, and the
    next freed capacity is held again. If peers took nothing, the next hold
    comes only after a pause that doubles each time.
    """

    def __init__(self) -> None:
        self._deferral_by_pool: dict[str, _Deferral] = {}

    def defers(
        self,
        pool: str,
        now: float,
        has_room: bool,
        peer_cores: Callable[[], float],
    ) -> bool:
        """Begin or continue a hold; tell whether capacity stays free now.

        ``peer_cores()`` is what peers use of the pool at this time.
        """
        deferral = self._deferral_by_pool.get(pool)
        if deferral is None:
            self._deferral_by_pool[pool] = _Deferral(now, peer_cores())
            return True
        if deferral.ended_at is None:
            if now - deferral.began_at < DEFERRAL_S:
                return True
            deferral.ended_at = now
            if peer_cores() > deferral.peer_cores or not has_room:
                deferral.pause_s = 0.0
            else:
                deferral.pause_s = min(
                    MAX_PAUSE_S, max(MIN_PAUSE_S, deferral.pause_s * 2)
                )
            return False
        if now - deferral.ended_at < deferral.pause_s or now == deferral.ended_at:
            return False
        deferral.began_at = now
        deferral.peer_cores = peer_cores()
        deferral.ended_at = None
        return True

    def cancel(self, pool: str) -> None:
        """End a hold whose reason is gone."""
        self._deferral_by_pool.pop(pool, None)
