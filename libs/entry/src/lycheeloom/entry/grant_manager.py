"""Requests running slots by demand and returns those that other entries need."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import gevent

from lycheeloom.log import LogTail, LogWriter, PendingRecord, Priority
from lycheeloom.model.limits import FRESHNESS_S
from lycheeloom.model.records import GrantRequested, GrantReturned
from lycheeloom.model.ticks import seconds_until_tick
from lycheeloom.sched import Scheduler

STEP_INTERVAL_S = 0.1
# A request for slots is repeated this often while demand stays above the grant.
REQUEST_INTERVAL_S = 1.0
# A step covers the organisations with demand; this often it covers all of them.
# Covering 210 organisations in each step took 0.6% of a core.
FULL_STEP_INTERVAL_S = 1.0


@dataclass(slots=True)
class _PendingReturn:
    count: int
    pending: PendingRecord


@dataclass(frozen=True, slots=True)
class _Demand:
    """This entry, the active members and the demand, read once for each step."""

    own: str
    members: frozenset[str]
    by_organisation: Mapping[str, int]
    peers_by_organisation: Mapping[str, int]

    def organisations(self) -> set[str]:
        """Return the organisations with demand at this entry or a peer."""
        return self.by_organisation.keys() | self.peers_by_organisation.keys()


class GrantManager:
    """Keeps this entry's grants near its demand.

    Without demand an entry holds an equal part of each limit, so that it can start
    tasks in a log outage. While another entry has unmet demand, an entry keeps only
    the part of the limit that is proportional to its demand. A draining entry keeps
    no reserve, only what its queued and running tasks need until they have ended.
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
        self._return_by_organisation: dict[str, _PendingReturn] = {}
        self._requested_at: dict[str, float] = {}
        self._request_by_organisation: dict[str, PendingRecord] = {}
        self._slots_by_organisation: Mapping[str, int] = {}
        self._next_full_step_at = -math.inf

    def run(self) -> None:
        """Run a step every ``STEP_INTERVAL_S`` until stopped."""
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

    def schedule_full_step(self) -> None:
        """Cover all organisations in the next step, as grants or members changed."""
        self._next_full_step_at = -math.inf
        self.update_scheduler()

    def update_scheduler(self) -> None:
        """Pass the number of usable slots to the scheduler if it changed."""
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

    def return_idle_slots(self) -> list[PendingRecord]:
        """Return every slot without a running task; used when leaving."""
        pendings = []
        for organisation in self._tail.state.config.organisation_by_id:
            idle = self._held_slots(organisation) - self._running(organisation)
            if idle > 0 and organisation not in self._return_by_organisation:
                pendings.append(self._return_slots(organisation, idle))
        return pendings

    def step(self) -> None:
        """Drop finished returns, then request or return slots of each organisation."""
        self._settle_returns()
        own = self._incarnation()
        state = self._tail.state
        is_full_step = self._clock() >= self._next_full_step_at
        if state.members.is_active(own):
            demand = _Demand(
                own,
                frozenset(m.incarnation for m in state.members.active()),
                self._scheduler.demand_by_organisation(),
                self._peer_demand(),
            )
            for organisation in (
                list(state.config.organisation_by_id)
                if is_full_step
                else demand.organisations()
            ):
                if organisation in state.config.organisation_by_id:
                    self._balance(organisation, demand)
        if is_full_step:
            self._next_full_step_at = self._clock() + FULL_STEP_INTERVAL_S
            self.update_scheduler()

    def _usable(self, own: str, organisation: str) -> int:
        returning = self._return_by_organisation.get(organisation)
        usable = self._tail.state.grants.of(organisation).usable(own)
        return max(0, usable - (returning.count if returning else 0))

    def _balance(self, organisation: str, demand: _Demand) -> None:
        if organisation in self._return_by_organisation:
            return
        grants = self._tail.state.grants.of(organisation)
        held = grants.count_by_holder.get(demand.own, 0)
        is_over_limit = grants.total() > grants.limit
        # No entry can use the slots of expelled members until they are reclaimed. With
        # these counted, the reserves of idle entries would exceed what is left.
        unusable = sum(
            count
            for holder, count in grants.count_by_holder.items()
            if holder not in demand.members
        )
        wanted = self._wanted_slots(
            organisation, grants.limit - unusable, is_over_limit, demand
        )
        others_wait = any(holder != demand.own for holder in grants.unmet_by_holder)
        if (others_wait or is_over_limit) and held > wanted:
            self._withdraw_request(organisation)
            # No entry could use slots returned in a log outage until its end.
            if not self._is_log_readable():
                return
            idle = held - max(wanted, self._running(organisation))
            if idle > 0:
                self._return_slots(organisation, idle)
            return
        if held < wanted and not is_over_limit:
            self._request_slots(organisation, wanted - held)
            return
        self._withdraw_request(organisation)

    def _wanted_slots(
        self, organisation: str, limit: int, is_over_limit: bool, demand: _Demand
    ) -> int:
        """Return how many slots this entry should hold."""
        running = self._running(organisation)
        if is_over_limit:
            return running
        own = demand.by_organisation.get(organisation, 0)
        if self._is_draining():
            # Without new requests, slots become free as the queued ones end. With fewer
            # slots than its demand the entry might not end them in time.
            return max(running, min(own, limit))
        # Zero for a limit below the number of entries: idle entries that kept a slot
        # each would leave none to an entry with demand.
        reserve = limit // len(demand.members)
        peers = demand.peers_by_organisation.get(organisation, 0)
        if peers + own <= limit:
            return max(own, min(reserve, limit - peers))
        part = -(-limit * own // max(1, peers + own))
        return min(own, part) if own else 0

    def _held_slots(self, organisation: str) -> int:
        own = self._incarnation()
        return self._tail.state.grants.of(organisation).count_by_holder.get(own, 0)

    def _request_slots(self, organisation: str, count: int) -> None:
        """Request slots, with at most one request in flight for each organisation.

        Otherwise a log outage of 30 minutes with a request each second would leave
        1,800 records of each organisation to be written after it.
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
        """Withdraw an unsent request, as no more slots are wanted."""
        request = self._request_by_organisation.get(organisation)
        if request is not None and request.outcome is None:
            request.withdraw("no more slots are wanted")

    def _return_slots(self, organisation: str, count: int) -> PendingRecord:
        pending = self._writer.append(
            GrantReturned(organisation, count), Priority.CONTROL
        )
        self._return_by_organisation[organisation] = _PendingReturn(count, pending)
        self.update_scheduler()
        return pending

    def _is_log_readable(self) -> bool:
        return self._clock() - self._tail.last_read_sent_at <= FRESHNESS_S

    def _settle_returns(self) -> None:
        is_outage = not self._is_log_readable()
        for organisation, returning in list(self._return_by_organisation.items()):
            if is_outage and returning.pending.outcome is None:
                returning.pending.withdraw("the log is down")
            # A return without an outcome may still take effect at any time.
            if returning.pending.outcome is not None:
                del self._return_by_organisation[organisation]
                self._next_full_step_at = -math.inf
