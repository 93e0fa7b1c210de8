"""The HTTP server of an entry and of an instance process."""

from __future__ import annotations

import errno
import json
import time
from collections import Counter
from collections.abc import Callable
from io import BytesIO
from typing import Any

import gevent
from gevent import monkey, socket
from gevent.pywsgi import MAX_REQUEST_LINE, Input, WSGIHandler, WSGIServer

from lycheeloom.telemetry import log_event

from .client_limits import ClientAccounts, ClientLimits
from .request_reader import ConnectionEndedError, RequestReader, RequestRefusedError

# Interval at which a stopping server looks for connections that have become idle.
CLOSE_INTERVAL_S = 0.02
# Connections that are accepted at a time. Those beyond the limit are open until the
# loop comes round, so this bounds by how many the limit is exceeded.
MAX_ACCEPT = 16
# Length of the kernel's queue of connections that are not accepted yet. With 256, a
# burst of some hundred connections delays callers by a second each.
BACKLOG = 1_024
# What is read and discarded after a refusal. If a connection is closed with unread
# data, the kernel resets it, and the client may lose the answer.
DISCARD_MAX_BYTES = 262_144
DISCARD_TIMEOUT_S = 1.0
# Time after which a client that was dropped may try again.
RETRY_AFTER_S = 1
# Log lines on refused clients are at least this far apart.
LOG_INTERVAL_S = 5.0
_REASON_PHRASES = {
    400: "Bad Request",
    408: "Request Timeout",
    413: "Content Too Large",
    414: "URI Too Long",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}

_poll, _POLLIN = monkey.get_original("select", ["poll", "POLLIN"])


def _make_refusal(reason: str) -> dict[str, Any]:
    message = "the client exceeded the limits of this process"
    return {"verdict": "not_run", "reason": reason, "message": message}


class ClientGuard:
    """Enforces the client limits over all servers of a process.

    ``on_refused(reason)`` is called for each client that is refused or dropped.
    ``make_refusal(reason)`` returns the document in the answer to a refused request.
    """

    def __init__(
        self,
        limits: ClientLimits | None = None,
        on_refused: Callable[[str], None] = lambda reason: None,
        make_refusal: Callable[[str], dict[str, Any]] = _make_refusal,
    ) -> None:
        self.make_refusal = make_refusal
        self.limits = limits or ClientLimits()
        self.accounts = ClientAccounts(self.limits)
        self._on_refused = on_refused
        self._handler_by_number: dict[int, _Handler] = {}
        self._unlogged: Counter[str] = Counter()

    def open(self, handler: _Handler) -> int:
        """Count a new connection; drops one if there are too many."""
        number = self.accounts.open(time.monotonic())
        self._handler_by_number[number] = handler
        excess = self.accounts.find_excess_connection(number)
        if excess is not None:
            self._drop(excess, "connections")
        return number

    def close(self, number: int) -> None:
        """Forget a connection."""
        self.accounts.close(number)
        self._handler_by_number.pop(number, None)

    def receive(self, number: int, pending_bytes: int) -> None:
        """Count the bytes of a request; drops connections if there are too many."""
        self.accounts.receive(number, pending_bytes, time.monotonic())
        while (excess := self.accounts.find_excess_bytes()) is not None:
            self._drop(excess, "pending_bytes")

    def note_refused(self, reason: str) -> None:
        """Count a refused client for the metric and the next log line."""
        self._on_refused(reason)
        if not self._unlogged:
            gevent.spawn_later(LOG_INTERVAL_S, self._log_refused)
        self._unlogged[reason] += 1

    def _drop(self, number: int, reason: str) -> None:
        self.accounts.close(number)
        handler = self._handler_by_number.pop(number)
        self.note_refused(reason)
        handler.drop(reason)

    def _log_refused(self) -> None:
        counts = dict(sorted(self._unlogged.items()))
        self._unlogged.clear()
        log_event(
            "clients_refused",
            "WARNING",
            **counts,
            open_connections=len(self.accounts),
            held_bytes=self.accounts.pending_bytes,
        )


class _Handler(WSGIHandler):
    """Serves one connection and knows whether a call is in progress on it."""

    # No request has begun to arrive since the last response.
    _is_waiting = True
    _number = 0
    # Which bound the connection was dropped for.
    _drop_reason = ""

    def __init__(self, sock: socket.socket, address: Any, server: HttpServer) -> None:
        # The reader buffers; ``rfile`` has the head, then nothing.
        super().__init__(sock, address, server, rfile=BytesIO())
        self._clients = server.clients
        self._reader = RequestReader(sock, server.clients.limits, self._note_received)

    def handle(self) -> None:
        """Serve the connection until it is closed."""
        self.server.handlers.add(self)
        self._number = self._clients.open(self)
        try:
            super().handle()
        finally:
            self._clients.close(self._number)
            self.server.handlers.discard(self)

    @property
    def is_idle(self) -> bool:
        """Whether no line of a request has arrived since the last response."""
        return self._is_waiting and not self._reader.has_line

    def handle_one_request(self) -> Any:
        """Receive a request and answer it; see ``WSGIHandler``.

        A request is handed to the application only when it was received as a whole.
        """
        if self._reader.is_dropped:
            # Was the newest one when no other connection could be dropped.
            self._send_refusal(503, self._drop_reason)
            return None
        try:
            self._receive_request()
        except RequestRefusedError as refused:
            self._clients.note_refused(refused.reason)
            self._send_refusal(refused.status, refused.reason)
            self._discard_rest()
            return None
        except ConnectionEndedError:
            if self._reader.is_dropped and not self._is_waiting:
                self._send_refusal(503, self._drop_reason)
            return None
        if not self._clients.accounts.hand_over(self._number, time.monotonic()):
            self._send_refusal(503, self._drop_reason)
            return None
        self.application = self.server.application
        self.socket.settimeout(self._clients.limits.answer_s)
        try:
            self.handle_one_response()
        finally:
            self._forget_request()
        if self.close_connection or self.socket is None:
            return None
        return True

    def drop(self, reason: str) -> None:
        """End the connection, whose request was not handed to the application.

        The greenlet of the connection wakes, answers with 503 if a request has begun
        to arrive, and closes it.
        """
        self._drop_reason = reason
        has_data = self._reader.has_data or self._has_unread_data()
        self._is_waiting = self._is_waiting and not has_data
        self._reader.drop()
        self._shut_reading()

    def close_if_idle(self) -> None:
        """End the connection unless a request has arrived on it."""
        if not self.is_idle or self.__dict__.get("socket") is None:
            return
        if self._has_unread_data():
            # The greenlet of the connection is about to read a request.
            return
        self._shut_reading()

    def _has_unread_data(self) -> bool:
        sock = self.__dict__.get("socket")
        if sock is None or sock.fileno() < 0:
            return False
        poll = _poll()
        poll.register(sock.fileno(), _POLLIN)
        return bool(poll.poll(0))

    def _shut_reading(self) -> None:
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except (OSError, AttributeError):
            # The connection was closed by the client, or by its greenlet.
            return

    def _receive_request(self) -> None:
        """Receive one request and set up its environment for the application."""
        self._is_waiting = True
        self.response_length = 0
        self._reader.start_request()
        self.rfile = BytesIO(self._reader.read_head())
        self._is_waiting = False
        self.requestline = self.rfile.readline(MAX_REQUEST_LINE).decode("latin-1")
        if len(self.requestline) >= MAX_REQUEST_LINE:
            raise RequestRefusedError(414, "head_too_large")
        try:
            self.read_request(self.requestline)
            self.environ = self.get_environ()
        except Exception:
            # pywsgi raises several kinds for heads that cannot be parsed.
            raise RequestRefusedError(400, "bad_request") from None
        body = self._receive_body()
        self.rfile = BytesIO()
        self.wsgi_input = Input(BytesIO(body), len(body))
        self.environ["wsgi.input"] = self.wsgi_input
        self.environ["wsgi.input_terminated"] = True

    def _receive_body(self) -> bytes:
        is_chunked = self.environ.pop("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
        length = self.content_length or 0
        if not is_chunked and length > self._clients.limits.body_bytes:
            raise RequestRefusedError(413, "body_too_large")
        if not is_chunked and not length:
            return b""
        expects = self.environ.get("HTTP_EXPECT", "").lower() == "100-continue"
        if expects and not self._reader.has_data:
            self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
        if not is_chunked:
            return self._reader.read_body(length)
        try:
            body = self._reader.read_chunked_body()
        except (OSError, ValueError):
            # Input raises them for chunks that cannot be parsed.
            raise RequestRefusedError(400, "bad_request") from None
        # The application gets the body without its chunks.
        self.environ["CONTENT_LENGTH"] = str(len(body))
        return body

    def _forget_request(self) -> None:
        """Release the memory of a request that was answered.

        Without this an idle connection would keep its last body, also through the
        environment, which bottle stores for each greenlet.
        """
        self.wsgi_input = None
        self.environ.clear()
        self.headers = type(self).headers
        self.requestline = self.path = ""
        self._clients.accounts.answered(self._number)

    def _note_received(self, pending_bytes: int) -> None:
        self._clients.receive(self._number, pending_bytes)

    def _send_refusal(self, status: int, reason: str) -> None:
        """Tell the client that its request has not run, if that takes no waiting."""
        body = json.dumps(self._clients.make_refusal(reason)).encode()
        retry_after = f"Retry-After: {RETRY_AFTER_S}\r\n" if status == 503 else ""
        head = (
            f"HTTP/1.1 {status} {_REASON_PHRASES[status]}\r\nConnection: close\r\n"
            f"{retry_after}Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._send(head.encode() + body)

    def _send(self, data: bytes) -> None:
        try:
            self.socket.settimeout(DISCARD_TIMEOUT_S)
            self.socket.sendall(data)
        except OSError:
            # The client gets no answer, as if its connection had broken.
            return

    def _discard_rest(self) -> None:
        """Let the client read a refusal before the connection is closed."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self._clients.accounts.receive(self._number, 0)
            self._reader.discard(DISCARD_MAX_BYTES, DISCARD_TIMEOUT_S)
        except OSError:
            return

    def _sendall(self, data: bytes) -> None:
        try:
            super()._sendall(data)
        except TimeoutError:
            # pywsgi closes the connection on this error without a trace.
            raise BrokenPipeError(errno.EPIPE, "answer not taken in time") from None


class HttpServer(WSGIServer):
    """A WSGI server with TCP_NODELAY set on its connections.

    The headers and the body of a response are sent in two segments; without
    TCP_NODELAY the second one waits about 40 ms for the peer's delayed
    acknowledgement. Servers with the same ``clients`` share its limits.
    """

    handler_class = _Handler

    def __init__(
        self, *args: Any, clients: ClientGuard | None = None, **kwargs: Any
    ) -> None:
        # pywsgi would write a line for each invalid request to standard error, and
        # block the process when nobody reads them.
        kwargs.setdefault("error_log", None)
        kwargs.setdefault("backlog", BACKLOG)
        super().__init__(*args, **kwargs)
        self.clients = clients or ClientGuard()
        # The handlers of the open connections.
        self.handlers: set[_Handler] = set()

    def set_max_accept(self) -> None:
        """Set how many connections are accepted at a time."""
        self.max_accept = MAX_ACCEPT

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
