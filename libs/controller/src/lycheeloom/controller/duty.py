"""Holding a duty: claimed through the log, renewed, taken over on silence."""

from __future__ import annotations

import time
from collections.abc import Callable

from lycheeloom.log import LogTail, LogWriter, Pending, Priority
from lycheeloom.model.limits import FRESHNESS_S
from lycheeloom.model.records import Duty, DutyClaimed

RENEW_S = 3.0
# A holder that renewed nothing for so long, while the log was readable, is gone.
TAKEOVER_S = 12.0


class DutyKeeper:
    """Keeps one duty for this process if no other process does.

    Silence of the holder is counted only while the log can be read: in an
    outage nobody can renew, and afterwards the holder gets the whole time again.
    """

    def __init__(
        self,
        duty: Duty,
        tail: LogTail,
        writer: LogWriter,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.duty = duty
        self._tail = tail
        self._writer = writer
        self._clock = clock
        self._pending: Pending | None = None
        self._seen: tuple[str, int, int] | None = None
        self._seen_at = clock()
        self._renewed_at = -RENEW_S

    @property
    def epoch(self) -> int:
        """The epoch of the duty as replayed."""
        return self._tail.state.duties.of(self.duty).epoch

    def is_fresh(self) -> bool:
        """Tell whether the log was read to its end a short time ago."""
        return self._clock() - self._tail.last_read_sent_at <= FRESHNESS_S

    def is_held(self) -> bool:
        """Tell whether this process may act on the duty now."""
        holder = self._tail.state.duties.of(self.duty).holder
        return holder == self._writer.author and self.is_fresh()

    def step(self) -> None:
        """Renew the duty or take it over where that is due; call every second."""
        now = self._clock()
        held = self._tail.state.duties.of(self.duty)
        seen = held.holder, held.epoch, held.renewed_at
        if seen != self._seen or not self.is_fresh():
            self._seen, self._seen_at = seen, now
        if self._pending is not None and self._pending.outcome is None:
            return
        if not self.is_fresh():
            return
        if held.holder == self._writer.author:
            if now - self._renewed_at >= RENEW_S:
                self._claim(held.epoch, held.renewed_at, now)
        elif not held.holder or now - self._seen_at >= TAKEOVER_S:
            self._claim(held.epoch, held.renewed_at, now)

    def _claim(self, epoch: int, renewed_at: int, now: float) -> None:
        self._renewed_at = now
        record = DutyClaimed(self.duty, epoch, renewed_at)
        self._pending = self._writer.append(record, Priority.CONTROL)
