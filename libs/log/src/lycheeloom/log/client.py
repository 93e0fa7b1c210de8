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
    """Calls to the log service; each is bounded in time and none raises."""

    def append(self, batch: bytes) -> AppendAnswer:
        """Append an encoded batch."""

    def read(
        self, first_offset: int, limit: int, wait_s: float, *, margin_s: float = 2.0
    ) -> ReadAnswer:
        """Read up to ``limit`` batches; wait up to ``wait_s`` if there are none yet.

        The call ends within ``wait_s + margin_s``.
        """
