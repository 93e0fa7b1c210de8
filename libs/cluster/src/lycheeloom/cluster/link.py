"""The outgoing link to one peer."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from loguru import logger

from lycheeloom.log import OfferResult
from lycheeloom.model.limits import HEARTBEAT_INTERVAL_S
from lycheeloom.model.ticks import seconds_until_tick
from lycheeloom.wire import Heartbeat, PeerMessage, RangeRequest, RecordRelay

from .framing import Connection, PeerConnectionError
from .usage import UsageSender

if TYPE_CHECKING:
    from .mesh import PeerMesh

CONNECT_TIMEOUT_S = 0.4
# Minimum time between heartbeats, also if one is sent early.
MIN_HEARTBEAT_GAP_S = 0.1
# A dead connection is closed early enough to send a heartbeat over a new one before
# FRESHNESS_S (1.5 s) has passed since the last answered heartbeat: the sum of one
# heartbeat interval (0.5 s), this timeout and a round trip is smaller.
ANSWER_TIMEOUT_S = 0.7
# Records are relayed to a process whose last successful log read is at least this old.
# A process that reads the log has a read no older than LONG_POLL_S and a round trip;
# one that does not gets records before it stops being fresh.
RELAY_AFTER_S = 0.8
# Bounds the time between heartbeats while a peer catches up; the relay continues with
# the next heartbeat.
MAX_RELAY_ROUNDS = 8
MAX_RELAY_BYTES = 512 * 1024


class PeerLink:
    """Sends heartbeats to one peer and exchanges missing records with it.

    Each message is answered on the same connection, so one timeout detects a dead
    connection in either direction.
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
        self.send_early = Event()
        self._mesh = mesh
        self._connect = connect
        self._usage = UsageSender()
        self._connection: Connection | None = None

    def run(self) -> None:
        """Send heartbeats until stopped."""
        # Gives a new peer time to replay that this process joined: until its heartbeats
        # show that it has, this process may not vote to expel it.
        gevent.sleep(seconds_until_tick(HEARTBEAT_INTERVAL_S))
        try:
            while True:
                started_at = self._mesh.clock()
                self._exchange_heartbeat_safely()
                self._wait_for_next_heartbeat(started_at)
        finally:
            self.close()

    def _wait_for_next_heartbeat(self, started_at: float) -> None:
        """Wait until the next heartbeat is due or is requested early.

        The heartbeats to all peers are due together, in one pass of the event loop.
        """
        if self.send_early.wait(seconds_until_tick(HEARTBEAT_INTERVAL_S)):
            gap_s = started_at + MIN_HEARTBEAT_GAP_S - self._mesh.clock()
            gevent.sleep(max(0.0, gap_s))
            self.send_early.clear()

    def _exchange_heartbeat_safely(self) -> None:
        # An unexpected answer, as of another program version, must not end the link.
        try:
            self.exchange_heartbeat()
        except Exception:
            logger.exception("event=heartbeat_failed peer={}", self.peer)
            self.close()

    def exchange_heartbeat(self) -> bool:
        """Exchange a heartbeat and missing records; return whether that succeeded.

        If an existing connection fails, the exchange is tried again at once on a new
        one.
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
        self._usage.reset()
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
        usage, complete = self._usage.select(mesh.usage_by_organisation, sent_at)
        heartbeat = mesh.own_heartbeat(0, usage, complete)
        answer = self._call_for_heartbeat(heartbeat)
        mesh.handle_answer(self.peer, heartbeat.sent_us, answer, sent_at)
        for _ in range(MAX_RELAY_ROUNDS):
            if answer.next_offset > mesh.tail.next_offset:
                if mesh.log_age_s() < RELAY_AFTER_S or not self._fetch_batches():
                    return
            elif answer.next_offset < mesh.tail.next_offset:
                if answer.log_age_ms < RELAY_AFTER_S * 1000:
                    return
                progress = self._push_batches(answer.next_offset)
                if progress is None or progress.next_offset <= answer.next_offset:
                    return
                answer = progress
            else:
                return

    def _fetch_batches(self) -> bool:
        """Request the batches from the next offset on; return whether any came."""
        tail = self._mesh.tail
        first = tail.next_offset
        answer = self._call(RangeRequest(first))
        if not isinstance(answer, RecordRelay):
            raise PeerConnectionError("range request was not answered with records")
        for offset, encoded in enumerate(answer.batches, answer.offset):
            if tail.offer(offset, encoded) is OfferResult.GAP:
                return False
        return tail.next_offset > first

    def _push_batches(self, first: int) -> Heartbeat | None:
        batches = self._mesh.tail.ring.read(first, MAX_RELAY_BYTES)
        if not batches:
            return None
        return self._call_for_heartbeat(RecordRelay(first, batches))

    def _call_for_heartbeat(self, body: Heartbeat | RecordRelay) -> Heartbeat:
        answer = self._call(body)
        if not isinstance(answer, Heartbeat):
            raise PeerConnectionError("message was not answered with a heartbeat")
        return answer

    def _call(
        self, body: Heartbeat | RecordRelay | RangeRequest
    ) -> Heartbeat | RecordRelay | RangeRequest:
        connection = self._connection
        if connection is None:
            raise PeerConnectionError("connection is closed")
        message = PeerMessage(self._mesh.incarnation, body)
        answer = connection.call(message, ANSWER_TIMEOUT_S)
        if answer.sender != self.peer:
            # Another incarnation now listens at this address; its answers are no
            # evidence about the member that this link is for.
            raise PeerConnectionError(f"answered by incarnation {answer.sender}")
        return answer.body
