"""The ``lycheeloom-entry`` program."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
from collections.abc import Sequence  # noqa: E402

from lycheeloom.settings import (  # noqa: E402
    ExitCode,
    Program,
    read_settings,
    stop_on_signals,
)
from lycheeloom.telemetry import configure_logging, log_event  # noqa: E402

from .service import PROGRAM_VERSION, EntryService  # noqa: E402
from .settings import Settings  # noqa: E402

PROGRAM = Program(
    name="lycheeloom-entry",
    version=PROGRAM_VERSION,
    description="Accept requests of organisations and run them on workers.",
    epilog="Example: lycheeloom-entry entry.toml. Exit codes: 0 after a "
    "shutdown, 1 if an address cannot be used, 2 for bad settings.",
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run an entry and return its exit code.

    0 after a shutdown, 1 if it cannot listen, 2 for bad settings.
    """
    settings = read_settings(PROGRAM, Settings, arguments)
    if isinstance(settings, ExitCode):
        return settings
    configure_logging(settings.instance, settings.log_level)
    service = EntryService(settings)
    stop_on_signals(service.stop)
    try:
        service.run()
    except OSError as error:
        # Only listening raises OSError; clients return their failures as results.
        log_event("cannot_listen", "ERROR", reason=str(error))
        return ExitCode.CANNOT_LISTEN
    return ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
