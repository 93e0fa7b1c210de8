"""The parsed configuration as data classes, for use inside programs."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .config_document import QueueKind, ZoneState
from .resources import Resources


@dataclass(frozen=True, slots=True)
class Key:
    """An organisation key, stored only as the salted hash of its secret."""

    id: str
    organisation: str
    salt: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with its share and its upper limit of running tasks.

    ``share`` is a relative weight that applies when the fleet is full.
    """

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
    """A pool with its availability budget, counted in instances."""

    id: str
    max_unavailable: int = 1
    max_unavailable_per_rack: int = 1
    needed: int = 0
    spare: bool = False


@dataclass(frozen=True, slots=True)
class Instance:
    """A worker instance; ``pool`` is the pool in which it is meant to be."""

    id: str
    pool: str
    zone: str
    rack: str
    address: str
    size: Resources


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of requests, served by its pool and, under overload, by spare pools."""

    id: str
    pool: str
    kind: QueueKind = QueueKind.INTERACTIVE
    open_to_all: bool = False
    organisations: frozenset[str] = frozenset()
    max_queued: int = 1000
    idempotent: bool = False
    answer_retention_s: int = 3600
    retry_budget_percent: float = 10
    hedge_budget_percent: float = 0


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """One version of the configuration, indexed by id."""

    version: int = 0
    name: str = "fleet"
    zone_by_id: Mapping[str, Zone] = field(default_factory=dict)
    pool_by_id: Mapping[str, Pool] = field(default_factory=dict)
    instance_by_id: Mapping[str, Instance] = field(default_factory=dict)
    organisation_by_id: Mapping[str, Organisation] = field(default_factory=dict)
    queue_by_id: Mapping[str, Queue] = field(default_factory=dict)
    key_by_id: Mapping[str, Key] = field(default_factory=dict)
