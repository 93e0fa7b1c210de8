"""Clients of the log service, the workers and the platform's instance service."""

from lycheeloom.model.lazy_exports import lazy_exports

_MODULE_BY_NAME = {
    "ActionRefused": "tasks",
    "ActionState": "instances",
    "ActionStatus": "instances",
    "AppendRefusal": "log",
    "AppendRefused": "log",
    "AppendUnknown": "log",
    "Appended": "log",
    "CallFailed": "transport",
    "Expired": "log",
    "InstanceClient": "instances",
    "InstanceList": "instances",
    "InstanceState": "instances",
    "ListedInstance": "instances",
    "LogClient": "log",
    "ReadBatches": "log",
    "Response": "transport",
    "Session": "tasks",
    "StartRefusal": "tasks",
    "StartRefused": "tasks",
    "StartUnknown": "tasks",
    "TaskReport": "tasks",
    "TaskStart": "tasks",
    "TaskStatus": "tasks",
    "TaskUsage": "tasks",
    "Transport": "transport",
    "Unavailable": "results",
    "UsageReport": "tasks",
    "WorkerClient": "worker",
}
__all__ = sorted(_MODULE_BY_NAME)

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
