"""Start-up code shared by all daemons: arguments, settings and signals."""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

import gevent

from .loading import BadSettings, Model, load_settings


class ExitCode(IntEnum):
    """Exit codes of the daemons."""

    OK = 0
    CANNOT_LISTEN = 1
    BAD_SETTINGS = 2


@dataclass(frozen=True, slots=True)
class Program:
    """Texts for the command line help of a daemon."""

    name: str
    version: str
    description: str
    epilog: str


def read_settings(
    program: Program, model: type[Model], arguments: Sequence[str] | None = None
) -> Model | ExitCode:
    """Parse the command line and return the settings.

    Returns an exit code instead if the settings are not valid or are only to be
    checked. Problems are printed to standard error. ``--help``, ``--version`` and
    invalid arguments exit the process, as usual with argparse.
    """
    options = _parse_arguments(program, arguments)
    settings = load_settings(options.settings, model)
    if isinstance(settings, BadSettings):
        for problem in settings.problems:
            print(problem, file=sys.stderr)
        return ExitCode.BAD_SETTINGS
    if options.check_config:
        print(f"{options.settings}: no problems found")
        return ExitCode.OK
    return settings


def stop_on_signals(stop: Callable[[], None]) -> None:
    """Call ``stop`` in a new greenlet on SIGTERM and on SIGINT."""
    gevent.signal_handler(signal.SIGTERM, stop)
    gevent.signal_handler(signal.SIGINT, stop)


def _parse_arguments(
    program: Program, arguments: Sequence[str] | None
) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog=program.name, description=program.description, epilog=program.epilog
    )
    parser.add_argument("settings", type=Path, help="TOML file with the settings")
    parser.add_argument(
        "--check-config", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=program.version)
    return parser.parse_args(arguments)
