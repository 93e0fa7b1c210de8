"""Loading of TOML settings, command line and signal handling of daemons."""

from .daemon import ExitCode, Program, read_settings, stop_on_signals
from .loading import ADDRESS_PATTERN, BadSettings, load_settings, split_address

__all__ = [
    "ADDRESS_PATTERN",
    "BadSettings",
    "ExitCode",
    "Program",
    "load_settings",
    "read_settings",
    "split_address",
    "stop_on_signals",
]
