"""HTTP calls over urllib3 connections, with time limits and without retries.

One ``Transport`` serves any number of addresses. It uses urllib3's connections
without its pools, whose code takes a third of the processor time of a call and
whose retries and redirects are not wanted here.
"""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable, Mapping
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

# A connection that has been idle for longer is replaced, as it may have stopped
# responding without being closed.
MAX_IDLE_S = 10.0
CONNECT_TIMEOUT_S = 1.0
# Longer responses are not read to the end and count as failed calls.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Maximum number of idle connections kept for each address.
MAX_IDLE_CONNECTIONS = 64
# Suppresses headers that urllib3 adds by default and no server uses. Each one costs
# about 5 microseconds at both ends.
BASE_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
JSON_HEADERS = {**BASE_HEADERS, "Content-Type": "application/json"}


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    body: bytes
    # The ETag header, or empty. In the If-None-Match header of a later call, it names
    # the version of the document that the client has.
    etag: str = ""
    # The connection that the response came over, for ``Transport.call``; 0 if the
    # server has closed it after the response.
    connection_id: int = 0


@dataclass(frozen=True, slots=True)
class CallFailed:
    """There was no complete response; ``reason`` says why.

    ``sent`` is False only if certainly no byte of the request was sent.
    """

    sent: bool
    reason: str


class Transport:
    """Makes HTTP calls to any address; can be shared by greenlets.

    Idle connections are closed so that no more than ``max_open_connections`` are open,
    unless more calls are in progress. None stands for no limit.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle_connections: int = MAX_IDLE_CONNECTIONS,
        max_open_connections: int | None = None,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_connections = IdleConnections(
            max_idle_connections, max_open_connections
        )
        # With gevent's sockets, the gevent.Timeout in call() interrupts every wait, so
        # a timeout for each read would only cost time. Without them, it never fires.
        self._needs_read_timeout = not monkey.is_module_patched("socket")

    def call(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] = BASE_HEADERS,
        timeout_s: float,
        may_send: Callable[[], bool] | None = None,
        connection_id: int = 0,
    ) -> Response | CallFailed:
        """Make one call, which takes at most ``timeout_s``.

        ``may_send`` is asked right before the request is sent, when the connection
        stands: a permission may run out while a process is paused or waits for a
        connection. The connection is closed unless its response was read to the end.

        With the ``connection_id`` of an earlier response, the request is sent only over
        the same connection, so the same process receives it; it is not sent if that
        connection is in use or not open any more.
        """
        idle_connections = self._idle_connections
        if connection_id:
            connection = idle_connections.take_by_id(address, connection_id, MAX_IDLE_S)
            if connection is None:
                return CallFailed(False, "connection not open any more")
        else:
            connection = idle_connections.take(address, MAX_IDLE_S)
        began_s = time.monotonic()
        deadline = gevent.Timeout.start_new(timeout_s)
        result: Response | CallFailed | None = None
        try:
            result = self._exchange(
                connection, method, path, body, headers, timeout_s, may_send
            )
        except gevent.Timeout as timeout:
            if timeout is not deadline:
                # The timeout belongs to the code that made the call.
                raise
            result = CallFailed(True, "no answer in time")
            # If the network drops packets of this connection without closing it, then
            # perhaps also those of the others. Waiting for a timeout on each of them
            # would delay a repeated call by the sum of these timeouts.
            idle_connections.close_unproven(address, began_s)
        finally:
            deadline.close()
            is_reusable = isinstance(result, Response)
            idle_connections.put_back(connection, is_reusable=is_reusable)
        return result

    def _exchange(
        self,
        connection: Connection,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
        may_send: Callable[[], bool] | None,
    ) -> Response | CallFailed:
        # The attempt to connect must time out before the deadline of the call: a failed
        # attempt shows that nothing was sent, a missed deadline does not.
        connection.timeout = min(self._connect_timeout_s, timeout_s / 2)
        try:
            if may_send is not None:
                if connection.sock is None:
                    connection.connect()
                if not may_send():
                    return CallFailed(False, "no longer permitted")
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
        except (OverflowError, ValueError) as error:
            # Raised for a port or a header that no request can have, and for some
            # malformed responses.
            return CallFailed(True, f"invalid request or response: {error}")
        if len(content) > MAX_RESPONSE_BYTES:
            return CallFailed(True, "answer too large")
        # urllib3 reports a missing part only at the next read.
        if response.length_remaining:
            return CallFailed(True, "connection closed within an answer")
        etag = response.headers.get("ETag") or ""
        # Without a socket if the response has asked for closing the connection.
        connection_id = connection.connection_id if connection.sock else 0
        return Response(response.status, content, etag, connection_id)

    def close_idle(self, idle_s: float = MAX_IDLE_S) -> None:
        """Close connections that have been idle for more than ``idle_s``."""
        self._idle_connections.close_older_than(idle_s)

    def close(self) -> None:
        """Close all idle connections."""
        self.close_idle(0.0)


def _describe(error: Exception) -> str:
    """Return the reason of an error in words that operators understand."""
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
