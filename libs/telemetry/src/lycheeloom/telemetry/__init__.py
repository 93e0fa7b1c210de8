"""Logs and traces; metrics come from ``prometheus_client`` directly."""

from .logs import configure_logging, format_value, log_event
from .traces import ActiveSpan, LineSpanExporter, Tracer

__all__ = [
    "ActiveSpan",
    "LineSpanExporter",
    "Tracer",
    "configure_logging",
    "format_value",
    "log_event",
]
