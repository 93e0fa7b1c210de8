"""Runs an entry or a controller that counts the payload bytes of its sockets.

Counting happens inside the process and adds about a microsecond to each socket
call. Headers of TCP and IP are not counted. On SIGUSR1 the program prints one
JSON line with the bytes sent and received so far, summed by peer.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from collections import Counter  # noqa: E402
from pathlib import Path  # noqa: E402
from weakref import WeakKeyDictionary  # noqa: E402

import gevent  # noqa: E402
from gevent import socket  # noqa: E402

from lycheeloom.controller.main import main as run_controller  # noqa: E402
from lycheeloom.entry.main import main as run_entry  # noqa: E402
from lycheeloom.entry.settings import Settings  # noqa: E402
from lycheeloom.settings import load_settings, split_address  # noqa: E402

BYTES_KEY = "bytes_by_end"


def count_bytes_by_peer(name_by_port: dict[int, str]) -> Counter:
    """Count the bytes of every socket of the process from now on, by peer.

    The peer of an accepted connection is the name of the listening port in
    ``name_by_port``; any other peer is its remote address. ``closed`` collects
    sockets that were closed before their peer was known.
    """
    byte_count_by_peer: Counter = Counter()
    peer_by_socket: WeakKeyDictionary = WeakKeyDictionary()

    def add(sock: socket.socket, size: int) -> None:
        peer = peer_by_socket.get(sock)
        if peer is None:
            peer = peer_by_socket[sock] = _peer_name(sock, name_by_port)
        byte_count_by_peer[peer] += size

    socket_type = socket.socket

    def send(sock, data, *args, **kwargs):
        size = original_send(sock, data, *args, **kwargs)
        add(sock, size)
        return size

    def recv(sock, *args):
        data = original_recv(sock, *args)
        add(sock, len(data))
        return data

    def recv_into(sock, *args):
        size = original_recv_into(sock, *args)
        add(sock, size)
        return size

    original_send, original_recv, original_recv_into = (
        socket_type.send,
        socket_type.recv,
        socket_type.recv_into,
    )
    socket_type.send, socket_type.recv, socket_type.recv_into = (
        send,
        recv,
        recv_into,
    )
    return byte_count_by_peer


def _peer_name(sock: socket.socket, name_by_port: dict[int, str]) -> str:
    try:
        own_port = sock.getsockname()[1]
        host, port = sock.getpeername()[:2]
    except OSError:
        return "closed"
    return name_by_port.get(own_port) or f"{host}:{port}"


def _start_entry(path: str) -> int:
    settings = load_settings(Path(path), Settings)
    name_by_port = {
        split_address(settings.listen)[1]: "callers",
        split_address(settings.peer_listen)[1]: "peers",
    }
    _print_on_signal(count_bytes_by_peer(name_by_port))
    return run_entry([path])


def _start_controller(path: str) -> int:
    _print_on_signal(count_bytes_by_peer({}))
    return run_controller([path])


def _print_on_signal(byte_count_by_peer: Counter) -> None:
    gevent.signal_handler(
        signal.SIGUSR1,
        lambda: print(json.dumps({BYTES_KEY: byte_count_by_peer}), flush=True),
    )


if __name__ == "__main__":
    if sys.argv[1] == "controller":
        sys.exit(_start_controller(sys.argv[2]))
    sys.exit(_start_entry(sys.argv[1]))
