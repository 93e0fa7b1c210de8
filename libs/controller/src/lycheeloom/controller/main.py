"""The ``lycheeloom-controller`` program."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from collections.abc import Sequence  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402

from lycheeloom.settings import BadSettings, load_settings  # noqa: E402
from lycheeloom.telemetry import configure_logging  # noqa: E402

from .service import PROGRAM_VERSION, ControllerService  # noqa: E402
from .settings import Settings  # noqa: E402

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a controller; returns 0 after a shutdown, 2 for bad settings."""
    options = _parse_arguments(arguments)
    settings = load_settings(options.settings, Settings)
    if isinstance(settings, BadSettings):
        for problem in settings.problems:
            print(problem, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check_config:
        print(f"{options.settings}: no problems found")
        return EXIT_OK
    configure_logging(f"controller-{settings.instance}", settings.log_level)
    service = ControllerService(settings)
    gevent.signal_handler(signal.SIGTERM, service.stop)
    gevent.signal_handler(signal.SIGINT, service.stop)
    service.run()
    return EXIT_OK


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="lycheeloom-controller",
        description="Plan maintenance, pool moves and repair of a fleet.",
        epilog="Example: lycheeloom-controller controller.toml. Exit codes: 0 after "
        "a shutdown, 2 for bad settings.",
    )
    parser.add_argument("settings", type=Path, help="TOML file with the settings")
    parser.add_argument(
        "--check-config", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=PROGRAM_VERSION)
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(main())
