"""Faults of workers, detected from heartbeats, leases and outcomes."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Container, Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import ceil

from .budgets import Layout

MAX_OUTCOMES_PER_INSTANCE = 50


class Symptom(StrEnum):
    """What is wrong with a worker."""

    SILENT = "silent"
    FLAPPING = "flapping"
    FAILING = "failing"
    HALF_DEAD = "half_dead"


SYMPTOM_TEXT = {
    Symptom.SILENT: "nothing was heard from it",
    Symptom.FLAPPING: "it keeps going away and coming back",
    Symptom.FAILING: "most tasks fail on it that succeed elsewhere",
    Symptom.HALF_DEAD: "it answers but loses the tasks it was given",
}


@dataclass(frozen=True, slots=True)
class MonitorSettings:
    """Bounds of the detection; times are in seconds.

    ``doubt_fraction`` is above the third of a fleet that one of three zones
    holds: when more is silent, the observer is more likely at fault.
    ``place_fraction`` of a rack or zone silent together is one event.
    """

    silent_s: float = 30
    window_s: float = 300
    min_outcomes: int = 5
    failed_fraction: float = 0.8
    lost_leases: int = 3
    flap_returns: int = 3
    flap_window_s: float = 900
    place_fraction: float = 0.6
    place_min: int = 2
    doubt_fraction: float = 0.5
    doubt_min: int = 4
    bad_work_instances: int = 3


@dataclass(frozen=True, slots=True)
class LostPlace:
    """A rack or zone of which most instances are silent together."""

    place: str
    members: frozenset[str]


@dataclass(frozen=True, slots=True)
class Assessment:
    """What the monitor sees at one moment.

    ``maybe_lost`` are silent instances whose rack or zone is lost if those that
    were missed for less time turn out to be silent as well.
    """

    silent: frozenset[str] = frozenset()
    symptom_by_instance: dict[str, Symptom] | None = None
    lost_places: tuple[LostPlace, ...] = ()
    doubted: bool = False
    maybe_lost: frozenset[str] = frozenset()


class HealthMonitor:
    """Collects signals about workers and names their symptoms."""

    def __init__(self, settings: MonitorSettings | None = None):
        self.settings = settings or MonitorSettings()
        self._missed_s: dict[str, float] = {}
        self._boot: dict[str, str] = {}
        self._returns: dict[str, deque[float]] = {}
        self._outcomes: dict[str, deque[tuple[float, str, bool]]] = {}
        self._lost_leases: dict[str, deque[float]] = {}
        self._work_succeeded_s: dict[str, float] = {}

    def record_heartbeat(self, instance: str, at_s: float, boot_id: str = "") -> None:
        """Note that the instance was heard; a new boot id is a return."""
        record_miss = self._missed_s.pop(instance, None)
        was_silent = (
            record_miss is not None and at_s - record_miss > self.settings.silent_s
        )
        last_boot = self._boot.get(instance, "")
        if was_silent or (last_boot and boot_id and boot_id != last_boot):
            self._append(self._returns, instance, at_s)
        if boot_id:
            self._boot[instance] = boot_id

    def record_miss(self, instance: str, at_s: float) -> bool:
        """Note that the instance did not answer; True for the first miss.

        Silence counts from the first miss, not from the last heartbeat: where
        probes are rare or the observer stood still, nobody looks silent.
        """
        if instance in self._missed_s:
            return False
        self._missed_s[instance] = at_s
        return True

    def lease_lost(self, instance: str, at_s: float) -> None:
        """Note that a task's lease could not be renewed on the instance."""
        self._append(self._lost_leases, instance, at_s)

    def task_ended(self, instance: str, work: str, ok: bool, at_s: float) -> None:
        """Note a task's outcome; ``work`` names its queue or kind."""
        self._append(self._outcomes, instance, (at_s, work, ok))

    def work_succeeded(self, work: str, at_s: float) -> None:
        """Note that work succeeded on some instance, so it is not bad itself."""
        self._work_succeeded_s[work] = at_s

    def forget(self, instance: str) -> None:
        """Drop the faults seen so far, for instance after a reboot."""
        for signals in (self._returns, self._outcomes, self._lost_leases):
            signals.pop(instance, None)

    def retain(self, known: Container[str]) -> None:
        """Drop everything about instances that are not in ``known``."""
        for signals in (
            self._missed_s,
            self._boot,
            self._returns,
            self._outcomes,
            self._lost_leases,
        ):
            for name in [name for name in signals if name not in known]:
                del signals[name]

    def successes_since(self, instance: str, since_s: float) -> int:
        """Count the successful tasks on an instance since a time."""
        outcomes = self._outcomes.get(instance, ())
        return sum(1 for at, _, ok in outcomes if ok and at >= since_s)

    def assess(self, layout: Layout, now_s: float) -> Assessment:
        """Return the symptoms and correlated failures at ``now_s``."""
        oldest = now_s - self.settings.silent_s
        known = layout.location_by_instance
        silent = frozenset(
            name for name, record_miss in self._missed_s.items() if record_miss < oldest
        ).intersection(known)
        record_miss = frozenset(self._missed_s).intersection(known)
        lost_if_silent = self._lost_places(layout, record_miss) if silent else ()
        symptoms = self._symptoms(silent, now_s)
        return Assessment(
            silent,
            {name: found for name, found in symptoms.items() if name in known},
            self._lost_places(layout, silent),
            self._is_doubted(len(silent), len(known)),
            silent & _members(lost_if_silent),
        )

    def _is_doubted(self, silent: int, total: int) -> bool:
        bound = max(self.settings.doubt_min, self.settings.doubt_fraction * total)
        return silent > bound

    def _symptoms(self, silent: Iterable[str], now_s: float) -> dict[str, Symptom]:
        found: dict[str, Symptom] = {}
        bad_work = self._bad_work(now_s)
        for instance in self._outcomes:
            if self._is_failing(instance, bad_work, now_s):
                found[instance] = Symptom.FAILING
        for instance in self._lost_leases:
            if self._is_half_dead(instance, now_s):
                found[instance] = Symptom.HALF_DEAD
        for instance, returns in self._returns.items():
            since = now_s - self.settings.flap_window_s
            if _count_since(returns, since) >= self.settings.flap_returns:
                found[instance] = Symptom.FLAPPING
        for instance in silent:
            found[instance] = Symptom.SILENT
        return found

    def _is_failing(self, instance: str, bad_work: set[str], now_s: float) -> bool:
        since = now_s - self.settings.window_s
        outcomes = [
            ok
            for at, work, ok in self._outcomes[instance]
            if at >= since and work not in bad_work
        ]
        if len(outcomes) < self.settings.min_outcomes:
            return False
        return outcomes.count(False) >= self.settings.failed_fraction * len(outcomes)

    def _is_half_dead(self, instance: str, now_s: float) -> bool:
        since = now_s - self.settings.window_s
        lost = _count_since(self._lost_leases[instance], since)
        if lost < self.settings.lost_leases:
            return False
        return self.successes_since(instance, since) == 0

    def _bad_work(self, now_s: float) -> set[str]:
        """Return the work that fails everywhere, which no worker is to blame for."""
        since = now_s - self.settings.window_s
        failed: dict[str, set[str]] = defaultdict(set)
        succeeded = {work for work, at in self._work_succeeded_s.items() if at >= since}
        for instance, outcomes in self._outcomes.items():
            for at, work, ok in outcomes:
                if at < since:
                    continue
                if ok:
                    succeeded.add(work)
                else:
                    failed[work].add(instance)
        least = self.settings.bad_work_instances
        return {
            work
            for work, instances in failed.items()
            if len(instances) >= least and work not in succeeded
        }

    def _lost_places(
        self, layout: Layout, silent: frozenset[str]
    ) -> tuple[LostPlace, ...]:
        """Group the silent instances by zone, then the others by rack."""
        place = layout.location_by_instance
        lost = self._lost_groups(
            "zone", layout.members_by_zone, silent, lambda name: place[name][2]
        )
        covered = _members(lost)
        lost += self._lost_groups(
            "rack",
            layout.members_by_rack,
            silent - covered,
            lambda name: place[name][1],
        )
        return tuple(lost)

    def _lost_groups(self, kind, members_by_place, silent, place_of) -> list[LostPlace]:
        counts = Counter(place_of(name) for name in silent)
        lost = []
        for place in sorted(counts):
            size = len(members_by_place[place])
            least = max(
                self.settings.place_min, ceil(self.settings.place_fraction * size)
            )
            if counts[place] >= least:
                members = frozenset(n for n in silent if place_of(n) == place)
                lost.append(LostPlace(f"{kind} {place}", members))
        return lost

    @staticmethod
    def _append(signals: dict[str, deque], instance: str, value) -> None:
        if instance not in signals:
            signals[instance] = deque(maxlen=MAX_OUTCOMES_PER_INSTANCE)
        signals[instance].append(value)


def _members(places: Iterable[LostPlace]) -> frozenset[str]:
    return frozenset().union(*(place.members for place in places))


def _count_since(times: Iterable[float], since_s: float) -> int:
    return sum(1 for at in times if at >= since_s)
