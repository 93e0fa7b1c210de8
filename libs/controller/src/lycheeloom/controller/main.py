"""The ``lycheeloom-controller`` program."""

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
from lycheeloom.telemetry import configure_logging  # noqa: E402

from .service import PROGRAM_VERSION, ControllerService  # noqa: E402
from .settings import Settings  # noqa: E402

PROGRAM = Program(
    name="lycheeloom-controller",
    version=PROGRAM_VERSION,
    description="Plan maintenance, pool moves and repair of a fleet.",
    epilog="Example: lycheeloom-controller controller.toml. Exit codes: 0 after "
    "a shutdown, 2 for bad settings.",
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a controller; returns 0 after a shutdown, 2 for bad settings."""
    settings = read_settings(PROGRAM, Settings, arguments)
    if isinstance(settings, ExitCode):
        return settings
    configure_logging(f"controller-{settings.instance}", settings.log_level)
    service = ControllerService(settings)
    stop_on_signals(service.stop)
    service.run()
    return ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
