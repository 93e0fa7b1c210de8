"""The published configuration document and its validation."""

from __future__ import annotations

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field, model_validator


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
    """A salted hash of one organisation key, both in hexadecimal."""

    salt: str = Field(pattern=r"^[0-9a-f]{16,32}$")
    digest: str = Field(pattern=r"^[0-9a-f]{64}$")


class OrganisationDocument(_Document):
    """An organisation with its weight on a full fleet and its upper limit."""

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
        # Callers are told apart by the key id alone, up to its first dot.
        problems = []
        owner_by_key: dict[str, str] = {}
        for organisation, document in self.organisations.items():
            for key_id in document.keys:
                place = f"organisations.{organisation}.keys.{key_id}"
                if "." in key_id or not key_id:
                    problems.append(f"{place}: a key id is not empty and has no dot")
                owner = owner_by_key.setdefault(key_id, organisation)
                if owner != organisation:
                    problems.append(
                        f"{place}: organisation {owner!r} has this key id too"
                    )
        return problems
