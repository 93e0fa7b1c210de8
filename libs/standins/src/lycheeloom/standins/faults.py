"""Fault switches that every stand-in has."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from typing import Any


@dataclass(slots=True)
class Faults:
    """Faults in force at one stand-in; all off by default.

    ``down`` refuses connections. ``outage`` answers 503. ``slow_ms`` delays each
    request. ``lose_answers`` closes the connection after the effect for that many
    answers, or for all with -1. ``lag_ms`` ages the instance list and usage
    reports. ``lapse_leases`` ends every session and task lease. ``fail_all`` fails
    every task, or answers 500 elsewhere. ``silent`` makes the connections open at
    the time it is set never answer again, also after it is cleared.
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
    """Return what is wrong with ``changes``, or None."""
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
