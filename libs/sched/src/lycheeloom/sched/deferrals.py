"""Leaves free capacity of a pool to other entries for a bounded time: a deferral."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# Length of a deferral. Peers learn of free capacity within a heartbeat and a session
# renewal.
DEFERRAL_S = 0.75
# Shortest pause after a deferral in which peers left the capacity unused.
MIN_PAUSE_S = 0.75
# The pause doubles up to this while peers go on leaving the capacity unused.
MAX_PAUSE_S = 30.0


@dataclass(slots=True)
class _Deferral:
    """The present or the last deferral in a pool."""

    began_at: float
    peer_cores_at_begin: float
    # Time after ``ended_at`` in which no new deferral begins.
    pause_s: float = 0.0
    # None during the deferral.
    ended_at: float | None = None


class PeerDeferrals:
    """Decides for each pool whether this entry now leaves free capacity to its peers.

    A deferral lasts ``DEFERRAL_S``. Then this entry uses what is still free, and
    defers again when asked later. If the pool still had room and peers used no more of
    it than before, the next deferral begins only after a pause, which doubles each
    time.
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
            if peer_cores() > deferral.peer_cores_at_begin or not has_room:
                deferral.pause_s = 0.0
            else:
                deferral.pause_s = min(
                    MAX_PAUSE_S, max(MIN_PAUSE_S, deferral.pause_s * 2)
                )
            return False
        # At ``ended_at`` itself, this entry uses what the deferral has left free.
        if now - deferral.ended_at < deferral.pause_s or now == deferral.ended_at:
            return False
        deferral.began_at = now
        deferral.peer_cores_at_begin = peer_cores()
        deferral.ended_at = None
        return True

    def cancel(self, pool: str) -> None:
        """Forget the deferral of a pool; no organisation waits for it only at peers."""
        self._deferral_by_pool.pop(pool, None)
