"""Stand-ins for the platform's services, for tests and the demo.

Each stand-in is an HTTP server that keeps its state in memory: the log, the instance
list or a worker. Its faults can be switched on and off at run time.
"""

from .faults import Faults
from .instances import Instance, InstancesStandIn
from .ledger import peak_concurrency
from .log import LogLimits, LogStandIn
from .platform import PlatformStandIns
from .ports import free_address
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
    "free_address",
    "peak_concurrency",
]
