"""Resource vectors of instances and tasks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of processor cores, memory and accelerators.

    ``Resources(cores=2, memory_mb=4096)`` describes a task that needs two
    cores and 4 GiB of memory.
    """

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Resources:
        """Return ``count`` times this amount."""
        return Resources(
            self.cores * count, self.memory_mb * count, self.accelerators * count
        )

    def fits_in(self, free: Resources) -> bool:
        """Tell whether ``free`` has at least this amount of every resource."""
        return (
            self.cores <= free.cores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def dominant_share(self, total: Resources) -> float:
        """Return the largest fraction of ``total`` that any resource takes, 0 to 1."""
        shares = [0.0]
        if total.cores:
            shares.append(self.cores / total.cores)
        if total.memory_mb:
            shares.append(self.memory_mb / total.memory_mb)
        if total.accelerators:
            shares.append(self.accelerators / total.accelerators)
        return max(shares)


NO_RESOURCES = Resources()
