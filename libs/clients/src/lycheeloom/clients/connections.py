"""HTTP connections, and the idle ones kept for each address."""

from __future__ import annotations

import socket
import time
from typing import Any

from gevent import monkey
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

_poll, _POLLIN = monkey.get_original("select", ["poll", "POLLIN"])


class Connection(HTTPConnection):
    """A urllib3 connection that sends a whole request in one system call."""

    idle_since_s = 0.0
    _unsent_parts: list[bytes] | None = None

    def _new_conn(self) -> socket.socket:
        """Connect without name resolution, as all addresses are IP addresses.

        gevent resolves names in threads. Even for an IP address, that takes 0.4 ms
        and several greenlet switches.
        """
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            raise NewConnectionError(
                self, f"cannot create a socket: {error}"
            ) from error
        try:
            sock.settimeout(self.timeout)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.connect((self.host, self.port))
        except TimeoutError as error:
            sock.close()
            raise ConnectTimeoutError(self, "connection attempt timed out") from error
        except OSError as error:
            sock.close()
            raise NewConnectionError(self, f"cannot connect: {error}") from error
        except BaseException:
            # Such as gevent.Timeout at the deadline of the call.
            sock.close()
            raise
        return sock

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send headers and body together; urllib3 sends them one by one."""
        self._unsent_parts = []
        try:
            super().request(*args, **kwargs)
        finally:
            parts, self._unsent_parts = self._unsent_parts, None
        super().send(b"".join(parts))

    def send(self, data: bytes) -> None:
        if self._unsent_parts is None:
            super().send(data)
        else:
            self._unsent_parts.append(data)

    @property
    def is_connected(self) -> bool:
        """Tell whether the socket is open and has nothing to read.

        If there is something to read, the server has closed the connection or has
        sent data that belongs to no request. Uses the unpatched ``poll``, which does
        not switch greenlets; the patched one costs more than the rest of the check.
        """
        if self.sock is None:
            return False
        poller = _poll()
        poller.register(self.sock.fileno(), _POLLIN)
        return not poller.poll(0)


class IdleConnections:
    """Idle connections to one address; the most recently used is taken first."""

    __slots__ = ("_host", "_port", "_stack")

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._stack: list[Connection] = []

    def __len__(self) -> int:
        return len(self._stack)

    def take(self, max_idle_s: float) -> Connection:
        """Return an idle connection that is usable, or a new unconnected one."""
        oldest_allowed = time.monotonic() - max_idle_s
        while self._stack:
            connection = self._stack.pop()
            if connection.idle_since_s >= oldest_allowed and connection.is_connected:
                return connection
            connection.close()
        return Connection(self._host, self._port)

    def put(self, connection: Connection, max_count: int) -> None:
        """Keep a connection for reuse; its last response must be read to the end.

        It is closed instead if ``max_count`` connections are already kept.
        """
        if connection.sock is None:
            return
        if len(self._stack) >= max_count:
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        self._stack.append(connection)

    def close_older_than(self, idle_s: float) -> None:
        """Close the connections that have been idle for more than ``idle_s``."""
        oldest_allowed = time.monotonic() - idle_s
        expired = [c for c in self._stack if c.idle_since_s < oldest_allowed]
        self._stack = [c for c in self._stack if c.idle_since_s >= oldest_allowed]
        for connection in expired:
            connection.close()
