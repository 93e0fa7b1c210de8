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
# Minimum time between two heartbeats, even if one is requested early.
MIN_HEARTBEAT_GAP_S = 0.1
# A dead connection is closed early enough that a heartbeat over a new connection is
# answered before FRESHNESS_S (1.5 s) has passed since the last answered heartbeat was
# sent: the sum of one heartbeat interval (0.5 s), this timeout and a round trip is
# smaller.
ANSWER_TIMEOUT_S = 0.7
# Batches are relayed to a process whose last successful log read was sent at least this
# long ago. In a process that can read the log, the last read is no older than
# LONG_POLL_S and a round trip. A process that cannot read the log gets batches before
# it stops being fresh (FRESHNESS_S).
RELAY_AFTER_S = 0.8
# Maximum number of messages with batches in one exchange. This bounds the time between
# heartbeats while a peer catches up; the relay continues after the next heartbeat.
MAX_RELAY_ROUNDS = 8
# Maximum size of the batches in one message.
MAX_RELAY_BYTES = 512 * 1024


class PeerLink:
    """Sends heartbeats to one peer and exchanges missing batches with it.

    The answer to a heartbeat shows which side has replayed more of the log. If the
    other side cannot read the log, the side that is ahead relays batches to it. Each
    message is answered on the same connection, so one timeout detects a dead connection
    in either direction.
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
        self.failed_exchanges = 0
        # To be set to send the next heartbeat before its interval has passed.
        self.early_heartbeat_requested = Event()
        self._mesh = mesh
        self._connect = connect
        self._usage_sender = UsageSender()
        self._connection: Connection | None = None

    def run(self) -> None:
        """Send heartbeats until stopped."""
        # Gives a new peer time to replay the join of this process. Until the peer's
        # heartbeats show that it has, this process may not vote to expel the peer.
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

        The heartbeats to all peers are due at the same time, so that one iteration of
        the event loop sends them all.
        """
        if self.early_heartbeat_requested.wait(
            seconds_until_tick(HEARTBEAT_INTERVAL_S)
        ):
            remaining_s = started_at + MIN_HEARTBEAT_GAP_S - self._mesh.clock()
            gevent.sleep(max(0.0, remaining_s))
            self.early_heartbeat_requested.clear()

    def _exchange_heartbeat_safely(self) -> None:
        # An unexpected answer, for example from another program version, must not end
        # the link.
        try:
            self.exchange_heartbeat()
        except Exception:
            logger.exception("event=heartbeat_failed peer={}", self.peer)
            self.close()

    def exchange_heartbeat(self) -> bool:
        """Exchange a heartbeat and missing batches; return whether that succeeded.

        If an existing connection fails, the exchange is immediately tried again on a
        new connection.
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
        self._usage_sender.reset()
        return True

    def _try_exchange(self) -> bool:
        try:
            self._exchange()
        except PeerConnectionError:
            self.close()
            self.failed_exchanges += 1
            return False
        return True

    def _exchange(self) -> None:
        """Send a heartbeat, then relay batches if one side needs them.

        One side needs them if it is behind the other and cannot read the log. Raises
        ``PeerConnectionError`` if the connection fails.
        """
        mesh = self._mesh
        sent_at = mesh.clock()
        usage, is_complete = self._usage_sender.select(
            mesh.usage_by_organisation, sent_at
        )
        heartbeat = mesh.own_heartbeat(0, usage, is_complete)
        answer = self._call_for_heartbeat(heartbeat)
        mesh.handle_answer(self.peer, heartbeat.sent_us, answer, sent_at)
        for _ in range(MAX_RELAY_ROUNDS):
            if answer.next_offset > mesh.tail.next_offset:
                # The peer is ahead: fetch batches unless this process reads the log.
                if mesh.log_age_s() < RELAY_AFTER_S or not self._fetch_batches():
                    return
            elif answer.next_offset < mesh.tail.next_offset:
                # The peer is behind: push batches unless the peer reads the log.
                if answer.log_age_ms < RELAY_AFTER_S * 1000:
                    return
                new_answer = self._push_batches(answer.next_offset)
                if new_answer is None or new_answer.next_offset <= answer.next_offset:
                    return
                answer = new_answer
            else:
                return

    def _fetch_batches(self) -> bool:
        """Request the batches from the next offset on; return whether any was new.

        An answer that starts after the next offset cannot be used.
        """
        tail = self._mesh.tail
        first_offset = tail.next_offset
        answer = self._call(RangeRequest(first_offset))
        if not isinstance(answer, RecordRelay):
            raise PeerConnectionError("range request was not answered with records")
        for offset, encoded in enumerate(answer.batches, answer.offset):
            if tail.offer(offset, encoded) is OfferResult.GAP:
                return False
        return tail.next_offset > first_offset

    def _push_batches(self, first_offset: int) -> Heartbeat | None:
        """Send batches and return the answer, or None if the ring lacks them."""
        batches = self._mesh.tail.ring.read(first_offset, MAX_RELAY_BYTES)
        if not batches:
            return None
        return self._call_for_heartbeat(RecordRelay(first_offset, batches))

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
            # Another incarnation now listens at this address. Its answers are no
            # evidence that the member of this link is alive.
            raise PeerConnectionError(f"answered by incarnation {answer.sender}")
        return answer.body
