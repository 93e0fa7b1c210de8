"""Workers that have recently restarted under their ids."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from lycheeloom.jobs.model import Worker

from .clock import steady_s, wall_ms

# Difference that is allowed between the times of day of two machines.
TIME_OF_DAY_TOLERANCE_MS = 5_000


@dataclass(frozen=True, slots=True)
class Restart:
    """The latest restart of a worker, and when the platform first listed it."""

    worker: Worker
    listed_s: float


class RecentRestarts:
    """Remembers when the platform first listed a worker with another start time.

    Every process follows the list, so that a new leader knows of restarts before it
    took over. A restart is remembered for at least ``kept_s`` seconds, and a worker
    that is no longer listed too, as it may come back under its id.

    A process that has just started cannot tell whether a worker that started shortly
    before it has restarted. Such a worker is taken for one that has.
    """

    def __init__(self, kept_s: float) -> None:
        self.kept_s = kept_s
        self._started_ms_by_id: dict[str, int] = {}
        self._restart_by_id: dict[str, Restart] = {}
        # Workers that were not listed when old entries were last removed.
        self._gone_ids: set[str] = set()
        self._cleaned_s = steady_s()
        # First lists may contain workers that restarted between these times.
        self._max_unseen_ms = wall_ms() + TIME_OF_DAY_TOLERANCE_MS
        self._min_unseen_ms = wall_ms() - kept_s * 1000 - TIME_OF_DAY_TOLERANCE_MS

    def note(self, worker: Worker, listed_ids: Collection[str]) -> None:
        """Note a worker on the platform's list, which contains ``listed_ids``."""
        known_ms = self._started_ms_by_id.get(worker.worker_id)
        self._started_ms_by_id[worker.worker_id] = worker.started_ms
        has_restarted = worker.started_ms != known_ms
        if known_ms is None:
            has_restarted = (
                self._min_unseen_ms <= worker.started_ms <= self._max_unseen_ms
            )
        if has_restarted:
            self._restart_by_id[worker.worker_id] = Restart(worker, steady_s())
        if steady_s() - self._cleaned_s > self.kept_s:
            self._remove_old(listed_ids)

    def has_restarted(self, worker_id: str) -> bool:
        """Return whether a restart was listed within the last ``kept_s`` seconds."""
        restart = self._restart_by_id.get(worker_id)
        return restart is not None and steady_s() - restart.listed_s <= self.kept_s

    def find_since(self, since_s: float) -> list[Restart]:
        """Return the restarts listed since a time of the monotonic clock."""
        return [r for r in self._restart_by_id.values() if r.listed_s >= since_s]

    def _remove_old(self, listed_ids: Collection[str]) -> None:
        """Forget old restarts, and workers that have been gone since the last call."""
        self._cleaned_s = steady_s()
        for worker_id, restart in list(self._restart_by_id.items()):
            if self._cleaned_s - restart.listed_s > self.kept_s:
                del self._restart_by_id[worker_id]
        gone_ids = self._started_ms_by_id.keys() - listed_ids
        for worker_id in gone_ids & self._gone_ids:
            del self._started_ms_by_id[worker_id]
        self._gone_ids = gone_ids - self._gone_ids
