"""The ``lycheeloom-entry`` program."""

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
from lycheeloom.telemetry import configure_logging, log_event  # noqa: E402

from .service import PROGRAM_VERSION, EntryService  # noqa: E402
from .settings import Settings  # noqa: E402

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_BAD_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run an entry and return its exit code.

    0 after a shutdown, 1 if it cannot listen, 2 for bad settings.
    """
    options = _parse_arguments(arguments)
    settings = load_settings(options.settings, Settings)
    if isinstance(settings, BadSettings):
        for problem in settings.problems:
            print(problem, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check_config:
        print(f"{options.settings}: no problems found")
        return EXIT_OK
    configure_logging(settings.instance, settings.log_level)
    service = EntryService(settings)
    gevent.signal_handler(signal.SIGTERM, service.stop)
    gevent.signal_handler(signal.SIGINT, service.stop)
    try:
        service.run()
    except OSError as error:
        # Only listening can fail; every call has a result that says so.
        log_event("cannot_listen", "ERROR", reason=str(error))
        return EXIT_CANNOT_LISTEN
    return EXIT_OK


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="lycheeloom-entry",
        description="Accept requests of teams and run them on workers.",
        epilog="Example: lycheeloom-entry entry.toml. Exit codes: 0 after a "
        "shutdown, 1 if an address cannot be used, 2 for bad settings.",
    )
    parser.add_argument("settings", type=Path, help="TOML file with the settings")
    parser.add_argument(
        "--check-config", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=PROGRAM_VERSION)
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(main())
