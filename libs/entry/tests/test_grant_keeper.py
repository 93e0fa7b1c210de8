"""How entries share the running slots of a team."""

from types import SimpleNamespace

from lycheeloom.entry.grant_keeper import GrantKeeper
from lycheeloom.log import Effective
from lycheeloom.model.records import GrantRequested, MemberJoined
from lycheeloom.state import FleetState

ENTRIES = ("a", "b", "c", "d", "e")


class World:
    """Keepers of several entries that replay each record at once."""

    def __init__(self, limit):
        self.state = FleetState()
        for name in ENTRIES:
            self.state.members.join(0, MemberJoined(name, name, "x:1", "north"))
        self.state.grants.set_limits({"red": limit})
        self.state.config.team_by_id["red"] = None
        self.demand_by_entry = dict.fromkeys(ENTRIES, 0)
        self.keepers = [self._make(name) for name in ENTRIES]

    def _make(self, own):
        def append(record, priority):
            if isinstance(record, GrantRequested):
                self.state.grants.request(own, record.team, record.count)
            else:
                self.state.grants.give_back(own, record.team, record.count)
            return SimpleNamespace(outcome=Effective(0))

        def peer_demand(*team):
            total = sum(self.demand_by_entry.values()) - self.demand_by_entry[own]
            return total if team else {"red": total}

        return GrantKeeper(
            SimpleNamespace(state=self.state),
            SimpleNamespace(append=append),
            SimpleNamespace(
                demand_by_team=lambda: {"red": self.demand_by_entry[own]},
                set_grants=lambda slots: None,
            ),
            lambda: own,
            lambda team: 0,
            peer_demand,
            lambda: False,
            lambda: None,
        )

    def step(self):
        for keeper in self.keepers:
            keeper._requested_at.clear()
            keeper.step()


def test_entry_with_demand_gets_slots_that_idle_entries_hold():
    """Guards against requests that wait for good at one entry.

    A team had fewer slots than there are entries, and each idle entry that held
    one kept it as its reserve.
    """
    world = World(limit=3)
    for name in ENTRIES[:3]:
        world.state.grants.request(name, "red", 1)
    world.demand_by_entry["e"] = 2
    for _ in range(3):
        world.step()
    assert world.state.grants.of("red").usable("e") == 2


def test_idle_entries_hold_equal_parts():
    """Guards against entries without slots when the log goes down."""
    world = World(limit=10)
    world.step()
    assert {world.state.grants.of("red").usable(name) for name in ENTRIES} == {2}
