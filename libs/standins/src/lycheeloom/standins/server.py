"""Base class and HTTP server of the stand-ins, with the faults common to all."""

from __future__ import annotations

import json
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Self
from urllib.parse import parse_qsl, unquote

import gevent
from gevent import socket as gevent_socket
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import Input, WSGIHandler, WSGIServer

from .faults import BadFaults, Faults, validate_faults

STATUS_LINES = {
    200: "200 OK",
    202: "202 Accepted",
    304: "304 Not Modified",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    413: "413 Content Too Large",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}
BACKLOG = 1024
# Delay before a stand-in applies "down" or "silent" set over its own HTTP API, so that
# it can still respond to the request that set the fault.
DEFERRED_FAULT_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response: status, JSON document and additional headers."""

    status: int
    document: Any
    headers: tuple[tuple[str, str], ...] = ()


def error_reply(status: int, reason: str) -> Reply:
    """Build an error reply whose document has only the key ``reason``."""
    return Reply(status, {"reason": reason})


@dataclass(frozen=True, slots=True)
class Request:
    """The parts of an HTTP request that stand-ins use."""

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    traceparent: str = ""
    if_none_match: str = ""

    def document(self) -> dict[str, Any] | None:
        """Return the JSON object in the body, or None if the body is anything else.

        An empty body counts as ``{}``.
        """
        if not self.body:
            return {}
        try:
            document = json.loads(self.body)
        except ValueError:
            return None
        return document if isinstance(document, dict) else None


class _Handler(WSGIHandler):
    """Handler of one connection, which the application can abort or keep silent."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.silence_count_at_open = self.server.silence_count
        self.server.connections_opened += 1

    def get_environ(self) -> dict[str, Any]:
        """Build only the keys that stand-ins read.

        The complete WSGI environment takes 40 microseconds per request.
        """
        path, _, query = self.path.partition("?")
        self.wsgi_input = Input(self.rfile, self.content_length)
        return {
            "REQUEST_METHOD": self.command,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "HTTP_TRACEPARENT": self.headers.get("traceparent", ""),
            "HTTP_IF_NONE_MATCH": self.headers.get("if-none-match", ""),
            "wsgi.input": self.wsgi_input,
            "standin.connection": self,
        }

    def log_request(self) -> None:
        """Skip the access log: pywsgi formats each line even if no log is set."""

    def _write_with_headers(self, data: bytes) -> None:
        """Send headers and body in one call, where pywsgi makes two.

        The application sets Content-Length. The Date header is left out because each
        header costs the clients time.
        """
        self.headers_sent = True
        lines = [b"HTTP/1.1 " + self.status]
        lines += [b"%b: %b" % header for header in self.response_headers]
        self._sendall(b"\r\n".join(lines) + b"\r\n\r\n" + data)

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection when the stand-in stops; pywsgi would send a 500."""
        if issubclass(t, gevent.GreenletExit):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)

    def is_silenced(self) -> bool:
        return self.silence_count_at_open < self.server.silence_count

    def abort(self) -> None:
        self.close_connection = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


class _Server(WSGIServer):
    handler_class = _Handler
    # How often the fault "silent" was set; connections opened before are silenced.
    silence_count = 0
    connections_opened = 0


class StandIn(ABC):
    """Base class of the stand-ins: an HTTP server with faults.

    Port 0 picks a free port at the first start; later starts use the same port.
    """

    def __init__(self, name: str, host: str = "127.0.0.1", port: int = 0) -> None:
        self.name = name
        self.faults = Faults()
        self._host = host
        self._port = port
        self._server: _Server | None = None
        self._listener: gevent_socket.socket | None = None
        self._never_set = Event()

    @property
    def address(self) -> str:
        return f"{self._host}:{self._port}"

    @property
    def connections_opened(self) -> int:
        """Connections accepted since the last start."""
        return 0 if self._server is None else self._server.connections_opened

    def start(self) -> Self:
        """Start to listen, if not yet done; until then connections are refused."""
        if self._server is not None:
            return self
        listener = self._listener or self._bind()
        listener.listen(BACKLOG)
        self._listener = None
        self._server = _Server(listener, self._application, spawn=Pool(), log=None)
        self._server.start()
        return self

    def stop(self) -> None:
        """Stop listening and close every connection."""
        server, self._server = self._server, None
        if server is not None:
            server.stop(timeout=0)
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.close()

    def _bind(self) -> gevent_socket.socket:
        listener = gevent_socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit this. Without it, responses wait for the
        # client's delayed acknowledgement, 40 ms.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((self._host, self._port))
        self._port = listener.getsockname()[1]
        return listener

    def set_faults(self, **changes: Any) -> None:
        """Change faults; raises ValueError for an unknown fault or a wrong type."""
        problem = validate_faults(changes)
        if problem is not None:
            raise ValueError(problem.reason)
        for name, value in changes.items():
            setattr(self.faults, name, value)
        if changes.get("silent") and self._server is not None:
            self._server.silence_count += 1
        if "down" in changes:
            self._apply_down()

    @abstractmethod
    def handle(self, request: Request) -> Reply:
        """Carry out one request and return the reply."""

    def handle_faults(self, request: Request) -> Reply:
        """Handle a GET or POST of this stand-in's faults."""
        if request.method == "GET":
            return Reply(200, self.faults.as_dict())
        changes = request.document()
        problem = BadFaults("not a JSON object")
        if changes is not None:
            problem = validate_faults(changes)
        if problem is not None:
            return error_reply(400, problem.reason)
        # Applied after a delay, as they would prevent the response to this request.
        deferred = {k: changes.pop(k) for k in ("down", "silent") if k in changes}
        self.set_faults(**changes)
        if deferred:
            gevent.spawn_later(DEFERRED_FAULT_DELAY_S, self.set_faults, **deferred)
        return Reply(200, self.faults.as_dict() | deferred)

    def _apply_down(self) -> None:
        if not self.faults.down:
            self.start()
            return
        self.stop()
        # Bound but not listening: connections are refused, and no other process can
        # take the port meanwhile.
        self._listener = self._bind()

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        connection = environ["standin.connection"]
        if connection.is_silenced():
            self._never_set.wait()
        body = environ["wsgi.input"].read()
        query = environ["QUERY_STRING"]
        request = Request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            dict(parse_qsl(query)) if query else {},
            body,
            environ["HTTP_TRACEPARENT"],
            environ["HTTP_IF_NONE_MATCH"],
        )
        if request.path == "/v1/faults":
            return _send_reply(self.handle_faults(request), start_response)
        reply = self._handle_with_faults(request)
        if connection.is_silenced():
            self._never_set.wait()
        if self._should_lose_answer():
            connection.abort()
        return _send_reply(reply, start_response)

    def _handle_with_faults(self, request: Request) -> Reply:
        faults = self.faults
        if faults.slow_ms:
            gevent.sleep(faults.slow_ms / 1000)
        if faults.outage:
            return error_reply(503, "down")
        return self.handle(request)

    def _should_lose_answer(self) -> bool:
        """Return whether to drop this response; counts down a limited number."""
        remaining = self.faults.lose_answers
        if not remaining:
            return False
        if remaining > 0:
            self.faults.lose_answers = remaining - 1
        return True


def split_path(path: str) -> list[str]:
    """Return the unquoted path segments after the API version."""
    return [unquote(segment) for segment in path.split("/")[2:]]


def _send_reply(reply: Reply, start_response: Callable[..., Any]) -> list[bytes]:
    if reply.status == 304:
        # A 304 response has no body.
        start_response(STATUS_LINES[304], list(reply.headers))
        return []
    payload = json.dumps(reply.document, separators=(",", ":")).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(payload))),
        *reply.headers,
    ]
    start_response(STATUS_LINES[reply.status], headers)
    return [payload]
