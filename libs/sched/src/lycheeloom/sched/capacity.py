"""An index of free capacity that finds a fitting worker in logarithmic time."""

from __future__ import annotations

from lycheeloom.model.resources import Resources

# Value of a leaf that is closed: no task fits, as no task needs a negative amount.
CLOSED = (-1.0, -1, -1)


class CapacityTree:
    """A segment tree over workers; each node keeps the maximum of each resource.

    Workers are addressed by their index. ``find(need, start)`` returns the first
    index at or after ``start`` whose worker has room for ``need``, or -1. The
    maxima of a node may come from different workers, so the search may backtrack.
    It stays close to logarithmic, because on a full fleet most subtrees are
    rejected near the root.
    """

    def __init__(self, count: int) -> None:
        self.size = 1
        while self.size < count:
            self.size *= 2
        self.nodes = [CLOSED] * (2 * self.size)

    def set(self, index: int, free: Resources | None) -> None:
        """Set the free capacity at an index; None closes it, so that nothing fits."""
        node = index + self.size
        value = CLOSED if free is None else _as_tuple(free)
        nodes = self.nodes
        if nodes[node] == value:
            return
        nodes[node] = value
        node //= 2
        while node:
            left = nodes[2 * node]
            right = nodes[2 * node + 1]
            value = (
                left[0] if left[0] > right[0] else right[0],
                left[1] if left[1] > right[1] else right[1],
                left[2] if left[2] > right[2] else right[2],
            )
            if nodes[node] == value:
                return
            nodes[node] = value
            node //= 2

    def find(self, need: Resources, start: int = 0) -> int:
        """Return the first fitting index at or after ``start``, or -1."""
        nodes = self.nodes
        cores, memory_mb, accelerators = need.cores, need.memory_mb, need.accelerators
        stack = [(1, 0, self.size)]
        while stack:
            node, low, width = stack.pop()
            if low + width <= start:
                continue
            free = nodes[node]
            if free[0] < cores or free[1] < memory_mb or free[2] < accelerators:
                continue
            if width == 1:
                return low
            half = width // 2
            stack.append((2 * node + 1, low + half, half))
            stack.append((2 * node, low, half))
        return -1

    def may_fit(self, need: Resources) -> bool:
        """Return whether ``need`` may fit anywhere, from the root node alone.

        False is certain; True may be wrong, as the maxima may come from different
        workers.
        """
        free = self.nodes[1]
        return (
            need.cores <= free[0]
            and need.memory_mb <= free[1]
            and need.accelerators <= free[2]
        )


def _as_tuple(free: Resources) -> tuple[float, int, int]:
    return (free.cores, free.memory_mb, free.accelerators)
