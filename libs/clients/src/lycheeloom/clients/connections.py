"""HTTP connections of one address and the stack of those that are idle."""

from __future__ import annotations

import socket
import time
from typing import Any

from gevent import monkey
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

_poll, _POLLIN = monkey.get_original("select", ["poll", "POLLIN"])


class Connection(HTTPConnection):
    """A urllib3 connection that sends a request with one system call."""

    idle_since_s = 0.0
    _parts: list[bytes] | None = None

    def _new_conn(self) -> socket.socket:
        """Connect without name resolution, since addresses are IP addresses.

        gevent resolves names in threads, which takes 0.4 ms and several switches
        also for an IP address.
        """
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            raise NewConnectionError(self, f"no socket: {error}") from error
        try:
            sock.settimeout(self.timeout)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.connect((self.host, self.port))
        except TimeoutError as error:
            sock.close()
            raise ConnectTimeoutError(self, "connecting took too long") from error
        except OSError as error:
            sock.close()
            raise NewConnectionError(self, f"not connected: {error}") from error
        except BaseException:
            # The deadline of the call.
            sock.close()
            raise
        return sock

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send headers and body together; the original sends them one by one."""
        self._parts = []
        try:
            super().request(*args, **kwargs)
        finally:
            parts, self._parts = self._parts, None
        super().send(b"".join(parts))

    def send(self, data: bytes) -> None:
        if self._parts is None:
            super().send(data)
        else:
            self._parts.append(data)

    @property
    def is_connected(self) -> bool:
        """Tell whether the socket is open and has nothing to read.

        Uses the unpatched ``poll``, which does not switch greenlets: the patched
        one costs more than the rest of the check.
        """
        if self.sock is None:
            return False
        poller = _poll()
        poller.register(self.sock.fileno(), _POLLIN)
        return not poller.poll(0)


class IdleConnections:
    """Idle connections to one address; the last one used is taken first."""

    __slots__ = ("_host", "_port", "_stack")

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._stack: list[Connection] = []

    def __len__(self) -> int:
        return len(self._stack)

    def take(self, max_idle_s: float) -> Connection:
        """Return a usable idle connection, or one that is not connected yet."""
        oldest_allowed = time.monotonic() - max_idle_s
        while self._stack:
            connection = self._stack.pop()
            if connection.idle_since_s >= oldest_allowed and connection.is_connected:
                return connection
            connection.close()
        return Connection(self._host, self._port)

    def put(self, connection: Connection, max_count: int) -> None:
        """Keep a connection whose last answer was read to its end."""
        if connection.sock is None:
            return
        if len(self._stack) >= max_count:
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        self._stack.append(connection)

    def close_older_than(self, idle_s: float) -> None:
        """Close the connections that have been idle for longer."""
        oldest_allowed = time.monotonic() - idle_s
        expired = [c for c in self._stack if c.idle_since_s < oldest_allowed]
        self._stack = [c for c in self._stack if c.idle_since_s >= oldest_allowed]
        for connection in expired:
            connection.close()
