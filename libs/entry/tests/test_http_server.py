"""Tests of the HTTP server: socket options, and calls in progress at its stop."""

from __future__ import annotations

import itertools

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from lycheeloom.entry import request_reader
from lycheeloom.entry.client_limits import ClientLimits
from lycheeloom.entry.http_server import ClientGuard, HttpServer
from lycheeloom.entry.request_reader import RequestReader


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


def send_to(limits: ClientLimits, *parts: bytes) -> tuple[bytes, list[bytes]]:
    """Send to a server with limits; return the answer and the bodies that it handled.

    Afterwards nothing may be counted any more, and each refusal must have been.
    """
    bodies = []

    def answer(environ, start_response):
        bodies.append(environ["wsgi.input"].read())
        start_response("200 OK", [("Content-Length", "2"), ("Connection", "close")])
        return [b"ok"]

    refused = []
    guard = ClientGuard(limits, refused.append)
    server = HttpServer(("127.0.0.1", 0), answer, log=None, clients=guard)
    server.start()
    with socket.create_connection(("127.0.0.1", server.server_port)) as sock:
        sock.settimeout(10.0)
        for part in parts:
            sock.sendall(part)
            gevent.sleep(0.01)
        content = read_all(sock)
    assert server.finish_calls(10.0) == 0
    assert len(guard.accounts) == guard.accounts.pending_bytes == 0
    assert len(refused) == (not bodies)
    return content, bodies


POST = b"POST / HTTP/1.1\r\nHost: h\r\n"


@pytest.mark.parametrize(
    ("parts", "body"),
    [
        ([b"\r\n\r\n" + REQUEST], b""),
        ([REQUEST[:9], REQUEST[9:-1], REQUEST[-1:]], b""),
        ([POST + b"Content-Length: 100\r\n\r\n", b"a" * 60, b"a" * 40], b"a" * 100),
        (
            [POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", b"0\r\n\r\n"],
            b"abc",
        ),
    ],
)
def test_requests_within_the_limits_are_served(parts, body):
    """A request must be served in whatever parts it arrives, with its whole body."""
    content, bodies = send_to(ClientLimits(body_bytes=100), *parts)
    assert content.endswith(b"ok")
    assert bodies == [body]


@pytest.mark.parametrize(
    ("parts", "status"),
    [
        ([b"\r\n" * 100 + REQUEST], 400),
        ([b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 1_000], 431),
        ([b"GET / HTTP/1.1\r\nX: "], 408),
        ([POST + b"Content-Length: 101\r\n\r\n"], 413),
        ([POST + b"Content-Length: 100\r\n\r\n" + b"a" * 99], 408),
        (
            [POST + b"Transfer-Encoding: chunked\r\n\r\n65\r\n" + b"a" * 101 + b"\r\n"],
            413,
        ),
        (
            [POST + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"a: b\r\n" * 4_000],
            413,
        ),
        ([POST + b"Transfer-Encoding: chunked\r\n\r\n\r\n"], 400),
        ([POST + b"Transfer-Encoding: chunked\r\n\r\nx\r\n"], 400),
    ],
)
def test_refused_requests_do_not_run(parts, status):
    """A refusal must say which limit was exceeded, and the request must not run."""
    limits = ClientLimits(head_bytes=2_000, body_bytes=100, head_s=0.2, body_s=0.2)
    content, bodies = send_to(limits, *parts)
    assert content.startswith(b"HTTP/1.1 %d " % status)
    assert b"Connection: close" in content
    assert bodies == []


def test_body_that_is_awaited_is_asked_for():
    """A client that waits for 100 (Continue) must not wait until its body is late."""
    head = POST + b"Content-Length: 3\r\nExpect: 100-continue\r\n\r\n"
    content, bodies = send_to(ClientLimits(), head, b"abc")
    assert content.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200")
    assert bodies == [b"abc"]


def test_connection_is_dropped_for_a_new_one(slow_server):
    """The oldest connection without a request goes, one with a call in progress not."""
    slow_server.server.clients.accounts.limits = ClientLimits(connections=2)
    caller = slow_server.connect()
    caller.sendall(REQUEST)
    slow_server.wait_for_calls(1)
    partial, idle = slow_server.connect(), None
    partial.sendall(REQUEST[:-2])
    gevent.sleep(0.05)
    idle = slow_server.connect()
    assert read_all(partial).startswith(b"HTTP/1.1 503 ")
    gevent.sleep(0.05)
    slow_server.connect()
    assert read_all(idle) == b""
    slow_server.may_answer.set()
    assert caller.recv(4096).startswith(b"HTTP/1.1 200 ")


def test_request_that_arrives_as_its_connection_is_dropped_is_refused(slow_server):
    """A request that is in the socket must get a refusal, not a broken connection."""
    slow_server.server.clients.accounts.limits = ClientLimits(connections=1)
    sock = slow_server.connect()
    gevent.sleep(0.05)
    sock.sendall(REQUEST)
    # Drops the other connection before the server has read from it.
    guard = slow_server.server.clients
    (handler,) = slow_server.server.handlers
    guard._drop(handler._number, "connections")
    assert b'"reason": "connections"' in read_all(sock)
    assert slow_server.calls_begun == 0


def test_part_of_a_request_line_does_not_hold_up_a_stop(slow_server):
    """A client that has sent no complete line must not keep the process from ending."""
    sock = slow_server.connect()
    sock.sendall(b"GET /")
    gevent.sleep(0.05)
    assert slow_server.server.finish_calls(10.0) == 0
    assert read_all(sock) == b""


class TurnCounter:
    """Counts how often another greenlet of the process gets a turn.

    It waits for a timer, so it gets none if only greenlets that are ready are resumed.
    """

    def __init__(self) -> None:
        self.turns = 0
        self.greenlet = gevent.spawn(self._count)

    def _count(self) -> None:
        while True:
            self.turns += 1
            gevent.sleep(0.00001)


@pytest.fixture
def turn_counter(monkeypatch):
    """A counter of turns; each connection gives way as soon as it may."""
    monkeypatch.setattr(request_reader, "MAX_TURN_S", 0.0, raising=False)
    counter = TurnCounter()
    yield counter
    counter.greenlet.kill()


def test_requests_that_are_sent_at_once_let_others_run(turn_counter):
    """Guards against a process that hangs while one client sends without a pause."""
    turns = []

    def answer(environ, start_response):
        turns.append(turn_counter.turns)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = HttpServer(("127.0.0.1", 0), answer, log=None)
    server.start()
    with socket.create_connection(("127.0.0.1", server.server_port)) as sock:
        sock.sendall(REQUEST * 20)
        while len(turns) < 20:
            gevent.sleep(0.005)
    server.stop(timeout=0)
    assert all(later > earlier for earlier, later in itertools.pairwise(turns))


def test_chunks_without_a_pause_let_others_run(turn_counter, monkeypatch):
    """Guards against a process that hangs while it reads many small chunks."""
    monkeypatch.setattr(request_reader, "RECEIVE_BYTES", 64)
    turns = []
    client, served = socket.socketpair()
    with client, served:
        reader = RequestReader(
            served, ClientLimits(), lambda _: turns.append(turn_counter.turns)
        )
        client.sendall(b"1\r\nx\r\n" * 200 + b"0\r\n\r\n")
        assert reader.read_chunked_body() == b"x" * 200
    assert all(later > earlier for earlier, later in itertools.pairwise(turns))
