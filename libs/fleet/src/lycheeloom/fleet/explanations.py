"""A bounded history of decisions, indexed by subject.

The subject of a decision is an instance, a pool or the fleet, as a (kind, name) pair.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from .events import Event, describe

# The newest decisions that are kept, over all subjects.
MAX_EVENTS = 10_000
MAX_EVENTS_PER_SUBJECT = 20
# Beyond this number, the subject whose last decision is the oldest is dropped.
MAX_SUBJECTS = 8_000


@dataclass(slots=True)
class Explanation:
    """A decision, when it was first and last made, and how many times in a row."""

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

    A decision that equals the last one about its first subject only increments the
    count of that explanation, so a long wait takes a single explanation.
    """

    def __init__(self, max_events: int = MAX_EVENTS, max_subjects: int = MAX_SUBJECTS):
        self._recent: deque[Explanation] = deque(maxlen=max_events)
        self._by_subject: OrderedDict[tuple[str, str], deque[Explanation]] = (
            OrderedDict()
        )
        self._max_subjects = max_subjects

    def add(self, event: Event, now_s: float) -> None:
        """Record a decision."""
        subjects = _subjects_of(event)
        last = (
            self._by_subject[subjects[0]][-1]
            if subjects[0] in self._by_subject
            else None
        )
        if last is not None and last.event == event:
            last.last_s = now_s
            last.times += 1
            return
        explanation = Explanation(event, now_s, now_s)
        self._recent.append(explanation)
        for subject in subjects:
            self._add_under_subject(subject, explanation)

    def for_instance(self, instance: str) -> tuple[Explanation, ...]:
        """Return the kept decisions about an instance, oldest first."""
        return tuple(self._by_subject.get(("instance", instance), ()))

    def for_pool(self, pool: str) -> tuple[Explanation, ...]:
        """Return the kept decisions about a pool, oldest first."""
        return tuple(self._by_subject.get(("pool", pool), ()))

    def for_fleet(self) -> tuple[Explanation, ...]:
        """Return the kept decisions that concern the whole fleet, oldest first."""
        return tuple(self._by_subject.get(("fleet", ""), ()))

    def recent(self, count: int = 100) -> tuple[Explanation, ...]:
        """Return the newest decisions, oldest first."""
        return tuple(self._recent)[-count:]

    def _add_under_subject(
        self, subject: tuple[str, str], explanation: Explanation
    ) -> None:
        explanations = self._by_subject.get(subject)
        if explanations is None:
            explanations = self._by_subject[subject] = deque(
                maxlen=MAX_EVENTS_PER_SUBJECT
            )
        self._by_subject.move_to_end(subject)
        explanations.append(explanation)
        if len(self._by_subject) > self._max_subjects:
            self._by_subject.popitem(last=False)


def _subjects_of(event: Event) -> list[tuple[str, str]]:
    subjects = [
        (kind, getattr(event, kind))
        for kind in ("instance", "pool")
        if getattr(event, kind, "")
    ]
    if subjects:
        return subjects
    # Operators ask about an instance or pool, so the failure of a rack is also
    # indexed under its instances and pools.
    named = [("instance", name) for name in getattr(event, "instances", ())]
    named += [("pool", name) for name in getattr(event, "pools", ())]
    return [("fleet", ""), *named]
