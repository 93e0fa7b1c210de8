"""TOML settings of the stand-in program."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .instances import InstancesStandIn
from .log import MAX_RECORD_BYTES, LogLimits, LogStandIn
from .platform import PlatformStandIns
from .tasks import Amount
from .worker import WorkerStandIn


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class LogSettings(_Section):
    """Section ``[log]``; batches are kept forever unless a retention is given."""

    port: int = Field(default=0, ge=0, le=65535)
    max_record_bytes: int = Field(default=MAX_RECORD_BYTES, gt=0)
    appends_per_s: int | None = Field(default=400, gt=0)
    retained_records: int | None = Field(default=None, gt=0)
    retained_s: float | None = Field(default=None, gt=0)


class InstancesSettings(_Section):
    """Section ``[instances]``: lag of the list and duration of a reboot."""

    port: int = Field(default=0, ge=0, le=65535)
    lag_ms: int = Field(default=0, ge=0)
    reboot_s: float = Field(default=0.0, ge=0)


class ControlSettings(_Section):
    """Section ``[control]``."""

    port: int = Field(default=0, ge=0, le=65535)


class WorkersSettings(_Section):
    """One group ``[[workers]]`` of identical workers in one availability zone.

    Workers are named ``<prefix>-1`` and so on and listen on consecutive ports from
    ``first_port``, or on free ports if it is 0. Racks are named ``<zone>-r1`` and so
    on. ``default_work_ms`` is the duration of a task whose payload gives none.
    """

    prefix: str = Field(min_length=1)
    count: int = Field(ge=1, le=2000)
    first_port: int = Field(default=0, ge=0, le=65535)
    zone: str
    workers_per_rack: int = Field(default=4, ge=1)
    cores: float = Field(default=64, gt=0)
    memory_mb: int = Field(default=256 * 1024, gt=0)
    accelerators: int = Field(default=0, ge=0)
    default_work_ms: int = Field(default=0, ge=0)
    usage_lag_ms: int = Field(default=0, ge=0)


class Settings(_Section):
    """The whole settings file."""

    host: str = "127.0.0.1"
    log: LogSettings = LogSettings()
    instances: InstancesSettings = InstancesSettings()
    control: ControlSettings = ControlSettings()
    workers: tuple[WorkersSettings, ...] = ()


@dataclass(frozen=True, slots=True)
class BadSettings:
    """Invalid settings; ``reason`` names the file, the key and what is allowed."""

    reason: str


def load_settings(path: Path) -> Settings | BadSettings:
    """Read and validate a settings file."""
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        return BadSettings(f"{path}: cannot be read: {error.strerror}")
    except ValueError as error:
        return BadSettings(f"{path}: not TOML: {error}")
    try:
        return Settings.model_validate(document)
    except ValidationError as error:
        return BadSettings("; ".join(_explain(path, e) for e in error.errors()))


def _explain(path: Path, error: dict[str, Any]) -> str:
    key = ".".join(str(part) for part in error["loc"])
    if error["type"] == "extra_forbidden":
        allowed = ", ".join(_section_at(error["loc"]).model_fields)
        return f"{path}: {key}: unknown key; allowed: {allowed}"
    return f"{path}: {key}: {error['msg']} (got {error['input']!r})"


def _section_at(location: tuple[str | int, ...]) -> type[_Section]:
    if len(location) == 1:
        return Settings
    sections = {
        "log": LogSettings,
        "instances": InstancesSettings,
        "control": ControlSettings,
    }
    return sections.get(location[0], WorkersSettings)


def build_platform(settings: Settings) -> PlatformStandIns:
    """Create the stand-ins that the settings describe, without starting them."""
    host, log = settings.host, settings.log
    limits = LogLimits(
        log.max_record_bytes, log.appends_per_s, log.retained_records, log.retained_s
    )
    instances = InstancesStandIn(
        host=host,
        port=settings.instances.port,
        reboot_s=settings.instances.reboot_s,
    )
    instances.faults.lag_ms = settings.instances.lag_ms
    return PlatformStandIns(
        log=LogStandIn(host=host, port=log.port, limits=limits),
        instances=instances,
        workers=[w for group in settings.workers for w in _build_group(host, group)],
        control_port=settings.control.port,
    )


def _build_group(host: str, group: WorkersSettings) -> list[WorkerStandIn]:
    workers = []
    for index in range(group.count):
        worker = WorkerStandIn(
            f"{group.prefix}-{index + 1}",
            host,
            group.first_port + index if group.first_port else 0,
            zone=group.zone,
            rack=f"{group.zone}-r{index // group.workers_per_rack + 1}",
            capacity=Amount(group.cores, group.memory_mb, group.accelerators),
            default_work_s=group.default_work_ms / 1000,
        )
        worker.faults.lag_ms = group.usage_lag_ms
        workers.append(worker)
    return workers
