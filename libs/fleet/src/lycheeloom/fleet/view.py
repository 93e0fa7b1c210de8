"""The input and output of a planner step, and the settings of the planner."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.records import (
    Health,
    InstanceHealth,
    MoveStage,
    MoveStep,
    WaveCommand,
    WaveState,
)

ENDED_STAGES = frozenset({MoveStage.JOINED, MoveStage.ABANDONED})


class ActionKind(StrEnum):
    """What the platform can be asked to do to an instance."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    REBOOT = "reboot"


class ActionStatus(StrEnum):
    """The platform's status of an action id.

    ``UNKNOWN`` means that the platform has never received the id.
    """

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Move:
    """The last move of an instance: drain, optional reboot and return to service.

    ``to_pool`` is the pool that the instance joins, which may be its present one.
    ``changed_at`` is the log offset of the last stage. The state library has a ``Move``
    with the same fields, as it has for ``HealthState`` and ``Wave``. A ``FleetView``
    may hold those objects instead, so that a step does not copy thousands of moves.
    """

    move_id: str
    stage: MoveStage
    to_pool: str = ""
    reboot: bool = False
    reason: str = ""
    changed_at: int = 0


@dataclass(frozen=True, slots=True)
class HealthState:
    """The last health decision about an instance; ``changed_at`` is its log offset."""

    health: Health
    reason: str = ""
    changed_at: int = 0


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave over pools; an empty ``pools`` means all pools.

    ``started_at`` is a log offset.
    """

    wave_id: str
    state: WaveState
    pools: tuple[str, ...] = ()
    urgent: bool = False
    reboot: bool = True
    started_at: int = 0


@dataclass(frozen=True, slots=True)
class FleetView:
    """The replayed and observed state of a fleet at one moment.

    ``offset`` is the log position up to which the state was replayed; the planner
    appends it to the ids of new moves to make them unique. ``duty_epoch`` is the epoch
    under which the controller holds the maintenance duty. ``unavailable`` holds the
    instances that the platform reports as leaving or no longer lists.
    ``running_by_instance`` gives the number of running tasks of each instance for
    which it is known, ``status_by_action`` the status of each action id for which the
    platform returned one. While ``is_list_current`` is false, because the platform's
    instance list could not be read, no new move is started.
    """

    config: FleetConfig
    offset: int = 0
    duty_epoch: int = 0
    pool_by_instance: Mapping[str, str] = field(default_factory=dict)
    move_by_instance: Mapping[str, Move] = field(default_factory=dict)
    wave_by_id: Mapping[str, Wave] = field(default_factory=dict)
    health_by_instance: Mapping[str, HealthState] = field(default_factory=dict)
    unavailable: frozenset[str] = frozenset()
    running_by_instance: Mapping[str, int] = field(default_factory=dict)
    status_by_action: Mapping[str, ActionStatus] = field(default_factory=dict)
    is_list_current: bool = True


@dataclass(frozen=True, slots=True)
class PlatformAction:
    """A request to the platform, which executes each action id at most once."""

    instance: str
    kind: ActionKind
    action_id: str


PlannedRecord = MoveStep | InstanceHealth | WaveCommand


@dataclass(frozen=True, slots=True)
class Plan:
    """The records to append and the actions to request after one step."""

    records: tuple[PlannedRecord, ...] = ()
    actions: tuple[PlatformAction, ...] = ()


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Limits of the planner; times are in seconds.

    A move that stays ``planned`` or stays ``draining`` for ``drain_limit_s`` is
    abandoned. Once a worker has been silent for a further ``dead_after_s`` after its
    silence was detected, none of its tasks can still be running: a task lease of a
    silent worker is valid for at most 18 s.
    A reboot or return to service that the platform refused is requested again after
    ``retry_after_s``, a reboot at most ``max_attempts`` times in all.

    The buffer plan reacts to the loss or return of an instance after ``settle_s``.
    After the start of a pool change, the next one of the same instance starts
    ``pool_change_cooldown_s`` later at the earliest. ``buffer_moves_per_hour`` limits
    the pool changes of the whole fleet.

    ``max_starts_per_step`` limits the moves that waves start in one step, and thereby
    the time of the step and the size of its batch. ``regular_cycle_s`` is the period
    of regular waves; 0 means that the planner starts no waves. ``expected_move_s`` is
    the duration that forecasts assume before moves have been measured. Waves skip an
    instance for ``abandoned_cooldown_s`` after its move was abandoned. Waves and
    repair are on hold for ``correlated_pause_s`` whenever further instances are lost
    to a correlated failure.
    """

    drain_limit_s: float = 4 * 3600
    dead_after_s: float = 60
    retry_after_s: float = 30
    max_attempts: int = 3
    settle_s: float = 600
    pool_change_cooldown_s: float = 1800
    buffer_moves_per_hour: int = 60
    max_starts_per_step: int = 50
    regular_cycle_s: float = 0
    expected_move_s: float = 600
    abandoned_cooldown_s: float = 600
    correlated_pause_s: float = 300
