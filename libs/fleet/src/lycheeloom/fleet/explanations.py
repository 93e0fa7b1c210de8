"""Recent decisions, bounded in memory and found by instance or pool."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from .events import Event, describe

MAX_EVENTS = 10_000
MAX_EVENTS_PER_KEY = 20
MAX_KEYS = 8_000


@dataclass(slots=True)
class Explanation:
    """A decision, when it was first and last made, and how often."""

    event: Event
    first_s: float
    last_s: float
    times: int = 1

    @property
    def text(self) -> str:
        """Return the decision as a sentence."""
        return describe(self.event)


class Explanations:
    """Keeps the newest decisions.

    A decision that repeats the last one about the same instance or pool only
    counts up, so that waiting for an hour takes one entry.
    """

    def __init__(self, max_events: int = MAX_EVENTS, max_keys: int = MAX_KEYS):
        self._recent: deque[Explanation] = deque(maxlen=max_events)
        self._by_key: OrderedDict[tuple[str, str], deque[Explanation]] = OrderedDict()
        self._max_keys = max_keys

    def add(self, event: Event, now_s: float) -> None:
        """Record a decision."""
        keys = _keys(event)
        last = self._by_key[keys[0]][-1] if keys[0] in self._by_key else None
        if last is not None and last.event == event:
            last.last_s = now_s
            last.times += 1
            return
        entry = Explanation(event, now_s, now_s)
        self._recent.append(entry)
        for key in keys:
            self._file(key, entry)

    def of_instance(self, instance: str) -> tuple[Explanation, ...]:
        """Return the kept decisions about an instance, oldest first."""
        return tuple(self._by_key.get(("instance", instance), ()))

    def of_pool(self, pool: str) -> tuple[Explanation, ...]:
        """Return the kept decisions about a pool, oldest first."""
        return tuple(self._by_key.get(("pool", pool), ()))

    def of_fleet(self) -> tuple[Explanation, ...]:
        """Return the kept decisions about no single instance."""
        return tuple(self._by_key.get(("fleet", ""), ()))

    def recent(self, count: int = 100) -> tuple[Explanation, ...]:
        """Return the newest decisions, oldest first."""
        return tuple(self._recent)[-count:]

    def _file(self, key: tuple[str, str], entry: Explanation) -> None:
        entries = self._by_key.get(key)
        if entries is None:
            entries = self._by_key[key] = deque(maxlen=MAX_EVENTS_PER_KEY)
        self._by_key.move_to_end(key)
        entries.append(entry)
        if len(self._by_key) > self._max_keys:
            self._by_key.popitem(last=False)


def _keys(event: Event) -> list[tuple[str, str]]:
    keys = [
        (kind, getattr(event, kind))
        for kind in ("instance", "pool")
        if getattr(event, kind, "")
    ]
    if keys:
        return keys
    # A failed rack must be found under its instances and pools as well.
    named = [("instance", name) for name in getattr(event, "instances", ())]
    named += [("pool", name) for name in getattr(event, "pools", ())]
    return [("fleet", ""), *named]
