"""Settings of the entry daemon, read from a TOML file."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from lycheeloom.settings import ADDRESS_PATTERN


class Settings(BaseModel):
    """Addresses of this entry and of the platform; times are in seconds."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    instance: str = Field(pattern=r"^[A-Za-z0-9_-]{1,64}$")
    zone: str = Field(min_length=1)
    listen: str = Field(pattern=ADDRESS_PATTERN, description="HTTP for callers")
    peer_listen: str = Field(pattern=ADDRESS_PATTERN, description="other entries")
    log: str = Field(pattern=ADDRESS_PATTERN)
    instances: str = Field(pattern=ADDRESS_PATTERN)
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    trace_ratio: float = Field(default=0.0, ge=0, le=1)
    drain_timeout_s: float = Field(default=30.0, gt=0)
    seed: int = 0
    # Required from operators' tools that send accepted records straight to this entry;
    # while it is empty, no such records are accepted.
    handover_token: str = Field(default="", max_length=256)
