"""How entries divide the running slots of an organisation."""

import math
import random
from types import SimpleNamespace

import pytest
from libs.log.tests.fake_log import Clock, FakeClient, FakeLog

from lycheeloom.entry.grant_manager import STEP_INTERVAL_S, GrantManager
from lycheeloom.log import Effective, LogTail, LogWriter, Priority
from lycheeloom.model.records import GrantRequested, GrantReturned, MemberJoined
from lycheeloom.state import FleetState
from lycheeloom.wire import decode_batch

ENTRIES = ("a", "b", "c", "d", "e")


class EntryGroup:
    """Grant managers of several entries that apply each record immediately."""

    def __init__(self, limit):
        self.state = FleetState()
        for name in ENTRIES:
            self.state.members.join(0, MemberJoined(name, name, "x:1", "north"))
        self.state.grants.set_limits({"red": limit})
        self.state.config.organisation_by_id["red"] = None
        self.demand_by_entry = dict.fromkeys(ENTRIES, 0)
        self.managers = [self._make(name) for name in ENTRIES]

    def _make(self, own):
        def append(record, priority):
            if isinstance(record, GrantRequested):
                self.state.grants.request(own, record.organisation, record.count)
            else:
                self.state.grants.give_back(own, record.organisation, record.count)
            return SimpleNamespace(outcome=Effective(0))

        def peer_demand(*organisation):
            total = sum(self.demand_by_entry.values()) - self.demand_by_entry[own]
            return total if organisation else {"red": total}

        return GrantManager(
            SimpleNamespace(state=self.state, last_read_sent_at=math.inf),
            SimpleNamespace(append=append),
            SimpleNamespace(
                demand_by_organisation=lambda: {"red": self.demand_by_entry[own]},
                set_grants=lambda slots: None,
            ),
            lambda: own,
            lambda organisation: 0,
            peer_demand,
            lambda: False,
            lambda: None,
        )

    def step(self):
        for manager in self.managers:
            manager._requested_at.clear()
            manager.step()


def test_entry_with_demand_gets_slots_that_idle_entries_hold():
    """Guards against requests that wait forever at one entry.

    An organisation had fewer slots than there are entries, and each idle entry with a
    slot kept it as its reserve.
    """
    group = EntryGroup(limit=3)
    for name in ENTRIES[:3]:
        group.state.grants.request(name, "red", 1)
    group.demand_by_entry["e"] = 2
    for _ in range(3):
        group.step()
    assert group.state.grants.of("red").usable("e") == 2


def test_entry_with_demand_does_not_wait_for_the_reclaim_of_lost_slots():
    """Guards against requests that wait 20 s for the slots of an expelled entry.

    Each idle entry kept a slot as its part of a limit that still included the slots
    of the expelled entry, so that none was left for the entry with demand.
    """
    group = EntryGroup(limit=5)
    group.state.grants.request("a", "red", 2)
    for name in "bcd":
        group.state.grants.request(name, "red", 1)
    group.state.members.member_by_incarnation["a"].expelled_at = 1
    del group.managers[0]
    group.demand_by_entry["e"] = 1
    for _ in range(3):
        group.step()
    assert group.state.grants.of("red").usable("e") == 1
    assert group.state.grants.of("red").usable("a") == 2


def test_idle_entries_hold_equal_parts():
    """Guards against idle entries without slots when a log outage begins."""
    group = EntryGroup(limit=10)
    group.step()
    assert {group.state.grants.of("red").usable(name) for name in ENTRIES} == {2}


class LoggedEntry:
    """One entry with a grant manager, over a log whose calls can fail."""

    def __init__(self, limit_by_organisation):
        self.clock, self.log = Clock(), FakeLog()
        self.client = FakeClient(self.log)
        rng = random.Random(1)
        self.tail = LogTail(self.client, FleetState(), clock=self.clock, rng=rng)
        self.writer = LogWriter(self.client, "a", self.tail, clock=self.clock, rng=rng)
        self.tail.state.grants.set_limits(limit_by_organisation)
        self.tail.state.config.organisation_by_id.update(
            dict.fromkeys(limit_by_organisation)
        )
        self.demand_by_organisation = {}
        self.running_by_organisation = {}
        self.peer_demand_by_organisation = {}
        self.is_draining = False
        self.fault = ""
        self.is_unreadable = False
        self.appended = []
        self._next_write_at = 0.0
        self.manager = GrantManager(
            self.tail,
            SimpleNamespace(append=self._append),
            SimpleNamespace(
                demand_by_organisation=lambda: self.demand_by_organisation,
                set_grants=lambda slots: None,
            ),
            lambda: "a",
            lambda organisation: self.running_by_organisation.get(organisation, 0),
            lambda: self.peer_demand_by_organisation,
            lambda: self.is_draining,
            lambda: None,
            clock=self.clock,
        )
        self.peer_writer = LogWriter(FakeClient(self.log), "b", self.tail, rng=rng)
        self.writer.append(MemberJoined("a", "a", "x:1", "north"))
        self.append_as_peer(MemberJoined("b", "b", "x:2", "north"))
        self.run(2.0)

    def append_as_peer(self, record):
        self.peer_writer.append(record, Priority.CONTROL)
        self.peer_writer.step()

    def _append(self, record, priority):
        self.appended.append(self.writer.append(record, priority))
        return self.appended[-1]

    def run(self, seconds, check=lambda: None):
        for _ in range(round(seconds / STEP_INTERVAL_S)):
            self.clock.now += STEP_INTERVAL_S
            self.client.append_faults.clear()
            self.client.append_faults.append(self.fault)
            self.client.read_faults.clear()
            self.client.read_faults.append("down" if self.is_unreadable else "")
            if self.clock.now >= self._next_write_at:
                self._next_write_at = self.clock.now + self.writer.step()
            self.tail.step()
            self.manager.step()
            check()

    def usable(self, organisation):
        return self.manager.usable(organisation)

    def unsettled(self, kind, organisation):
        return [
            pending
            for pending in self.appended
            if pending.outcome is None
            and isinstance(pending.record, kind)
            and pending.record.organisation == organisation
        ]

    def written(self, kind, first_offset):
        return [
            record
            for batch in self.log.archive[first_offset:]
            for record in decode_batch(batch).records
            if isinstance(record, kind)
        ]


@pytest.mark.parametrize("fault", ["down", "lost_request"])
@pytest.mark.parametrize("is_changing", [False, True])
def test_requests_do_not_pile_up_in_an_outage(fault, is_changing):
    """Guards against a request for slots each second while the log is down.

    For each organisation they filled the queue of control records and were all written
    after the outage.
    """
    entry = LoggedEntry({"red": 90, "blue": 90})
    before = len(entry.log.archive)
    entry.peer_demand_by_organisation = {"red": 1, "blue": 1}
    entry.fault = fault
    most = 0

    def check():
        nonlocal most
        unsettled = (
            entry.unsettled(GrantRequested, organisation)
            for organisation in ("red", "blue")
        )
        most = max(most, *map(len, unsettled))

    for second in range(1800):
        extra = second // 10 % 3 if is_changing else 0
        entry.demand_by_organisation = {"red": 89 - extra, "blue": 89}
        entry.run(1.0, check)
    entry.fault = ""
    entry.run(5.0)
    written = entry.written(GrantRequested, before)
    assert most == 1
    assert len(written) == 2
    assert entry.usable("blue") == 89
    # A request that may have reached the log is not replaced by a newer count.
    sent = 89 if fault == "lost_request" else entry.demand_by_organisation["red"]
    assert entry.usable("red") == sent


def test_unsent_request_is_withdrawn_when_the_demand_is_gone():
    """Guards against slots granted to an entry that is idle after an outage."""
    entry = LoggedEntry({"red": 90})
    entry.peer_demand_by_organisation = {"red": 1}
    entry.fault = "down"
    entry.demand_by_organisation = {"red": 80}
    entry.run(5.0)
    assert len(entry.unsettled(GrantRequested, "red")) == 1
    entry.demand_by_organisation = {}
    entry.run(5.0)
    assert not entry.unsettled(GrantRequested, "red")
    entry.fault = ""
    entry.run(5.0)
    assert entry.usable("red") == 45


def test_slots_stay_usable_in_an_outage():
    """Guards against slots that no entry may use until the log is back.

    An entry returned idle slots because of a peer's request that it had replayed
    before the outage; the return was not written, so neither could use the slots.
    """
    entry = LoggedEntry({"red": 90})
    entry.append_as_peer(GrantRequested("red", 90))
    entry.run(0.1)
    assert entry.usable("red") == 45
    entry.fault, entry.is_unreadable = "down", True
    entry.peer_demand_by_organisation = {"red": 90}
    entry.run(5.0)
    assert entry.usable("red") == 45
    assert not entry.unsettled(GrantReturned, "red")
    entry.fault, entry.is_unreadable = "", False
    entry.run(5.0)
    assert entry.usable("red") == 0
    assert entry.tail.state.grants.of("red").usable("b") == 90
    assert len(entry.written(GrantReturned, 0)) == 1


def test_draining_entry_keeps_what_its_queued_requests_need():
    """Guards against accepted requests that get no slot while an entry drains.

    The entry returned every slot without a running task, including those that its
    queued requests needed.
    """
    entry = LoggedEntry({"red": 90})
    entry.append_as_peer(GrantRequested("red", 90))
    entry.peer_demand_by_organisation = {"red": 90}
    entry.is_draining = True
    for running, queued in ((10, 20), (30, 0), (4, 1), (1, 0), (0, 0)):
        entry.running_by_organisation = {"red": running}
        entry.demand_by_organisation = {"red": running + queued}
        entry.run(1.0)
        assert entry.usable("red") == running + queued
        assert entry.tail.state.grants.of("red").usable("b") == 90 - running - queued


def test_draining_entry_requests_slots_for_its_queued_requests():
    """Guards against a shutdown that waits for requests without any slot."""
    entry = LoggedEntry({"red": 90})
    entry.is_draining = True
    entry.demand_by_organisation = {"red": 60}
    entry.run(3.0)
    assert entry.usable("red") == 60
