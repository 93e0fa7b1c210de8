"""Chooses which jobs of a pool are served in time when there is no room for all."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum

# Fraction of a pool that can be filled, as tasks of different sizes leave gaps.
PACKING_FRACTION = 0.85
# Stands for a weight of 0, which would have no finite share.
_MIN_WEIGHT = 1e-9


class Service(IntEnum):
    """How a job of a full pool is served; jobs with lower values start first."""

    # Starts early enough to meet its deadline.
    IN_TIME = 0
    # Ends after its deadline, but while the result is still of use to its caller.
    LATE = 1
    # The same for jobs above the rate agreed with their organisation.
    IN_TIME_ABOVE_RATE = 2
    LATE_ABOVE_RATE = 3
    # There is no room for the job while its result is of use.
    DELAYED = 4
    # The result is of no more use to the caller; the job is still completed.
    PAST_USE = 5


@dataclass(frozen=True, slots=True)
class Contender:
    """A job with tasks that wait for room in a full pool.

    ``work`` is the work that waits, in instance-seconds. A start after
    ``in_time_until_ms`` misses the deadline; one after ``useful_until_ms`` ends when
    the result is of no more use. Both are Unix times, from estimated durations.
    """

    key: tuple[str, int]
    organisation: str
    work: float
    in_time_until_ms: float
    useful_until_ms: float
    # Submitted above the rate agreed with the organisation.
    is_above_rate: bool = False
    # Jobs of its size have been served less often than those of other sizes.
    is_disadvantaged: bool = False
    # Tasks of the job have started, or it returns after a rejection.
    is_protected: bool = False
    # Time from the first attempt of a returning job to its acceptance.
    returned_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PoolRoom:
    """Room of a pool for tasks that end, in instances of the pool.

    ``free`` is the part that is not in use now. Tasks run for ``task_s`` on average.
    """

    instances: float
    free: float
    task_s: float
    used_by_organisation: Mapping[str, float]
    # Waiting work that goes first, in instance-seconds.
    preceding_work: float = 0.0

    def startable_work(self, until_ms: float, now_ms: float) -> float:
        """Return how much work can start until a time, in instance-seconds."""
        time_s = max(0.0, until_ms - now_ms) / 1000
        room = PACKING_FRACTION * (self.instances * time_s + self.free * self.task_s)
        return max(0.0, room - self.preceding_work)


def choose_service(
    contenders: Collection[Contender],
    room: PoolRoom,
    weight_by_organisation: Mapping[str, float],
    now_ms: float,
) -> dict[tuple[str, int], Service]:
    """Return how each job is served, by its key.

    Room goes first to jobs that can meet their deadlines, then to those whose results
    are still of use. Jobs above the rate of an organisation that uses its share of the
    pool already come after all others. When there is not enough room, jobs are dropped
    that cost their callers least; see ``_Selection.choose``.
    """
    service_by_key: dict[tuple[str, int], Service] = {}
    selection = _Selection(room, weight_by_organisation, now_ms)
    above_share = _organisations_above_share(contenders, room, weight_by_organisation)
    remaining: Iterable[Contender] = contenders
    for service in (
        Service.IN_TIME,
        Service.LATE,
        Service.IN_TIME_ABOVE_RATE,
        Service.LATE_ABOVE_RATE,
    ):
        is_above_rate = service >= Service.IN_TIME_ABOVE_RATE
        is_in_time = service in (Service.IN_TIME, Service.IN_TIME_ABOVE_RATE)
        candidates = []
        for contender in remaining:
            comes_last = (
                contender.is_above_rate and contender.organisation in above_share
            )
            if comes_last != is_above_rate:
                continue
            until_ms = (
                contender.in_time_until_ms if is_in_time else contender.useful_until_ms
            )
            if until_ms >= now_ms:
                candidates.append((until_ms, contender.key, contender))
        for chosen in selection.choose(candidates):
            service_by_key[chosen.key] = service
        remaining = [c for c in remaining if c.key not in service_by_key]
    for contender in remaining:
        is_useful = contender.useful_until_ms >= now_ms
        service = Service.DELAYED if is_useful else Service.PAST_USE
        service_by_key[contender.key] = service
    return service_by_key


def _organisations_above_share(
    contenders: Iterable[Contender],
    room: PoolRoom,
    weight_by_organisation: Mapping[str, float],
) -> set[str]:
    """Return the organisations that use their share of a pool already.

    Shares are proportional to weight, among organisations with work in the pool.
    """
    names = {contender.organisation for contender in contenders}
    names.update(name for name, used in room.used_by_organisation.items() if used > 0)
    total_weight = sum(_weight(weight_by_organisation, name) for name in names)
    return {
        name
        for name in names
        if room.used_by_organisation.get(name, 0.0)
        >= room.instances * _weight(weight_by_organisation, name) / total_weight
    }


def _weight(weight_by_organisation: Mapping[str, float], name: str) -> float:
    return max(_MIN_WEIGHT, weight_by_organisation.get(name, 1.0))


class _Selection:
    """Chooses jobs for the room of a pool, in several passes."""

    def __init__(
        self,
        room: PoolRoom,
        weight_by_organisation: Mapping[str, float],
        now_ms: float,
    ) -> None:
        self._room = room
        self._weight_by_organisation = weight_by_organisation
        self._now_ms = now_ms
        self._chosen_work = 0.0
        # What an organisation uses now counts like work that has been chosen for it.
        self._work_by_organisation = {
            name: used * room.task_s for name, used in room.used_by_organisation.items()
        }

    def choose(
        self, candidates: list[tuple[float, tuple[str, int], Contender]]
    ) -> list[Contender]:
        """Return the candidates that can start before their time is over.

        Candidates are pairs of this time, as Unix time, with the job and its key. They
        are added in the order of this time. Whenever the room until then is exceeded,
        the job is dropped that costs least: of the organisation with the most work for
        its weight, the one that needs most room, since its loss makes room for several
        others. Those above the agreed rate are dropped first, and those that have begun
        or whose size has been served less often than others are dropped last.
        """
        dropped: set[tuple[str, int]] = set()
        heap_by_organisation: dict[str, list] = {}
        work_by_organisation = self._work_by_organisation
        for until_ms, key, contender in sorted(candidates):
            name = contender.organisation
            cost = (
                contender.is_protected,
                not contender.is_above_rate,
                contender.is_disadvantaged,
                -contender.work,
            )
            heap = heap_by_organisation.setdefault(name, [])
            heapq.heappush(heap, (*cost, key, contender))
            work_by_organisation[name] = (
                work_by_organisation.get(name, 0.0) + contender.work
            )
            self._chosen_work += contender.work
            room = self._room.startable_work(until_ms, self._now_ms)
            while self._chosen_work > room and any(heap_by_organisation.values()):
                victim = self._drop(heap_by_organisation)
                dropped.add(victim.key)
        return [c for _, key, c in candidates if key not in dropped]

    def _drop(self, heap_by_organisation: dict[str, list]) -> Contender:
        name = max(
            (name for name, heap in heap_by_organisation.items() if heap),
            key=lambda name: (
                self._work_by_organisation[name]
                / _weight(self._weight_by_organisation, name),
                name,
            ),
        )
        victim = heapq.heappop(heap_by_organisation[name])[-1]
        self._work_by_organisation[name] -= victim.work
        self._chosen_work -= victim.work
        return victim
