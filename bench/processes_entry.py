"""An entry or controller that counts the payload bytes of each of its sockets.

The counters are inside the process and add about a microsecond to each socket
call; headers of TCP and IP are not counted. On SIGUSR1 the program prints one
JSON line with the bytes sent and received so far by the other end.
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
from lycheeloom.entry.main import main  # noqa: E402
from lycheeloom.entry.settings import Settings  # noqa: E402
from lycheeloom.settings import load_settings, split_address  # noqa: E402

MARK = "bytes_by_end"


def count_sockets(name_by_port: dict[int, str]) -> Counter:
    """Count the bytes of every socket from now on.

    The end is the name of an own listening port, or the remote address.
    """
    bytes_by_end: Counter = Counter()
    end_by_socket: WeakKeyDictionary = WeakKeyDictionary()

    def add(sock: socket.socket, size: int) -> None:
        end = end_by_socket.get(sock)
        if end is None:
            end = end_by_socket[sock] = _end(sock, name_by_port)
        bytes_by_end[end] += size

    plain = socket.socket

    def send(sock, data, *args, **kwargs):
        size = _send(sock, data, *args, **kwargs)
        add(sock, size)
        return size

    def recv(sock, *args):
        data = _recv(sock, *args)
        add(sock, len(data))
        return data

    def recv_into(sock, *args):
        size = _recv_into(sock, *args)
        add(sock, size)
        return size

    _send, _recv, _recv_into = plain.send, plain.recv, plain.recv_into
    plain.send, plain.recv, plain.recv_into = send, recv, recv_into
    return bytes_by_end


def _end(sock: socket.socket, name_by_port: dict[int, str]) -> str:
    try:
        own_port = sock.getsockname()[1]
        host, port = sock.getpeername()[:2]
    except OSError:
        return "closed"
    return name_by_port.get(own_port) or f"{host}:{port}"


def _run_entry(path: str) -> int:
    settings = load_settings(Path(path), Settings)
    names = {
        split_address(settings.listen)[1]: "callers",
        split_address(settings.peer_listen)[1]: "peers",
    }
    _print_on_signal(count_sockets(names))
    return main([path])


def _run_controller(path: str) -> int:
    _print_on_signal(count_sockets({}))
    return run_controller([path])


def _print_on_signal(counted: Counter) -> None:
    gevent.signal_handler(
        signal.SIGUSR1, lambda: print(json.dumps({MARK: counted}), flush=True)
    )


if __name__ == "__main__":
    if sys.argv[1] == "controller":
        sys.exit(_run_controller(sys.argv[2]))
    sys.exit(_run_entry(sys.argv[1]))
