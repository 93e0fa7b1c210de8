"""Appends batches to the log and determines whether they took effect."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from lycheeloom.clients import (
    Appended,
    AppendRefusal,
    AppendRefused,
    AppendUnknown,
)
from lycheeloom.model.records import Batch, Record
from lycheeloom.wire import encode_batch

from .log_view import BatchOutcome, Log, LogView

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


@dataclass(frozen=True, slots=True)
class Accepted:
    """The batch is in the log.

    ``outcome`` tells which of its records took effect; ``data`` is the encoded batch.
    """

    outcome: BatchOutcome
    data: bytes


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The batch is not in the log and will not appear there later.

    ``may_repeat`` is False if the log would refuse the batch each time.
    """

    reason: str
    may_repeat: bool = True


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The batch may be in the log already or appear there later."""

    reason: str


@dataclass(frozen=True, slots=True)
class Clock:
    """Source of time, which tests replace: ``now_s`` is monotonic, in seconds."""

    now_s: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep


class Appender:
    """Appends the batches of one author, each with the next sequence number.

    If the answer to an append is lost, the log is read to see whether it holds the
    batch. A retry appends the batch again with the same sequence number, and replay
    skips the later copies, so a batch takes effect at most once.
    """

    def __init__(self, log: Log, view: LogView, author: str, clock: Clock) -> None:
        self._log = log
        self._view = view
        self._author = author
        self._clock = clock
        self._sequence = 0

    def append(
        self, records: tuple[Record, ...], timeout_s: float
    ) -> Accepted | NotAccepted | OutcomeUnknown:
        """Append records as one batch and read back which of them took effect.

        A failed append or read is retried until ``timeout_s`` seconds have passed.
        """
        self._sequence += 1
        data = encode_batch(Batch(self._author, self._sequence, records))
        deadline_s = self._clock.now_s() + timeout_s
        backoff_s = INITIAL_BACKOFF_S
        is_appended = may_be_in_log = False
        while True:
            if not is_appended:
                result = self._log.append(data)
                is_appended = isinstance(result, Appended)
                may_be_in_log |= isinstance(result, Appended | AppendUnknown)
                reason = (
                    f"the log at {self._log.address} {_describe_append_result(result)}"
                )
                if result == AppendRefused(AppendRefusal.TOO_LARGE):
                    return _not_confirmed(may_be_in_log, reason, may_repeat=False)
            if may_be_in_log:
                failure = self._view.catch_up()
                outcome = self._view.outcome(self._sequence)
                if outcome is not None:
                    return Accepted(outcome, data)
                if failure is not None:
                    reason = self._view.describe_read_failure(failure)
            if self._clock.now_s() + backoff_s > deadline_s:
                return _not_confirmed(may_be_in_log, reason)
            self._clock.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def _describe_append_result(result: Appended | AppendUnknown | AppendRefused) -> str:
    match result:
        case AppendUnknown(reason):
            return f"did not confirm the change ({reason})"
        case AppendRefused(AppendRefusal.TOO_LARGE):
            return "refused the change because it is too large"
        case AppendRefused(AppendRefusal.BUSY):
            return "is too busy to accept the change"
        case AppendRefused():
            return "is unavailable"
    return "accepted the change but did not show it in time"


def _not_confirmed(
    may_be_in_log: bool, reason: str, may_repeat: bool = True
) -> NotAccepted | OutcomeUnknown:
    """Return the result for a batch that was not read back from the log."""
    if may_be_in_log:
        return OutcomeUnknown(reason)
    return NotAccepted(reason, may_repeat)
