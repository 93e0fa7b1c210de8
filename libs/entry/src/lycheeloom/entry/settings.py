"""Settings of the entry daemon, read from a TOML file."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from lycheeloom.settings import ADDRESS_PATTERN

from .client_limits import ClientLimits, ClientLimitSettings, derive_limits


class Settings(BaseModel):
    """Addresses of this entry and of the platform; times are in seconds.

    ``log`` is the address of the log, and ``instances`` that of the instance list.
    ``trace_ratio`` is the fraction of requests that are traced.
    """

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
    # Operators' tools must present this token to send records straight to this entry.
    # If it is empty, such records are refused.
    handover_token: str = Field(default="", max_length=256)
    # What the process may use; the defaults of ``client_limits`` are derived from it.
    memory_mb: float = Field(default=200.0, gt=0)
    file_descriptors: int = Field(default=4_100, gt=0)
    client_limits: ClientLimitSettings = ClientLimitSettings()

    @property
    def limits_in_force(self) -> ClientLimits:
        """The limits for clients, as set or derived."""
        defaults = derive_limits(self.memory_mb, self.file_descriptors)
        return self.client_limits.apply_to(defaults)

    @model_validator(mode="after")
    def _check_client_limits(self) -> Settings:
        _ = self.limits_in_force
        return self
