"""The interface of the log client that this package needs."""

from __future__ import annotations

from typing import Protocol

from lycheeloom.clients import (
    Appended,
    AppendRefused,
    AppendUnknown,
    Expired,
    ReadBatches,
    Unavailable,
)

AppendAnswer = Appended | AppendUnknown | AppendRefused
ReadAnswer = ReadBatches | Expired | Unavailable


class LogClient(Protocol):
    """Calls to the log service.

    Each call ends within a bounded time and returns a failure instead of raising.
    """

    def append(self, batch: bytes) -> AppendAnswer:
        """Append an encoded batch; one attempt, without retries."""

    def read(
        self, first_offset: int, limit: int, wait_s: float, *, margin_s: float = 2.0
    ) -> ReadAnswer:
        """Read up to ``limit`` batches from ``first_offset`` on.

        If there are none yet, the log waits up to ``wait_s`` for the first one.

        The call ends within ``wait_s + margin_s``.
        """
