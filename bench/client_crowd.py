"""Measures an instance process under a crowd of hostile clients, on loopback.

``python -m bench.client_crowd [--clients 3000] [--seconds 20]`` starts one instance
process with the settings of a small instance (200 MB, 4,100 descriptors), and the
clients in a process of their own. It prints the highest memory and number of
descriptors of the process, and what 100 ordinary callers got meanwhile.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import resource  # noqa: E402
import socket  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
import psutil  # noqa: E402

from lycheeloom.adapter.documents import CONFIG_KEY  # noqa: E402
from lycheeloom.adapter.settings import PATH_VARIABLE  # noqa: E402
from lycheeloom.adapter.store import OPERATOR_TOPIC  # noqa: E402
from lycheeloom.adapter_standins.caller import wait_until  # noqa: E402
from lycheeloom.adapter_standins.store import StoreStandin  # noqa: E402
from lycheeloom.entry.http_server import HttpServer  # noqa: E402
from lycheeloom.standins import free_address  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
CALLERS = 100
# Pause of a caller between two calls, and of a hostile client before it connects again.
CALL_PAUSE_S = 0.5
RECONNECT_PAUSE_S = 1.0
CALL_TIMEOUT_S = 10.0
REQUEST = b"GET /a/ HTTP/1.1\r\nHost: h.example\r\n\r\n"
CONFIG = {
    "version": 1,
    "routes": [
        {
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
    ],
    "services": [{"name": "svc", "rejects_overload": True, "standby": False}],
    "limits": {"body_bytes": 262_144},
    "tenants": [],
}


def attack(address: str, kind: int) -> None:
    """Be one hostile client: connect, send one of four patterns, wait; repeat."""
    host, _, port = address.rpartition(":")
    while True:
        try:
            with socket.create_connection((host, int(port)), CALL_TIMEOUT_S) as sock:
                match kind % 4:
                    case 0:
                        sock.sendall(b"GET / HTTP/1.1\r\nX: " + b"v" * 30_000)
                    case 1:
                        head = b"POST /a/x HTTP/1.1\r\nContent-Length: 262144\r\n\r\n"
                        sock.sendall(head + b"x" * 90_000)
                    case 2:
                        sock.sendall(b"GET / HTTP/1.1\r\n" + b"X: v\r\n" * 20_000)
                while sock.recv(4_096):
                    pass
        except OSError:
            # Refused, dropped, or nothing received in time.
            pass
        gevent.sleep(RECONNECT_PAUSE_S)


def call_repeatedly(address: str, results: Counter, times_s: list[float]) -> None:
    """Be one ordinary caller, with a connection that is kept between calls."""
    host, _, port = address.rpartition(":")
    sock = None
    while True:
        gevent.sleep(random.uniform(0.5, 1.5) * CALL_PAUSE_S)
        began_s = time.monotonic()
        try:
            if sock is None:
                sock = socket.create_connection((host, int(port)), CALL_TIMEOUT_S)
            sock.sendall(REQUEST)
            answer = b""
            # The head and the body of an answer may arrive apart.
            while not answer.endswith(b"}") and (data := sock.recv(4_096)):
                answer += data
        except OSError:
            answer = b""
        status = answer[9:12].decode() or "none"
        results[status] += 1
        if status == "200":
            times_s.append(time.monotonic() - began_s)
        elif sock is not None:
            # Refused, or closed before an answer; the caller connects again.
            sock.close()
            sock = None


def main() -> None:
    """Run the measurement, or the hostile clients in their own process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--clients", type=int, default=3_000)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--attack", default="", help=argparse.SUPPRESS)
    options = parser.parse_args()
    files = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))
    if options.attack:
        for kind in range(options.clients):
            gevent.spawn(attack, options.attack, kind)
        gevent.sleep(options.seconds)
        return
    store = StoreStandin()
    store.put(OPERATOR_TOPIC, CONFIG_KEY, CONFIG)
    server = HttpServer(("127.0.0.1", 0), store.app, log=None)
    server.start()
    address, ready = free_address(), free_address()
    port = int(free_address().rpartition(":")[2])
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.conf"
        path.write_text(
            f"node_name=n1\nip=127.0.0.1\nzone=a\nlisten.frontend={address}\n"
            f"listen.readiness={ready}\ninternal_ports={port},{port + 15}\n"
            f"platform.address=127.0.0.1:{server.server_port}\n"
            "limits.memory_mb=200\nlimits.file_descriptors=4100\n"
        )
        with (Path(folder) / "log").open("w") as log:
            process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform/node.py")],
                env={PATH_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )
        try:
            measure(process, address, options.clients, options.seconds)
        finally:
            process.kill()
            process.wait()
            lines = (Path(folder) / "log").read_text().splitlines()
    print(f"{len(lines)} log lines; last of clients_refused:")
    print(next((x for x in reversed(lines) if "clients_refused" in x), "none"))


def measure(
    process: subprocess.Popen, address: str, clients: int, seconds: float
) -> None:
    """Run callers and hostile clients against a process, and print the figures."""
    host, _, port = address.rpartition(":")

    def is_serving() -> bool:
        try:
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.sendall(REQUEST)
                return sock.recv(4_096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    wait_until(is_serving)
    watched = psutil.Process(process.pid)
    print(f"start: {watched.memory_info().rss / 1e6:.0f} MB")
    results: Counter = Counter()
    times_s: list[float] = []
    callers = [
        gevent.spawn(call_repeatedly, address, results, times_s) for _ in range(CALLERS)
    ]
    command = [sys.executable, "-m", "bench.client_crowd", "--attack", address]
    command += ["--clients", str(clients), "--seconds", str(seconds)]
    crowd = subprocess.Popen(command)
    most_files = 0
    while crowd.poll() is None and process.poll() is None:
        most_files = max(most_files, watched.num_fds())
        gevent.sleep(0.1)
    gevent.killall(callers)
    if crowd.poll() is None:
        crowd.kill()
        crowd.wait()
    if process.poll() is not None:
        print(f"the process ended with {process.returncode}")
        return
    status = Path(f"/proc/{process.pid}/status").read_text()
    peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    cpu = watched.cpu_times()
    times_s.sort()
    print(f"{clients} hostile clients, {seconds:.0f} s: peak {peak.split()[1]} kB")
    print(f"most files {most_files}; processor time {cpu.user + cpu.system:.1f} s")
    print(f"answers to {CALLERS} callers: {dict(results)}")
    if times_s:
        middle, late = times_s[len(times_s) // 2], times_s[len(times_s) * 99 // 100]
        print(f"time of an answer: median {middle:.3f} s, 99% {late:.3f} s")


if __name__ == "__main__":
    main()
