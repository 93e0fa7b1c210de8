"""Maintenance waves as requested, and the instances that are being handled."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from enum import Enum

from lycheeloom.jobs.waves import RoundKind

from .ports import Instance


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


def count_away(
    order: WaveOrder,
    handled_by_id: Mapping[str, HandledInstance],
    instance_by_id: Mapping[str, Instance],
    may_be_away: Callable[[Instance], bool],
    left_out: Collection[str],
) -> Counter[str]:
    """Count the instances that are being drained or maintained, by pool.

    Also counts the wave's instances that an earlier leader has sent into maintenance or
    may have, as ``may_be_away`` says, except the ids in ``left_out``.
    """
    away = Counter(handled.pool for handled in handled_by_id.values())
    for instance_id in order.instances:
        instance = instance_by_id.get(instance_id)
        if instance is None or instance_id in handled_by_id or instance_id in left_out:
            continue
        if may_be_away(instance):
            away[instance.pool] += 1
    return away
