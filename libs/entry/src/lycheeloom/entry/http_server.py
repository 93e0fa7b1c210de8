"""The HTTP server of an entry and of an instance process."""

from __future__ import annotations

import time
from typing import Any

import gevent
from gevent import monkey, socket
from gevent.pywsgi import WSGIHandler, WSGIServer

# Interval at which a stopping server looks for connections that have become idle.
CLOSE_INTERVAL_S = 0.02

_poll, _POLLIN = monkey.get_original("select", ["poll", "POLLIN"])


class _Handler(WSGIHandler):
    """Serves one connection and knows whether a call is in progress on it."""

    # No request has begun to arrive since the last response.
    is_idle = True

    def handle(self) -> None:
        """Serve the connection until it is closed."""
        self.server.handlers.add(self)
        try:
            super().handle()
        finally:
            self.server.handlers.discard(self)

    def read_requestline(self) -> str:
        """Wait for a request and return its first line."""
        self.is_idle = True
        try:
            return super().read_requestline()
        finally:
            self.is_idle = False

    def close_if_idle(self) -> None:
        """End the connection unless a request has arrived on it."""
        if not self.is_idle or self.socket is None:
            return
        poll = _poll()
        poll.register(self.socket.fileno(), _POLLIN)
        if poll.poll(0):
            # The greenlet of the connection is about to read a request.
            return
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError:
            # The caller has closed the connection.
            return


class HttpServer(WSGIServer):
    """A WSGI server with TCP_NODELAY set on its connections.

    The headers and the body of a response are sent in two segments; without
    TCP_NODELAY the second one waits about 40 ms for the peer's delayed
    acknowledgement.
    """

    handler_class = _Handler

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # The handlers of the open connections.
        self.handlers: set[_Handler] = set()

    def handle(self, sock: socket.socket, address: Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    def finish_calls(self, timeout_s: float) -> int:
        """Stop accepting connections, and end each one when no call is in progress.

        A call that arrives on an open connection is still answered. Returns the number
        of connections whose calls have not ended within the timeout.
        """
        deadline_s = time.monotonic() + timeout_s
        self.close()
        # Lets the connections that were just accepted begin.
        gevent.sleep(CLOSE_INTERVAL_S)
        while self.handlers and time.monotonic() < deadline_s:
            for handler in list(self.handlers):
                handler.close_if_idle()
            gevent.sleep(CLOSE_INTERVAL_S)
        return len(self.handlers)
