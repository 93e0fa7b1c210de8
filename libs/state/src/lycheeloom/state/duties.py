"""Duties: background work that exactly one process does at a time.

A process holds a duty as a lease in the log. Each takeover raises the epoch, which
fences records of earlier holders.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lycheeloom.model.records import Duty, DutyClaimed


@dataclass(slots=True)
class DutyState:
    """The holder of a duty.

    ``renewed_at`` is the offset of its last claim or renewal.
    """

    holder: str = ""
    epoch: int = 0
    renewed_at: int = 0


@dataclass(slots=True)
class Duties:
    """Holders of all duties."""

    state_by_duty: dict[Duty, DutyState] = field(default_factory=dict)

    def of(self, duty: Duty) -> DutyState:
        """Return the state of a duty; its epoch is 0 if it was never claimed."""
        return self.state_by_duty.get(duty) or DutyState()

    def claim(self, offset: int, author: str, record: DutyClaimed) -> bool:
        """Renew the author's claim, or let the author take the duty over.

        A takeover names the last renewal that its author has seen, so that a
        holder that has renewed since then keeps the duty. Returns whether the
        claim took effect.
        """
        state = self.state_by_duty.setdefault(record.duty, DutyState())
        if record.expected_epoch != state.epoch:
            return False
        if state.holder == author:
            state.renewed_at = offset
            return True
        if record.expected_renewal != state.renewed_at:
            return False
        state.holder = author
        state.epoch += 1
        state.renewed_at = offset
        return True

    def is_current_holder(self, duty: Duty, author: str, epoch: int) -> bool:
        """Tell whether the author holds a duty under this epoch."""
        state = self.of(duty)
        return state.holder == author and state.epoch == epoch
