"""The HTTP server of an entry."""

from __future__ import annotations

from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIServer


class HttpServer(WSGIServer):
    """A WSGI server with TCP_NODELAY set on its connections.

    The headers and the body of a response are sent in two segments; without
    TCP_NODELAY the second one waits about 40 ms for the peer's delayed
    acknowledgement.
    """

    def handle(self, sock: socket.socket, address: Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)
