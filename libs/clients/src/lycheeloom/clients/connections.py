"""HTTP connections, and the idle ones that are kept."""

from __future__ import annotations

import itertools
import socket
import time
from collections import OrderedDict
from typing import Any

from gevent import monkey
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

_connection_ids = itertools.count(1)
_poll, _POLLIN = monkey.get_original("select", ["poll", "POLLIN"])


class Connection(HTTPConnection):
    """A urllib3 connection that sends a whole request in one system call."""

    # Time on the monotonic clock of the last ``IdleConnections.put_back``.
    idle_since_s = 0.0
    # Headers and body of the request that ``request`` is about to send, else None.
    _unsent_parts: list[bytes] | None = None

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(host.strip("[]"), int(port))
        self.address = address
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

    def is_usable(self, oldest_allowed_s: float) -> bool:
        """Tell whether the connection is open and was idle since then at the most."""
        return self.idle_since_s >= oldest_allowed_s and self.is_connected


class IdleConnections:
    """Idle connections by address (``"127.0.0.1:80"`` or ``"[::1]:80"``).

    The most recently used connection to an address is taken first::

        connections = IdleConnections(max_per_address=64, max_open=1_000)
        connection = connections.take("127.0.0.1:80", max_idle_s=10.0)
        # ... a request, and its response to the end
        connections.put_back(connection, is_reusable=True)

    At most ``max_open`` connections are open, taken or idle, as long as no more are
    taken at the same time: a new one replaces the one that has been idle for the
    longest time, to whichever address. None stands for no limit.
    """

    def __init__(self, max_per_address: int, max_open: int | None = None) -> None:
        self._max_per_address = max_per_address
        self._max_open = max_open
        # The most recently used connection to each address is the last.
        self._stack_by_address: dict[str, list[Connection]] = {}
        # All idle connections, the one that has been idle for the longest time first.
        self._by_id: OrderedDict[int, Connection] = OrderedDict()
        self._taken_count = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def take(self, address: str, max_idle_s: float) -> Connection:
        """Return an idle connection that is usable, or a new unconnected one."""
        oldest_allowed = time.monotonic() - max_idle_s
        connection = None
        while connection is None and address in self._stack_by_address:
            connection = self._remove(self._stack_by_address[address][-1])
            if not connection.is_usable(oldest_allowed):
                connection.close()
                connection = None
        if connection is None:
            while self._by_id and self._is_full():
                self._remove(next(iter(self._by_id.values()))).close()
            connection = Connection(address)
        self._taken_count += 1
        return connection

    def take_by_id(
        self, address: str, connection_id: int, max_idle_s: float
    ) -> Connection | None:
        """Return the idle connection with an id, or None if it cannot be used."""
        connection = self._by_id.get(connection_id)
        if connection is None or connection.address != address:
            return None
        self._remove(connection)
        if not connection.is_usable(time.monotonic() - max_idle_s):
            connection.close()
            return None
        self._taken_count += 1
        return connection

    def put_back(self, connection: Connection, *, is_reusable: bool) -> None:
        """Keep a taken connection if it can be reused, or close it.

        It can be reused if its last response was read to the end. A connection without
        a socket was closed by ``Connection`` and is not kept.
        """
        self._taken_count -= 1
        stack = self._stack_by_address.get(connection.address, [])
        has_room = len(stack) < self._max_per_address and not self._is_full()
        if not is_reusable or not has_room or connection.sock is None:
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        self._by_id[connection.connection_id] = connection
        self._stack_by_address.setdefault(connection.address, []).append(connection)

    def close_unproven(self, address: str, since_s: float) -> None:
        """Close the connections to an address that have carried no response since then.

        ``since_s`` is a time on the monotonic clock.
        """
        for connection in list(self._stack_by_address.get(address, ())):
            if connection.idle_since_s < since_s:
                self._remove(connection).close()

    def close_older_than(self, idle_s: float) -> None:
        """Close the connections that have been idle for more than ``idle_s``."""
        oldest_allowed = time.monotonic() - idle_s
        while self._by_id:
            connection = next(iter(self._by_id.values()))
            if connection.idle_since_s >= oldest_allowed:
                return
            self._remove(connection).close()

    def _is_full(self) -> bool:
        if self._max_open is None:
            return False
        return len(self._by_id) + self._taken_count >= self._max_open

    def _remove(self, connection: Connection) -> Connection:
        del self._by_id[connection.connection_id]
        stack = self._stack_by_address[connection.address]
        stack.remove(connection)
        if not stack:
            del self._stack_by_address[connection.address]
        return connection
