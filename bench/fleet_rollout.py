"""Duration of a full maintenance wave compared with its bound, on virtual time."""

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
# Drains last between 0.5 and 1.5 times their mean.
DRAIN_SPREAD = 0.5
STEP_S = {"user A": 1.0, "user B": 1.0, "5,100 workers": 2.0}
# Fractions of the bound at which a rack fails.
FAILURES_AT = {
    "user A": (0.4,),
    "user B": (0.4,),
    "5,100 workers": (0.2, 0.4, 0.6),
}
# How long a failed rack stays down.
RACK_DOWN_S = {"user A": 600.0, "user B": 600.0, "5,100 workers": 1800.0}


def measure(seed: int) -> dict:
    """Run a wave over three fleets, without failures and with failing racks."""
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
    started_at = time.monotonic()
    planned_rollout = _Rollout(name, document, failing, seed)
    duration_s = planned_rollout.run_planner()
    naive_rollout = _Rollout(name, document, failing, seed)
    naive_s = naive_rollout.run_naive_batches()
    goal = FAILING_GOAL if failing else CALM_GOAL
    return {
        "fleet": f"{name}, {'racks failing' if failing else 'calm'}",
        "instances": len(planned_rollout.fleet.workers),
        "bound s": round(planned_rollout.bound_s),
        "roll-out s": round(duration_s),
        "ratio": round(duration_s / planned_rollout.bound_s, 3),
        "goal": goal,
        "over budget": len(planned_rollout.fleet.budget_violations),
        "work lost": planned_rollout.fleet.lost_tasks,
        "forecast s": round(planned_rollout.first_forecast_s),
        **planned_rollout.forecasts_at_half(duration_s),
        "batches ratio": round(naive_s / planned_rollout.bound_s, 3),
        "batches over budget": len(naive_rollout.fleet.budget_violations),
        "racks failed": planned_rollout.racks_failed,
        "run s": round(time.monotonic() - started_at, 1),
    }


class _Rollout:
    """One wave over a fleet.

    With one seed, the planner and the baseline get the same drains and failures.
    """

    def __init__(self, name: str, document: dict, failing: bool, seed: int):
        rng = random.Random(seed)
        self.fleet = SimulatedFleet(document, DRAIN_S, REBOOT_S)
        self.step_s = STEP_S[name]
        for instance in self.fleet.workers:
            spread = rng.uniform(1 - DRAIN_SPREAD, 1 + DRAIN_SPREAD)
            self.fleet.drain_s_by_instance[instance] = DRAIN_S * spread
        self.bound_s = self._bound_s()
        self.first_forecast_s = 0.0
        # Time, instances done and forecast seconds left, from an entry's status.
        self.forecasts: list[tuple[float, int, float]] = []
        self.racks_failed = 0
        self._events = self._rack_failures(name, rng) if failing else []

    def _bound_s(self) -> float:
        """Return the time of the pool with the most rounds.

        The rounds of a pool are its instances divided by its budget.
        """
        sizes: dict[str, int] = defaultdict(int)
        for instance in self.fleet.state.config.instance_by_id.values():
            sizes[instance.pool] += 1
        pools = self.fleet.state.config.pool_by_id
        rounds = max(sizes[name] / pools[name].max_unavailable for name in sizes)
        return rounds * (DRAIN_S + REBOOT_S)

    def _rack_failures(
        self, name: str, rng: random.Random
    ) -> list[tuple[float, str, list]]:
        racks: dict[tuple[str, str], list[str]] = defaultdict(list)
        for instance in self.fleet.state.config.instance_by_id.values():
            racks[instance.zone, instance.rack].append(instance.id)
        events = []
        for fraction in FAILURES_AT[name]:
            members = racks[rng.choice(sorted(racks))]
            at = fraction * self.bound_s
            events.append((at, "fail", members))
            events.append((at + RACK_DOWN_S[name], "repair", members))
        return sorted(events)

    def _apply_due_events(self) -> None:
        while self._events and self._events[0][0] <= self.fleet.now_s:
            _, kind, members = self._events.pop(0)
            if kind == "fail":
                self.racks_failed += 1
                self.fleet.fail(members)
            else:
                self.fleet.repair(members)

    def run_planner(self) -> float:
        fleet = self.fleet
        settings = PlannerSettings(expected_move_s=DRAIN_S + REBOOT_S)
        controller = Controller(fleet, "controller", settings)
        wave = WaveCommand("wave", WaveState.ABSENT, WaveState.RUNNING)
        fleet.append("operator", [wave])
        forecast = controller.planner.forecast(controller.view(), "wave", 0.0)
        self.first_forecast_s = forecast.end_s
        progress = self._entry_wave_progress()
        waves = fleet.state.maintenance.wave_by_id
        while waves["wave"].state is WaveState.RUNNING:
            self._apply_due_events()
            controller.tick(self.step_s)
            status = progress.statuses()["wave"]
            if status.state is WaveState.RUNNING:
                point = fleet.now_s, status.done, status.ends_in_s or 0.0
                self.forecasts.append(point)
        return fleet.now_s

    def _entry_wave_progress(self) -> WaveProgress:
        """Return the wave's progress as an entry reports it, on the simulated time."""
        fleet = self.fleet
        times = MoveTimes(lambda: 0.0, lambda: fleet.now_s)
        fleet.replay_listeners.append(times.on_replayed)
        return WaveProgress(
            lambda: fleet.state,
            lambda name: not fleet.workers[name].draining and fleet.workers[name].alive,
            times,
            lambda: fleet.now_s,
        )

    def forecasts_at_half(self, duration_s: float) -> dict:
        """Compare forecasts with the time that was left.

        The first comparison is where half of the instances are done. The second is
        the worst error over the tenth of the duration around its half, because all
        instances of a round finish together in a small fleet.
        """
        half = len(self.fleet.workers) / 2
        at_s, _, half_forecast_s = next(
            point for point in self.forecasts if point[1] >= half
        )
        errors = [
            abs(forecast_s / (duration_s - now_s) - 1)
            for now_s, _, forecast_s in self.forecasts
            if 0.45 <= now_s / duration_s <= 0.55
        ]
        return {
            "left at half s": round(duration_s - at_s),
            "forecast at half s": round(half_forecast_s),
            "worst error near half": round(max(errors), 3),
        }

    def run_naive_batches(self) -> float:
        """Naive baseline: batches of each pool by name, as large as its budget.

        A batch begins when the previous one of its pool has ended, whatever has failed.
        """
        fleet = self.fleet
        config = fleet.state.config
        remaining: dict[str, list[str]] = defaultdict(list)
        for name in sorted(config.instance_by_id, reverse=True):
            remaining[config.instance_by_id[name].pool].append(name)
        batches: dict[str, list[str]] = {pool: [] for pool in remaining}
        while any(remaining.values()) or any(batches.values()):
            self._apply_due_events()
            for pool, batch in batches.items():
                batch[:] = [name for name in batch if not self._advance_instance(name)]
                if not batch:
                    budget = config.pool_by_id[pool].max_unavailable
                    batch += [
                        remaining[pool].pop() for _ in range(budget) if remaining[pool]
                    ]
            fleet.advance(self.step_s)
        return fleet.now_s

    def _advance_instance(self, name: str) -> bool:
        """Take the next action on an instance; return True when it is done."""
        fleet, worker = self.fleet, self.fleet.workers[name]
        if f"{name}.reboot" in fleet.status_by_action:
            if not worker.alive:
                return False
            fleet.execute(PlatformAction(name, ActionKind.UNDRAIN, f"{name}.undrain"))
            return True
        if not worker.draining:
            fleet.execute(PlatformAction(name, ActionKind.DRAIN, f"{name}.drain"))
        elif worker.running == 0:
            fleet.execute(PlatformAction(name, ActionKind.REBOOT, f"{name}.reboot"))
        return False
