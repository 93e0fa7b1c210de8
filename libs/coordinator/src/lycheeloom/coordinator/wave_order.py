"""Maintenance waves as requested, and the instances that are being handled."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lycheeloom.jobs.waves import RoundKind


@dataclass(frozen=True, slots=True)
class WaveOrder:
    """A maintenance wave as requested by the operator.

    The instances are to have their maintenance within ``time_limit_s``, and at most
    ``max_unavailable`` of them may be unavailable at the same time.
    """

    wave: str
    instances: tuple[str, ...]
    time_limit_s: float
    max_unavailable: int
    # When this process received the wave, by its monotonic clock.
    received_s: float


class Stage(Enum):
    """How far the maintenance of an instance is."""

    # The instance gets no new tasks, and its runs have to end before the order is sent.
    DRAINING = "draining"
    # The maintenance has been ordered.
    AWAY = "away"


@dataclass(slots=True)
class HandledInstance:
    """An instance being drained or maintained; its stage began at ``since_s``.

    The next order is not sent before ``retry_at_s``.
    """

    wave: str
    pool: str
    worker_id: str
    stage: Stage
    since_s: float
    # When the instance was chosen, and what it had to get rid of then.
    chosen_s: float
    kind: RoundKind
    retry_at_s: float = 0.0
