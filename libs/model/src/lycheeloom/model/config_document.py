"""The published configuration document and its validation."""

from __future__ import annotations

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field, model_validator


class ZoneState(StrEnum):
    """Whether an availability zone is in service: tasks start only in ``IN``."""

    IN = "in"
    OUT = "out"


class QueueKind(StrEnum):
    """Whether callers wait for the requests of a queue or they may be delayed."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class _Document(BaseModel):
    # extra: Unknown fields are kept, so that a program can read documents of newer
    # versions.
    # allow_inf_nan: Strict JSON has no infinity or NaN, and shares are divided by
    # each other.
    model_config = ConfigDict(extra="allow", frozen=True, allow_inf_nan=False)


class KeyDocument(_Document):
    """A salted hash of one organisation key, both in hexadecimal."""

    salt: str = Field(pattern=r"^[0-9a-f]{16,32}$")
    digest: str = Field(pattern=r"^[0-9a-f]{64}$")


class OrganisationDocument(_Document):
    """An organisation with its keys, its share and its upper limit.

    ``share`` is a relative weight that applies when the fleet is full.
    """

    share: float = Field(gt=0)
    upper_limit: int = Field(ge=1, description="running tasks across the fleet")
    keys: dict[str, KeyDocument] = {}


class ZoneDocument(_Document):
    """An availability zone and its limit of unavailable instances."""

    region: str = "default"
    state: ZoneState = ZoneState.IN
    max_unavailable: int | None = Field(default=None, ge=0)


class PoolDocument(_Document):
    """A pool of instances with its availability budget.

    A pool with ``spare`` set serves requests of any queue when there are too many
    for the queue's own pool.
    """

    max_unavailable: int = Field(default=1, ge=0)
    max_unavailable_per_rack: int = Field(default=1, ge=0)
    needed: int = Field(
        default=0, ge=0, description="minimum number of instances in service"
    )
    spare: bool = False


class InstanceDocument(_Document):
    """A worker instance: its pool, location, address and resources."""

    pool: str
    zone: str
    rack: str
    address: str
    cores: float = Field(gt=0)
    memory_mb: int = Field(gt=0)
    accelerators: int = Field(default=0, ge=0)


class QueueDocument(_Document):
    """A queue of requests, served by one pool."""

    pool: str
    kind: QueueKind = QueueKind.INTERACTIVE
    open_to_all: bool = False
    organisations: list[str] = []
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
    organisations: dict[str, OrganisationDocument] = {}
    queues: dict[str, QueueDocument] = {}

    @model_validator(mode="after")
    def check_references(self) -> ConfigDocument:
        """Report all references to undefined names in one error."""
        problems = []
        for name, instance in self.instances.items():
            if instance.pool not in self.pools:
                problems.append(f"instances.{name}.pool: no pool {instance.pool!r}")
            if instance.zone not in self.zones:
                problems.append(f"instances.{name}.zone: no zone {instance.zone!r}")
        for name, queue in self.queues.items():
            if queue.pool not in self.pools:
                problems.append(f"queues.{name}.pool: no pool {queue.pool!r}")
            for organisation in queue.organisations:
                if organisation not in self.organisations:
                    problems.append(
                        f"queues.{name}.organisations: no organisation {organisation!r}"
                    )
        problems += self._key_problems()
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def _key_problems(self) -> list[str]:
        # A key is "<key id>.<secret>" and is looked up by its key id, so an id must
        # not contain a dot and must belong to a single organisation.
        problems = []
        owner_by_key: dict[str, str] = {}
        for organisation, document in self.organisations.items():
            for key_id in document.keys:
                path = f"organisations.{organisation}.keys.{key_id}"
                if "." in key_id or not key_id:
                    problems.append(f"{path}: a key id is not empty and has no dot")
                owner = owner_by_key.setdefault(key_id, organisation)
                if owner != organisation:
                    problems.append(
                        f"{path}: organisation {owner!r} has this key id too"
                    )
        return problems
