"""Structured logging: one line of key=value pairs for each event."""

from __future__ import annotations

import sys
from typing import Any, Protocol

from loguru import logger

_FORMAT = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} "
    "process={extra[process]} {message}"
)
_min_level_no = 0
_CHARACTERS_TO_QUOTE = frozenset(' "=\n\r\t')


class LineOutput(Protocol):
    """Accepts whole lines, each ending with a newline."""

    def write(self, line: str) -> None: ...


def configure_logging(
    process: str, level: str = "INFO", output: LineOutput | None = None
) -> None:
    """Send the log lines of this process to ``output``, by default standard error.

    ``process`` is the name of the process in each line. ``level`` is the lowest
    level that is logged; raises ``ValueError`` if it is none of loguru's levels.
    """
    global _min_level_no
    _min_level_no = logger.level(level).no
    logger.remove()
    logger.configure(extra={"process": process})
    sink = sys.stderr if output is None else output.write
    logger.add(sink, format=_FORMAT, level=level, backtrace=False, diagnose=False)


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one line for an event: ``log_event("zone_out", zone="z1")``."""
    if logger.level(level).no < _min_level_no:
        return
    pairs = [f"event={event}"]
    pairs.extend(f"{name}={format_value(value)}" for name, value in fields.items())
    # Passed as an argument, as loguru would format braces in a message.
    logger.opt(depth=1).log(level, "{}", " ".join(pairs))


def format_value(value: Any) -> str:
    """Return a value as text for a key=value pair, in quotes if necessary."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and not _CHARACTERS_TO_QUOTE.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'
