"""TOML settings of the controller daemon."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from lycheeloom.model.limits import RECLAIM_WAIT_S
from lycheeloom.settings import ADDRESS_PATTERN

from .probes import MISS_RETRY_S


class Settings(BaseModel):
    """Addresses of this controller and of the platform; times are in seconds.

    ``regular_wave_weeks`` starts a maintenance wave over all pools in each such
    period; 0 leaves waves to operators. ``log_retention_s`` is how long the log
    keeps records; snapshots are written well before. ``silent_s`` is how long a
    worker does not answer before it counts as silent, ``correlated_pause_s`` how
    long waves and repair are held after instances of a rack or zone failed
    together. ``dead_after_s`` of further silence prove that the work of a worker
    is over; no task lease may be running by then.
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
    silent_s: float = Field(default=30, ge=2 * MISS_RETRY_S)
    correlated_pause_s: float = Field(default=300, ge=0)
    probation_s: float = Field(default=120, ge=0)
    max_reboots: int = Field(default=3, ge=0)
    dead_after_s: float = Field(default=60, ge=RECLAIM_WAIT_S)
