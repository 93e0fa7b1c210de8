"""TOML settings of the entry daemon."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

ADDRESS_PATTERN = r"^[^:\s]+:\d{1,5}$"


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
    # Operators that hand accepted records straight to this entry present it;
    # without one in the settings nobody may.
    handover_token: str = Field(default="", max_length=256)


@dataclass(frozen=True, slots=True)
class BadSettings:
    """Why a settings file cannot be used, one line for each problem."""

    problems: tuple[str, ...]


def load_settings(path: Path) -> Settings | BadSettings:
    """Read and check a settings file; every problem is returned at once."""
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        return BadSettings((f"{path}: cannot be read: {error.strerror}",))
    except ValueError as error:
        return BadSettings((f"{path}: is not TOML: {error}",))
    try:
        return Settings.model_validate(document)
    except ValidationError as error:
        return BadSettings(tuple(_describe(path, item) for item in error.errors()))


def split_address(address: str) -> tuple[str, int]:
    """Return host and port: ``"127.0.0.1:80"`` gives ``("127.0.0.1", 80)``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _describe(path: Path, item: dict[str, Any]) -> str:
    key = ".".join(str(part) for part in item["loc"])
    if item["type"] == "extra_forbidden":
        return (
            f"{path}: {key}: unknown key; allowed: {', '.join(Settings.model_fields)}"
        )
    if item["type"] == "missing":
        return f"{path}: {key}: is missing"
    return f"{path}: {key}: {item['msg']}, got {item['input']!r}"
