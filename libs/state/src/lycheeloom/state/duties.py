"""Duties that one process does for all, claimed with an epoch."""

from __future__ import annotations

from dataclasses import dataclass, field

from lycheeloom.model.records import Duty, DutyClaimed


@dataclass(slots=True)
class DutyState:
    """The holder of a duty and the offset of its last claim or renewal."""

    holder: str = ""
    epoch: int = 0
    renewed_at: int = 0


@dataclass(slots=True)
class Duties:
    """Holders of all duties."""

    state_by_duty: dict[Duty, DutyState] = field(default_factory=dict)

    def of(self, duty: Duty) -> DutyState:
        """Return the state of a duty; epoch 0 means never claimed."""
        return self.state_by_duty.get(duty) or DutyState()

    def claim(self, offset: int, author: str, record: DutyClaimed) -> bool:
        """Renew the author's claim, or take over one that was not renewed.

        A takeover names the last renewal it has seen, so that a holder that
        renewed in the meantime keeps the duty.
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

    def is_current(self, duty: Duty, author: str, epoch: int) -> bool:
        """Tell whether the author holds a duty under this epoch."""
        state = self.of(duty)
        return state.holder == author and state.epoch == epoch
