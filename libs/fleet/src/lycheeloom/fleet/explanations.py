"""A bounded history of decisions, indexed by instance and pool."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from .events import Event, describe

MAX_EVENTS = 10_000
MAX_EVENTS_PER_KEY = 20
MAX_KEYS = 8_000


@dataclass(slots=True)
class Explanation:
    """A decision with the times it was first and last made and its count."""

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

    A decision equal to the last one about the same instance or pool only
    increments that entry's count, so a long wait takes a single entry.
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
            self._add_under_key(key, entry)

    def for_instance(self, instance: str) -> tuple[Explanation, ...]:
        """Return the kept decisions about an instance, oldest first."""
        return tuple(self._by_key.get(("instance", instance), ()))

    def for_pool(self, pool: str) -> tuple[Explanation, ...]:
        """Return the kept decisions about a pool, oldest first."""
        return tuple(self._by_key.get(("pool", pool), ()))

    def for_fleet(self) -> tuple[Explanation, ...]:
        """Return the kept decisions that concern the whole fleet, oldest first."""
        return tuple(self._by_key.get(("fleet", ""), ()))

    def recent(self, count: int = 100) -> tuple[Explanation, ...]:
        """Return the newest decisions, oldest first."""
        return tuple(self._recent)[-count:]

    def _add_under_key(self, key: tuple[str, str], entry: Explanation) -> None:
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
    # Operators ask about an instance or pool, so the failure of a rack is also
    # indexed under its instances and pools.
    named = [("instance", name) for name in getattr(event, "instances", ())]
    named += [("pool", name) for name in getattr(event, "pools", ())]
    return [("fleet", ""), *named]
