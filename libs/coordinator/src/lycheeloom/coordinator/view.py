"""State published by the platform: policy, workers and zones out of service."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from lycheeloom.jobs.model import Policy, Step, Worker
from lycheeloom.jobs.placement import fits
from lycheeloom.model.resources import Resources

from .recent_restarts import RecentRestarts
from .worker_link import LONGEST_LEASE_S, max_lease_duration_s


@dataclass(slots=True)
class View:
    """Latest state published by the platform."""

    policy: Policy = field(default_factory=Policy)
    worker_by_id: dict[str, Worker] = field(default_factory=dict)
    zones_out_of_service: frozenset[str] = frozenset()
    # Capacities and labels of all workers seen so far, to tell steps that no worker
    # can run from those that only have to wait for free resources.
    capacities_seen: set[Resources] = field(default_factory=set)
    labels_seen: set[str] = field(default_factory=set)
    restarts: RecentRestarts = field(
        default_factory=lambda: RecentRestarts(max_lease_duration_s(LONGEST_LEASE_S))
    )

    def __post_init__(self) -> None:
        for worker in self.worker_by_id.values():
            self.restarts.note(worker, self.worker_by_id)

    def note_worker(self, worker: Worker) -> None:
        """Add a worker, or update the description of a known one."""
        self.worker_by_id[worker.worker_id] = worker
        self.restarts.note(worker, self.worker_by_id)
        self.capacities_seen.add(worker.capacity)
        self.labels_seen |= worker.labels

    def find_impossible(self, steps: Sequence[Step]) -> str:
        """Return why one of the steps can never run, or an empty string.

        Returns an empty string also while no worker has been seen.
        """
        if not self.capacities_seen:
            return ""
        for index, step in enumerate(steps):
            if step.label and step.label not in self.labels_seen:
                return f"steps.{index}: no worker has the label {step.label!r}"
            if not any(
                fits(step.reservation, capacity) for capacity in self.capacities_seen
            ):
                return f"steps.{index}: no worker is large enough for one task"
        return ""
