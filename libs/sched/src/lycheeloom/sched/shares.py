"""Tracks how much of the fleet each organisation uses, against its fair share."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import NO_RESOURCES, Resources

from .tasks import OrganisationUsage

PAST_SHARE_HALF_LIFE_S = 60.0
# Usage levels are compared in steps of this fraction of an organisation's fair share;
# within a step the decaying mean of the past share decides.
USAGE_LEVEL_STEP = 0.002
# Weight of the newest task in the moving means of the tasks' shares.
NEWEST_TASK_WEIGHT = 0.05
# Weight of each caller of an open queue that is not a configured organisation.
UNCONFIGURED_WEIGHT = 1.0

# Usage over fair share in steps of USAGE_LEVEL_STEP, then past share over fair share.
UsageLevel = tuple[float, float]


@dataclass(slots=True)
class _OrganisationState:
    weight: float
    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0
    running: int = 0
    # Resources of the tasks that peers run, as last reported.
    peer_running: Resources = NO_RESOURCES
    # Moving means of the dominant share of a task and of that share squared.
    mean_task_share: float = 0.0
    mean_square_task_share: float = 0.0
    past_share: float = 0.0
    past_share_at: float = 0.0
    share: float = 0.0
    usage_level: UsageLevel = (0.0, 0.0)


class OrganisationShares:
    """Orders organisations by weighted dominant share of the whole fleet.

    An organisation's dominant share is the largest fraction of a resource of the
    fleet that its running tasks take, at all entries. Peers report their usage at
    intervals; between reports it counts as unchanged. The alternative is to assume
    that peers change as this entry does. That avoids that every entry corrects the
    same deficit, but makes the usage levels of small organisations so uncertain
    that they are served too often.
    """

    def __init__(self) -> None:
        self._state_by_organisation: dict[str, _OrganisationState] = {}
        self._total = NO_RESOURCES
        self._weight_sum = 1.0

    def set_config(self, config: FleetConfig, now: float) -> None:
        """Apply the weights of the organisations and the size of the fleet."""
        total = NO_RESOURCES
        for instance in config.instance_by_id.values():
            total = total + instance.size
        self._total = total
        self._weight_sum = (
            sum(t.share for t in config.organisation_by_id.values()) or 1.0
        )
        for organisation_id, organisation in config.organisation_by_id.items():
            state = self._state_by_organisation.setdefault(
                organisation_id, _OrganisationState(organisation.share)
            )
            state.weight = organisation.share
        for state in self._state_by_organisation.values():
            self._update(state, now)

    def usage_level(self, organisation: str) -> UsageLevel:
        """Return the sort key of an organisation; the lowest is served next."""
        return self._state(organisation).usage_level

    def share(self, organisation: str) -> float:
        """Return the organisation's estimated dominant share of the whole fleet."""
        return self._state(organisation).share

    def fair_share(self, organisation: str) -> float:
        """Return the share due to the organisation when all others have enough work."""
        return self._state(organisation).weight / self._weight_sum

    def mean_task_share(self, organisation: str) -> float:
        """Return the mean dominant share of one task, 0.0 if none was started yet."""
        return self._state(organisation).mean_task_share

    def organisations(self) -> list[str]:
        """Return every organisation seen so far."""
        return list(self._state_by_organisation)

    def running(self, organisation: str) -> int:
        """Return how many tasks of the organisation this entry runs."""
        return self._state(organisation).running

    def running_resources(self, organisation: str) -> Resources:
        """Return the resources that this entry runs for an organisation."""
        state = self._state(organisation)
        return Resources(state.cores, round(state.memory_mb), round(state.accelerators))

    def started(self, organisation: str, need: Resources, now: float) -> None:
        """Charge a started task to its organisation."""
        state = self._state(organisation)
        state.running += 1
        share = need.dominant_share(self._total)
        weight = NEWEST_TASK_WEIGHT if state.mean_task_share else 1.0
        state.mean_task_share += weight * (share - state.mean_task_share)
        state.mean_square_task_share += weight * (
            share * share - state.mean_square_task_share
        )
        self._add(state, need, 1, now)

    def ended(self, organisation: str, need: Resources, now: float) -> None:
        """Release the charge of a task that ended."""
        state = self._state(organisation)
        state.running -= 1
        self._add(state, need, -1, now)

    def resized(self, organisation: str, extra: Resources, now: float) -> None:
        """Charge a running task for using more than was reserved for it."""
        self._add(self._state(organisation), extra, 1, now)

    def set_peer_usage(
        self, usage_by_peer: Mapping[str, Mapping[str, OrganisationUsage]], now: float
    ) -> None:
        """Replace the usage of all peers."""
        for state in self._state_by_organisation.values():
            state.peer_running = NO_RESOURCES
        for usage_by_organisation in usage_by_peer.values():
            for organisation, usage in usage_by_organisation.items():
                state = self._state(organisation)
                state.peer_running = state.peer_running + usage.running
        for state in self._state_by_organisation.values():
            self._update(state, now)

    def _state(self, organisation: str) -> _OrganisationState:
        state = self._state_by_organisation.get(organisation)
        if state is None:
            state = self._state_by_organisation[organisation] = _OrganisationState(
                UNCONFIGURED_WEIGHT
            )
        return state

    def _add(
        self, state: _OrganisationState, need: Resources, sign: int, now: float
    ) -> None:
        state.cores += sign * need.cores
        state.memory_mb += sign * need.memory_mb
        state.accelerators += sign * need.accelerators
        if state.running == 0:
            # Removes the accumulated rounding error.
            state.cores = state.memory_mb = state.accelerators = 0.0
        self._update(state, now)

    def _update(self, state: _OrganisationState, now: float) -> None:
        elapsed_s = max(0.0, now - state.past_share_at)
        kept = 0.5 ** (elapsed_s / PAST_SHARE_HALF_LIFE_S)
        state.past_share = state.past_share * kept + state.share * (1.0 - kept)
        state.past_share_at = now
        state.share = self._fleet_usage(state).dominant_share(self._total)
        fair = state.weight / self._weight_sum
        # A share changes by whole tasks. Half of such a step is added, so that
        # organisations with large tasks do not exceed their share on average. The
        # step is the mean weighted by size, as large tasks dominate the changes.
        step = (
            state.mean_square_task_share / state.mean_task_share
            if state.mean_task_share
            else 0.0
        )
        relative_share = (state.share + step / 2) / fair
        state.usage_level = (
            math.floor(relative_share / USAGE_LEVEL_STEP),
            state.past_share / fair,
        )

    def _fleet_usage(self, state: _OrganisationState) -> Resources:
        peer_running = state.peer_running
        return Resources(
            peer_running.cores + state.cores,
            peer_running.memory_mb + round(state.memory_mb),
            peer_running.accelerators + round(state.accelerators),
        )
