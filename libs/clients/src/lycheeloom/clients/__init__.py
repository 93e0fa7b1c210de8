"""Clients of the log service, the workers and the platform's instance service."""

from .instances import (
    ActionState,
    ActionStatus,
    InstanceClient,
    InstanceList,
    InstanceState,
    ListedInstance,
)
from .log import (
    Appended,
    AppendRefusal,
    AppendRefused,
    AppendUnknown,
    Expired,
    LogClient,
    ReadBatches,
)
from .results import Unavailable
from .tasks import (
    ActionRefused,
    Session,
    StartRefusal,
    StartRefused,
    StartUnknown,
    TaskReport,
    TaskStart,
    TaskStatus,
    TaskUsage,
    UsageReport,
)
from .transport import CallFailed, Response, Transport
from .worker import WorkerClient

__all__ = [
    "ActionRefused",
    "ActionState",
    "ActionStatus",
    "AppendRefusal",
    "AppendRefused",
    "AppendUnknown",
    "Appended",
    "CallFailed",
    "Expired",
    "InstanceClient",
    "InstanceList",
    "InstanceState",
    "ListedInstance",
    "LogClient",
    "ReadBatches",
    "Response",
    "Session",
    "StartRefusal",
    "StartRefused",
    "StartUnknown",
    "TaskReport",
    "TaskStart",
    "TaskStatus",
    "TaskUsage",
    "Transport",
    "Unavailable",
    "UsageReport",
    "WorkerClient",
]
