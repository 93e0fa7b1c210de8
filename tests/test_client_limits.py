"""Processes keep to their memory and descriptors under clients that exceed the limits.

Each test starts an instance process or an entry as a process of its own, connects a
small crowd of hostile clients, and sends one ordinary request while the crowd is still
connected. The crowds and the bounds are those that the first version of the client
limits was measured with; they are not changed to make a test pass.
"""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import gevent
import psutil
import pytest
from demo.processes import running_fleet

from lycheeloom.adapter.documents import CONFIG_KEY
from lycheeloom.adapter.settings import PATH_VARIABLE
from lycheeloom.adapter.store import OPERATOR_TOPIC
from lycheeloom.adapter_standins.caller import JOB_BODY, wait_until
from lycheeloom.adapter_standins.store import StoreStandin
from lycheeloom.entry.http_server import HttpServer
from lycheeloom.standins import free_address

ROOT = Path(__file__).resolve().parent.parent
# Settings of the instance process under test, and thereby bounds of the tests.
MEMORY_MB = 120
FILE_DESCRIPTORS = 400
# Bound of the memory of an entry, whose settings name none in these tests.
ENTRY_MEMORY_MB = 200
# Ends a client or a call that hangs; no result depends on it otherwise.
HANG_TIMEOUT_S = 20.0
# How often an ordinary request that is refused for the time being is sent.
MAX_CALLS = 20
# What remains open in a process besides the connections of the crowd.
FILES_WITHOUT_CROWD = 40

Attack = Callable[[socket.socket], None]


@dataclass
class Target:
    """A process under test and the highest figures that were seen of it."""

    process: psutil.Process
    # How an ordinary request is sent; returns the status of its answer.
    call: Callable[[], int]
    address_by_port: dict[str, str]
    crowd: list[socket.socket] = field(default_factory=list)
    max_descriptors: int = 0

    @property
    def peak_memory_mb(self) -> float:
        """The highest resident memory so far, which the kernel keeps.

        psutil has only the present figure; sampling it could miss a short peak.
        """
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return max(int(peak.split()[1]) * 1024, self.process.memory_info().rss) / 1e6

    def attack(self, port: str, clients: int, send: Attack) -> None:
        """Let so many clients send, and keep their connections open."""
        greenlets = []
        for _ in range(clients):
            greenlets.append(gevent.spawn(self._attack_once, port, send))
            gevent.sleep(0)
            if not len(greenlets) % 10:
                self._count_descriptors()
        gevent.joinall(greenlets, timeout=HANG_TIMEOUT_S)
        self._count_descriptors()

    def check(self, memory_mb: float = MEMORY_MB) -> None:
        """Check that the process lives within its bounds and serves a request."""
        assert self.process.is_running()
        assert self.process.status() != psutil.STATUS_ZOMBIE
        # Submissions are refused with 503 while the store, which is served by the busy
        # process of the test, answers late.
        statuses = [self.call()]
        while statuses[-1] == 503 and len(statuses) < MAX_CALLS:
            gevent.sleep(0.5)
            statuses.append(self.call())
        self._count_descriptors()
        peak_mb = self.peak_memory_mb
        print(f"peak {peak_mb:.0f} MB, {self.max_descriptors} files, {statuses}")
        assert peak_mb < memory_mb
        assert self.max_descriptors < FILE_DESCRIPTORS
        assert statuses[-1] == 200

    def _attack_once(self, port: str, send: Attack) -> None:
        host, _, number = self.address_by_port[port].rpartition(":")
        try:
            sock = socket.create_connection((host, int(number)), HANG_TIMEOUT_S)
            self.crowd.append(sock)
            send(sock)
        except OSError:
            # The server has refused the client, as it may.
            return

    def _count_descriptors(self) -> None:
        count = self.process.num_fds()
        self.max_descriptors = max(self.max_descriptors, count)


def call(address: str, method: str, path: str, body: bytes = b"") -> int:
    """Send one request over a new connection; return the status, or 0 without one."""
    host, _, port = address.rpartition(":")
    head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    answer = b""
    try:
        with socket.create_connection((host, int(port)), HANG_TIMEOUT_S) as sock:
            sock.sendall(head.encode() + body)
            while chunk := sock.recv(4096):
                answer += chunk
    except OSError:
        return 0
    return int(answer.split()[1]) if answer else 0


def make_config() -> dict:
    """Return a configuration with one queue that is open to all."""
    route = {
        "name": "r1",
        "host": "h.example",
        "path_prefix": "/a/",
        "anonymous_access": True,
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": "svc",
        "max_attempts": 2,
        "stretch": 1.6,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "svc", "rejects_overload": True, "standby": False}],
        "limits": {"body_bytes": 262_144},
        "tenants": [],
    }


@contextmanager
def running_node(folder: Path) -> Iterator[Target]:
    """Start an instance process against a store on a loopback address."""
    store = StoreStandin()
    store.put(OPERATOR_TOPIC, CONFIG_KEY, make_config())
    server = HttpServer(("127.0.0.1", 0), store.app, log=None)
    server.start()
    metrics_port = int(free_address().rpartition(":")[2])
    addresses = {
        "callers": free_address(),
        "readiness": free_address(),
        "metrics": f"127.0.0.1:{metrics_port}",
    }
    settings = {
        "node_name": "n1",
        "ip": "127.0.0.1",
        "zone": "zone-a",
        "listen.frontend": addresses["callers"],
        "listen.readiness": addresses["readiness"],
        "internal_ports": f"{metrics_port},{metrics_port + 15}",
        "platform.address": f"127.0.0.1:{server.server_port}",
        "limits.memory_mb": MEMORY_MB,
        "limits.file_descriptors": FILE_DESCRIPTORS,
    }
    path = folder / "node.conf"
    path.write_text("".join(f"{name}={value}\n" for name, value in settings.items()))
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "platform" / "node.py")],
        env={"PATH": "/usr/bin:/bin", PATH_VARIABLE: str(path)},
        stdout=(folder / "node.log").open("w"),
        # Nobody reads it: a supervisor that is slow must not stop the process.
        stderr=subprocess.PIPE,
    )
    calls = 0

    def submit() -> int:
        nonlocal calls
        calls += 1
        body = json.dumps(JOB_BODY).encode()
        return call(addresses["callers"], "POST", f"/a/{calls:016x}", body)

    target = Target(psutil.Process(process.pid), submit, addresses)
    try:
        wait_until(
            lambda: call(addresses["readiness"], "GET", "/v1/readiness") == 200, 60.0
        )
        yield target
    finally:
        process.kill()
        process.wait()
        for sock in target.crowd:
            sock.close()
        server.stop(timeout=0)


@pytest.fixture
def node(tmp_path):
    """An instance process that is ready."""
    with running_node(tmp_path) as target:
        yield target


@pytest.fixture
def entry():
    """An entry that is ready."""
    with running_fleet() as fleet:
        fleet.start_platform(ROOT / "examples" / "user-a.toml")
        program = fleet.start_entry("e0", "a")
        # Without a configuration an entry is alive, but not ready for requests.
        wait_until(lambda: call(program.address, "GET", "/healthz") == 200, 60.0)
        target = Target(
            psutil.Process(program.process.pid),
            lambda: call(program.address, "GET", "/healthz"),
            {"callers": program.address},
        )
        yield target
        for sock in target.crowd:
            sock.close()


def send_head_lines(sock: socket.socket, count: int, length: int) -> None:
    """Send the first lines of a head, and not its end."""
    sock.sendall(b"GET / HTTP/1.1\r\n")
    for number in range(count):
        name = b"X-%d: " % number
        sock.sendall(name + b"v" * (length - len(name) - 2) + b"\r\n")


def send_part_of_head(sock: socket.socket) -> None:
    """Send 630,000 bytes of a head in lines that the HTTP server allows, then wait."""
    send_head_lines(sock, 90, 7_000)


def send_large_part_of_head(sock: socket.socket) -> None:
    """Send 5.4 MB of a head in lines that the HTTP server allows, then wait."""
    send_head_lines(sock, 90, 60_000)


def send_until_closed(sock: socket.socket, data: bytes) -> None:
    """Repeat the data until the server closes the connection or 16 MiB are sent."""
    for _ in range(16 * 1024 * 1024 // len(data)):
        sock.sendall(data)


def hold_idle_connections(node: Target, port: str) -> None:
    """Open 450 idle connections, in portions that the kernel's queue can hold.

    The request after each portion is answered only when the process has accepted it.
    """
    for _ in range(9):
        node.attack(port, 50, lambda sock: None)
        assert call(node.address_by_port[port], "GET", "/")


def test_heads_without_end(node):
    """Heads over the limit or without end must not fill the memory."""
    node.attack("callers", 40, send_large_part_of_head)
    node.attack(
        "callers", 40, lambda sock: send_until_closed(sock, b"X-Name: v\r\n" * 1000)
    )
    node.check()


def test_empty_lines_without_end(node):
    """Empty lines before a request must not stop the process.

    A line on standard error for each such client blocked the process as soon as the
    pipe was full.
    """
    node.attack("callers", 1000, lambda sock: send_until_closed(sock, b"\r\n" * 32_768))
    node.check()


def test_heads_that_are_not_completed(node):
    """Many clients that send most of a head and wait must not fill the memory."""
    node.attack("callers", 200, send_part_of_head)
    node.check()


def test_bodies_that_are_not_completed(node):
    """Bodies that are sent slowly, or announced and not sent, must not fill memory."""

    def send(sock: socket.socket) -> None:
        head = b"POST /a/%016x HTTP/1.1\r\nHost: h.example\r\n" % sock.fileno()
        sock.sendall(head + b"Content-Length: 262144\r\n\r\n" + b"x" * 250_000)
        for _ in range(5):
            gevent.sleep(0.1)
            sock.sendall(b"x")

    node.attack("callers", 350, send)
    node.check()


def send_body_without_end(node: Target, framing: str, piece: bytes) -> None:
    """Let clients send bodies without end, until no connection of theirs is open."""
    head = f"POST /a/{1:016x} HTTP/1.1\r\nHost: h.example\r\n{framing}\r\n\r\n"

    def send(sock: socket.socket) -> None:
        sock.sendall(head.encode())
        send_until_closed(sock, piece)

    node.attack("callers", 2 * FILES_WITHOUT_CROWD, send)
    wait_until(lambda: node.process.num_fds() < FILES_WITHOUT_CROWD, HANG_TIMEOUT_S)


def test_announced_body_without_end(node):
    """A body of 100 GB must not be read for good, nor its connection be kept."""
    send_body_without_end(node, "Content-Length: 100000000000", b"x" * 65_536)
    node.check()


def test_chunked_body_without_end(node):
    """Chunks without end must not be read for good, nor their connection be kept."""
    piece = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    send_body_without_end(node, "Transfer-Encoding: chunked", piece)
    node.check()


def test_idle_connections(node):
    """Idle connections must not use up the descriptors of the process."""
    hold_idle_connections(node, "callers")
    node.check()


def test_heads_that_are_not_completed_on_the_readiness_port(node):
    """Unfinished heads must not fill memory through the port for readiness."""
    node.attack("readiness", 200, send_part_of_head)
    node.check()


def test_heads_that_are_not_completed_on_the_metrics_port(node):
    """Unfinished heads must not fill memory through the port for metrics."""
    node.attack("metrics", 200, send_part_of_head)
    node.check()


def test_idle_connections_on_the_readiness_port(node):
    """Idle connections must not use up descriptors through the port for readiness."""
    hold_idle_connections(node, "readiness")
    node.check()


def test_idle_connections_on_the_metrics_port(node):
    """Idle connections must not use up descriptors through the port for metrics."""
    hold_idle_connections(node, "metrics")
    node.check()


def test_heads_that_are_not_completed_at_an_entry(entry):
    """The port of an entry must be protected like those of an instance process."""
    entry.attack("callers", 60, send_large_part_of_head)
    entry.check(ENTRY_MEMORY_MB)
