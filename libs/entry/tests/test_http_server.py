"""Tests of the HTTP server: socket options, and calls in progress at its stop."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from lycheeloom.entry.http_server import HttpServer


def test_connections_send_without_delay(monkeypatch):
    """Guards against responses that wait for the peer's delayed acknowledgement.

    Without TCP_NODELAY each response took about 40 ms longer.
    """
    served = []
    monkeypatch.setattr(WSGIServer, "handle", lambda self, sock, _: served.append(sock))
    server = HttpServer(("127.0.0.1", 0), lambda *_: [])
    with socket.socket() as sock:
        server.handle(sock, ("127.0.0.1", 1))
        assert served == [sock]
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class SlowServer:
    """A server whose calls are answered when ``may_answer`` is set."""

    def __init__(self) -> None:
        self.may_answer = Event()
        self.calls_begun = 0
        self.server = HttpServer(("127.0.0.1", 0), self._answer, log=None)
        self.server.start()

    def connect(self) -> socket.socket:
        """Return a new connection to the server."""
        sock = socket.create_connection(("127.0.0.1", self.server.server_port))
        sock.settimeout(10.0)
        return sock

    def wait_for_calls(self, count: int) -> None:
        """Wait until so many calls have begun."""
        while self.calls_begun < count:
            gevent.sleep(0.005)

    def _answer(self, environ, start_response):
        self.calls_begun += 1
        self.may_answer.wait()
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]


@pytest.fixture
def slow_server():
    """A server that answers when the test allows it."""
    slow_server = SlowServer()
    yield slow_server
    slow_server.may_answer.set()
    slow_server.server.stop(timeout=0)


def read_all(sock: socket.socket) -> bytes:
    """Read from a connection until the server closes it."""
    content = b""
    while chunk := sock.recv(4096):
        content += chunk
    return content


def test_calls_in_progress_are_answered_before_the_server_stops(slow_server):
    """A stop must wait for calls in progress, and must not leave them unanswered."""
    sock = slow_server.connect()
    sock.sendall(REQUEST)
    slow_server.wait_for_calls(1)
    stop = gevent.spawn(slow_server.server.finish_calls, 10.0)
    gevent.sleep(0.1)
    assert not stop.ready()
    slow_server.may_answer.set()
    assert read_all(sock).endswith(b"ok")
    assert stop.get() == 0


def test_request_on_an_open_connection_is_answered_during_a_stop(slow_server):
    """A request that has arrived must be answered, although nothing was in progress.

    The stop begins when the request is in the socket and not read yet.
    """
    slow_server.may_answer.set()
    sock = slow_server.connect()
    sock.sendall(REQUEST)
    slow_server.wait_for_calls(1)
    while not sock.recv(4096).endswith(b"ok"):
        pass
    sock.sendall(REQUEST)
    assert slow_server.server.finish_calls(10.0) == 0
    assert read_all(sock).endswith(b"ok")


def test_idle_connections_end_at_once(slow_server):
    """An idle connection must not hold up the end of the process."""
    sock = slow_server.connect()
    gevent.sleep(0.05)
    assert slow_server.server.finish_calls(10.0) == 0
    assert read_all(sock) == b""


def test_calls_beyond_the_timeout_are_counted(slow_server):
    """A call that does not end must not keep the process from ending."""
    sock = slow_server.connect()
    sock.sendall(REQUEST)
    slow_server.wait_for_calls(1)
    assert slow_server.server.finish_calls(0.1) == 1
