"""Log lines of key=value pairs, one for each event."""

from __future__ import annotations

import sys
from typing import Any, Protocol

from loguru import logger

_FORMAT = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} "
    "process={extra[process]} {message}"
)
_lowest_level_no = 0
_QUOTED_CHARACTERS = frozenset(' "=\n\r\t')


class LineOutput(Protocol):
    """Takes whole lines."""

    def write(self, line: str) -> None: ...


def configure_logging(
    process: str, level: str = "INFO", output: LineOutput | None = None
) -> None:
    """Send log lines of this process to an output, standard error by default.

    ``level`` is one of loguru's level names; others raise ``ValueError``.
    """
    global _lowest_level_no
    _lowest_level_no = logger.level(level).no
    logger.remove()
    logger.configure(extra={"process": process})
    sink = sys.stderr if output is None else output.write
    logger.add(sink, format=_FORMAT, level=level, backtrace=False, diagnose=False)


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one line: ``log_event("zone_out", zone="z1")``."""
    if logger.level(level).no < _lowest_level_no:
        return
    pairs = [f"event={event}"]
    pairs.extend(f"{name}={format_value(value)}" for name, value in fields.items())
    # The message is passed as an argument, so that braces in values stay literal.
    logger.opt(depth=1).log(level, "{}", " ".join(pairs))


def format_value(value: Any) -> str:
    """Return a value as it stands behind ``=``, quoted where needed."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and not _QUOTED_CHARACTERS.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'
