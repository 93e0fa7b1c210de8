"""Elapsed times and a debounced set, driven by times that callers pass in."""

from __future__ import annotations

from collections.abc import Hashable


class Timers:
    """Measures the time since each key was first queried.

    ``sweep`` drops the keys that a step did not query, so memory is bounded by
    the open moves. A controller that takes over starts from zero, which only
    lengthens its waits.
    """

    def __init__(self) -> None:
        self._started_s: dict[Hashable, float] = {}
        self._queried: set[Hashable] = set()

    def elapsed(self, key: Hashable, now_s: float) -> float:
        """Return the seconds since the key was first queried."""
        self._queried.add(key)
        return now_s - self._started_s.setdefault(key, now_s)

    def sweep(self) -> None:
        """Drop the keys that were not queried since the last call."""
        for key in self._started_s.keys() - self._queried:
            del self._started_s[key]
        self._queried.clear()


class DebouncedSet:
    """A set whose members change only after a change has lasted ``settle_s``.

    An instance that repeatedly fails and returns thus causes no moves.
    """

    def __init__(self, settle_s: float) -> None:
        self._settle_s = settle_s
        self._changed_s: dict[str, float] = {}
        self.members: frozenset[str] = frozenset()

    def update(self, observed: frozenset[str], now_s: float) -> frozenset[str]:
        """Apply the observed set and return the debounced one."""
        different = observed ^ self.members
        for name in self._changed_s.keys() - different:
            del self._changed_s[name]
        settled = set()
        for name in different:
            if now_s - self._changed_s.setdefault(name, now_s) >= self._settle_s:
                settled.add(name)
        if settled:
            self.members ^= settled
            for name in settled:
                del self._changed_s[name]
        return self.members
