"""Asks for running slots by demand and returns those that others need."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import gevent

from lycheeloom.log import LogTail, LogWriter, Pending, Priority
from lycheeloom.model.records import GrantRequested, GrantReturned
from lycheeloom.sched import Scheduler

STEP_INTERVAL_S = 0.1
# A request for slots is repeated this often while demand stays above the grant.
REQUEST_INTERVAL_S = 1.0


@dataclass(slots=True)
class _Returning:
    count: int
    pending: Pending


class GrantKeeper:
    """Keeps this entry's grants near its demand.

    Without demand an entry holds its equal part of each limit, so that work
    goes on in a log outage. While another entry has unmet demand, an entry keeps
    only its part of the limit by demand.
    """

    def __init__(
        self,
        tail: LogTail,
        writer: LogWriter,
        scheduler: Scheduler,
        incarnation: Callable[[], str],
        running: Callable[[str], int],
        peer_demand: Callable[[str], int],
        is_draining: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._tail = tail
        self._writer = writer
        self._scheduler = scheduler
        self._incarnation = incarnation
        self._running = running
        self._peer_demand = peer_demand
        self._is_draining = is_draining
        self._on_change = on_change
        self._returning_by_team: dict[str, _Returning] = {}
        self._requested_at: dict[str, float] = {}
        self._slots_by_team: Mapping[str, int] = {}

    def run(self) -> None:
        """Act every ``STEP_INTERVAL_S`` until stopped."""
        while True:
            self.step()
            gevent.sleep(STEP_INTERVAL_S)

    def usable(self, team: str) -> int:
        """Return how many tasks of a team may run here now.

        Slots that are being returned no longer count, since the return may take
        effect at any time.
        """
        state = self._tail.state
        own = self._incarnation()
        if not state.members.is_active(own):
            return 0
        returning = self._returning_by_team.get(team)
        usable = state.grants.of(team).usable(own)
        return max(0, usable - (returning.count if returning else 0))

    def refresh(self) -> None:
        """Tell the scheduler the slots that are usable now."""
        slots = {team: self.usable(team) for team in self._tail.state.config.team_by_id}
        if slots == self._slots_by_team:
            return
        self._slots_by_team = slots
        self._scheduler.set_grants(slots)
        self._on_change()

    def return_idle(self) -> list[Pending]:
        """Return every slot without a running task; used when leaving."""
        pendings = []
        for team in self._tail.state.config.team_by_id:
            idle = self._held(team) - self._running(team)
            if idle > 0 and team not in self._returning_by_team:
                pendings.append(self._give_back(team, idle))
        return pendings

    def step(self) -> None:
        """Settle returns, then ask for or return slots of each team."""
        self._settle_returns()
        own = self._incarnation()
        state = self._tail.state
        if state.members.is_active(own):
            demand_by_team = self._scheduler.demand_by_team()
            for team in state.config.team_by_id:
                self._balance(team, demand_by_team.get(team, 0))
        self.refresh()

    def _balance(self, team: str, demand: int) -> None:
        if team in self._returning_by_team:
            return
        grants = self._tail.state.grants.of(team)
        held = self._held(team)
        wanted = self._wanted(team, demand)
        others_wait = any(
            holder != self._incarnation() for holder in grants.unmet_by_holder
        )
        is_over = grants.total() > grants.limit
        if (others_wait or is_over) and held > wanted:
            idle = held - max(wanted, self._running(team))
            if idle > 0:
                self._give_back(team, idle)
            return
        if held < wanted and not is_over:
            self._ask(team, wanted - held)

    def _wanted(self, team: str, demand: int) -> int:
        """Return how many slots this entry should hold."""
        grants = self._tail.state.grants.of(team)
        if self._is_draining():
            return self._running(team)
        if grants.total() > grants.limit:
            return self._running(team)
        members = max(1, len(self._tail.state.members.active()))
        reserve = max(1, grants.limit // members)
        peers = self._peer_demand(team)
        if peers + demand <= grants.limit:
            return max(demand, min(reserve, grants.limit - peers))
        part = -(-grants.limit * demand // max(1, peers + demand))
        return min(demand, part) if demand else 0

    def _held(self, team: str) -> int:
        own = self._incarnation()
        return self._tail.state.grants.of(team).count_by_holder.get(own, 0)

    def _ask(self, team: str, count: int) -> None:
        now = time.monotonic()
        if now - self._requested_at.get(team, -REQUEST_INTERVAL_S) < REQUEST_INTERVAL_S:
            return
        self._requested_at[team] = now
        self._writer.append(GrantRequested(team, count), Priority.CONTROL)

    def _give_back(self, team: str, count: int) -> Pending:
        pending = self._writer.append(GrantReturned(team, count), Priority.CONTROL)
        self._returning_by_team[team] = _Returning(count, pending)
        self.refresh()
        return pending

    def _settle_returns(self) -> None:
        for team, returning in list(self._returning_by_team.items()):
            # Without an outcome the return may still take effect at any time.
            if returning.pending.outcome is not None:
                del self._returning_by_team[team]
