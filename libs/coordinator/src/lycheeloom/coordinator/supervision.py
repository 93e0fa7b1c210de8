"""Keeps the loops of a process running after unexpected exceptions."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import gevent

from lycheeloom.telemetry import log_event

from . import metrics

# Pause before a loop that has failed runs again, so that one that always fails does
# not take the processor.
RESTART_PAUSE_S = 0.5
# Longer texts of exceptions are cut in log lines.
MAX_ERROR_LENGTH = 200


def run_supervised(name: str, loop: Callable[[], None]) -> None:
    """Run a loop until it returns, and again each time that it raises an exception.

    ``run_supervised("inventory", inventory.run)`` returns when ``inventory.run`` does.
    Without supervision an exception would end the greenlet, and the process would go
    on without, for example, following the list of workers.
    """
    while True:
        try:
            loop()
            return
        except Exception as error:
            note_failure(name, error)
        gevent.sleep(RESTART_PAUSE_S)


def note_failure(name: str, error: Exception, **fields: object) -> None:
    """Log and count an unexpected exception in the part of the program ``name``."""
    metrics.UNEXPECTED_ERRORS.labels(name).inc()
    log_event(
        "unexpected_error",
        level="ERROR",
        part=name,
        error=f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH],
        place=_place_of(error),
        **fields,
    )


def _place_of(error: Exception) -> str:
    """Return the file and line that raised an exception, such as ``view.py:31``."""
    traceback = error.__traceback__
    if traceback is None:
        return ""
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    return f"{Path(traceback.tb_frame.f_code.co_filename).name}:{traceback.tb_lineno}"
