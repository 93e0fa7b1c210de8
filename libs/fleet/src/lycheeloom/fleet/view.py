"""What the planner is given at each step and what it returns."""

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
    """What the platform says about an action id; ``UNKNOWN`` is never seen."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Move:
    """The last move of an instance; ``changed_at`` is a log offset.

    Has the fields of the replayed state's move, which the planner takes as it
    is, so that a step does not copy thousands of moves.
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
    """A maintenance wave over pools; no pools means all."""

    wave_id: str
    state: WaveState
    pools: tuple[str, ...] = ()
    urgent: bool = False
    reboot: bool = True
    started_at: int = 0


@dataclass(frozen=True, slots=True)
class FleetView:
    """The replayed and observed state of a fleet at one moment.

    ``offset`` is the log position that the replayed part reflects; it makes
    move ids unique. ``unavailable`` names instances observed not to serve.
    ``running_by_instance`` has no entry where the number is not known, and
    ``status_by_action`` none where the platform could not be asked.
    ``listed`` says whether the platform's list could be read; nothing is
    started while it could not.
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
    listed: bool = True


@dataclass(frozen=True, slots=True)
class PlatformAction:
    """A request to the platform; the same id never takes effect twice."""

    instance: str
    kind: ActionKind
    action_id: str


PlannedRecord = MoveStep | InstanceHealth | WaveCommand


@dataclass(frozen=True, slots=True)
class Plan:
    """Records to append and actions to take after one step."""

    records: tuple[PlannedRecord, ...] = ()
    actions: tuple[PlatformAction, ...] = ()


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Limits of the planner; times are in seconds.

    ``drain_limit_s`` ends a move whose work neither ends nor checkpoints.
    ``dead_after_s`` exceeds the 18 s after which no lease of a silent worker
    can still be running. ``settle_s`` keeps a short loss or return from
    changing the buffer plan; ``dwell_s`` keeps an instance in its new pool.
    ``max_starts_per_step`` bounds the time of a step and the size of its batch.
    ``correlated_pause_s`` holds waves and repair after a correlated failure grew.
    ``regular_cycle_s`` starts a wave in each such period; 0 starts none.
    """

    drain_limit_s: float = 4 * 3600
    dead_after_s: float = 60
    retry_after_s: float = 30
    max_tries: int = 3
    settle_s: float = 600
    dwell_s: float = 1800
    buffer_moves_per_hour: int = 60
    max_starts_per_step: int = 50
    regular_cycle_s: float = 0
    expected_move_s: float = 600
    abandoned_pause_s: float = 600
    correlated_pause_s: float = 300
