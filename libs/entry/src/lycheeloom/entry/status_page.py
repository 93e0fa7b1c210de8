"""The status page: one HTML document without scripts, readable on a phone."""

from __future__ import annotations

from pathlib import Path

from bottle import SimpleTemplate

from lycheeloom.model.status import OrganisationStatus, StatusDocument, WaveStatus

# SimpleTemplate escapes every value, so names cannot inject markup.
_TEMPLATE = SimpleTemplate(
    Path(__file__).with_name("status_page.tpl").read_text(encoding="utf-8")
)


def render_status_page(status: StatusDocument) -> str:
    """Return the status of one entry and the fleet as one HTML page.

    The page contains its style sheet, loads nothing else and asks the browser
    to reload it every 5 s.
    """
    return _TEMPLATE.render(
        status=status,
        warnings=_warnings(status),
        percent=_percent,
        duration=_duration,
        level=_organisation_level,
        wave_end=_wave_end,
    )


def _warnings(status: StatusDocument) -> list[str]:
    warnings = []
    if not status.fresh:
        warnings.append(
            "This entry is not fresh: it refuses new work until it hears the log "
            "or a majority of the entries."
        )
    if status.draining:
        warnings.append("This entry is draining: it takes no new work.")
    for name, zone in status.zones.items():
        if zone.state == "out":
            warnings.append(f"Zone {name} is out of service.")
    for name, pool in status.pools.items():
        if pool.in_service < pool.needed:
            warnings.append(
                f"Pool {name} has {pool.in_service} workers in service and needs "
                f"{pool.needed}."
            )
    for name, wave in status.waves.items():
        if wave.state == "paused":
            warnings.append(f"Wave {name} is paused. {wave.reason}".strip())
    return warnings


def _organisation_level(organisation: OrganisationStatus) -> str:
    if organisation.upper_limit and organisation.running >= organisation.upper_limit:
        return "at its limit"
    # A share up to 5% below the entitlement counts as reached.
    if (
        organisation.queued
        and organisation.dominant_share < 0.95 * organisation.entitlement
    ):
        return "below its share"
    return "ok"


def _wave_end(wave: WaveStatus) -> str:
    if wave.state != "running":
        return ""
    if wave.ends_in_s is None:
        return ", end not known"
    return f", ends in about {_duration(wave.ends_in_s)}"


def _percent(fraction: float) -> str:
    return f"{100 * fraction:.1f}%"


def _duration(seconds: float | None) -> str:
    if seconds is None:
        return "unknown"
    if seconds < 10:
        return f"{seconds:.1f} s"
    if seconds < 120:
        return f"{seconds:.0f} s"
    if seconds < 7200:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.1f} h"
