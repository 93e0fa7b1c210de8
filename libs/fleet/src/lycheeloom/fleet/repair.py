"""Repair of faulty workers: probation, reboot, trial and giving up.

The number of reboots is part of the recorded reason, so that a controller that
takes over continues the count.
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
# Exceeds the half hour for which the log may be slow.
PROPOSAL_TIMEOUT_S = 3600.0
_HEALTHY = HealthState(Health.IN_SERVICE)


@dataclass(frozen=True, slots=True)
class RepairSettings:
    """Limits of repair; times are in seconds.

    ``max_unhealthy_fraction`` bounds the instances treated as faulty at the same
    time, so that false detections cannot empty the fleet. ``trials_needed``
    successful tasks end a probation, as does ``idle_probation_s`` without a fault.
    """

    probation_s: float = 120
    idle_probation_s: float = 600
    trials_needed: int = 3
    max_reboots: int = 3
    max_unhealthy_fraction: float = 0.05


@dataclass(frozen=True, slots=True)
class Repair:
    """A health to record for an instance, or a reboot to start."""

    instance: str
    health: Health | None
    reason: str
    reboot: bool = False


def repair_prefix(instance: str) -> str:
    """Return the prefix of the ids of an instance's repair moves."""
    return f"repair.{instance}."


class RepairPlanner:
    """Decides from symptoms on probation, reboots, return to service or giving up."""

    def __init__(self, monitor: HealthMonitor, settings: RepairSettings | None = None):
        self.settings = settings or RepairSettings()
        self._monitor = monitor
        self._timers = Timers()
        self._proposed_at_s: dict[str, float] = {}

    def decide(
        self,
        view: FleetView,
        layout: Layout,
        assessment: Assessment,
        now_s: float,
        *,
        held: bool = False,
    ) -> list[Repair]:
        """Return the repairs to make now.

        Instances of a failed rack or zone are skipped, because rebooting them
        cannot repair it. While repair is ``held``, no further instance is taken
        out of service or given up.
        """
        symptoms = assessment.symptom_by_instance or {}
        in_failed_domain = assessment.possibly_failed.union(
            *(domain.members for domain in assessment.failed_domains)
        )
        unhealthy = {
            name
            for name, state in view.health_by_instance.items()
            if state.health is not Health.IN_SERVICE
            and name in layout.location_by_instance
        }
        quota = self._remaining_quota(layout, unhealthy, now_s)
        repairs = []
        for name in sorted(unhealthy.union(symptoms) - in_failed_domain):
            if assessment.too_many_silent and name not in unhealthy:
                continue
            state = view.health_by_instance.get(name, _HEALTHY)
            move = view.move_by_instance.get(name)
            found = self._decide_instance(name, state, move, symptoms.get(name), now_s)
            if found is None or (found.reboot and assessment.too_many_silent):
                continue
            if held and _reduces_service(state, found):
                continue
            is_new = (
                state.health is Health.IN_SERVICE and name not in self._proposed_at_s
            )
            if is_new and quota <= 0:
                continue
            if is_new:
                quota -= 1
                self._proposed_at_s[name] = now_s
            if found.health in (Health.IN_SERVICE, Health.REBOOTING):
                self._monitor.forget_faults(name)
            repairs.append(found)
        self._timers.sweep()
        return repairs

    def _remaining_quota(
        self, layout: Layout, unhealthy: set[str], now_s: float
    ) -> int:
        """Return how many more instances may be treated as faulty.

        Proposed repairs that have not been replayed from the log yet count too.
        """
        oldest = now_s - PROPOSAL_TIMEOUT_S
        self._proposed_at_s = {
            name: at
            for name, at in self._proposed_at_s.items()
            if name not in unhealthy and at > oldest
        }
        total = len(layout.location_by_instance)
        limit = max(1, int(self.settings.max_unhealthy_fraction * total))
        return limit - len(unhealthy) - len(self._proposed_at_s)

    def _decide_instance(
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
                return self._decide_probation(name, state, symptom, now_s)
            case Health.REBOOTING:
                return _follow_reboot(name, state, move)
        return None

    def _decide_probation(
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


def _reduces_service(state: HealthState, found: Repair) -> bool:
    """Tell whether a repair makes an instance less available.

    A probation after a reboot does not.
    """
    if found.health is Health.PROBATION:
        return state.health is Health.IN_SERVICE
    return found.health is not Health.IN_SERVICE


def _follow_reboot(name: str, state: HealthState, move: Move | None) -> Repair | None:
    """Return the reboot to start, or the probation that follows it."""
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
