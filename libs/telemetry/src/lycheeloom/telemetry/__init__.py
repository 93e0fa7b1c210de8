"""Logging and tracing; for metrics, programs use ``prometheus_client`` directly.

The modules are imported on first use, so that a process loads only those it needs:
many processes start at the same time after a loss of power.
"""

from importlib import import_module

_MODULE_BY_NAME = {
    "ActiveSpan": "traces",
    "BoundedOutput": "bounded_output",
    "LineSpanExporter": "traces",
    "Tracer": "traces",
    "configure_logging": "logs",
    "format_value": "logs",
    "log_event": "logs",
    "standard_output": "bounded_output",
}
__all__ = sorted(_MODULE_BY_NAME)


def __getattr__(name: str) -> object:
    """Import the module that defines a name when the name is first used."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = globals()[name] = getattr(import_module(f".{module}", __name__), name)
    return value
