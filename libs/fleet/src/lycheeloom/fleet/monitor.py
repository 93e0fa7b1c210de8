"""Detects faulty workers from probe answers, lost leases and task outcomes."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Container, Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import ceil

from .budgets import Layout

MAX_OUTCOMES_PER_INSTANCE = 50


class Symptom(StrEnum):
    """A kind of fault that was detected on a worker."""

    SILENT = "silent"
    FLAPPING = "flapping"
    FAILING = "failing"
    LOSING_LEASES = "half_dead"


SYMPTOM_TEXT = {
    Symptom.SILENT: "nothing was heard from it",
    Symptom.FLAPPING: "it keeps going away and coming back",
    Symptom.FAILING: "most tasks fail on it that succeed elsewhere",
    Symptom.LOSING_LEASES: "it answers but loses the tasks it was given",
}


@dataclass(frozen=True, slots=True)
class MonitorSettings:
    """Thresholds of the detection; times are in seconds.

    A rack or zone counts as failed once at least ``domain_silent_fraction`` of its
    instances, and at least ``domain_silent_min``, are silent.
    ``max_silent_fraction`` exceeds the third of a fleet that one of three zones
    holds. If more instances look silent, and more than ``max_silent_floor``, the
    controller itself is the more likely cause. A workload that fails on
    ``failing_workload_instances`` instances and succeeds on none is taken to be
    faulty itself, and its outcomes are not held against workers.
    """

    silent_s: float = 30
    window_s: float = 300
    min_outcomes: int = 5
    failed_fraction: float = 0.8
    min_lost_leases: int = 3
    min_flap_returns: int = 3
    flap_window_s: float = 900
    domain_silent_fraction: float = 0.6
    domain_silent_min: int = 2
    max_silent_fraction: float = 0.5
    max_silent_floor: int = 4
    failing_workload_instances: int = 3


@dataclass(frozen=True, slots=True)
class FailedDomain:
    """A rack or zone of which most instances are silent."""

    domain: str
    members: frozenset[str]


@dataclass(frozen=True, slots=True)
class Assessment:
    """The symptoms and correlated failures at one moment.

    ``too_many_silent`` tells that the silence is not credible. ``possibly_failed``
    holds silent instances whose rack or zone counts as failed if the instances
    that have missed probes for less than ``silent_s`` become silent as well.
    """

    silent: frozenset[str] = frozenset()
    symptom_by_instance: dict[str, Symptom] | None = None
    failed_domains: tuple[FailedDomain, ...] = ()
    too_many_silent: bool = False
    possibly_failed: frozenset[str] = frozenset()


class HealthMonitor:
    """Collects signals about workers and derives symptoms from them."""

    def __init__(self, settings: MonitorSettings | None = None):
        self.settings = settings or MonitorSettings()
        self._first_miss_s: dict[str, float] = {}
        self._boot_id_by_instance: dict[str, str] = {}
        self._returns: dict[str, deque[float]] = {}
        self._outcomes: dict[str, deque[tuple[float, str, bool]]] = {}
        self._lost_leases: dict[str, deque[float]] = {}
        self._workload_success_s: dict[str, float] = {}

    def record_heartbeat(self, instance: str, at_s: float, boot_id: str = "") -> None:
        """Record that the instance answered.

        A new boot id, or an answer after silence, counts as a return.
        """
        first_miss_s = self._first_miss_s.pop(instance, None)
        was_silent = (
            first_miss_s is not None and at_s - first_miss_s > self.settings.silent_s
        )
        last_boot_id = self._boot_id_by_instance.get(instance, "")
        if was_silent or (last_boot_id and boot_id and boot_id != last_boot_id):
            self._append(self._returns, instance, at_s)
        if boot_id:
            self._boot_id_by_instance[instance] = boot_id

    def record_miss(self, instance: str, at_s: float) -> bool:
        """Record that the instance did not answer; True for the first miss.

        Silence is measured from the first miss, not from the last answer, so that
        neither rare probes nor a stalled controller make instances look silent.
        """
        if instance in self._first_miss_s:
            return False
        self._first_miss_s[instance] = at_s
        return True

    def record_lost_lease(self, instance: str, at_s: float) -> None:
        """Record that a task's lease could not be renewed on the instance."""
        self._append(self._lost_leases, instance, at_s)

    def record_outcome(
        self, instance: str, workload: str, ok: bool, at_s: float
    ) -> None:
        """Record a task's outcome; ``workload`` is its queue or kind."""
        self._append(self._outcomes, instance, (at_s, workload, ok))

    def record_workload_success(self, workload: str, at_s: float) -> None:
        """Record that a workload succeeded on some instance."""
        self._workload_success_s[workload] = at_s

    def forget_faults(self, instance: str) -> None:
        """Drop the recorded faults of an instance, such as after a reboot."""
        for signals in (self._returns, self._outcomes, self._lost_leases):
            signals.pop(instance, None)

    def retain(self, known: Container[str]) -> None:
        """Drop the signals of all instances that are not in ``known``."""
        for signals in (
            self._first_miss_s,
            self._boot_id_by_instance,
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
            name for name, missed_s in self._first_miss_s.items() if missed_s < oldest
        ).intersection(known)
        missed = frozenset(self._first_miss_s).intersection(known)
        possible_domains = self._failed_domains(layout, missed) if silent else ()
        symptoms = self._symptoms(silent, now_s)
        return Assessment(
            silent,
            {name: found for name, found in symptoms.items() if name in known},
            self._failed_domains(layout, silent),
            self._has_too_many_silent(len(silent), len(known)),
            silent & _members(possible_domains),
        )

    def _has_too_many_silent(self, silent: int, total: int) -> bool:
        bound = max(
            self.settings.max_silent_floor, self.settings.max_silent_fraction * total
        )
        return silent > bound

    def _symptoms(self, silent: Iterable[str], now_s: float) -> dict[str, Symptom]:
        found: dict[str, Symptom] = {}
        failing_workloads = self._failing_workloads(now_s)
        for instance in self._outcomes:
            if self._is_failing(instance, failing_workloads, now_s):
                found[instance] = Symptom.FAILING
        for instance in self._lost_leases:
            if self._is_losing_leases(instance, now_s):
                found[instance] = Symptom.LOSING_LEASES
        for instance, returns in self._returns.items():
            since = now_s - self.settings.flap_window_s
            if _count_since(returns, since) >= self.settings.min_flap_returns:
                found[instance] = Symptom.FLAPPING
        for instance in silent:
            found[instance] = Symptom.SILENT
        return found

    def _is_failing(
        self, instance: str, failing_workloads: set[str], now_s: float
    ) -> bool:
        since = now_s - self.settings.window_s
        outcomes = [
            ok
            for at, workload, ok in self._outcomes[instance]
            if at >= since and workload not in failing_workloads
        ]
        if len(outcomes) < self.settings.min_outcomes:
            return False
        return outcomes.count(False) >= self.settings.failed_fraction * len(outcomes)

    def _is_losing_leases(self, instance: str, now_s: float) -> bool:
        since = now_s - self.settings.window_s
        lost = _count_since(self._lost_leases[instance], since)
        if lost < self.settings.min_lost_leases:
            return False
        return self.successes_since(instance, since) == 0

    def _failing_workloads(self, now_s: float) -> set[str]:
        """Return the workloads that fail on several instances and succeed on none."""
        since = now_s - self.settings.window_s
        failed: dict[str, set[str]] = defaultdict(set)
        succeeded = {
            workload for workload, at in self._workload_success_s.items() if at >= since
        }
        for instance, outcomes in self._outcomes.items():
            for at, workload, ok in outcomes:
                if at < since:
                    continue
                if ok:
                    succeeded.add(workload)
                else:
                    failed[workload].add(instance)
        least = self.settings.failing_workload_instances
        return {
            workload
            for workload, instances in failed.items()
            if len(instances) >= least and workload not in succeeded
        }

    def _failed_domains(
        self, layout: Layout, silent: frozenset[str]
    ) -> tuple[FailedDomain, ...]:
        """Return the failed zones, then the failed racks of the other zones."""
        locations = layout.location_by_instance
        lost = self._failed_domains_of_kind(
            "zone", layout.members_by_zone, silent, lambda name: locations[name][2]
        )
        covered = _members(lost)
        lost += self._failed_domains_of_kind(
            "rack",
            layout.members_by_rack,
            silent - covered,
            lambda name: locations[name][1],
        )
        return tuple(lost)

    def _failed_domains_of_kind(
        self, kind, members_by_domain, silent, domain_of
    ) -> list[FailedDomain]:
        counts = Counter(domain_of(name) for name in silent)
        lost = []
        for domain in sorted(counts):
            size = len(members_by_domain[domain])
            least = max(
                self.settings.domain_silent_min,
                ceil(self.settings.domain_silent_fraction * size),
            )
            if counts[domain] >= least:
                members = frozenset(n for n in silent if domain_of(n) == domain)
                lost.append(FailedDomain(f"{kind} {domain}", members))
        return lost

    @staticmethod
    def _append(signals: dict[str, deque], instance: str, value) -> None:
        if instance not in signals:
            signals[instance] = deque(maxlen=MAX_OUTCOMES_PER_INSTANCE)
        signals[instance].append(value)


def _members(domains: Iterable[FailedDomain]) -> frozenset[str]:
    return frozenset().union(*(domain.members for domain in domains))


def _count_since(times: Iterable[float], since_s: float) -> int:
    return sum(1 for at in times if at >= since_s)
