"""TOML settings of the controller daemon."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

ADDRESS_PATTERN = r"^[^:\s]+:\d{1,5}$"


class Settings(BaseModel):
    """Addresses of this controller and of the platform; times are in seconds.

    ``regular_wave_weeks`` starts a maintenance wave over all pools in each such
    period; 0 leaves waves to operators. ``log_retention_s`` is how long the log
    keeps records; snapshots are written well before.
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
        allowed = ", ".join(Settings.model_fields)
        return f"{path}: {key}: unknown key; allowed: {allowed}"
    if item["type"] == "missing":
        return f"{path}: {key}: is missing"
    return f"{path}: {key}: {item['msg']}, got {item['input']!r}"
