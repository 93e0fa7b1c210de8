"""Repair of faulty workers: probation, reboot, trial, given up.

The count of reboots is part of the recorded reason, so that a new holder of
the duty continues the count.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from lycheeloom.model.records import Health

from .budgets import Layout
from .monitor import SYMPTOM_TEXT, Assessment, HealthMonitor, Symptom
from .timers import Timers
from .view import ENDED_STAGES, FleetView, HealthState, Move

_REBOOT_COUNT = re.compile(r"reboot (\d+) of \d+")
# Longer than the half hour for which the log may be slow.
PROPOSAL_KEPT_S = 3600.0
_HEALTHY = HealthState(Health.IN_SERVICE)


@dataclass(frozen=True, slots=True)
class RepairSettings:
    """Limits of repair; times are in seconds.

    ``at_once_fraction`` bounds the instances taken out as faulty at the same
    time, so that a wrong detection cannot empty the fleet.
    ``idle_probation_s`` ends a probation during which no work came to try.
    """

    probation_s: float = 120
    idle_probation_s: float = 600
    trials_needed: int = 3
    max_reboots: int = 3
    at_once_fraction: float = 0.05


@dataclass(frozen=True, slots=True)
class Repair:
    """A new health of an instance, or a reboot to start for it."""

    instance: str
    health: Health | None
    reason: str
    reboot: bool = False


def repair_prefix(instance: str) -> str:
    """Return what the ids of an instance's repair moves begin with."""
    return f"repair.{instance}."


class RepairPlanner:
    """Turns symptoms into probation, reboots and verdicts."""

    def __init__(self, monitor: HealthMonitor, settings: RepairSettings | None = None):
        self.settings = settings or RepairSettings()
        self._monitor = monitor
        self._timers = Timers()
        self._proposed_s: dict[str, float] = {}

    def decide(
        self,
        view: FleetView,
        layout: Layout,
        seen: Assessment,
        now_s: float,
        *,
        held: bool = False,
    ) -> list[Repair]:
        """Return what to change now. Members of a lost place are left alone:
        the place is one event, and rebooting its instances cannot mend it.
        While repair is ``held``, nothing further is taken out or given up."""
        symptoms = seen.symptom_by_instance or {}
        lost = seen.maybe_lost.union(*(place.members for place in seen.lost_places))
        unhealthy = {
            name
            for name, state in view.health_by_instance.items()
            if state.health is not Health.IN_SERVICE
            and name in layout.location_by_instance
        }
        room = self._room(layout, unhealthy, now_s)
        repairs = []
        for name in sorted(unhealthy.union(symptoms) - lost):
            if seen.doubted and name not in unhealthy:
                continue
            state = view.health_by_instance.get(name, _HEALTHY)
            move = view.move_by_instance.get(name)
            found = self._decide_one(name, state, move, symptoms.get(name), now_s)
            if found is None or (found.reboot and seen.doubted):
                continue
            if held and _takes_out(state, found):
                continue
            is_new = state.health is Health.IN_SERVICE and name not in self._proposed_s
            if is_new and room <= 0:
                continue
            if is_new:
                room -= 1
                self._proposed_s[name] = now_s
            if found.health in (Health.IN_SERVICE, Health.REBOOTING):
                self._monitor.forget(name)
            repairs.append(found)
        self._timers.sweep()
        return repairs

    def _room(self, layout: Layout, unhealthy: set[str], now_s: float) -> int:
        """Return how many more may be taken out; proposals of which the log has
        not told yet count as well."""
        oldest = now_s - PROPOSAL_KEPT_S
        self._proposed_s = {
            name: at
            for name, at in self._proposed_s.items()
            if name not in unhealthy and at > oldest
        }
        total = len(layout.location_by_instance)
        most = max(1, int(self.settings.at_once_fraction * total))
        return most - len(unhealthy) - len(self._proposed_s)

    def _decide_one(
        self,
        name: str,
        state: HealthState,
        move: Move | None,
        symptom: Symptom | None,
        now_s: float,
    ) -> Repair | None:
        match state.health:
            case Health.IN_SERVICE if symptom and not _is_in_move(move):
                return Repair(name, Health.PROBATION, SYMPTOM_TEXT[symptom])
            case Health.PROBATION:
                return self._judge_probation(name, state, symptom, now_s)
            case Health.REBOOTING:
                return _follow_reboot(name, state, move)
        return None

    def _judge_probation(
        self, name: str, state: HealthState, symptom: Symptom | None, now_s: float
    ) -> Repair | None:
        settings = self.settings
        lasted_s = self._timers.elapsed((name, state.changed_at), now_s)
        count = _reboots_done(state.reason)
        if symptom is None:
            trials = self._monitor.successes_since(name, now_s - lasted_s)
            if trials >= settings.trials_needed:
                reason = f"{trials} trial tasks succeeded"
                return Repair(name, Health.IN_SERVICE, reason)
            if lasted_s >= settings.idle_probation_s:
                reason = "no fault was seen during its probation"
                return Repair(name, Health.IN_SERVICE, reason)
            return None
        if lasted_s < settings.probation_s:
            return None
        if count >= settings.max_reboots:
            reason = f"{SYMPTOM_TEXT[symptom]} after {count} reboots"
            return Repair(name, Health.GIVEN_UP, reason)
        reason = (
            f"{SYMPTOM_TEXT[symptom]}, reboot {count + 1} of {settings.max_reboots}"
        )
        return Repair(name, Health.REBOOTING, reason)


def _takes_out(state: HealthState, found: Repair) -> bool:
    """Tell whether a repair begins something, and does not end what has begun."""
    if found.health is Health.PROBATION:
        return state.health is Health.IN_SERVICE
    return found.health is not Health.IN_SERVICE


def _follow_reboot(name: str, state: HealthState, move: Move | None) -> Repair | None:
    """Start the reboot of an instance, and its trial once that has ended."""
    if _is_in_move(move):
        return None
    was_rebooted = (
        move is not None
        and move.move_id.startswith(repair_prefix(name))
        and move.changed_at > state.changed_at
    )
    if not was_rebooted:
        return Repair(name, None, state.reason, reboot=True)
    count = _REBOOT_COUNT.search(state.reason)
    done = count[0] if count else "a reboot"
    return Repair(name, Health.PROBATION, f"it is on trial after {done}")


def _is_in_move(move: Move | None) -> bool:
    return move is not None and move.stage not in ENDED_STAGES


def _reboots_done(reason: str) -> int:
    found = _REBOOT_COUNT.search(reason)
    return int(found[1]) if found else 0
