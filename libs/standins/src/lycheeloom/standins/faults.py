"""Faults that can be switched on at every stand-in."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from typing import Any


@dataclass(slots=True)
class Faults:
    """Faults in force at one stand-in; all off by default.

    ``down`` refuses connections. ``outage`` responds to every request with 503.
    ``slow_ms`` delays each request. ``lose_answers`` carries out that many requests
    but closes their connections instead of responding; -1 means all requests.
    ``lag_ms`` is the age of the state that the instance list and usage reports show.
    ``lapse_leases`` expires every session and task lease. ``fail_all`` fails every
    task at a worker; other stand-ins respond with 500. ``silent`` leaves the
    connections that are open when it is set without any further response, even after
    it is cleared; later connections are not affected.
    """

    down: bool = False
    outage: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    lag_ms: int = 0
    lapse_leases: bool = False
    fail_all: bool = False
    silent: bool = False

    def as_dict(self) -> dict[str, Any]:
        return asdict(self)


@dataclass(frozen=True, slots=True)
class BadFaults:
    """A fault setting that does not exist or has the wrong type."""

    reason: str


def validate_faults(changes: Any) -> BadFaults | None:
    """Return why ``changes`` cannot be applied, or None if they can."""
    if not isinstance(changes, dict):
        return BadFaults("faults must be a JSON object")
    kind_by_name = {field.name: field.type for field in fields(Faults)}
    for name, value in changes.items():
        kind = kind_by_name.get(name)
        if kind is None:
            allowed = ", ".join(sorted(kind_by_name))
            return BadFaults(f"unknown fault {name!r}; allowed: {allowed}")
        if type(value).__name__ != kind:
            return BadFaults(f"fault {name!r} must be of type {kind}")
    return None
