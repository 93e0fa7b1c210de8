"""The number of instances of one size that must be in service, and shortages."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from lycheeloom.model.resources import Resources


@dataclass(frozen=True, slots=True)
class BufferMove:
    """An instance that should change pools."""

    instance: str
    from_pool: str
    to_pool: str


@dataclass(frozen=True, slots=True)
class Shortage:
    """The instances of a size that are lacking if ``domain`` is lost.

    ``domain`` is a rack or zone; if empty, they are lacking already.
    """

    size: Resources
    domain: str
    lacking: int


@dataclass(frozen=True, slots=True)
class SizeNeed:
    """The need of one instance size.

    ``least`` is the smallest number of instances in service that covers ``needed``
    after the loss of any one rack or zone, None if the racks cannot hold it.
    """

    size: Resources
    needed: int
    present: int
    least: int | None


def least_in_service(
    needed: int, rack_counts_by_zone: Mapping[str, Sequence[int]]
) -> int | None:
    """Return the fewest instances that leave ``needed`` after any one loss.

    With a buffer of ``b`` instances no rack and no zone may hold more than
    ``b``. The number that the zones may then hold, less ``b``, is concave in ``b``.
    """

    def covered(buffer: int) -> int:
        held = 0
        for counts in rack_counts_by_zone.values():
            held += min(buffer, sum(min(buffer, count) for count in counts))
        return held - buffer

    total = sum(sum(counts) for counts in rack_counts_by_zone.values())
    peak = _first_true(total, lambda buffer: covered(buffer + 1) <= covered(buffer))
    if covered(peak) < needed:
        return None
    return needed + _first_true(peak, lambda buffer: covered(buffer) >= needed)


def least_layout(
    needed: int, rack_counts_by_zone: Mapping[str, Sequence[int]]
) -> dict[str, list[int]] | None:
    """Return the instances to use in each rack, by zone, for ``least_in_service``.

    ``least_layout(2, {"a": [2], "b": [2]})`` gives ``{"a": [2], "b": [2]}``.
    """
    least = least_in_service(needed, rack_counts_by_zone)
    if least is None:
        return None
    buffer, left = least - needed, least
    layout: dict[str, list[int]] = {}
    for zone, counts in rack_counts_by_zone.items():
        zone_left = min(buffer, left)
        layout[zone] = []
        for count in counts:
            used = min(buffer, count, zone_left)
            layout[zone].append(used)
            zone_left -= used
            left -= used
    return layout


def _first_true(limit: int, holds: Callable[[int], bool]) -> int:
    """Return the first number from which ``holds`` is true, at most ``limit``."""
    low, high = 0, limit
    while low < high:
        middle = (low + high) // 2
        if holds(middle):
            high = middle
        else:
            low = middle + 1
    return low
