"""Configuration: validated documents at the border, data classes inside.

Operators publish the document; programs use ``FleetConfig``. ``parse_config``
turns one into the other.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from .resources import Resources


class ZoneState(StrEnum):
    """Whether operators let tasks start in an availability zone."""

    IN = "in"
    OUT = "out"


class QueueKind(StrEnum):
    """Interactive queues have a waiting caller; batch queues may wait."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class _Document(BaseModel):
    # Fields of newer program versions are kept, not rejected, so that an older
    # program can read a newer document.
    # JSON has no infinity, and shares are divided by each other.
    model_config = ConfigDict(extra="allow", frozen=True, allow_inf_nan=False)


class KeyDocument(_Document):
    """A salted hash of one team key, both in hexadecimal."""

    salt: str = Field(pattern=r"^[0-9a-f]{16,32}$")
    digest: str = Field(pattern=r"^[0-9a-f]{64}$")


class TeamDocument(_Document):
    """A team with its weight on a full fleet and its upper limit."""

    share: float = Field(gt=0)
    upper_limit: int = Field(ge=1, description="running tasks across the fleet")
    keys: dict[str, KeyDocument] = {}


class ZoneDocument(_Document):
    """An availability zone."""

    region: str = "default"
    state: ZoneState = ZoneState.IN
    max_unavailable: int | None = Field(default=None, ge=0)


class PoolDocument(_Document):
    """A pool of instances with its availability budget."""

    max_unavailable: int = Field(default=1, ge=0)
    max_unavailable_per_rack: int = Field(default=1, ge=0)
    needed: int = Field(default=0, ge=0, description="instances that must serve")
    spare: bool = False


class InstanceDocument(_Document):
    """A worker instance, its place and its size."""

    pool: str
    zone: str
    rack: str
    address: str
    cores: float = Field(gt=0)
    memory_mb: int = Field(gt=0)
    accelerators: int = Field(default=0, ge=0)


class QueueDocument(_Document):
    """A queue of work served by one pool."""

    pool: str
    kind: QueueKind = QueueKind.INTERACTIVE
    open_to_all: bool = False
    teams: list[str] = []
    max_queued: int = Field(default=1000, ge=1)
    idempotent: bool = False
    answer_retention_s: int = Field(default=3600, ge=1)
    retry_budget_percent: float = Field(default=10, ge=0, le=100)
    hedge_budget_percent: float = Field(default=0, ge=0, le=100)


class ConfigDocument(_Document):
    """The whole published configuration of a fleet."""

    name: str = "fleet"
    zones: dict[str, ZoneDocument] = {}
    pools: dict[str, PoolDocument] = {}
    instances: dict[str, InstanceDocument] = {}
    teams: dict[str, TeamDocument] = {}
    queues: dict[str, QueueDocument] = {}

    @model_validator(mode="after")
    def check_references(self) -> ConfigDocument:
        """Reject names that nothing defines, all in one message."""
        problems = []
        for name, instance in self.instances.items():
            if instance.pool not in self.pools:
                problems.append(f"instances.{name}.pool: no pool {instance.pool!r}")
            if instance.zone not in self.zones:
                problems.append(f"instances.{name}.zone: no zone {instance.zone!r}")
        for name, queue in self.queues.items():
            if queue.pool not in self.pools:
                problems.append(f"queues.{name}.pool: no pool {queue.pool!r}")
            for team in queue.teams:
                if team not in self.teams:
                    problems.append(f"queues.{name}.teams: no team {team!r}")
        problems += self._key_problems()
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def _key_problems(self) -> list[str]:
        # Callers are told apart by the key id alone, up to its first dot.
        problems = []
        owner_by_key: dict[str, str] = {}
        for team, document in self.teams.items():
            for key_id in document.keys:
                place = f"teams.{team}.keys.{key_id}"
                if "." in key_id or not key_id:
                    problems.append(f"{place}: a key id is not empty and has no dot")
                owner = owner_by_key.setdefault(key_id, team)
                if owner != team:
                    problems.append(f"{place}: team {owner!r} has this key id too")
        return problems


@dataclass(frozen=True, slots=True)
class Key:
    """A team key as published: only its salted hash."""

    id: str
    team: str
    salt: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its weight and its upper limit of running tasks."""

    id: str
    share: float
    upper_limit: int


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone and whether tasks may start in it."""

    id: str
    region: str = "default"
    state: ZoneState = ZoneState.IN
    max_unavailable: int | None = None


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool with its availability budget, in instances."""

    id: str
    max_unavailable: int = 1
    max_unavailable_per_rack: int = 1
    needed: int = 0
    spare: bool = False


@dataclass(frozen=True, slots=True)
class Instance:
    """A worker instance; ``pool`` is the wanted pool."""

    id: str
    pool: str
    zone: str
    rack: str
    address: str
    size: Resources


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of work, served by one pool and by spare pools in surges."""

    id: str
    pool: str
    kind: QueueKind = QueueKind.INTERACTIVE
    open_to_all: bool = False
    teams: frozenset[str] = frozenset()
    max_queued: int = 1000
    idempotent: bool = False
    answer_retention_s: int = 3600
    retry_budget_percent: float = 10
    hedge_budget_percent: float = 0


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The configuration in force, indexed for use inside programs."""

    version: int = 0
    name: str = "fleet"
    zone_by_id: Mapping[str, Zone] = field(default_factory=dict)
    pool_by_id: Mapping[str, Pool] = field(default_factory=dict)
    instance_by_id: Mapping[str, Instance] = field(default_factory=dict)
    team_by_id: Mapping[str, Team] = field(default_factory=dict)
    queue_by_id: Mapping[str, Queue] = field(default_factory=dict)
    key_by_id: Mapping[str, Key] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ConfigError:
    """Why a document is not a valid configuration, one line per problem."""

    problems: tuple[str, ...]


def merge_patch(target: Any, patch: Any) -> Any:
    """Apply an RFC 7396 JSON merge patch and return the new value.

    ``merge_patch({"a": 1, "b": 2}, {"a": None})`` gives ``{"b": 2}``.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
            continue
        merged[name] = merge_patch(merged.get(name), value)
    return merged


def parse_config(
    document: Mapping[str, Any], version: int
) -> FleetConfig | ConfigError:
    """Validate a document and index it, or return every problem found."""
    try:
        checked = ConfigDocument.model_validate(document)
    except ValidationError as error:
        return ConfigError(tuple(_describe(item) for item in error.errors()))
    return _index(checked, version)


def _describe(item: Mapping[str, Any]) -> str:
    place = ".".join(str(part) for part in item["loc"]) or "document"
    return f"{place}: {item['msg']}"


def _index(document: ConfigDocument, version: int) -> FleetConfig:
    return FleetConfig(
        version=version,
        name=document.name,
        zone_by_id={
            name: Zone(name, zone.region, zone.state, zone.max_unavailable)
            for name, zone in document.zones.items()
        },
        pool_by_id={
            name: Pool(
                name,
                pool.max_unavailable,
                pool.max_unavailable_per_rack,
                pool.needed,
                pool.spare,
            )
            for name, pool in document.pools.items()
        },
        instance_by_id={
            name: Instance(
                name,
                instance.pool,
                instance.zone,
                instance.rack,
                instance.address,
                Resources(instance.cores, instance.memory_mb, instance.accelerators),
            )
            for name, instance in document.instances.items()
        },
        team_by_id={
            name: Team(name, team.share, team.upper_limit)
            for name, team in document.teams.items()
        },
        queue_by_id={
            name: Queue(
                name,
                queue.pool,
                queue.kind,
                queue.open_to_all,
                frozenset(queue.teams),
                queue.max_queued,
                queue.idempotent,
                queue.answer_retention_s,
                queue.retry_budget_percent,
                queue.hedge_budget_percent,
            )
            for name, queue in document.queues.items()
        },
        key_by_id={
            key_id: Key(
                key_id, team_id, bytes.fromhex(key.salt), bytes.fromhex(key.digest)
            )
            for team_id, team in document.teams.items()
            for key_id, key in team.keys.items()
        },
    )


def canonical_json(document: Mapping[str, Any]) -> str:
    """Serialise a document so that equal documents give equal text."""
    return json.dumps(document, sort_keys=True, separators=(",", ":"))
