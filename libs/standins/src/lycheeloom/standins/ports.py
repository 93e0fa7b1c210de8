"""Loopback ports for programs that tests and the demo start.

Several processes of a test run ask for ports at the same time, and each port stays
unused until the program that was given it listens. A port from the kernel's ephemeral
range could be taken in between by an outgoing connection, and a port that is only
checked for being free could be given to two programs. Ports are therefore taken from
below the ephemeral range, and each process owns the ports that it gives out.
"""

from __future__ import annotations

import random
import socket
from collections.abc import Callable, Iterator

HOST = "127.0.0.1"
FIRST_PORT = 10_000
# Linux begins its default range of ephemeral ports at 32,768.
END_PORT = 32_000
BLOCK_SIZE = 200


def is_free(port: int) -> bool:
    """Return whether a program could listen on a loopback port now."""
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


class PortAllocator:
    """Gives out loopback ports that no other allocator gives out.

    The ports are divided into blocks. An allocator owns a block while it is bound to
    the first port of the block, which the kernel allows to one process only. The claim
    ends with the allocator, at the latest when its process ends.

    For example, two allocators of different processes, or of the same one, never give
    out the same port:

        first, second = PortAllocator(), PortAllocator()
        assert first.allocate() != second.allocate()
    """

    def __init__(self, is_free: Callable[[int], bool] = is_free) -> None:
        self._is_free = is_free
        self._claims: list[socket.socket] = []
        self._ports: Iterator[int] = iter(())

    def allocate(self) -> int:
        """Return a port that nobody listens on and that was not given out before.

        Raises ``RuntimeError`` if a further block is needed and none is left.
        """
        while True:
            for port in self._ports:
                if self._is_free(port):
                    return port
            self._ports = self._claim_block()

    def close(self) -> None:
        """Give up all blocks."""
        for claim in self._claims:
            claim.close()
        self._claims.clear()
        self._ports = iter(())

    def _claim_block(self) -> Iterator[int]:
        """Claim a block that nobody has claimed; return its ports."""
        starts = list(range(FIRST_PORT, END_PORT, BLOCK_SIZE))
        random.SystemRandom().shuffle(starts)
        for start in starts:
            claim = socket.socket()
            try:
                claim.bind((HOST, start))
            except OSError:
                claim.close()
                continue
            self._claims.append(claim)
            return iter(range(start + 1, start + BLOCK_SIZE))
        raise RuntimeError(
            f"all blocks of ports from {FIRST_PORT} to {END_PORT - 1} are claimed"
        )


_allocator = PortAllocator()


def free_address() -> str:
    """Return a loopback address with a port for a program that starts soon.

    The port belongs to this process until it ends; see ``PortAllocator``.
    """
    return f"{HOST}:{_allocator.allocate()}"
