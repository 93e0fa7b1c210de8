"""Detects that all workers of a rack were lost together, as one event."""

from __future__ import annotations

from .events import RackLost
from .state import SchedulerState
from .workers import Worker

# A rack is lost if all its workers become unavailable within this time.
RACK_LOSS_WINDOW_S = 10.0


class RackOutages:
    """Tracks unavailable workers by rack."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._down_at_by_rack: dict[str, dict[str, float]] = {}
        self._lost_racks: set[str] = set()

    def observe(self, worker: Worker, available: bool, now: float) -> RackLost | None:
        """Update one worker; return an event when its whole rack is lost."""
        down = self._down_at_by_rack.setdefault(worker.rack, {})
        if available:
            down.pop(worker.id, None)
            self._lost_racks.discard(worker.rack)
            return None
        down.setdefault(worker.id, now)
        if worker.rack in self._lost_racks:
            return None
        members = [
            other.id
            for other in self._state.workers.worker_by_id.values()
            if other.rack == worker.rack
        ]
        if len(members) < 2 or any(member not in down for member in members):
            return None
        if now - min(down[member] for member in members) > RACK_LOSS_WINDOW_S:
            return None
        self._lost_racks.add(worker.rack)
        return RackLost(now, worker.rack, tuple(sorted(members)))

    def rack_is_lost(self, rack: str) -> bool:
        """Return whether the rack was lost and none of its workers is back."""
        return rack in self._lost_racks
