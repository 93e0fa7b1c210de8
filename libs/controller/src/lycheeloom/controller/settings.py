"""TOML settings of the controller daemon."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from lycheeloom.model.limits import RECLAIM_WAIT_S
from lycheeloom.settings import ADDRESS_PATTERN

from .probes import FAILED_PROBE_RETRY_S


class Settings(BaseModel):
    """Addresses and settings of a controller; times are in seconds.

    ``instance`` and ``zone`` name this controller and its availability zone. The
    controller serves operators and monitoring at ``listen``. ``log`` is the address of
    the log, ``instances`` that of the platform's instance interface.

    ``step_s`` is the interval between planner steps. ``regular_wave_weeks`` is a period
    in weeks, in each of which the planner starts one maintenance wave over all pools;
    0 leaves all waves to operators.
    A move that waits for its drain to start or to finish for longer than
    ``drain_limit_s`` is abandoned. At most ``buffer_moves_per_hour`` instances of the
    fleet change pools within an hour. ``log_retention_s`` is how long the log keeps
    records. A snapshot is due once the last one has 0.4 of that age; request bodies and
    answers that are still needed are appended again at half of that age.

    A worker counts as silent ``silent_s`` after its first missed probe. Waves and
    repair are on hold for ``correlated_pause_s`` after instances of a rack or zone
    failed together. A worker that is faulty is put on probation. If the fault lasts for
    ``probation_s``, the worker is rebooted, or given up after ``max_reboots`` reboots
    since it was last in service. Once a silent worker has stayed silent for a further
    ``dead_after_s``, none of its tasks can still be running, as no task lease may last
    longer.
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
