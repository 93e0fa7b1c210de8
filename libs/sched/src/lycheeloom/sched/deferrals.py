"""Leaves free capacity of a pool to other entries for a bounded time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# Peers learn of free capacity within a heartbeat and a session renewal.
DEFERRAL_S = 0.75
MIN_PAUSE_S = 0.75
# The pause between deferrals doubles up to this while peers leave the capacity unused.
MAX_PAUSE_S = 30.0


@dataclass(slots=True)
class _Deferral:
    began_at: float
    peer_cores: float
    pause_s: float = 0.0
    ended_at: float | None = None


class PeerDeferrals:
    """Per pool, whether this entry leaves free capacity to its peers now.

    A deferral lasts ``DEFERRAL_S``. Then this entry uses what is still free, and
    defers again when capacity is freed later. If peers used nothing, the next
    deferral begins only after a pause that doubles each time.
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
        """Begin or continue a deferral; return whether capacity stays free now.

        ``peer_cores()`` returns the cores of the pool that peers use now.
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
        """Forget the deferral of a pool; no organisation waits for it at peers only."""
        self._deferral_by_pool.pop(pool, None)
