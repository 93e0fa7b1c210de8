"""HTTP connections, and the idle ones kept for each address."""

from __future__ import annotations

import itertools
import socket
import time
from typing import Any

from gevent import monkey
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

_connection_ids = itertools.count(1)
_poll, _POLLIN = monkey.get_original("select", ["poll", "POLLIN"])


class Connection(HTTPConnection):
    """A urllib3 connection that sends a whole request in one system call."""

    # Time on the monotonic clock of the last ``IdleConnections.put``.
    idle_since_s = 0.0
    # Headers and body of the request that ``request`` is about to send, else None.
    _unsent_parts: list[bytes] | None = None

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # Positive, and unique in this process.
        self.connection_id = next(_connection_ids)

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
            # For example gevent.Timeout, which is no Exception, at the call's deadline.
            sock.close()
            raise
        return sock

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send headers and body together; urllib3 would send them separately."""
        self._unsent_parts = []
        try:
            super().request(*args, **kwargs)
        finally:
            parts, self._unsent_parts = self._unsent_parts, None
        super().send(b"".join(parts))

    def send(self, data: bytes) -> None:
        """Collect a part of the request if ``request`` is running, else send it."""
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
    """Idle connections to one address (``"127.0.0.1:80"`` or ``"[::1]:80"``).

    The most recently used one is taken first.
    """

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

    def take_by_id(self, connection_id: int, max_idle_s: float) -> Connection | None:
        """Return the idle connection with an id, or None if it cannot be used."""
        for connection in self._stack:
            if connection.connection_id != connection_id:
                continue
            self._stack.remove(connection)
            oldest_allowed = time.monotonic() - max_idle_s
            if connection.idle_since_s >= oldest_allowed and connection.is_connected:
                return connection
            connection.close()
            break
        return None

    def put(self, connection: Connection, max_count: int) -> None:
        """Keep a connection for reuse; its last response must be read to the end.

        The connection is closed instead if ``max_count`` connections are already kept.
        A connection without a socket is closed already and not kept.
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
        old_connections = [c for c in self._stack if c.idle_since_s < oldest_allowed]
        self._stack = [c for c in self._stack if c.idle_since_s >= oldest_allowed]
        for connection in old_connections:
            connection.close()
