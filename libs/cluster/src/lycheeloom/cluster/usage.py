"""Exchange of the usage of organisations between entries."""

from __future__ import annotations

from collections.abc import Iterable

from lycheeloom.wire import Heartbeat, OrganisationUsage

# Interval of complete lists. Encoding and decoding the usage of 210 organisations takes
# 15 ms, so a complete list to and from each of 8 peers every 10 s would take 2.4% of a
# core.
COMPLETE_INTERVAL_S = 60.0
# Interval of complete lists while changes wait to be sent; bounds how long a small
# change waits behind larger ones.
BACKLOG_INTERVAL_S = 10.0
# Bounds the bytes of a heartbeat when the usage of every organisation changes; the
# largest changes go first and the rest follow in the next heartbeats.
MAX_CHANGED_ORGANISATIONS = 12


class UsageSender:
    """Selects the local usage to send with each heartbeat to one peer."""

    def __init__(self) -> None:
        self._last_sent: dict[str, OrganisationUsage] = {}
        self._last_complete_at: float | None = None
        self._has_backlog = False

    def reset(self) -> None:
        """Send a complete list next, as the peer may have missed changes."""
        self._last_complete_at = None

    def select(
        self, usage: dict[str, OrganisationUsage], now: float
    ) -> tuple[tuple[OrganisationUsage, ...], bool]:
        """Return the usage to send and whether the list is complete."""
        interval_s = BACKLOG_INTERVAL_S if self._has_backlog else COMPLETE_INTERVAL_S
        if self._last_complete_at is None or now >= self._last_complete_at + interval_s:
            self._last_sent = dict(usage)
            self._last_complete_at = now
            self._has_backlog = False
            return tuple(usage.values()), True
        changed = self._changes(usage)
        if len(changed) > MAX_CHANGED_ORGANISATIONS:
            self._has_backlog = True
            changed = changed[:MAX_CHANGED_ORGANISATIONS]
        for item in changed:
            self._last_sent[item.organisation] = item
        return tuple(changed), False

    def _changes(self, usage: dict[str, OrganisationUsage]) -> list[OrganisationUsage]:
        changed: list[tuple[int, OrganisationUsage]] = []
        for organisation in usage.keys() | self._last_sent.keys():
            now = usage.get(organisation) or OrganisationUsage(organisation, 0, 0)
            before = self._last_sent.get(organisation) or OrganisationUsage(
                organisation, 0, 0
            )
            if now == before:
                continue
            size = abs(now.running - before.running) + abs(now.queued - before.queued)
            changed.append((size, now))
        changed.sort(key=lambda item: (-item[0], item[1].organisation))
        return [item for _, item in changed]


class UsageView:
    """The usage and reserved workers that one peer has reported."""

    def __init__(self) -> None:
        self.usage_by_organisation: dict[str, OrganisationUsage] = {}
        self.reserved_workers: tuple[str, ...] = ()
        self._newest_sent_us = 0

    def update(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat, unless a newer one has been applied.

        An older one may arrive late over a previous connection.
        """
        if heartbeat.sent_us <= self._newest_sent_us:
            return
        self._newest_sent_us = heartbeat.sent_us
        self.reserved_workers = heartbeat.reserved_workers
        if heartbeat.complete:
            self.usage_by_organisation = _in_use(heartbeat.usage)
            return
        for item in heartbeat.usage:
            self.usage_by_organisation.pop(item.organisation, None)
        self.usage_by_organisation.update(_in_use(heartbeat.usage))


def _in_use(usage: Iterable[OrganisationUsage]) -> dict[str, OrganisationUsage]:
    return {item.organisation: item for item in usage if item.running or item.queued}
