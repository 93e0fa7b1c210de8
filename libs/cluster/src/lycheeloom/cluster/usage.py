"""Usage of organisations as exchanged between entries."""

from __future__ import annotations

from collections.abc import Iterable

from lycheeloom.wire import Heartbeat, OrganisationUsage

# Encoding and decoding the usage of 210 organisations takes 15 ms, so that a
# complete list
# to and from each of 8 peers every 10 s would take 2.4% of a core.
COMPLETE_INTERVAL_S = 60.0
# Bounds how long a small change waits behind larger ones.
BACKLOG_INTERVAL_S = 10.0
# Bounds the bytes of a heartbeat when the usage of every organisation changes; the
# largest changes go first and the rest follow in the next heartbeats.
MAX_CHANGED_ORGANISATIONS = 12


class UsageSender:
    """Chooses what a heartbeat to one peer tells about the local usage."""

    def __init__(self) -> None:
        self._sent: dict[str, OrganisationUsage] = {}
        self._complete_at: float | None = None
        self._has_backlog = False

    def forget(self) -> None:
        """Send a complete list next, as the peer may have missed something."""
        self._complete_at = None

    def choose(
        self, usage: dict[str, OrganisationUsage], now: float
    ) -> tuple[tuple[OrganisationUsage, ...], bool]:
        """Return the organisations to send and whether they are all in use."""
        interval_s = BACKLOG_INTERVAL_S if self._has_backlog else COMPLETE_INTERVAL_S
        if self._complete_at is None or now >= self._complete_at + interval_s:
            self._sent = dict(usage)
            self._complete_at = now
            self._has_backlog = False
            return tuple(usage.values()), True
        changed = self._changes(usage)
        if len(changed) > MAX_CHANGED_ORGANISATIONS:
            self._has_backlog = True
            changed = changed[:MAX_CHANGED_ORGANISATIONS]
        for item in changed:
            self._sent[item.organisation] = item
        return tuple(changed), False

    def _changes(self, usage: dict[str, OrganisationUsage]) -> list[OrganisationUsage]:
        changed: list[tuple[int, OrganisationUsage]] = []
        for organisation in usage.keys() | self._sent.keys():
            now = usage.get(organisation) or OrganisationUsage(organisation, 0, 0)
            before = self._sent.get(organisation) or OrganisationUsage(
                organisation, 0, 0
            )
            if now == before:
                continue
            size = abs(now.running - before.running) + abs(now.queued - before.queued)
            changed.append((size, now))
        changed.sort(key=lambda item: (-item[0], item[1].organisation))
        return [item for _, item in changed]


class UsageView:
    """What one peer said about its usage."""

    def __init__(self) -> None:
        self.usage_by_organisation: dict[str, OrganisationUsage] = {}
        self.reserved_workers: tuple[str, ...] = ()
        self._newest_sent_us = 0

    def take(self, heartbeat: Heartbeat) -> None:
        """Adopt a heartbeat; one that arrives late over an old connection is
        dropped.
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
