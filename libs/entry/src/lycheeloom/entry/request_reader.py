"""Reads the heads and bodies of requests from a connection, within limits."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.pywsgi import Input

from .client_limits import ClientLimits

RECEIVE_BYTES = 16_384
# Empty lines before a request that are skipped, as RFC 9112 asks for at least one.
MAX_EMPTY_LINES = 8
# Sizes of chunks, their extensions and trailers may add this many bytes to a chunked
# body, besides as many again as the body has.
MAX_CHUNK_FRAMING_BYTES = 16_384
# Time for which a connection may use the processor at a time. A read does not give way
# while there is data: 349,000 chunks of one byte kept the process for 2.7 s, and 60,000
# requests sent at once for 10 s.
MAX_TURN_S = 0.005
# With 0, gevent resumes the greenlet up to 50 times before it looks for input or
# timers.
TURN_PAUSE_S = 0.0001


class RequestRefusedError(Exception):
    """The request is answered with ``status`` and not handed to the application.

    ``reason`` is the label of the metric.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class ConnectionEndedError(Exception):
    """The client has closed the connection, or the server has dropped it."""


class RequestReader:
    """Receives the requests of one connection.

    ``on_received(pending_bytes)`` is called with the bytes of the present request,
    including those that were already returned, whenever their number has grown. It may
    drop the connection.
    """

    def __init__(
        self,
        sock: socket.socket,
        limits: ClientLimits,
        on_received: Callable[[int], None],
    ) -> None:
        self._socket = sock
        self._limits = limits
        self._on_received = on_received
        self._buffer = bytearray()
        # Bytes of the present request that were taken from the buffer.
        self._taken_bytes = 0
        self._deadline_s: float | None = None
        self._late_reason = ""
        # When this connection last waited or gave way.
        self._turn_began_s = time.monotonic()
        # Bytes, framing included, that may be received for the present body.
        self._max_raw_bytes = 0
        self.is_dropped = False

    @property
    def has_line(self) -> bool:
        """Whether a line of a request has been received and not been read."""
        return b"\n" in self._buffer

    @property
    def has_data(self) -> bool:
        """Whether bytes have been received that belong to no request read so far."""
        return bool(self._buffer)

    def drop(self) -> None:
        """Discard what was received; from now on reading raises an error."""
        self.is_dropped = True
        self._buffer = bytearray()

    def start_request(self) -> None:
        """Forget the former request, and count what has arrived of the next one."""
        self._give_way()
        self._taken_bytes = 0
        self._deadline_s = None
        if self._buffer:
            self._on_received(len(self._buffer))

    def read_head(self) -> bytes:
        """Wait for a request and return its head, with the empty line at its end."""
        if not self._buffer:
            self._receive()
        self._start_clock(self._limits.head_s, "head_slow")
        empty_lines = 0
        searched = 0
        while True:
            while self._buffer[:2] == b"\r\n" or self._buffer[:1] == b"\n":
                del self._buffer[: 1 if self._buffer[:1] == b"\n" else 2]
                empty_lines += 1
                if empty_lines > MAX_EMPTY_LINES:
                    raise RequestRefusedError(400, "empty_lines")
            end = _find_head_end(self._buffer, max(0, searched - 3))
            if end > self._limits.head_bytes:
                raise RequestRefusedError(431, "head_too_large")
            if end:
                return self._take(end)
            searched = len(self._buffer)
            if searched > self._limits.head_bytes:
                raise RequestRefusedError(431, "head_too_large")
            self._receive()

    def read_body(self, length: int) -> bytes:
        """Return a body with this many bytes."""
        self._start_body(length)
        return self.read(length)

    def read_chunked_body(self) -> bytes:
        """Return a chunked body without its framing.

        Raises ``OSError`` if the framing is invalid.
        """
        limit = self._limits.body_bytes
        self._start_body(2 * limit + MAX_CHUNK_FRAMING_BYTES)
        body = Input(self, None, chunked_input=True).read(limit + 1)
        if len(body) > limit:
            raise RequestRefusedError(413, "body_too_large")
        return body

    def read(self, length: int) -> bytes:
        """Return exactly this many bytes; called by ``Input`` as well."""
        while len(self._buffer) < length:
            self._receive()
        return self._take(length)

    def discard(self, max_bytes: int, timeout_s: float) -> None:
        """Read and discard what the client still sends, until a limit or the end."""
        self._buffer = bytearray()
        deadline_s = time.monotonic() + timeout_s
        while max_bytes > 0 and not self.is_dropped:
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                return
            self._socket.settimeout(left_s)
            data = self._socket.recv(RECEIVE_BYTES)
            if not data:
                return
            max_bytes -= len(data)

    def _start_body(self, max_raw_bytes: int) -> None:
        self._start_clock(self._limits.body_s, "body_slow")
        self._max_raw_bytes = self._taken_bytes + max_raw_bytes

    def _start_clock(self, limit_s: float, late_reason: str) -> None:
        self._deadline_s = time.monotonic() + limit_s
        self._late_reason = late_reason

    def _take(self, length: int) -> bytes:
        data = bytes(self._buffer[:length])
        del self._buffer[:length]
        self._taken_bytes += length
        if self._late_reason == "body_slow" and self._taken_bytes > self._max_raw_bytes:
            raise RequestRefusedError(413, "body_too_large")
        return data

    def _give_way(self) -> None:
        """Let others run if this connection has used the processor for its turn."""
        if time.monotonic() - self._turn_began_s >= MAX_TURN_S:
            gevent.sleep(TURN_PAUSE_S)
            self._turn_began_s = time.monotonic()

    def _receive(self) -> None:
        self._give_way()
        left_s = None
        if self._deadline_s is not None:
            # recv does not check its timeout while there is data to read.
            left_s = self._deadline_s - time.monotonic()
            if left_s <= 0:
                raise RequestRefusedError(408, self._late_reason)
        self._socket.settimeout(left_s)
        began_s = time.monotonic()
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except TimeoutError:
            raise RequestRefusedError(408, self._late_reason) from None
        except OSError:
            raise ConnectionEndedError from None
        if not data or self.is_dropped:
            raise ConnectionEndedError
        now_s = time.monotonic()
        if now_s - began_s >= MAX_TURN_S:
            self._turn_began_s = now_s
        self._buffer += data
        self._on_received(self._taken_bytes + len(self._buffer))
        if self.is_dropped:
            raise ConnectionEndedError


def _find_head_end(buffer: bytearray, start: int) -> int:
    """Return the length of the head, 0 if its end has not been received."""
    ends = [
        position + len(mark)
        for mark in (b"\n\r\n", b"\n\n")
        if (position := buffer.find(mark, start)) >= 0
    ]
    return min(ends, default=0)
