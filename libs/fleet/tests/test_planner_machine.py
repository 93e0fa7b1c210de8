"""Stateful test of the planner under random faults.

Guards against exceeded budgets, instances in no pool or in two, work lost to a
reboot, actions that take effect twice and moves that never end.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bench.fleet_simulation import Controller, SimulatedFleet, user_fleet
from lycheeloom.fleet import PlannerSettings
from lycheeloom.model.config import canonical_json
from lycheeloom.model.records import ConfigChanged, WaveCommand, WaveState

INSTANCES = sorted(user_fleet(16, 65536)["instances"])
POOLS = ("north", "south", "general")
SETTINGS = PlannerSettings(
    drain_limit_s=1200,
    settle_s=60,
    pool_change_cooldown_s=120,
    correlated_pause_s=60,
    abandoned_cooldown_s=60,
)


class PlannerMachine(RuleBasedStateMachine):
    """Runs a planner against a simulated fleet in which the rules inject faults."""

    def __init__(self):
        super().__init__()
        document = user_fleet(16, 65536, needed=5)
        document["pools"]["general"]["max_unavailable"] = 6
        document["pools"]["general"]["max_unavailable_per_rack"] = 2
        document["zones"]["z1"]["max_unavailable"] = 2
        self.world = SimulatedFleet(document, drain_s=200)
        self.controller_count = 0
        self.wave_count = 0
        self.delayed_records: list[tuple[str, tuple]] = []
        self.delayed_actions: list = []
        self.takeover()

    @rule()
    def takeover(self):
        """A new controller takes the duty over and starts without memory."""
        self.controller_count += 1
        author = f"controller-{self.controller_count}"
        self.controller = Controller(self.world, author, SETTINGS)

    @rule(ticks=st.integers(1, 20))
    def run(self, ticks):
        for _ in range(ticks):
            self.controller.tick()

    @rule(part=st.sampled_from(["records", "actions", "neither"]))
    def lose(self, part):
        """Lose a plan but for its records or its actions."""
        plan = self.controller.plan()
        if part == "records":
            self.world.append(self.controller.author, plan.records)
        if part == "actions":
            for action in plan.actions:
                self.world.execute(action)
        self.world.advance(10)

    @rule()
    def repeat(self):
        """Carry out a plan twice."""
        plan = self.controller.plan()
        self.world.apply_plan(self.controller.author, plan)
        self.world.apply_plan(self.controller.author, plan)
        self.world.advance(10)

    @rule()
    def hold(self):
        """Delay the records and actions of a plan until ``deliver`` runs."""
        plan = self.controller.plan()
        self.delayed_records.append((self.controller.author, plan.records))
        self.delayed_actions += plan.actions

    @rule()
    def deliver(self):
        """Carry out all delayed records and actions."""
        for author, records in self.delayed_records:
            self.world.append(author, records)
        self.delayed_records.clear()
        earlier_violations = len(self.world.budget_violations)
        for action in self.delayed_actions:
            self.world.execute(action)
        # A delayed request cannot be recalled, so it may exceed a budget.
        del self.world.budget_violations[earlier_violations:]
        self.delayed_actions.clear()

    @rule(names=st.sets(st.sampled_from(INSTANCES), max_size=3))
    def fail(self, names):
        self.world.fail(names)

    @rule(zone=st.sampled_from(["z0", "z1", "z2"]))
    def fail_rack(self, zone):
        instances = self.world.state.config.instance_by_id.values()
        self.world.fail(i.id for i in instances if (i.zone, i.rack) == (zone, "r0"))

    @rule()
    def mend(self):
        self.world.repair(INSTANCES)

    @rule(urgent=st.booleans(), reboot=st.booleans())
    def start_wave(self, urgent, reboot):
        self.wave_count += 1
        record = WaveCommand(
            f"w{self.wave_count}",
            WaveState.ABSENT,
            WaveState.RUNNING,
            (),
            urgent,
            reboot,
        )
        self.world.append("operator", [record])

    @rule(wanted=st.sampled_from([WaveState.PAUSED, WaveState.ABORTED]))
    def stop_wave(self, wanted):
        self._command(f"w{self.wave_count}", WaveState.RUNNING, wanted)

    @rule()
    def resume_wave(self):
        self._command(f"w{self.wave_count}", WaveState.PAUSED, WaveState.RUNNING)

    def _command(self, wave_id, expected, wanted):
        self.world.append("operator", [WaveCommand(wave_id, expected, wanted)])

    @rule(name=st.sampled_from(INSTANCES), pool=st.sampled_from(POOLS))
    def reassign(self, name, pool):
        self._configure({"instances": {name: {"pool": pool}}})

    @rule(zone=st.sampled_from(["z0", "z2"]), state=st.sampled_from(["in", "out"]))
    def set_zone(self, zone, state):
        self._configure({"zones": {zone: {"state": state}}})

    def _configure(self, patch):
        version = self.world.state.configuration.version
        change = ConfigChanged(version, canonical_json(patch), "operator")
        assert self.world.append("operator", [change]) == (True,)

    @invariant()
    def each_instance_is_in_one_pool(self):
        pools = self.world.state.maintenance.pool_by_instance
        assert sorted(pools) == INSTANCES
        assert set(pools.values()) <= set(self.world.state.config.pool_by_id)

    @invariant()
    def budgets_hold(self):
        assert self.world.budget_violations == []

    @invariant()
    def no_work_is_lost(self):
        assert self.world.lost_tasks == 0

    @invariant()
    def actions_take_effect_once(self):
        assert max(self.world.execution_counts.values(), default=0) <= 1

    def teardown(self):
        """Check that each started move ends once the platform and log are available."""
        self.deliver()
        for _ in range(600):
            self.world.repair(INSTANCES)
            self.controller.tick()
            for wave in list(self.world.state.maintenance.wave_by_id.values()):
                self._command(wave.wave_id, wave.state, WaveState.ABORTED)
            if not self.world.open_moves():
                break
        assert self.world.open_moves() == []
        stuck = [name for name, item in self.world.workers.items() if item.draining]
        assert stuck == []
        self.budgets_hold()
        self.no_work_is_lost()


TestPlannerMachine = PlannerMachine.TestCase
TestPlannerMachine.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
