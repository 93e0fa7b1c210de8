"""The status document that each entry serves at ``GET /v1/status``.

Almost every field has a default, so that an entry can leave out what it does not
know and readers of another program version can still parse the document.
Durations end in ``_ms`` or ``_s``; counts of instances and tasks have no suffix.
"""

from __future__ import annotations

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field

from .config import QueueKind, ZoneState
from .records import WaveState


class MemberState(StrEnum):
    """State of a member as seen by the entry that reports it."""

    LIVE = "live"
    SILENT = "silent"
    DRAINING = "draining"
    EXPELLED = "expelled"


class _Status(BaseModel):
    model_config = ConfigDict(extra="allow", frozen=True)


class MemberStatus(_Status):
    """One member, as seen by the entry that reports it."""

    incarnation: str
    instance: str = ""
    address: str = ""
    zone: str = ""
    state: MemberState = MemberState.LIVE
    heard_ms: int | None = Field(
        default=None, description="time since its last heartbeat"
    )
    knows_reporter: bool = Field(
        default=False,
        description="whether this member has replayed the record by which the "
        "reporting entry joined; until then the reporting entry does not vote to "
        "expel it for silence",
    )
    program_version: str = ""


class OrganisationStatus(_Status):
    """Usage of one organisation compared with its share and its upper limit."""

    running: int = Field(default=0, description="running tasks across the fleet")
    queued: int = Field(default=0, description="queued requests across the fleet")
    share: float = Field(default=0, description="configured relative weight")
    entitlement: float = Field(
        default=0, description="fraction of the fleet it is entitled to now, 0 to 1"
    )
    dominant_share: float = Field(
        default=0, description="fraction of the fleet in use now, 0 to 1"
    )
    upper_limit: int = Field(default=0, description="maximum number of running tasks")
    grant: int = Field(default=0, description="running slots held by this entry")
    granted: int = Field(default=0, description="running slots held by all entries")


class QueueStatus(_Status):
    """Load of one queue compared with its limit."""

    pool: str = ""
    kind: QueueKind = QueueKind.INTERACTIVE
    running: int = 0
    queued: int = 0
    max_queued: int = 0
    oldest_wait_ms: int = Field(
        default=0, description="age of the oldest queued request"
    )


class ZoneStatus(_Status):
    """Workers and running tasks of one availability zone."""

    region: str = ""
    state: ZoneState = ZoneState.IN
    workers: int = Field(default=0, description="configured worker instances")
    in_service: int = Field(default=0, description="workers that may start tasks")
    running: int = 0


class PoolStatus(_Status):
    """Workers in service in one pool compared with its configured need."""

    workers: int = Field(default=0, description="worker instances in the pool")
    in_service: int = Field(default=0, description="workers that may start tasks")
    needed: int = Field(default=0, description="minimum number of instances in service")
    buffer: int = Field(
        default=0, description="instances that it has beyond the needed ones"
    )
    buffer_wanted: int = Field(
        default=0,
        description="instances beyond the needed ones that cover the loss of a zone "
        "or rack",
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
    done: int = Field(default=0, description="instances whose maintenance is done")
    in_progress: int = 0
    failed: int = 0
    ends_in_s: float | None = Field(
        default=None, description="estimated time until it ends"
    )
    reason: str = Field(default="", description="why it waits, as a sentence")


class StatusDocument(_Status):
    """State of one entry and of the fleet as that entry sees it."""

    name: str = "fleet"
    config_version: int = 0
    instance: str = ""
    incarnation: str = ""
    zone: str = ""
    program_version: str = ""
    fresh: bool = False
    draining: bool = False
    log_age_ms: int | None = Field(
        default=None, description="time since the last successful read of the log"
    )
    next_offset: int = Field(default=0, description="next log offset to be replayed")
    members: list[MemberStatus] = []
    organisations: dict[str, OrganisationStatus] = {}
    queues: dict[str, QueueStatus] = {}
    zones: dict[str, ZoneStatus] = {}
    pools: dict[str, PoolStatus] = {}
    waves: dict[str, WaveStatus] = {}
