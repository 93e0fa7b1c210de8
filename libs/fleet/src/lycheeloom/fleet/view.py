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
    """The last move of an instance; ``changed_at`` is a log offset.

    The replayed state's move has the same fields and is passed in its place, so
    that a step does not copy thousands of moves.
    """

    move_id: str
    stage: MoveStage
    to_pool: str = ""
    reboot: bool = False
    reason: str = ""
    changed_at: int = 0


@dataclass(frozen=True, slots=True)
class HealthState:
    """The last health decision about an instance."""

    health: Health
    reason: str = ""
    changed_at: int = 0


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave over pools; an empty ``pools`` means all pools."""

    wave_id: str
    state: WaveState
    pools: tuple[str, ...] = ()
    urgent: bool = False
    reboot: bool = True
    started_at: int = 0


@dataclass(frozen=True, slots=True)
class FleetView:
    """The replayed and observed state of a fleet at one moment.

    ``offset`` is the log position up to which the state was replayed; it makes
    move ids unique. ``unavailable`` holds the instances observed to be out of
    service. ``running_by_instance`` gives the numbers of running tasks that are
    known, ``status_by_action`` the statuses that the platform returned. While
    ``is_list_current`` is false, because the platform's instance list could not
    be read, no new move is started.
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

    ``drain_limit_s`` abandons a move whose tasks neither end nor checkpoint.
    ``dead_after_s`` of silence prove that no task of a worker is running; it
    exceeds the 18 s for which a task lease of a silent worker can still be valid.
    The buffer plan follows the loss or return of an instance after ``settle_s``.
    ``pool_change_cooldown_s`` is the shortest stay in a new pool.
    ``max_starts_per_step`` bounds the time of a step and the size of its batch.
    ``abandoned_cooldown_s`` keeps an instance whose move was abandoned out of waves;
    ``correlated_pause_s`` holds waves and repair whenever further instances are
    lost to a correlated failure. ``regular_cycle_s`` is the period of regular
    waves; 0 starts none.
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
