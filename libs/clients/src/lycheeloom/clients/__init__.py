"""Clients of the log service, the workers and the platform's instance service.

The modules are imported on first use, so that a process loads only those it needs:
many processes start at the same time after a loss of power.
"""

from importlib import import_module

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


def __getattr__(name: str) -> object:
    """Import the module that defines a name when the name is first used."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = globals()[name] = getattr(import_module(f".{module}", __name__), name)
    return value
