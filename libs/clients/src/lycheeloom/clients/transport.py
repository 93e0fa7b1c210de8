"""HTTP calls over urllib3 connections: every wait bounded, nothing retried.

One ``Transport`` serves any number of addresses. It uses urllib3's connections
and not its pools, whose request path costs a third of the processor time of a
call and whose retries and redirects are not wanted here.
"""

from __future__ import annotations

import http.client
from collections.abc import Mapping
from dataclasses import dataclass

import gevent
from gevent import monkey
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)
from urllib3.util import SKIP_HEADER

from .connections import Connection, IdleConnections

# Idle connections older than this are replaced, since a connection can go
# silent for good without being closed.
MAX_IDLE_S = 10.0
CONNECT_TIMEOUT_S = 1.0
# Answers longer than this are not read.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Idle connections kept for each address; further ones are closed.
MAX_IDLE_CONNECTIONS = 64
# Headers that urllib3 adds by default and nobody reads; each costs about 5
# microseconds at both ends.
PLAIN_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
JSON_HEADERS = {**PLAIN_HEADERS, "Content-Type": "application/json"}


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP answer."""

    status: int
    body: bytes
    # Version of the document, for asking whether it has changed.
    etag: str = ""


@dataclass(frozen=True, slots=True)
class CallFailed:
    """No complete answer; ``sent`` is False only if no byte was sent."""

    sent: bool
    reason: str


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
        self._idle_by_address: dict[str, IdleConnections] = {}
        # With gevent's sockets the deadline of the call bounds every wait, and a
        # timer for each wait would only cost time.
        self._needs_read_timeout = not monkey.is_module_patched("socket")

    def call(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] = PLAIN_HEADERS,
        timeout_s: float,
    ) -> Response | CallFailed:
        """Make one call that ends within ``timeout_s``.

        A connection whose answer is not read to the end is closed.
        """
        idle = self._idle_by_address.get(address)
        if idle is None:
            idle = self._idle_by_address[address] = IdleConnections(address)
        connection = idle.take(MAX_IDLE_S)
        deadline = gevent.Timeout.start_new(timeout_s)
        result: Response | CallFailed | None = None
        try:
            result = self._exchange(connection, method, path, body, headers, timeout_s)
        except gevent.Timeout as expired:
            if expired is not deadline:
                raise
            result = CallFailed(True, "no answer in time")
        finally:
            deadline.close()
            if isinstance(result, Response):
                idle.put(connection, self._max_idle_connections)
            else:
                connection.close()
        return result

    def _exchange(
        self,
        connection: Connection,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> Response | CallFailed:
        # Connecting ends before the deadline of the call, so that an address that
        # does not answer is known to have received nothing.
        connection.timeout = min(self._connect_timeout_s, timeout_s / 2)
        try:
            connection.request(
                method,
                path,
                body,
                headers,
                preload_content=False,
                decode_content=False,
            )
            connection.timeout = timeout_s if self._needs_read_timeout else None
            response = connection.getresponse()
            content = response.read(MAX_RESPONSE_BYTES + 1)
        except (NewConnectionError, ConnectTimeoutError) as error:
            return CallFailed(False, f"not connected: {_describe(error)}")
        except (HTTPError, http.client.HTTPException, OSError) as error:
            return CallFailed(True, _describe(error))
        if len(content) > MAX_RESPONSE_BYTES:
            return CallFailed(True, "answer too large")
        etag = response.headers.get("ETag") or ""
        return Response(response.status, content, etag)

    def close_idle(self, idle_s: float = MAX_IDLE_S) -> None:
        """Close connections idle for ``idle_s`` and forget unused addresses."""
        for address, idle in list(self._idle_by_address.items()):
            idle.close_older_than(idle_s)
            if not len(idle):
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        self.close_idle(0.0)


def _describe(error: Exception) -> str:
    """Return a reason in words, since operators read it."""
    match error:
        case NewConnectionError(__cause__=OSError(strerror=str(text))):
            return text.lower()
        case ConnectTimeoutError() | ReadTimeoutError() | TimeoutError():
            return "no answer in time"
        case http.client.RemoteDisconnected():
            return "connection closed without an answer"
        case OSError(strerror=str(text)):
            return f"connection broken: {text.lower()}"
    return f"connection broken: {type(error).__name__}"
