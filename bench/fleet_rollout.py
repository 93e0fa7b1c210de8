"""Time of a full maintenance wave against its bound, on virtual time."""

from __future__ import annotations

import random
import time
from collections import defaultdict

from lycheeloom.entry.wave_progress import MoveTimes, WaveProgress
from lycheeloom.fleet import ActionKind, PlannerSettings, PlatformAction
from lycheeloom.model.records import WaveCommand, WaveState

from .fleet_simulation import Controller, SimulatedFleet, large_fleet, user_fleet

DRAIN_S = 60.0
REBOOT_S = 300.0
CALM_GOAL = 1.25
FAILING_GOAL = 1.5
# Drains last between half and one and a half times their mean.
DRAIN_SPREAD = 0.5
STEP_S = {"user A": 1.0, "user B": 1.0, "5,100 workers": 2.0}
# Racks fail at these fractions of the bound and come back after this time.
FAILURES_AT = {
    "user A": (0.4,),
    "user B": (0.4,),
    "5,100 workers": (0.2, 0.4, 0.6),
}
RACK_DOWN_S = {"user A": 600.0, "user B": 600.0, "5,100 workers": 1800.0}


def measure(seed: int) -> dict:
    """Roll a wave out over three fleets, calm and with racks failing."""
    documents = {
        "user A": user_fleet(64, 262144),
        "user B": user_fleet(16, 65536),
        "5,100 workers": large_fleet(seed),
    }
    rows = [
        _run(name, document, failing, seed)
        for name, document in documents.items()
        for failing in (False, True)
    ]
    return {"command": "rollout", "seed": seed, "rows": rows}


def _run(name: str, document: dict, failing: bool, seed: int) -> dict:
    begun = time.monotonic()
    planned = _Rollout(name, document, failing, seed)
    duration_s = planned.run_planner()
    naive = _Rollout(name, document, failing, seed)
    naive_s = naive.run_batches()
    goal = FAILING_GOAL if failing else CALM_GOAL
    return {
        "fleet": f"{name}, {'racks failing' if failing else 'calm'}",
        "instances": len(planned.world.workers),
        "bound s": round(planned.bound_s),
        "roll-out s": round(duration_s),
        "ratio": round(duration_s / planned.bound_s, 3),
        "goal": goal,
        "over budget": len(planned.world.budget_violations),
        "work lost": planned.world.lost_tasks,
        "forecast s": round(planned.first_forecast_s),
        **planned.forecasts_at_half(duration_s),
        "batches ratio": round(naive_s / planned.bound_s, 3),
        "batches over budget": len(naive.world.budget_violations),
        "racks failed": planned.racks_failed,
        "run s": round(time.monotonic() - begun, 1),
    }


class _Rollout:
    """One wave over a fleet, with the same drains and failures for each way."""

    def __init__(self, name: str, document: dict, failing: bool, seed: int):
        rng = random.Random(seed)
        self.world = SimulatedFleet(document, DRAIN_S, REBOOT_S)
        self.step_s = STEP_S[name]
        for instance in self.world.workers:
            spread = rng.uniform(1 - DRAIN_SPREAD, 1 + DRAIN_SPREAD)
            self.world.drain_by_instance[instance] = DRAIN_S * spread
        self.bound_s = self._bound_s()
        self.first_forecast_s = 0.0
        # What an entry's status document says: time, done, seconds to the end.
        self.forecasts: list[tuple[float, int, float]] = []
        self.racks_failed = 0
        self._events = self._failures(name, rng) if failing else []

    def _bound_s(self) -> float:
        """Instances divided by budget, for the pool where that is the most."""
        sizes: dict[str, int] = defaultdict(int)
        for instance in self.world.state.config.instance_by_id.values():
            sizes[instance.pool] += 1
        pools = self.world.state.config.pool_by_id
        rounds = max(sizes[name] / pools[name].max_unavailable for name in sizes)
        return rounds * (DRAIN_S + REBOOT_S)

    def _failures(self, name: str, rng: random.Random) -> list[tuple[float, str, list]]:
        racks: dict[tuple[str, str], list[str]] = defaultdict(list)
        for instance in self.world.state.config.instance_by_id.values():
            racks[instance.zone, instance.rack].append(instance.id)
        events = []
        for fraction in FAILURES_AT[name]:
            members = racks[rng.choice(sorted(racks))]
            at = fraction * self.bound_s
            events.append((at, "fail", members))
            events.append((at + RACK_DOWN_S[name], "mend", members))
        return sorted(events)

    def _fire_events(self) -> None:
        while self._events and self._events[0][0] <= self.world.now_s:
            _, what, members = self._events.pop(0)
            if what == "fail":
                self.racks_failed += 1
                self.world.fail(members)
            else:
                self.world.repair(members)

    def run_planner(self) -> float:
        world = self.world
        settings = PlannerSettings(expected_move_s=DRAIN_S + REBOOT_S)
        controller = Controller(world, "controller", settings)
        wave = WaveCommand("wave", WaveState.ABSENT, WaveState.RUNNING)
        world.append("operator", [wave])
        forecast = controller.planner.forecast(controller.view(), "wave", 0.0)
        self.first_forecast_s = forecast.end_s
        progress = self._progress_at_an_entry()
        waves = world.state.maintenance.wave_by_id
        while waves["wave"].state is WaveState.RUNNING:
            self._fire_events()
            controller.tick(self.step_s)
            status = progress.statuses()["wave"]
            if status.state is WaveState.RUNNING:
                seen = world.now_s, status.done, status.ends_in_s or 0.0
                self.forecasts.append(seen)
        return world.now_s

    def _progress_at_an_entry(self) -> WaveProgress:
        """Return the wave's progress as an entry tells it, on the world's time."""
        world = self.world
        times = MoveTimes(lambda: 0.0, lambda: world.now_s)
        world.listeners.append(times.on_replayed)
        return WaveProgress(
            lambda: world.state,
            lambda name: not world.workers[name].draining and world.workers[name].alive,
            times,
            lambda: world.now_s,
        )

    def forecasts_at_half(self, duration_s: float) -> dict:
        """Compare forecasts with the time that was left.

        Once where half of the instances are done, and at worst over the tenth of
        the time around its half, as rounds end all at once in a small fleet.
        """
        half = len(self.world.workers) / 2
        at_s, _, forecast_s = next(seen for seen in self.forecasts if seen[1] >= half)
        errors = [
            abs(foretold_s / (duration_s - now_s) - 1)
            for now_s, _, foretold_s in self.forecasts
            if 0.45 <= now_s / duration_s <= 0.55
        ]
        return {
            "left at half s": round(duration_s - at_s),
            "forecast at half s": round(forecast_s),
            "worst error near half": round(max(errors), 3),
        }

    def run_batches(self) -> float:
        """Naive baseline: each pool in batches by name, up to its budget.

        A batch begins when the last one has ended, whatever else has failed.
        """
        world = self.world
        config = world.state.config
        queues: dict[str, list[str]] = defaultdict(list)
        for name in sorted(config.instance_by_id, reverse=True):
            queues[config.instance_by_id[name].pool].append(name)
        batches: dict[str, list[str]] = {pool: [] for pool in queues}
        while any(queues.values()) or any(batches.values()):
            self._fire_events()
            for pool, batch in batches.items():
                batch[:] = [name for name in batch if not self._advance(name)]
                if not batch:
                    budget = config.pool_by_id[pool].max_unavailable
                    batch += [queues[pool].pop() for _ in range(budget) if queues[pool]]
            world.advance(self.step_s)
        return world.now_s

    def _advance(self, name: str) -> bool:
        """Advance one instance of a batch; return True when it is done."""
        world, worker = self.world, self.world.workers[name]
        if f"{name}.reboot" in world.status_by_action:
            if not worker.alive:
                return False
            world.execute(PlatformAction(name, ActionKind.UNDRAIN, f"{name}.undrain"))
            return True
        if not worker.draining:
            world.execute(PlatformAction(name, ActionKind.DRAIN, f"{name}.drain"))
        elif worker.running == 0:
            world.execute(PlatformAction(name, ActionKind.REBOOT, f"{name}.reboot"))
        return False
