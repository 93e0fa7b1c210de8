"""Elapsed times and settled sets, from the times that callers pass in."""

from __future__ import annotations

from collections.abc import Hashable


class Timers:
    """Remembers when each key was first asked about.

    Keys that were not asked about during a whole step are forgotten, so the
    memory follows the open moves. A new holder of the duty starts from zero,
    which only makes it wait longer.
    """

    def __init__(self) -> None:
        self._since: dict[Hashable, float] = {}
        self._asked: set[Hashable] = set()

    def elapsed(self, key: Hashable, now_s: float) -> float:
        """Return the seconds since the key was first asked about."""
        self._asked.add(key)
        return now_s - self._since.setdefault(key, now_s)

    def sweep(self) -> None:
        """Forget the keys that were not asked about since the last call."""
        for key in self._since.keys() - self._asked:
            del self._since[key]
        self._asked.clear()


class SettledSet:
    """A set that follows its input only after a change has lasted.

    This keeps an instance that comes and goes from causing moves.
    """

    def __init__(self, settle_s: float) -> None:
        self._settle_s = settle_s
        self._changed_s: dict[str, float] = {}
        self.members: frozenset[str] = frozenset()

    def update(self, observed: frozenset[str], now_s: float) -> frozenset[str]:
        """Take in the observed set and return the settled one."""
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
