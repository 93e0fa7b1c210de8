"""Reports the joint loss of all workers of a rack as one event."""

from __future__ import annotations

from .events import RackLost
from .state import SchedulerState
from .workers import Worker

# A rack is lost if all its workers become unavailable within this time.
RACK_LOSS_WINDOW_S = 10.0


class RackOutages:
    """Tracks the unavailable workers of each rack.

    A rack counts as lost until one of its workers is available again.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        # When each unavailable worker was lost, by rack and worker.
        self._down_at_by_rack: dict[str, dict[str, float]] = {}
        self._lost_racks: set[str] = set()

    def observe(self, worker: Worker, available: bool, now: float) -> RackLost | None:
        """Apply a worker's state; return an event if its whole rack is now lost."""
        down_at = self._down_at_by_rack.setdefault(worker.rack, {})
        if available:
            down_at.pop(worker.id, None)
            self._lost_racks.discard(worker.rack)
            return None
        down_at.setdefault(worker.id, now)
        if worker.rack in self._lost_racks:
            return None
        rack_workers = [
            other.id
            for other in self._state.workers.worker_by_id.values()
            if other.rack == worker.rack
        ]
        if len(rack_workers) < 2 or any(w not in down_at for w in rack_workers):
            return None
        if now - min(down_at[w] for w in rack_workers) > RACK_LOSS_WINDOW_S:
            return None
        self._lost_racks.add(worker.rack)
        return RackLost(now, worker.rack, tuple(sorted(rack_workers)))

    def rack_is_lost(self, rack: str) -> bool:
        """Return whether the rack was lost and none of its workers is back.

        If so, failed tasks say nothing about a single worker of the rack.
        """
        return rack in self._lost_racks
