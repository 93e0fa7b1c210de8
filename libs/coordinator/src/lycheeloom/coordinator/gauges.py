"""Refreshes the gauges of the Prometheus metrics."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import gevent

from lycheeloom.jobs.model import JobState

from . import metrics
from .clock import steady_s
from .dispatcher import Dispatcher
from .replica import Replica
from .view import View

REFRESH_INTERVAL_S = 2.0


class Gauges:
    """Periodically sets the gauges from the state of the process.

    ``find_dispatcher`` returns the dispatcher while this instance leads, else None.
    ``policy_applied_s`` returns when the policy came into force, by the monotonic
    clock, and ``lines_dropped`` the number of log lines dropped so far.
    """

    def __init__(
        self,
        view: View,
        replica: Replica,
        find_dispatcher: Callable[[], Dispatcher | None],
        policy_applied_s: Callable[[], float | None],
        lines_dropped: Callable[[], int],
    ) -> None:
        self._view = view
        self._replica = replica
        self._find_dispatcher = find_dispatcher
        self._policy_applied_s = policy_applied_s
        self._lines_dropped = lines_dropped

    def run(self) -> None:
        """Refresh forever."""
        while True:
            self.refresh()
            gevent.sleep(REFRESH_INTERVAL_S)

    def refresh(self) -> None:
        """Set all gauges once."""
        now_s = steady_s()
        table = self._replica.table
        dispatcher = self._find_dispatcher()
        metrics.LEADING.set(dispatcher is not None)
        metrics.TOKEN.set(table.leader.token if table.leader else 0)
        metrics.POLICY_VERSION.set(self._view.policy.version)
        applied_s = self._policy_applied_s()
        if applied_s is not None:
            metrics.POLICY_AGE.set(now_s - applied_s)
        if self._replica.is_loaded:
            metrics.TABLE_AGE.set(now_s - self._replica.read_at_s)
        metrics.LINES_DROPPED.set(self._lines_dropped())
        count_by_state = Counter(
            entry.state for entry in table.entry_by_id.values() if entry.job
        )
        for state in JobState:
            metrics.JOBS.labels(state.value).set(count_by_state[state])
        # Only the leader knows the runs; other instances must not show outdated values.
        metrics.POOL_CAPACITY.clear()
        metrics.POOL_USED.clear()
        metrics.ORGANISATION_USED.clear()
        if dispatcher is not None:
            self._set_fleet_gauges(dispatcher)
        for name, organisation in self._view.policy.organisation_by_name.items():
            limit = organisation.upper_limit.cores
            metrics.ORGANISATION_LIMIT.labels(name).set(limit)

    def _set_fleet_gauges(self, dispatcher: Dispatcher) -> None:
        capacity: Counter[str] = Counter()
        used: Counter[str] = Counter()
        for state in dispatcher.fleet.state_by_id.values():
            capacity[state.worker.pool] += state.worker.capacity.cores
            used[state.worker.pool] += state.used.cores
        for pool, cores in capacity.items():
            metrics.POOL_CAPACITY.labels(pool).set(cores)
            metrics.POOL_USED.labels(pool).set(used[pool])
        # Jobs of a queue that is open to all have no organisation; they are shown as
        # "open".
        for name, resources in dispatcher.fleet.used_by_organisation.items():
            metrics.ORGANISATION_USED.labels(name or "open").set(resources.cores)
