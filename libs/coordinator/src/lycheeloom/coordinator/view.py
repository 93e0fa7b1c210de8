"""What the platform says: policy, workers and zones taken out."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from lycheeloom.jobs.model import Policy, Step, Worker
from lycheeloom.jobs.placement import fits
from lycheeloom.model.resources import Resources


@dataclass(slots=True)
class View:
    """What the platform says: policy, workers and zones taken out."""

    policy: Policy = field(default_factory=Policy)
    worker_by_id: dict[str, Worker] = field(default_factory=dict)
    zones_out_of_service: frozenset[str] = frozenset()
    # Sizes and labels of all workers seen so far: what none of them can run is
    # impossible, and not only short of room.
    capacities_seen: set[Resources] = field(default_factory=set)
    labels_seen: set[str] = field(default_factory=set)

    def note_worker(self, worker: Worker) -> None:
        """Take over a worker's newest description."""
        self.worker_by_id[worker.worker_id] = worker
        self.capacities_seen.add(worker.capacity)
        self.labels_seen |= worker.labels

    def find_impossible(self, steps: Sequence[Step]) -> str:
        """Return why a step can never run, or an empty string.

        Without any worker seen nothing is known to be impossible.
        """
        if not self.capacities_seen:
            return ""
        for number, step in enumerate(steps):
            if step.label and step.label not in self.labels_seen:
                return f"steps.{number}: no worker has the label {step.label!r}"
            if not any(fits(step.need, size) for size in self.capacities_seen):
                return f"steps.{number}: no worker is large enough for one task"
        return ""
