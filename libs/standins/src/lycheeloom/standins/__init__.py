"""Stand-ins for the platform, for tests and the demo."""

from .faults import Faults
from .instances import Instance, InstancesStandIn
from .ledger import peak_concurrency
from .log import LogLimits, LogStandIn
from .platform import PlatformStandIns
from .server import StandIn
from .tasks import ResourceAmounts, TaskStatus
from .worker import WorkerStandIn

__all__ = [
    "ResourceAmounts",
    "Faults",
    "Instance",
    "InstancesStandIn",
    "LogLimits",
    "LogStandIn",
    "PlatformStandIns",
    "StandIn",
    "TaskStatus",
    "WorkerStandIn",
    "peak_concurrency",
]
