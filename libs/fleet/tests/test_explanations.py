"""Tests of the history of decisions."""

from __future__ import annotations

from lycheeloom.fleet import Explanations
from lycheeloom.fleet.budgets import Limit, LimitKind
from lycheeloom.fleet.events import NotChosen


def test_explanations_are_bounded_and_count_repeats():
    explanations = Explanations(max_events=50, max_keys=20)
    limit = Limit(LimitKind.POOL, "north", 1, 1)
    for number in range(1000):
        explanations.add(NotChosen(f"w{number}", "north", limit), number)
        explanations.add(NotChosen(f"w{number}", "north", limit), number)
    assert len(explanations.recent(1000)) == 50
    assert explanations.for_instance("w0") == ()
    assert [item.times for item in explanations.for_instance("w999")] == [2]
    assert explanations.for_pool("north")[-1].text == (
        "Instance w999 of pool north stays in service for now, because 1 of at most"
        " 1 instances of pool north are out."
    )
