"""Logging; for metrics, programs use ``prometheus_client`` directly.

Tracing is in ``lycheeloom.telemetry.traces``. It is not imported here, as programs
without traces would otherwise load the libraries of OpenTelemetry.
"""

from .bounded_output import BoundedOutput, standard_output
from .logs import configure_logging, format_value, log_event

__all__ = [
    "BoundedOutput",
    "configure_logging",
    "format_value",
    "log_event",
    "standard_output",
]
