"""Election of the holder of a duty, by claims in the log."""

from __future__ import annotations

import time
from collections.abc import Callable

from lycheeloom.log import LogTail, LogWriter, PendingRecord, Priority
from lycheeloom.model.limits import FRESHNESS_S
from lycheeloom.model.records import Duty, DutyClaimed

RENEW_S = 3.0
# A holder that did not renew for this long while the log was readable is replaced.
TAKEOVER_S = 12.0


class DutyElection:
    """Claims one duty for this process if no other process holds it.

    The time since the holder's last claim counts only while the log can be read: in
    an outage of the log nobody can renew, and after it the holder has the whole
    ``TAKEOVER_S`` again.
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
        self._pending: PendingRecord | None = None
        self._last_claim: tuple[str, int, int] | None = None
        self._last_claim_at = clock()
        self._last_sent_at = -RENEW_S

    @property
    def epoch(self) -> int:
        """The epoch of the duty as replayed."""
        return self._tail.state.duties.of(self.duty).epoch

    def is_fresh(self) -> bool:
        """Tell whether the log was read to its end within the last ``FRESHNESS_S``."""
        return self._clock() - self._tail.last_read_sent_at <= FRESHNESS_S

    def is_held(self) -> bool:
        """Tell whether this process may act on the duty now."""
        holder = self._tail.state.duties.of(self.duty).holder
        return holder == self._writer.author and self.is_fresh()

    def step(self) -> None:
        """Renew the duty or take it over if that is due; call every second."""
        now = self._clock()
        current = self._tail.state.duties.of(self.duty)
        claim = current.holder, current.epoch, current.renewed_at
        if claim != self._last_claim or not self.is_fresh():
            self._last_claim, self._last_claim_at = claim, now
        if self._pending is not None and self._pending.outcome is None:
            return
        if not self.is_fresh():
            return
        if current.holder == self._writer.author:
            if now - self._last_sent_at >= RENEW_S:
                self._claim(current.epoch, current.renewed_at, now)
        elif not current.holder or now - self._last_claim_at >= TAKEOVER_S:
            self._claim(current.epoch, current.renewed_at, now)

    def _claim(self, epoch: int, renewed_at: int, now: float) -> None:
        self._last_sent_at = now
        record = DutyClaimed(self.duty, epoch, renewed_at)
        self._pending = self._writer.append(record, Priority.CONTROL)
