"""HTTP calls over urllib3 pools: every wait bounded, nothing retried.

One ``Transport`` serves any number of addresses with one small pool each.
"""

from __future__ import annotations

import queue
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import monkey
from urllib3 import HTTPConnectionPool, Retry, Timeout
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

# Idle connections older than this are replaced, since a connection can go
# silent for good without being closed.
MAX_IDLE_S = 10.0
CONNECT_TIMEOUT_S = 1.0
# Answers longer than this are not read.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Idle connections kept for each address; further ones are closed.
MAX_IDLE_CONNECTIONS = 64
JSON_HEADERS = {"Content-Type": "application/json"}

_NO_RETRIES = Retry(total=False, redirect=False, raise_on_status=False)
_poll, _POLLIN = monkey.get_original("select", ["poll", "POLLIN"])


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CallFailed:
    """No complete answer; ``sent`` is False only if no byte was sent."""

    sent: bool
    reason: str


class _Connection(HTTPConnection):
    idle_since_s = 0.0

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


class _IdleConnections:
    """Stack of idle connections, used by urllib3 in place of its queue."""

    def __init__(self, maxsize: int) -> None:
        self._maxsize = maxsize
        self._stack: list[_Connection] = []

    def __len__(self) -> int:
        return len(self._stack)

    def put(self, connection: _Connection | None, block: bool = False) -> None:
        if connection is None:
            return
        if len(self._stack) >= self._maxsize:
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        self._stack.append(connection)

    def get(self, block: bool = False, timeout: float | None = None) -> _Connection:
        if not self._stack:
            raise queue.Empty
        connection = self._stack.pop()
        if connection.idle_since_s < time.monotonic() - MAX_IDLE_S:
            # Those below it have been idle for longer.
            connection.close()
            self.close_older_than(MAX_IDLE_S)
        return connection

    def close_older_than(self, idle_s: float) -> None:
        oldest_allowed = time.monotonic() - idle_s
        kept = [c for c in self._stack if c.idle_since_s >= oldest_allowed]
        expired = [c for c in self._stack if c.idle_since_s < oldest_allowed]
        self._stack = kept
        for connection in expired:
            connection.close()


class _Pool(HTTPConnectionPool):
    ConnectionCls = _Connection
    QueueCls = _IdleConnections


class Transport:
    """Calls by address; safe for many greenlets at once."""

    def __init__(
        self,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle_connections: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._max_idle_connections = max_idle_connections
        self._pool_by_address: dict[str, _Pool] = {}

    def call(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] = JSON_HEADERS,
        timeout_s: float,
    ) -> Response | CallFailed:
        """Make one call that ends within ``timeout_s``.

        A connection whose answer is not read to the end is closed.
        """
        pool = self._pool_by_address.get(address) or self._add_pool(address)
        deadline = gevent.Timeout.start_new(timeout_s)
        try:
            return self._call(pool, method, path, body, headers, timeout_s)
        except gevent.Timeout as expired:
            if expired is not deadline:
                raise
            return CallFailed(True, "no answer in time")
        finally:
            deadline.close()

    def _call(
        self,
        pool: _Pool,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> Response | CallFailed:
        try:
            response = pool.urlopen(
                method,
                path,
                body,
                headers,
                retries=_NO_RETRIES,
                redirect=False,
                assert_same_host=False,
                # Connecting ends before the deadline of the call, so that an
                # address that does not answer is known to have received nothing.
                timeout=Timeout(
                    connect=min(self._connect_timeout_s, timeout_s / 2),
                    read=timeout_s,
                ),
                preload_content=False,
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return CallFailed(False, f"not connected: {type(error).__name__}")
        except (HTTPError, OSError) as error:
            return CallFailed(True, f"broken: {type(error).__name__}")
        return _read_to_end(response)

    def close_idle(self, idle_s: float = MAX_IDLE_S) -> None:
        """Close connections idle for ``idle_s`` and forget unused addresses."""
        for address, pool in list(self._pool_by_address.items()):
            pool.pool.close_older_than(idle_s)
            if not len(pool.pool):
                del self._pool_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        self.close_idle(0.0)

    def _add_pool(self, address: str) -> _Pool:
        host, _, port = address.rpartition(":")
        pool = _Pool(host, int(port), maxsize=self._max_idle_connections)
        self._pool_by_address[address] = pool
        return pool


def _read_to_end(response: Any) -> Response | CallFailed:
    clean = False
    try:
        body = response.read(MAX_RESPONSE_BYTES + 1)
        if len(body) > MAX_RESPONSE_BYTES:
            return CallFailed(True, "answer too large")
        clean = True
        return Response(response.status, body)
    except (HTTPError, OSError) as error:
        return CallFailed(True, f"answer broken off: {type(error).__name__}")
    finally:
        if not clean:
            response.close()
        response.release_conn()
