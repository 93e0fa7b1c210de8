"""The log client that this library is written against."""

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
    """Bounded calls to the log service; none of them raises."""

    def append(self, batch: bytes) -> AppendAnswer:
        """Append one encoded batch."""

    def read(
        self, first_offset: int, limit: int, wait_s: float, *, margin_s: float = 2.0
    ) -> ReadAnswer:
        """Read batches; wait up to ``wait_s`` if there are none yet.

        The call ends within ``wait_s`` and ``margin_s``.
        """
