"""Asks for running slots by demand and returns those that others need."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import gevent

from lycheeloom.log import LogTail, LogWriter, Pending, Priority
from lycheeloom.model.limits import FRESHNESS_S
from lycheeloom.model.records import GrantRequested, GrantReturned
from lycheeloom.model.ticks import seconds_until_tick
from lycheeloom.sched import Scheduler

STEP_INTERVAL_S = 0.1
# A request for slots is repeated this often while demand stays above the grant.
REQUEST_INTERVAL_S = 1.0
# Organisations without demand or a change are looked at this often. Looking at 210
# organisations in
# each step took 0.6% of a core.
SWEEP_INTERVAL_S = 1.0


@dataclass(slots=True)
class _Returning:
    count: int
    pending: Pending


@dataclass(frozen=True, slots=True)
class _Demand:
    """What is the same for all organisations in one step."""

    own: str
    members: frozenset[str]
    by_organisation: Mapping[str, int]
    peers_by_organisation: Mapping[str, int]

    def organisations(self) -> set[str]:
        """Return the organisations with demand anywhere."""
        return self.by_organisation.keys() | self.peers_by_organisation.keys()


class GrantKeeper:
    """Keeps this entry's grants near its demand.

    Without demand an entry holds its equal part of each limit, so that work
    goes on in a log outage. While another entry has unmet demand, an entry keeps
    only its part of the limit by demand. A draining entry keeps no reserve, and what
    its queued and running tasks need until they have ended.
    """

    def __init__(
        self,
        tail: LogTail,
        writer: LogWriter,
        scheduler: Scheduler,
        incarnation: Callable[[], str],
        running: Callable[[str], int],
        peer_demand: Callable[[], Mapping[str, int]],
        is_draining: Callable[[], bool],
        on_change: Callable[[], None],
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._tail = tail
        self._writer = writer
        self._scheduler = scheduler
        self._incarnation = incarnation
        self._running = running
        self._peer_demand = peer_demand
        self._is_draining = is_draining
        self._on_change = on_change
        self._clock = clock
        self._returning_by_organisation: dict[str, _Returning] = {}
        self._requested_at: dict[str, float] = {}
        self._request_by_organisation: dict[str, Pending] = {}
        self._slots_by_organisation: Mapping[str, int] = {}
        self._sweep_at = -math.inf

    def run(self) -> None:
        """Act every ``STEP_INTERVAL_S`` until stopped."""
        while True:
            self.step()
            gevent.sleep(seconds_until_tick(STEP_INTERVAL_S))

    def usable(self, organisation: str) -> int:
        """Return how many tasks of an organisation may run here now.

        Slots that are being returned no longer count, since the return may take
        effect at any time.
        """
        own = self._incarnation()
        if not self._tail.state.members.is_active(own):
            return 0
        return self._usable(own, organisation)

    def note_change(self) -> None:
        """Look at every organisation in the next step, as grants or members changed."""
        self._sweep_at = -math.inf
        self.refresh()

    def refresh(self) -> None:
        """Tell the scheduler the slots that are usable now."""
        own = self._incarnation()
        state = self._tail.state
        if state.members.is_active(own):
            slots = {
                organisation: self._usable(own, organisation)
                for organisation in state.config.organisation_by_id
            }
        else:
            slots = dict.fromkeys(state.config.organisation_by_id, 0)
        if slots == self._slots_by_organisation:
            return
        self._slots_by_organisation = slots
        self._scheduler.set_grants(slots)
        self._on_change()

    def return_idle(self) -> list[Pending]:
        """Return every slot without a running task; used when leaving."""
        pendings = []
        for organisation in self._tail.state.config.organisation_by_id:
            idle = self._held(organisation) - self._running(organisation)
            if idle > 0 and organisation not in self._returning_by_organisation:
                pendings.append(self._give_back(organisation, idle))
        return pendings

    def step(self) -> None:
        """Settle returns, then ask for or return slots of each organisation."""
        self._settle_returns()
        own = self._incarnation()
        state = self._tail.state
        is_sweep = self._clock() >= self._sweep_at
        if state.members.is_active(own):
            demand = _Demand(
                own,
                frozenset(m.incarnation for m in state.members.active()),
                self._scheduler.demand_by_organisation(),
                self._peer_demand(),
            )
            for organisation in (
                list(state.config.organisation_by_id)
                if is_sweep
                else demand.organisations()
            ):
                if organisation in state.config.organisation_by_id:
                    self._balance(organisation, demand)
        if is_sweep:
            self._sweep_at = self._clock() + SWEEP_INTERVAL_S
            self.refresh()

    def _usable(self, own: str, organisation: str) -> int:
        returning = self._returning_by_organisation.get(organisation)
        usable = self._tail.state.grants.of(organisation).usable(own)
        return max(0, usable - (returning.count if returning else 0))

    def _balance(self, organisation: str, demand: _Demand) -> None:
        if organisation in self._returning_by_organisation:
            return
        grants = self._tail.state.grants.of(organisation)
        held = grants.count_by_holder.get(demand.own, 0)
        is_over = grants.total() > grants.limit
        # Slots of expelled members serve nobody until they are reclaimed. If they
        # counted, idle entries would keep parts that are no longer there.
        unusable = sum(
            count
            for holder, count in grants.count_by_holder.items()
            if holder not in demand.members
        )
        wanted = self._wanted(organisation, grants.limit - unusable, is_over, demand)
        others_wait = any(holder != demand.own for holder in grants.unmet_by_holder)
        if (others_wait or is_over) and held > wanted:
            self._withdraw_request(organisation)
            # Slots returned in a log outage would serve nobody until its end.
            if not self._is_log_readable():
                return
            idle = held - max(wanted, self._running(organisation))
            if idle > 0:
                self._give_back(organisation, idle)
            return
        if held < wanted and not is_over:
            self._ask(organisation, wanted - held)
            return
        self._withdraw_request(organisation)

    def _wanted(
        self, organisation: str, limit: int, is_over: bool, demand: _Demand
    ) -> int:
        """Return how many slots this entry should hold."""
        running = self._running(organisation)
        if is_over:
            return running
        own = demand.by_organisation.get(organisation, 0)
        if self._is_draining():
            # No new work comes, so the slots become free as what is queued ends.
            # With less than its demand the entry might not end it in time.
            return max(running, min(own, limit))
        # Nothing for a limit below the number of entries: idle entries that kept
        # a slot each would leave none to an entry with demand.
        reserve = limit // len(demand.members)
        peers = demand.peers_by_organisation.get(organisation, 0)
        if peers + own <= limit:
            return max(own, min(reserve, limit - peers))
        part = -(-limit * own // max(1, peers + own))
        return min(own, part) if own else 0

    def _held(self, organisation: str) -> int:
        own = self._incarnation()
        return self._tail.state.grants.of(organisation).count_by_holder.get(own, 0)

    def _ask(self, organisation: str, count: int) -> None:
        """Request slots, with at most one unsettled request for each organisation.

        In a log outage of 30 minutes a request each second would leave 1,800
        records of each organisation for the log to take afterwards.
        """
        now = self._clock()
        if now - self._requested_at.get(organisation, -math.inf) < REQUEST_INTERVAL_S:
            return
        request = self._request_by_organisation.get(organisation)
        if request is not None and request.outcome is None:
            is_same = request.record == GrantRequested(organisation, count)
            if is_same or not request.withdraw("the wanted count changed"):
                return
        self._requested_at[organisation] = now
        self._request_by_organisation[organisation] = self._writer.append(
            GrantRequested(organisation, count), Priority.CONTROL
        )

    def _withdraw_request(self, organisation: str) -> None:
        """Give up a request that was not sent, as no more slots are wanted."""
        request = self._request_by_organisation.get(organisation)
        if request is not None and request.outcome is None:
            request.withdraw("no more slots are wanted")

    def _give_back(self, organisation: str, count: int) -> Pending:
        pending = self._writer.append(
            GrantReturned(organisation, count), Priority.CONTROL
        )
        self._returning_by_organisation[organisation] = _Returning(count, pending)
        self.refresh()
        return pending

    def _is_log_readable(self) -> bool:
        return self._clock() - self._tail.last_read_sent_at <= FRESHNESS_S

    def _settle_returns(self) -> None:
        is_outage = not self._is_log_readable()
        for organisation, returning in list(self._returning_by_organisation.items()):
            if is_outage and returning.pending.outcome is None:
                returning.pending.withdraw("the log is down")
            # Without an outcome the return may still take effect at any time.
            if returning.pending.outcome is not None:
                del self._returning_by_organisation[organisation]
                self._sweep_at = -math.inf
