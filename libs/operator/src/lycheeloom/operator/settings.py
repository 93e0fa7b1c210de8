"""Settings file of the ``lycheeloom`` command."""

from __future__ import annotations

import getpass
import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from .field_checks import is_address
from .problems import Problem, did_you_mean, format_value
from .toml_reader import read_toml

DEFAULT_PATH = "lycheeloom.toml"
PATH_VARIABLE = "LYCHEELOOM_SETTINGS"
DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 3600
ADDRESS_FORMAT = 'host and port, such as "10.1.0.4:7100"'
ADDRESS_LIST_FORMAT = f"a list of one or more distinct addresses, each {ADDRESS_FORMAT}"
KNOWN_KEYS = (
    "log",
    "entries",
    "controllers",
    "operator",
    "timeout_s",
    "handover_token",
)


@dataclass(frozen=True, slots=True)
class Settings:
    """Addresses of the log, entries and controllers, and the name of the operator.

    Controllers are asked only for explanations. When the log has accepted a batch with
    a change, the batch is also sent directly to each entry, so that the entry need not
    wait until it reads the batch from the log. ``handover_token`` is the bearer token
    of these calls; entries refuse the batch without it.
    """

    log: str
    entries: tuple[str, ...]
    operator: str
    controllers: tuple[str, ...] = ()
    timeout_s: float = DEFAULT_TIMEOUT_S
    handover_token: str = ""


def load_settings(path: str) -> Settings | list[Problem]:
    """Return the settings in a file, or all problems of the file if it has any."""
    file = read_toml(path)
    if isinstance(file, Problem):
        return [file]
    problems = list(check_settings(file.document, path))
    if problems:
        return problems
    values = file.document
    return Settings(
        log=values["log"],
        entries=tuple(values["entries"]),
        controllers=tuple(values.get("controllers", ())),
        operator=values.get("operator") or getpass.getuser(),
        handover_token=values.get("handover_token", ""),
        timeout_s=float(values.get("timeout_s", DEFAULT_TIMEOUT_S)),
    )


def check_settings(values: Mapping[str, Any], path: str) -> Iterator[Problem]:
    """Yield a problem for each wrong setting."""
    for key in values:
        if key not in KNOWN_KEYS:
            wrong = f"is not a known key{did_you_mean(key, KNOWN_KEYS)}"
            yield Problem(path, key, wrong, ", ".join(KNOWN_KEYS))
    yield from _check_log(values, path)
    if "entries" in values:
        yield from _check_addresses("entries", values["entries"], path)
    else:
        yield Problem(path, "entries", "is missing", ADDRESS_LIST_FORMAT)
    if "controllers" in values:
        yield from _check_addresses("controllers", values["controllers"], path)
    operator = values.get("operator", "")
    if not isinstance(operator, str):
        yield Problem(
            path,
            "operator",
            f"is {format_value(operator)}",
            "your name in quotation marks",
        )
    token = values.get("handover_token", "")
    if not isinstance(token, str):
        allowed = "the handover_token of the entries, in quotation marks"
        yield Problem(path, "handover_token", "is not a string", allowed)
    timeout = values.get("timeout_s", DEFAULT_TIMEOUT_S)
    if not _is_timeout(timeout):
        allowed = f"a number of seconds above 0, at most {MAX_TIMEOUT_S}"
        yield Problem(path, "timeout_s", f"is {format_value(timeout)}", allowed)


def _check_log(values: Mapping[str, Any], path: str) -> Iterator[Problem]:
    if "log" not in values:
        yield Problem(path, "log", "is missing", ADDRESS_FORMAT)
        return
    log = values["log"]
    if not isinstance(log, str) or not is_address(log):
        yield Problem(path, "log", f"is {format_value(log)}", ADDRESS_FORMAT)


def _check_addresses(key: str, addresses: Any, path: str) -> Iterator[Problem]:
    if not isinstance(addresses, list) or not addresses:
        yield Problem(path, key, f"is {format_value(addresses)}", ADDRESS_LIST_FORMAT)
        return
    for index, address in enumerate(addresses):
        if not isinstance(address, str) or not is_address(address):
            yield Problem(
                path, key, f"contains {format_value(address)}", ADDRESS_LIST_FORMAT
            )
        elif address in addresses[:index]:
            yield Problem(
                path,
                key,
                f"contains {format_value(address)} twice",
                ADDRESS_LIST_FORMAT,
            )


def _is_timeout(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and 0 < value <= MAX_TIMEOUT_S
