"""The HTTP server of an entry."""

from __future__ import annotations

from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIServer


class HttpServer(WSGIServer):
    """A WSGI server that sends each answer without delay.

    An answer's headers and body leave in two segments; without TCP_NODELAY the
    second one waits for the peer's delayed acknowledgement, about 40 ms.
    """

    def handle(self, sock: socket.socket, address: Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)
