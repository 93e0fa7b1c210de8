"""Outcomes of appended records."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from gevent.event import Event

from lycheeloom.model.records import Record


class Priority(IntEnum):
    """Priority of queued records; lower values enter the next batch first."""

    CONTROL = 0
    REQUEST = 1


@dataclass(frozen=True, slots=True)
class Effective:
    """The record was replayed at ``offset`` and took effect."""

    offset: int


@dataclass(frozen=True, slots=True)
class NoEffect:
    """The record was replayed at ``offset``, but its precondition did not hold."""

    offset: int


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The record is not in the log and will never be."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """It is not known whether the record took effect."""

    reason: str


Outcome = Effective | NoEffect | NotWritten | Unknown


class PendingRecord:
    """A record that was given to the writer, and its outcome once known.

    Example: ``match writer.append(record).wait(2.0): case Effective(): ...``
    """

    def __init__(self, record: Record, priority: Priority, size_bytes: int) -> None:
        self.record = record
        self.priority = priority
        self.size_bytes = size_bytes
        self.outcome: Outcome | None = None
        # Set once the record is part of a batch that may reach the log; cleared if
        # the log refuses that batch.
        self.is_sent = False
        # Set once a wait ended without an outcome. The record is then not sent
        # again if the append in progress is refused.
        self.wait_timed_out = False
        self._settled = Event()

    def settle(self, outcome: Outcome) -> None:
        """Set the outcome; later calls have no effect."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        self._settled.set()

    def withdraw(self, reason: str = "withdrawn before it was sent") -> bool:
        """Drop the record if it was not sent; return whether it is not written."""
        if self.is_sent or self.outcome is not None:
            return isinstance(self.outcome, NotWritten)
        self.settle(NotWritten(reason))
        return True

    def wait(self, timeout_s: float | None = None) -> Outcome:
        """Wait for the outcome.

        A record that is not sent within the time is withdrawn: its outcome is
        ``NotWritten``. For a record that was sent, ``Unknown`` is not final and
        ``wait`` may be called again; the outcome becomes ``NotWritten`` if the log
        refuses the record.
        """
        if self._settled.wait(timeout_s) and self.outcome is not None:
            return self.outcome
        self.wait_timed_out = True
        self.withdraw(f"not sent within {timeout_s} s")
        return self.outcome or Unknown(f"sent, not replayed within {timeout_s} s")

    def wait_settled(self, withdraw_after_s: float) -> Outcome:
        """Wait for the final outcome, without a time limit once the record is sent.

        A record that is not sent within ``withdraw_after_s`` is withdrawn.
        """
        self.wait(withdraw_after_s)
        self._settled.wait()
        return self.outcome
