"""The outbound connection to one peer."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from loguru import logger

from lycheeloom.log import Offer
from lycheeloom.model.limits import HEARTBEAT_INTERVAL_S
from lycheeloom.model.ticks import seconds_until_tick
from lycheeloom.wire import Heartbeat, PeerMessage, RangeRequest, RecordRelay

from .framing import Connection, PeerConnectionError
from .usage import UsageSender

if TYPE_CHECKING:
    from .mesh import PeerMesh

CONNECT_TIMEOUT_S = 0.4
# Bounds the heartbeats that are sent early.
SHORTEST_INTERVAL_S = 0.1
# A connection that went silent is given up soon enough for a heartbeat over a
# new one before FRESHNESS_S (1.5 s) has passed since the last answered one:
# one heartbeat interval (0.5 s), this, and a round trip.
ANSWER_TIMEOUT_S = 0.7
# A peer that reads the log is up to LONG_POLL_S and a round trip old; one that
# does not gets relayed records before it stops being fresh.
RELAY_AFTER_S = 0.8
# Bounds the time between heartbeats while a peer catches up; it goes on in the
# next exchange.
MAX_RELAY_ROUNDS = 8
RELAY_BYTES = 512 * 1024


class PeerLink:
    """Sends heartbeats to one peer and exchanges missing records with it.

    Each message is answered on the same connection, so one bounded wait finds a
    silent connection in either direction.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        peer: str,
        address: str,
        connect: Callable[[str, float], Connection],
    ) -> None:
        self.peer = peer
        self.address = address
        self.replaced_connections = 0
        # Set to send the next heartbeat before its interval has passed.
        self.early = Event()
        self._mesh = mesh
        self._connect = connect
        self._usage = UsageSender()
        self._connection: Connection | None = None

    def run(self) -> None:
        """Send heartbeats until stopped."""
        # A new peer is given the time to replay that this process joined: until it
        # says so, this process may not vote against it.
        gevent.sleep(seconds_until_tick(HEARTBEAT_INTERVAL_S))
        try:
            while True:
                started_at = self._mesh.clock()
                self._beat_safely()
                self._rest(started_at)
        finally:
            self.close()

    def _rest(self, started_at: float) -> None:
        """Wait for the next heartbeat, or for one that is asked for earlier.

        The heartbeats to all peers leave together, in one pass of the event loop.
        """
        if self.early.wait(seconds_until_tick(HEARTBEAT_INTERVAL_S)):
            gap_s = started_at + SHORTEST_INTERVAL_S - self._mesh.clock()
            gevent.sleep(max(0.0, gap_s))
            self.early.clear()

    def _beat_safely(self) -> None:
        # A peer of another version must not end the link to it for good.
        try:
            self.beat()
        except Exception:
            logger.exception("event=heartbeat_failed peer={}", self.peer)
            self.close()

    def beat(self) -> bool:
        """Exchange one heartbeat and missing records; tells whether it worked.

        A failure on a connection that was open before is followed at once by an
        attempt on a new one.
        """
        if self._connection is not None and self._try_exchange():
            return True
        if not self._open():
            return False
        return self._try_exchange()

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _open(self) -> bool:
        try:
            self._connection = self._connect(self.address, CONNECT_TIMEOUT_S)
        except PeerConnectionError:
            return False
        self._connection.traffic = self._mesh.traffic
        self._usage.forget()
        return True

    def _try_exchange(self) -> bool:
        try:
            self._exchange()
        except PeerConnectionError:
            self.close()
            self.replaced_connections += 1
            return False
        return True

    def _exchange(self) -> None:
        mesh = self._mesh
        sent_at = mesh.clock()
        usage, complete = self._usage.choose(mesh.usage_by_organisation, sent_at)
        heartbeat = mesh.own_heartbeat(0, usage, complete)
        answer = self._call_for_heartbeat(heartbeat)
        mesh.take_answer(self.peer, heartbeat.sent_us, answer, sent_at)
        for _ in range(MAX_RELAY_ROUNDS):
            if answer.next_offset > mesh.tail.next_offset:
                if mesh.log_age_s() < RELAY_AFTER_S or not self._fetch():
                    return
            elif answer.next_offset < mesh.tail.next_offset:
                if answer.log_age_ms < RELAY_AFTER_S * 1000:
                    return
                progress = self._push(answer.next_offset)
                if progress is None or progress.next_offset <= answer.next_offset:
                    return
                answer = progress
            else:
                return

    def _fetch(self) -> bool:
        """Request the records after the last replayed one; tells if any came."""
        tail = self._mesh.tail
        first = tail.next_offset
        answer = self._call(RangeRequest(first))
        if not isinstance(answer, RecordRelay):
            raise PeerConnectionError("a range request was not answered by a relay")
        for offset, encoded in enumerate(answer.batches, answer.offset):
            if tail.offer(offset, encoded) is Offer.GAP:
                return False
        return tail.next_offset > first

    def _push(self, first: int) -> Heartbeat | None:
        batches = self._mesh.tail.ring.read(first, RELAY_BYTES)
        if not batches:
            return None
        return self._call_for_heartbeat(RecordRelay(first, batches))

    def _call_for_heartbeat(self, body: Heartbeat | RecordRelay) -> Heartbeat:
        answer = self._call(body)
        if not isinstance(answer, Heartbeat):
            raise PeerConnectionError("the answer is not a heartbeat")
        return answer

    def _call(
        self, body: Heartbeat | RecordRelay | RangeRequest
    ) -> Heartbeat | RecordRelay | RangeRequest:
        connection = self._connection
        if connection is None:
            raise PeerConnectionError("closed")
        message = PeerMessage(self._mesh.incarnation, body)
        answer = connection.call(message, ANSWER_TIMEOUT_S)
        if answer.sender != self.peer:
            # Another incarnation now serves this address; its answers prove
            # nothing about the member that this link stands for.
            raise PeerConnectionError(f"answered by {answer.sender}")
        return answer.body
