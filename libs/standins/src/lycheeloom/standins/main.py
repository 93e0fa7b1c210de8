"""Program ``lycheeloom-standins``: runs all stand-ins in one process."""

from __future__ import annotations

import argparse
import signal
import sys
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import gevent
from gevent.event import Event

from .platform import PlatformStandIns
from .settings import BadSettings, build_platform, load_settings

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_BAD_SETTINGS = 2


def main(argv: list[str] | None = None) -> int:
    """Run until SIGTERM or SIGINT and return the exit code.

    0: stopped by a signal, or ``--check-config`` found the settings valid. 1: a
    listening port is unavailable. 2: invalid arguments or settings.
    """
    arguments = _parse_arguments(argv)
    settings = load_settings(arguments.settings)
    if isinstance(settings, BadSettings):
        print(settings.reason, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments.check_config:
        print(f"{arguments.settings}: valid")
        return EXIT_OK
    platform = build_platform(settings)
    stopped = Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, stopped.set)
    try:
        platform.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    _print_addresses(platform)
    stopped.wait()
    platform.stop()
    return EXIT_OK


def _parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="lycheeloom-standins",
        description="Stand-ins for the platform's log, instance list and workers.",
    )
    parser.add_argument("settings", type=Path, help="TOML settings file")
    parser.add_argument(
        "--check-config", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=_version())
    return parser.parse_args(argv)


def _version() -> str:
    try:
        return version("lycheeloom-standins")
    except PackageNotFoundError:
        return "unknown"


def _print_addresses(platform: PlatformStandIns) -> None:
    for standin in [*platform.by_name.values(), platform.control]:
        print(f"event=listening standin={standin.name} address={standin.address}")
    print("event=ready", flush=True)


if __name__ == "__main__":
    sys.exit(main())
