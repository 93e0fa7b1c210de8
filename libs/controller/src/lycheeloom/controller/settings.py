"""TOML settings of the controller daemon."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from lycheeloom.model.limits import RECLAIM_WAIT_S
from lycheeloom.settings import ADDRESS_PATTERN

from .probes import FAILED_PROBE_RETRY_S


class Settings(BaseModel):
    """Addresses and settings of a controller; times are in seconds.

    ``regular_wave_weeks`` is the period in which a maintenance wave over all pools
    starts; 0 leaves waves to operators. ``log_retention_s`` is how long the log
    keeps records; snapshots are written well before that. A worker counts as silent
    after ``silent_s`` without an answer. Waves and repair are held for
    ``correlated_pause_s`` after instances of a rack or zone failed together.
    ``dead_after_s`` of further silence prove that no task of a worker is running;
    no task lease may last longer.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    instance: str = Field(pattern=r"^[A-Za-z0-9_-]{1,64}$")
    zone: str = Field(min_length=1)
    listen: str = Field(pattern=ADDRESS_PATTERN, description="HTTP for operators")
    log: str = Field(pattern=ADDRESS_PATTERN)
    instances: str = Field(pattern=ADDRESS_PATTERN)
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    step_s: float = Field(default=1.0, gt=0, le=60)
    regular_wave_weeks: int = Field(default=0, ge=0)
    drain_limit_s: float = Field(default=4 * 3600, gt=0)
    buffer_moves_per_hour: int = Field(default=60, ge=0)
    log_retention_s: float = Field(default=24 * 3600, gt=0)
    silent_s: float = Field(default=30, ge=2 * FAILED_PROBE_RETRY_S)
    correlated_pause_s: float = Field(default=300, ge=0)
    probation_s: float = Field(default=120, ge=0)
    max_reboots: int = Field(default=3, ge=0)
    dead_after_s: float = Field(default=60, ge=RECLAIM_WAIT_S)
