"""Structured logging: one line of key=value pairs for each event."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

_FORMAT = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} "
    "process={extra[process]} {message}"
)
# Number that loguru gives to the lowest level that is logged.
_min_level_no = 0
_CHARACTERS_TO_QUOTE = frozenset(' "=\n\r\t')
# Name in loguru's ``extra`` that marks routine lines.
_ROUTINE = "is_routine"
_routine_logger = logger.bind(**{_ROUTINE: True})


class LineOutput(Protocol):
    """Accepts whole lines, each ending with a newline; may drop routine lines."""

    def write(self, line: str, *, is_routine: bool = False) -> None: ...


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
    if output is None:
        sink = sys.stderr
    else:

        def sink(message: Message) -> None:
            is_routine = _ROUTINE in message.record["extra"]
            output.write(message, is_routine=is_routine)

    logger.add(sink, format=_FORMAT, level=level, backtrace=False, diagnose=False)


def log_event(
    event: str, level: str = "INFO", is_routine: bool = False, **fields: Any
) -> None:
    """Write one line for an event.

    ``log_event("zone_out", zone="z1")`` writes ``event=zone_out zone=z1`` after the
    time, the level and the process. Routine lines, those of frequent successes, are
    the first to be dropped in a surge.
    """
    if logger.level(level).no < _min_level_no:
        return
    pairs = [f"event={event}"]
    pairs.extend(f"{name}={format_value(value)}" for name, value in fields.items())
    # The pairs are an argument of the message, as loguru would interpret braces in the
    # message itself.
    event_logger = _routine_logger if is_routine else logger
    event_logger.opt(depth=1).log(level, "{}", " ".join(pairs))


def format_value(value: Any) -> str:
    """Return a value as text for a key=value pair, in quotes if necessary.

    Floats have three decimals.
    """
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and not _CHARACTERS_TO_QUOTE.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'
