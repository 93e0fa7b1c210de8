"""Stand-ins for the platform, for tests and the demo."""

from .faults import Faults
from .instances import Instance, InstancesStandIn
from .ledger import peak_concurrency
from .log import LogLimits, LogStandIn
from .platform import PlatformStandIns
from .server import StandIn
from .tasks import Amount, TaskStatus
from .worker import WorkerStandIn

__all__ = [
    "Amount",
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
