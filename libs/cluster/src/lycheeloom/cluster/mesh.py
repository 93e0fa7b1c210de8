"""Links to all peers and answers to their messages."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from lycheeloom.log import LogTail, Offer
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
from .link import ANSWER_TIMEOUT_S, RELAY_BYTES, PeerLink
from .usage import UsageView

# Peers send twice a second; a connection without messages for this long has a
# sender that is gone or has replaced it.
IDLE_TIMEOUT_S = 10.0
# Bounds the greenlets of connections that went silent without being closed.
MAX_INBOUND_CONNECTIONS = 512
SYNC_INTERVAL_S = 0.2
_MAX_AGE_MS = 2**32 - 1


@dataclass(slots=True)
class PeerView:
    """What this process last heard from a peer."""

    heard_at: float = -math.inf
    next_offset: int = 0
    draining: bool = False
    usage: UsageView = field(default_factory=UsageView)


class PeerMesh:
    """Heartbeats, usage and relayed records between the entries.

    Call ``start`` after the tail has recovered. Peers come from the members on
    record. ``usage_by_organisation`` is the local usage, set by the entry; the usage of
    the others is ``usage_by_peer()``.
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
        # Answers controllers, set by the entry.
        self.report_outcomes: Callable[[int], OutcomeReport] = lambda after: (
            OutcomeReport(after)
        )
        # Members that this process votes against; it does not confirm them.
        self.withheld: set[str] = set()
        self._freshness = freshness
        self._connect = connect
        self._view_by_peer: dict[str, PeerView] = {}
        self._link_by_peer: dict[str, PeerLink] = {}
        self._greenlet_by_peer: dict[str, gevent.Greenlet] = {}
        self._server: StreamServer | None = None
        self._sync: gevent.Greenlet | None = None

    def start(self, host: str, port: int = 0) -> int:
        """Listen and connect to peers; returns the port."""
        self._server = StreamServer(
            (host, port), self._serve, spawn=Pool(MAX_INBOUND_CONNECTIONS)
        )
        self._server.start()
        self._sync = gevent.spawn(self._run_sync)
        return self._server.server_port

    def stop(self) -> None:
        """Close all connections."""
        if self._sync is not None:
            self._sync.kill()
        for peer in list(self._link_by_peer):
            self._drop_link(peer)
        if self._server is not None:
            self._server.stop(timeout=0.1)

    def view(self, peer: str) -> PeerView:
        """Return what was heard from a peer; never heard if unknown."""
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
        """Tell peers early which workers this process needs free.

        With the next regular heartbeat, up to 0.5 s later, peers had filled the
        room that was made for an urgent task.
        """
        if set(workers) <= set(self.reserved_workers):
            # Workers that are free again can wait for the next heartbeat.
            self.reserved_workers = workers
            return
        self.reserved_workers = workers
        for link in self._link_by_peer.values():
            link.early.set()

    def log_age_s(self) -> float:
        """Return the time since the last successful log read was sent."""
        return self.clock() - self.tail.last_read_sent_at

    def sync_peers(self) -> None:
        """Open links to new members and drop those to members that are gone."""
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
        """Return a heartbeat of this process, sent now."""
        age_s = self.log_age_s()
        age_ms = _MAX_AGE_MS if age_s * 1000 > _MAX_AGE_MS else math.ceil(age_s * 1000)
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

    def take_answer(
        self, peer: str, sent_us: int, answer: Heartbeat, sent_at: float
    ) -> None:
        """Use a peer's answer to a heartbeat that was sent at ``sent_at``."""
        self._hear(peer, answer)
        # The answer was made after the heartbeat was sent, so the peer's log read
        # is no older than this.
        read_at = sent_at - answer.log_age_ms / 1000
        self._freshness.note_position(peer, read_at, answer.next_offset)
        if answer.echo_us == sent_us:
            self._freshness.confirm(peer, sent_at, answer.next_offset)

    def handle(self, message: PeerMessage) -> PeerMessage:
        """Return the answer to a peer's message."""
        match message.body:
            case Heartbeat() as heartbeat:
                is_confirmed = self._confirms(message.sender)
                if self.tail.state.members.is_active(message.sender):
                    self._hear(message.sender, heartbeat)
                    self._view_by_peer[message.sender].usage.take(heartbeat)
                echo_us = heartbeat.sent_us if is_confirmed else 0
                return self._answer(self.own_heartbeat(echo_us))
            case RecordRelay(offset, batches):
                self._take_relay(offset, batches)
                return self._answer(self.own_heartbeat(0))
            case RangeRequest(first_offset):
                batches = self.tail.ring.read(first_offset, RELAY_BYTES)
                return self._answer(RecordRelay(first_offset, batches))
            case OutcomeRequest(after_period):
                return self._answer(self.report_outcomes(after_period))
            case OutcomeReport():
                # Only ever an answer; a process that sends one learns the offset.
                return self._answer(self.own_heartbeat(0))

    def _answer(self, body: PeerBody) -> PeerMessage:
        return PeerMessage(self.incarnation, body)

    def _take_relay(self, offset: int, batches: tuple[bytes, ...]) -> None:
        # After a gap the answer's offset tells the sender where to go on.
        for position, encoded in enumerate(batches, offset):
            if self.tail.offer(position, encoded) is Offer.GAP:
                return

    def _confirms(self, peer: str) -> bool:
        return peer not in self.withheld and self.tail.state.members.is_active(peer)

    def _hear(self, peer: str, heartbeat: Heartbeat) -> None:
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
        self._freshness.forget(peer)
