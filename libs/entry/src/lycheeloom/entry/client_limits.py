"""Limits of what the clients of a process may hold open or make it keep in memory.

``ClientAccounts`` counts over all servers of a process and decides which connection is
dropped first. It has no access to the network; ``http_server`` acts on its decisions.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from pydantic import BaseModel, ConfigDict, Field
from sortedcontainers import SortedDict

# Descriptors that are kept for files. Half of the others are for connections of
# clients, the rest for those to the store, to workers and to other processes: 726 were
# open on a leader after an ordinary day.
RESERVED_DESCRIPTORS = 200
# An open connection costs 10 to 25 KB. 10 connections for each MB take up to a quarter
# of the memory.
CONNECTIONS_PER_MB = 10
# Heads and bodies that wait for their handling take a tenth of the memory. A body takes
# about three times its length while it is decoded.
PENDING_BYTES_PER_MB = 100_000
# A connection counts as this much younger from its last complete request on, so that
# those of callers go after those that have never sent a request.
SERVED_ADVANTAGE_S = 60.0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits for the clients of a process; times are in seconds.

    ``connections`` and ``pending_bytes`` hold for all servers of the process together,
    the others for each request.
    """

    # Open connections.
    connections: int = 2_000
    # Bytes of heads and bodies of requests that are not answered yet.
    pending_bytes: int = 20_000_000
    head_bytes: int = 32_768
    # At least four times what applications accept, so that they can answer too large
    # bodies themselves.
    body_bytes: int = 1_048_576
    # Time from the first byte of a head to its end. A link of 5 Mbit/s carries a
    # hundred heads of 32 KB in 5.2 s.
    head_s: float = 20.0
    # Time from the end of a head to that of the body. A link of 5 Mbit/s carries a
    # hundred bodies of 262,144 bytes in 42 s.
    body_s: float = 60.0
    # Time for a client to take an answer.
    answer_s: float = 60.0


def derive_limits(memory_mb: float, file_descriptors: int) -> ClientLimits:
    """Return the limits for a process with so much memory and so many descriptors."""
    defaults = ClientLimits()
    by_files = (file_descriptors - RESERVED_DESCRIPTORS) // 2
    connections = min(by_files, int(memory_mb * CONNECTIONS_PER_MB))
    pending_bytes = int(memory_mb * PENDING_BYTES_PER_MB)
    return ClientLimits(
        connections=max(1, connections),
        # One request within the limits must fit.
        pending_bytes=max(
            pending_bytes, 2 * (defaults.head_bytes + defaults.body_bytes)
        ),
    )


class ClientLimitSettings(BaseModel):
    """Limits that a settings file sets; those that are None keep their defaults."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    connections: int | None = Field(None, gt=0)
    pending_bytes: int | None = Field(None, gt=0)
    head_bytes: int | None = Field(None, ge=1_024)
    body_bytes: int | None = Field(None, gt=0)
    head_s: float | None = Field(None, gt=0)
    body_s: float | None = Field(None, gt=0)
    answer_s: float | None = Field(None, gt=0)

    def apply_to(self, defaults: ClientLimits) -> ClientLimits:
        """Return the limits in force.

        Raises ``ValueError`` if a single request within the limits could exceed
        ``pending_bytes``; the framing of chunks may double a body.
        """
        limits = replace(defaults, **self.model_dump(exclude_none=True))
        needed_bytes = 2 * (limits.head_bytes + limits.body_bytes)
        if limits.pending_bytes < needed_bytes:
            raise ValueError(
                f"client_limits.pending_bytes is {limits.pending_bytes}, and must be "
                f"at least twice head_bytes and body_bytes together: {needed_bytes}"
            )
        return limits


@dataclass(slots=True)
class _Connection:
    # Time that decides the order of dropping; the lowest goes first.
    rank_s: float
    # Bytes of the request that is being received or handled.
    pending_bytes: int = 0
    is_handed_over: bool = False


class ClientAccounts:
    """Counts connections and pending bytes, and names the connection to drop next.

    The connection that has gone longest without sending a complete request is dropped
    first. One whose request was handed to the application is never dropped. Times are
    seconds of one monotonic clock.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self.limits = limits
        self.pending_bytes = 0
        self._connection_by_number: dict[int, _Connection] = {}
        # Connections that may be dropped, and those of them that hold bytes; the values
        # are not used.
        self._droppable: SortedDict = SortedDict()
        self._holding: SortedDict = SortedDict()
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._connection_by_number)

    def open(self, now_s: float) -> int:
        """Count a new connection and return its number."""
        self._last_number += 1
        number = self._last_number
        connection = _Connection(now_s)
        self._connection_by_number[number] = connection
        self._droppable[now_s, number] = None
        return number

    def close(self, number: int) -> None:
        """Forget a connection; has no effect if it is not known."""
        connection = self._connection_by_number.pop(number, None)
        if connection is None:
            return
        self.pending_bytes -= connection.pending_bytes
        self._remove_rank(number, connection)

    def receive(self, number: int, pending_bytes: int, now_s: float = 0.0) -> None:
        """Note how many bytes of its present request a connection has sent.

        A request that begins at ``now_s`` moves its connection behind those that began
        theirs before. Otherwise a caller that had kept its connection open for longer
        than ``SERVED_ADVANTAGE_S`` would go before clients that came since.
        """
        connection = self._connection_by_number.get(number)
        if connection is None:
            return
        begins = bool(pending_bytes) and not connection.pending_bytes
        self.pending_bytes += pending_bytes - connection.pending_bytes
        connection.pending_bytes = pending_bytes
        if connection.is_handed_over:
            return
        if begins and now_s > connection.rank_s:
            self._remove_rank(number, connection)
            connection.rank_s = now_s
            self._droppable[now_s, number] = None
        if pending_bytes:
            self._holding[connection.rank_s, number] = None
        else:
            self._holding.pop((connection.rank_s, number), None)

    def hand_over(self, number: int, now_s: float) -> bool:
        """Note that a complete request is handed to the application.

        Returns False if the connection was dropped before; its request must not run.
        """
        connection = self._connection_by_number.get(number)
        if connection is None:
            return False
        self._remove_rank(number, connection)
        connection.is_handed_over = True
        connection.rank_s = now_s + SERVED_ADVANTAGE_S
        return True

    def answered(self, number: int) -> None:
        """Note that the request of a connection was answered."""
        connection = self._connection_by_number.get(number)
        if connection is None:
            return
        connection.is_handed_over = False
        self._droppable[connection.rank_s, number] = None
        self.receive(number, 0)

    def find_excess_connection(self, newest: int) -> int | None:
        """Return the connection to drop as too many are open, None if they are not.

        ``newest``, which was just accepted, goes only if no other one can be dropped.
        """
        if len(self) <= self.limits.connections:
            return None
        for _, number in self._droppable:
            if number != newest:
                return number
        return newest

    def find_excess_bytes(self) -> int | None:
        """Return the connection to drop as too many bytes are pending, None if not."""
        if self.pending_bytes <= self.limits.pending_bytes or not self._holding:
            return None
        return self._holding.peekitem(0)[0][1]

    def _remove_rank(self, number: int, connection: _Connection) -> None:
        self._droppable.pop((connection.rank_s, number), None)
        self._holding.pop((connection.rank_s, number), None)
