"""How entries tell each other what each organisation runs and has queued.

Heartbeats carry the usage. A list in a heartbeat is either complete or holds only the
organisations whose usage has changed since it was last sent to the same peer.
"""

from __future__ import annotations

from collections.abc import Iterable

from lycheeloom.wire import Heartbeat, OrganisationUsage

# Time between complete lists to one peer. Complete lists are expensive: for 210
# organisations encoding and decoding one takes 15 ms, and with one to and one from each
# of 8 peers every 10 s that would be 2.4% of a core.
COMPLETE_INTERVAL_S = 60.0
# Time between complete lists while more organisations change than one heartbeat can
# carry. It bounds how long a small change waits behind larger ones.
BACKLOG_INTERVAL_S = 10.0
# Maximum number of organisations in a list of changes. This bounds the size of a
# heartbeat when the usage of every organisation changes: the largest changes are sent
# first and the rest follow in the next heartbeats.
MAX_CHANGED_ORGANISATIONS = 12


class UsageSender:
    """Selects the local usage to send with each heartbeat to one peer."""

    def __init__(self) -> None:
        self._last_sent: dict[str, OrganisationUsage] = {}
        self._last_complete_at: float | None = None
        # Set when the changes did not fit into one list, until the next complete list.
        self._has_backlog = False

    def reset(self) -> None:
        """Make the next list complete.

        To be called for a new connection, as the peer may have missed changes.
        """
        self._last_complete_at = None

    def select(
        self, usage: dict[str, OrganisationUsage], now_s: float
    ) -> tuple[tuple[OrganisationUsage, ...], bool]:
        """Return the usage to send and whether the list is complete.

        ``usage`` is the current usage by organisation, ``now_s`` the monotonic time.
        """
        interval_s = BACKLOG_INTERVAL_S if self._has_backlog else COMPLETE_INTERVAL_S
        if (
            self._last_complete_at is None
            or now_s >= self._last_complete_at + interval_s
        ):
            self._last_sent = dict(usage)
            self._last_complete_at = now_s
            self._has_backlog = False
            return tuple(usage.values()), True
        changed_usage = self._changed_usage(usage)
        if len(changed_usage) > MAX_CHANGED_ORGANISATIONS:
            self._has_backlog = True
            changed_usage = changed_usage[:MAX_CHANGED_ORGANISATIONS]
        for item in changed_usage:
            self._last_sent[item.organisation] = item
        return tuple(changed_usage), False

    def _changed_usage(
        self, usage: dict[str, OrganisationUsage]
    ) -> list[OrganisationUsage]:
        """Return the usage that has changed since it was sent, largest change first.

        An organisation that is missing in ``usage`` has ended all tasks and requests.
        """
        changes: list[tuple[int, OrganisationUsage]] = []
        for organisation in usage.keys() | self._last_sent.keys():
            current = usage.get(organisation) or OrganisationUsage(organisation, 0, 0)
            sent = self._last_sent.get(organisation) or OrganisationUsage(
                organisation, 0, 0
            )
            if current == sent:
                continue
            difference = abs(current.running - sent.running) + abs(
                current.queued - sent.queued
            )
            changes.append((difference, current))
        changes.sort(key=lambda change: (-change[0], change[1].organisation))
        return [current for _, current in changes]


class UsageView:
    """The usage by organisation and the reserved workers that one peer has reported.

    Organisations without running tasks and queued requests are left out.
    """

    def __init__(self) -> None:
        self.usage_by_organisation: dict[str, OrganisationUsage] = {}
        self.reserved_workers: tuple[str, ...] = ()
        # The peer's send time of the newest heartbeat that has been applied.
        self._newest_heartbeat_us = 0

    def update(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat of the peer, unless a newer heartbeat has been applied.

        An older heartbeat may arrive late over a previous connection.
        """
        if heartbeat.sent_us <= self._newest_heartbeat_us:
            return
        self._newest_heartbeat_us = heartbeat.sent_us
        self.reserved_workers = heartbeat.reserved_workers
        if heartbeat.complete:
            self.usage_by_organisation = _nonzero_usage(heartbeat.usage)
            return
        for item in heartbeat.usage:
            self.usage_by_organisation.pop(item.organisation, None)
        self.usage_by_organisation.update(_nonzero_usage(heartbeat.usage))


def _nonzero_usage(usage: Iterable[OrganisationUsage]) -> dict[str, OrganisationUsage]:
    return {item.organisation: item for item in usage if item.running or item.queued}
