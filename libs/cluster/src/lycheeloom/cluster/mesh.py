"""Links to all peers and the server that answers their messages."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from lycheeloom.log import LogTail, OfferResult
from lycheeloom.model.ticks import seconds_until_tick
from lycheeloom.wire import (
    Heartbeat,
    OrganisationUsage,
    OutcomeReport,
    OutcomeRequest,
    PeerBody,
    PeerMessage,
    RangeRequest,
    RecordRelay,
)

from .framing import Connection, PeerConnectionError, Traffic, connect
from .freshness import Freshness
from .link import ANSWER_TIMEOUT_S, MAX_RELAY_BYTES, PeerLink
from .usage import UsageView

# Peers send heartbeats twice a second; a connection without messages for this long is
# no longer used by its sender.
IDLE_TIMEOUT_S = 10.0
# Bounds the greenlets of dead connections that were not closed.
MAX_INBOUND_CONNECTIONS = 512
SYNC_INTERVAL_S = 0.2
# Largest value of the heartbeat's field, an unsigned 32-bit integer.
_MAX_LOG_AGE_MS = 2**32 - 1


@dataclass(slots=True)
class PeerView:
    """What the latest heartbeats of a peer have told this process."""

    heard_at: float = -math.inf
    next_offset: int = 0
    draining: bool = False
    usage: UsageView = field(default_factory=UsageView)


class PeerMesh:
    """Exchanges heartbeats, usage and relayed records with the other entries.

    The peers are the other active members of the replayed state, so call ``start``
    after the tail has recovered. The entry sets ``usage_by_organisation`` to its local
    usage; ``usage_by_peer()`` returns the usage of the other entries.
    """

    def __init__(
        self,
        incarnation: str,
        tail: LogTail,
        freshness: Freshness,
        *,
        clock: Callable[[], float] = time.monotonic,
        connect: Callable[[str, float], Connection] = connect,
    ) -> None:
        self.incarnation = incarnation
        self.tail = tail
        self.clock = clock
        self.draining = False
        self.traffic = Traffic()
        self.usage_by_organisation: dict[str, OrganisationUsage] = {}
        self.reserved_workers: tuple[str, ...] = ()
        # Answers outcome requests of controllers; set by the entry.
        self.report_outcomes: Callable[[int], OutcomeReport] = lambda after: (
            OutcomeReport(after)
        )
        # Members that this process votes to expel; it does not confirm their
        # heartbeats.
        self.unconfirmed_peers: set[str] = set()
        self._freshness = freshness
        self._connect = connect
        self._view_by_peer: dict[str, PeerView] = {}
        self._link_by_peer: dict[str, PeerLink] = {}
        self._greenlet_by_peer: dict[str, gevent.Greenlet] = {}
        self._server: StreamServer | None = None
        self._sync_greenlet: gevent.Greenlet | None = None

    def start(self, host: str, port: int = 0) -> int:
        """Listen and connect to peers; returns the port."""
        self._server = StreamServer(
            (host, port), self._serve, spawn=Pool(MAX_INBOUND_CONNECTIONS)
        )
        self._server.start()
        self._sync_greenlet = gevent.spawn(self._run_sync)
        return self._server.server_port

    def stop(self) -> None:
        """Close all connections."""
        if self._sync_greenlet is not None:
            self._sync_greenlet.kill()
        for peer in list(self._link_by_peer):
            self._drop_link(peer)
        if self._server is not None:
            self._server.stop(timeout=0.1)

    def view(self, peer: str) -> PeerView:
        """Return the view of a peer; for an unknown peer, that of a silent one."""
        return self._view_by_peer.get(peer) or PeerView()

    def usage_by_peer(self) -> Mapping[str, Mapping[str, OrganisationUsage]]:
        """Return the usage by organisation of each peer that is a member."""
        members = self.tail.state.members
        return {
            peer: view.usage.usage_by_organisation
            for peer, view in self._view_by_peer.items()
            if members.is_active(peer)
        }

    def workers_reserved_by_peers(self) -> frozenset[str]:
        """Return the workers that peers need for large or urgent tasks."""
        members = self.tail.state.members
        return frozenset(
            worker
            for peer, view in self._view_by_peer.items()
            if members.is_active(peer)
            for worker in view.usage.reserved_workers
        )

    def reserve_workers(self, workers: tuple[str, ...]) -> None:
        """Set the workers that this process needs and tell peers of new ones early.

        The next regular heartbeat, up to 0.5 s later, is too late: by then peers have
        used the capacity that was freed for an urgent task.
        """
        if set(workers) <= set(self.reserved_workers):
            # No worker is new, so the next regular heartbeat is early enough.
            self.reserved_workers = workers
            return
        self.reserved_workers = workers
        for link in self._link_by_peer.values():
            link.send_early.set()

    def log_age_s(self) -> float:
        """Return the time since the last log read that reached its end was sent."""
        return self.clock() - self.tail.last_read_sent_at

    def sync_peers(self) -> None:
        """Open links to new members and drop those to former members."""
        address_by_peer = {
            member.incarnation: member.address
            for member in self.tail.state.members.active()
            if member.incarnation != self.incarnation
        }
        for peer, link in list(self._link_by_peer.items()):
            if address_by_peer.get(peer) != link.address:
                self._drop_link(peer)
        for peer, address in address_by_peer.items():
            if peer not in self._link_by_peer:
                self._add_link(peer, address)
        for peer in list(self._view_by_peer):
            if peer not in address_by_peer:
                del self._view_by_peer[peer]

    def own_heartbeat(
        self,
        echo_us: int,
        usage: tuple[OrganisationUsage, ...] = (),
        complete: bool = False,
    ) -> Heartbeat:
        """Return a heartbeat of this process to send now."""
        age_s = self.log_age_s()
        age_ms = (
            _MAX_LOG_AGE_MS
            if age_s * 1000 > _MAX_LOG_AGE_MS
            else math.ceil(age_s * 1000)
        )
        return Heartbeat(
            max(1, int(self.clock() * 1_000_000)),
            echo_us,
            self.tail.next_offset,
            max(0, age_ms),
            self.draining,
            usage,
            complete,
            self.reserved_workers,
        )

    def handle_answer(
        self, peer: str, sent_us: int, answer: Heartbeat, sent_at: float
    ) -> None:
        """Handle a peer's answer to a heartbeat that was sent at ``sent_at``."""
        self._update_view(peer, answer)
        # The peer measured the age of its log read after the heartbeat was sent, so
        # that read was sent at ``read_at`` or later.
        read_at = sent_at - answer.log_age_ms / 1000
        self._freshness.add_position(peer, read_at, answer.next_offset)
        if answer.echo_us == sent_us:
            self._freshness.add_confirmation(peer, sent_at, answer.next_offset)

    def handle(self, message: PeerMessage) -> PeerMessage:
        """Return the answer to a peer's message."""
        match message.body:
            case Heartbeat() as heartbeat:
                is_confirmed = self._may_confirm(message.sender)
                if self.tail.state.members.is_active(message.sender):
                    self._update_view(message.sender, heartbeat)
                    self._view_by_peer[message.sender].usage.update(heartbeat)
                echo_us = heartbeat.sent_us if is_confirmed else 0
                return self._answer(self.own_heartbeat(echo_us))
            case RecordRelay(offset, batches):
                self._apply_relay(offset, batches)
                return self._answer(self.own_heartbeat(0))
            case RangeRequest(first_offset):
                batches = self.tail.ring.read(first_offset, MAX_RELAY_BYTES)
                return self._answer(RecordRelay(first_offset, batches))
            case OutcomeRequest(after_period):
                return self._answer(self.report_outcomes(after_period))
            case OutcomeReport():
                # Only sent as an answer; a sender by mistake gets a heartbeat.
                return self._answer(self.own_heartbeat(0))

    def _answer(self, body: PeerBody) -> PeerMessage:
        return PeerMessage(self.incarnation, body)

    def _apply_relay(self, offset: int, batches: tuple[bytes, ...]) -> None:
        # At a gap, the next offset in the answer tells the sender where to continue.
        for position, encoded in enumerate(batches, offset):
            if self.tail.offer(position, encoded) is OfferResult.GAP:
                return

    def _may_confirm(self, peer: str) -> bool:
        return peer not in self.unconfirmed_peers and self.tail.state.members.is_active(
            peer
        )

    def _update_view(self, peer: str, heartbeat: Heartbeat) -> None:
        view = self._view_by_peer.setdefault(peer, PeerView())
        view.heard_at = self.clock()
        view.next_offset = max(view.next_offset, heartbeat.next_offset)
        view.draining = heartbeat.draining

    def _serve(self, sock: socket.socket, _address: object) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock)
        connection.traffic = self.traffic
        try:
            while True:
                message = connection.receive(IDLE_TIMEOUT_S)
                connection.send(self.handle(message), ANSWER_TIMEOUT_S)
        except PeerConnectionError:
            pass
        finally:
            connection.close()

    def _run_sync(self) -> None:
        while True:
            self.sync_peers()
            gevent.sleep(seconds_until_tick(SYNC_INTERVAL_S))

    def _add_link(self, peer: str, address: str) -> None:
        link = PeerLink(self, peer, address, self._connect)
        self._link_by_peer[peer] = link
        self._greenlet_by_peer[peer] = gevent.spawn(link.run)

    def _drop_link(self, peer: str) -> None:
        self._greenlet_by_peer.pop(peer).kill(block=False)
        self._link_by_peer.pop(peer)
        self._freshness.drop_peer(peer)
