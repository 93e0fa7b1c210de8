"""Formats the status of the fleet as text tables."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from lycheeloom.model.records import WaveState
from lycheeloom.model.status import StatusDocument, WaveStatus

from .entries import EntryUnavailable
from .output import table

_ENDED_WAVE_STATES = (WaveState.DONE, WaveState.ABORTED)
# The headers and rows of a table.
TableData = tuple[Sequence[str], list[Sequence[Any]]]


def status_lines(
    newest: StatusDocument | None,
    statuses: Mapping[str, StatusDocument | EntryUnavailable],
) -> list[str]:
    """Return the tables about the fleet and the table of its entries.

    The tables about the fleet show ``newest``, the status of the entry that has read
    the log furthest; it is None if no entry answered.
    """
    lines: list[str] = []
    if newest is None:
        lines.append("No entry answered.")
    elif newest.config_version == 0:
        lines.append("No configuration is published yet (version 0).")
    else:
        lines.append(
            f"Fleet {newest.name}, configuration version {newest.config_version}, "
            f"seen by {newest.instance or newest.incarnation}."
        )
        for title, table_data in _fleet_tables(newest):
            lines += ["", title, *table(*table_data)]
    return [*lines, "", "Entries", *table(*_entry_table(statuses))]


def wave_table(waves: Mapping[str, WaveStatus]) -> TableData:
    """Return the headers and a row for each wave."""
    headers = ("wave", "state", "done", "in progress", "failed", "ends in", "reason")
    return headers, [
        (
            name,
            str(wave.state),
            f"{wave.done} of {wave.total}",
            wave.in_progress,
            wave.failed,
            "ended"
            if wave.state in _ENDED_WAVE_STATES
            else format_duration(wave.ends_in_s),
            wave.reason,
        )
        for name, wave in waves.items()
    ]


def format_duration(seconds: float | None) -> str:
    """Return a duration in seconds, minutes or hours, with 3 significant digits."""
    if seconds is None:
        return "unknown"
    if seconds < 120:
        return f"{seconds:.3g} s"
    if seconds < 7200:
        return f"{seconds / 60:.3g} min"
    return f"{seconds / 3600:.3g} h"


def _fleet_tables(status: StatusDocument) -> Iterator[tuple[str, TableData]]:
    """Yield the title and the data of each table about the fleet."""
    yield "Organisations", _organisation_table(status)
    yield "Queues", _queue_table(status)
    yield "Zones", _zone_table(status)
    yield "Pools", _pool_table(status)
    if status.waves:
        yield "Maintenance waves", wave_table(status.waves)


def _organisation_table(status: StatusDocument) -> TableData:
    headers = (
        "organisation",
        "running",
        "limit",
        "granted",
        "queued",
        "share",
        "uses",
        "due",
    )
    return headers, [
        (
            name,
            organisation.running,
            organisation.upper_limit,
            organisation.granted,
            organisation.queued,
            organisation.share,
            f"{organisation.dominant_share:.1%}",
            f"{organisation.entitlement:.1%}",
        )
        for name, organisation in status.organisations.items()
    ]


def _queue_table(status: StatusDocument) -> TableData:
    headers = ("queue", "pool", "kind", "running", "queued", "at most", "oldest")
    return headers, [
        (
            name,
            queue.pool,
            str(queue.kind),
            queue.running,
            queue.queued,
            queue.max_queued,
            format_duration(queue.oldest_wait_ms / 1000),
        )
        for name, queue in status.queues.items()
    ]


def _zone_table(status: StatusDocument) -> TableData:
    headers = ("zone", "state", "in service", "workers", "running")
    return headers, [
        (name, str(zone.state), zone.in_service, zone.workers, zone.running)
        for name, zone in status.zones.items()
    ]


def _pool_table(status: StatusDocument) -> TableData:
    headers = (
        "pool",
        "in service",
        "workers",
        "needed",
        "buffer",
        "wanted",
        "unavailable",
    )
    return headers, [
        (
            f"{name} (spare)" if pool.spare else name,
            pool.in_service,
            pool.workers,
            pool.needed,
            pool.buffer,
            pool.buffer_wanted,
            f"{pool.unavailable} of {pool.max_unavailable}",
        )
        for name, pool in status.pools.items()
    ]


def _entry_table(
    statuses: Mapping[str, StatusDocument | EntryUnavailable],
) -> TableData:
    headers = ("entry", "instance", "zone", "state", "version", "log read", "offset")
    rows: list[Sequence[Any]] = []
    for address, status in statuses.items():
        if isinstance(status, EntryUnavailable):
            rows.append((address, "", "", f"no answer: {status.reason}", "", "", ""))
            continue
        log_age_s = None if status.log_age_ms is None else status.log_age_ms / 1000
        rows.append(
            (
                address,
                status.instance,
                status.zone,
                _entry_state(status),
                status.config_version,
                "never" if log_age_s is None else f"{format_duration(log_age_s)} ago",
                status.next_offset,
            )
        )
    return headers, rows


def _entry_state(status: StatusDocument) -> str:
    if status.draining:
        return "draining"
    return "fresh" if status.fresh else "not fresh"
