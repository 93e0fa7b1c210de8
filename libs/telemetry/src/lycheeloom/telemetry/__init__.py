"""Logging and tracing; for metrics, programs use ``prometheus_client`` directly."""

from .bounded_output import BoundedOutput, standard_output
from .logs import configure_logging, format_value, log_event
from .traces import ActiveSpan, LineSpanExporter, Tracer

__all__ = [
    "ActiveSpan",
    "BoundedOutput",
    "LineSpanExporter",
    "Tracer",
    "configure_logging",
    "format_value",
    "log_event",
    "standard_output",
]
