"""What became of an appended record."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from gevent.event import Event

from lycheeloom.model.records import Record


class Priority(IntEnum):
    """Order in which waiting records enter the next batch."""

    CONTROL = 0
    REQUEST = 1


@dataclass(frozen=True, slots=True)
class Effective:
    """The record was replayed at ``offset`` and took effect."""

    offset: int


@dataclass(frozen=True, slots=True)
class NoEffect:
    """The record was replayed at ``offset``; its precondition did not hold."""

    offset: int


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The record is certainly not in the log and never will be."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Nothing shows yet whether the record took effect."""

    reason: str


Outcome = Effective | NoEffect | NotWritten | Unknown


class Pending:
    """A record on its way through the log.

    Example: ``match writer.append(record).wait(2.0): case Effective(): ...``
    """

    def __init__(self, record: Record, priority: Priority, size_bytes: int) -> None:
        self.record = record
        self.priority = priority
        self.size_bytes = size_bytes
        self.outcome: Outcome | None = None
        # Set while an attempt that may reach the log is under way or was made.
        self.is_sent = False
        # Set once a wait ended without an outcome: the record is then not sent
        # again if the attempt under way is refused.
        self.is_given_up = False
        self._settled = Event()

    def settle(self, outcome: Outcome) -> None:
        """Record the outcome; the first one stays."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        self._settled.set()

    def withdraw(self, reason: str = "withdrawn before it was sent") -> bool:
        """Give up a record that was never sent; tells whether that is so."""
        if self.is_sent or self.outcome is not None:
            return isinstance(self.outcome, NotWritten)
        self.settle(NotWritten(reason))
        return True

    def wait(self, timeout_s: float | None = None) -> Outcome:
        """Wait for the outcome.

        A record that was not sent within the time is withdrawn and reported as
        ``NotWritten``. ``Unknown`` after a sent record may still turn into an
        outcome later, ``NotWritten`` if the log refuses it; ``wait`` may be called
        again.
        """
        if self._settled.wait(timeout_s) and self.outcome is not None:
            return self.outcome
        self.is_given_up = True
        self.withdraw(f"not sent within {timeout_s} s")
        return self.outcome or Unknown(f"sent, not replayed within {timeout_s} s")

    def wait_settled(self, withdraw_after_s: float) -> Outcome:
        """Wait for the outcome, for as long as a sent record takes.

        A record that was not sent within ``withdraw_after_s`` is withdrawn.
        """
        self.wait(withdraw_after_s)
        self._settled.wait()
        return self.outcome
