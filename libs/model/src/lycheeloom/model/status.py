"""The status document that each entry serves at ``GET /v1/status``.

Every field has a default: an entry fills in what it knows, and a reader of
another program version still understands the rest. Durations end in ``_ms`` or
``_s``; counts of instances and tasks have no suffix.
"""

from __future__ import annotations

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field

from .config import QueueKind, ZoneState
from .records import WaveState


class MemberState(StrEnum):
    """How an entry sees another member."""

    LIVE = "live"
    SILENT = "silent"
    DRAINING = "draining"
    EXPELLED = "expelled"


class _Status(BaseModel):
    model_config = ConfigDict(extra="allow", frozen=True)


class MemberStatus(_Status):
    """One member on record, as seen by the entry that answers."""

    incarnation: str
    instance: str = ""
    address: str = ""
    zone: str = ""
    state: MemberState = MemberState.LIVE
    heard_ms: int | None = Field(default=None, description="since its last heartbeat")
    knows_reporter: bool = Field(
        default=False,
        description="whether it has replayed that the entry that reports this joined; "
        "until then that entry may not vote to expel it",
    )
    program_version: str = ""


class OrganisationStatus(_Status):
    """Usage of one organisation against its share and its upper limit."""

    running: int = Field(default=0, description="running tasks across the fleet")
    queued: int = Field(default=0, description="waiting requests across the fleet")
    share: float = Field(default=0, description="weight, as configured")
    entitlement: float = Field(
        default=0, description="fraction of the fleet due now, 0 to 1"
    )
    dominant_share: float = Field(
        default=0, description="fraction of the fleet in use now, 0 to 1"
    )
    upper_limit: int = Field(default=0, description="running tasks allowed")
    grant: int = Field(default=0, description="running slots held by this entry")
    granted: int = Field(default=0, description="running slots held by all entries")


class QueueStatus(_Status):
    """One queue."""

    pool: str = ""
    kind: QueueKind = QueueKind.INTERACTIVE
    running: int = 0
    queued: int = 0
    max_queued: int = 0
    oldest_wait_ms: int = Field(default=0, description="age of the oldest waiting")


class ZoneStatus(_Status):
    """One availability zone."""

    region: str = ""
    state: ZoneState = ZoneState.IN
    workers: int = Field(default=0, description="worker instances on record")
    in_service: int = Field(default=0, description="workers that may start tasks")
    running: int = 0


class PoolStatus(_Status):
    """One pool: workers in service against the declared need."""

    workers: int = Field(default=0, description="worker instances in the pool")
    in_service: int = Field(default=0, description="workers that may start tasks")
    needed: int = Field(default=0, description="instances that must serve")
    buffer: int = Field(default=0, description="spare instances it has")
    buffer_wanted: int = Field(
        default=0, description="spare instances that cover the loss of a zone or rack"
    )
    unavailable: int = 0
    max_unavailable: int = 0
    spare: bool = False
    running: int = 0


class WaveStatus(_Status):
    """Progress of one maintenance wave."""

    state: WaveState = WaveState.ABSENT
    pools: list[str] = []
    urgent: bool = False
    total: int = Field(default=0, description="instances in the wave")
    done: int = Field(default=0, description="instances maintained")
    in_progress: int = 0
    failed: int = 0
    ends_in_s: float | None = Field(default=None, description="forecast of the end")
    reason: str = Field(default="", description="why it waits, in a sentence")


class StatusDocument(_Status):
    """What one entry knows about itself and the fleet."""

    name: str = "fleet"
    config_version: int = 0
    instance: str = ""
    incarnation: str = ""
    zone: str = ""
    program_version: str = ""
    fresh: bool = False
    draining: bool = False
    log_age_ms: int | None = Field(
        default=None, description="since the last successful read of the log"
    )
    next_offset: int = Field(default=0, description="next offset to be replayed")
    members: list[MemberStatus] = []
    organisations: dict[str, OrganisationStatus] = {}
    queues: dict[str, QueueStatus] = {}
    zones: dict[str, ZoneStatus] = {}
    pools: dict[str, PoolStatus] = {}
    waves: dict[str, WaveStatus] = {}
