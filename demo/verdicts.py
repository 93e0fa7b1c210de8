"""Checks of what callers and workers saw against what must always hold."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass

from .callers import Call, Seen, Work

# A zone that was taken out gets no start later than this after publication.
ZONE_OUT_S = 3.0
# A key that was revoked is accepted nowhere later than this.
KEY_REVOKED_S = 3.0


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """A zone was out from one time to another, on the shared monotonic clock."""

    zone: str
    out_at: float
    in_at: float


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the result; ``wanted`` is None where any count is right."""

    name: str
    count: int
    wanted: int | None = None

    @property
    def is_right(self) -> bool:
        """Whether the count is the wanted one."""
        return self.wanted is None or self.count == self.wanted


def check(
    calls: list[Call],
    ledger: list[dict],
    limit_by_organisation: dict[str, int],
    zone_outs: list[ZoneOut],
    revoked_at_by_organisation: dict[str, float],
) -> list[Line]:
    """Return the counts of a run with the ones that must be zero."""
    seen = Counter(call.seen for call in calls)
    starts = Counter(start["call"] for start in ledger)
    return [
        Line("calls", len(calls)),
        Line("answered", seen[Seen.ANSWERED]),
        Line("refused as not run", seen[Seen.REFUSED]),
        Line("may have run", seen[Seen.DOUBTFUL]),
        Line("lost", seen[Seen.LOST], 0),
        Line("starts at workers", len(ledger)),
        Line("not idempotent and started twice", _doubled(calls, starts), 0),
        Line("answered without a start", _unstarted(calls, starts), 0),
        Line("refused as not run but started", _false_refusals(calls, starts), 0),
        Line("starts in a zone out for over 3 s", _zone_starts(ledger, zone_outs), 0),
        Line(
            "organisations above their limit",
            _above_limit(ledger, limit_by_organisation),
            0,
        ),
        Line(
            "accepted with a key revoked for over 3 s",
            _late_keys(calls, revoked_at_by_organisation),
            0,
        ),
    ]


def _doubled(calls: list[Call], starts: Counter) -> int:
    return sum(starts[call.name] > 1 for call in calls if call.work is not Work.LOOKUP)


def _unstarted(calls: list[Call], starts: Counter) -> int:
    return sum(starts[call.name] == 0 for call in calls if call.seen is Seen.ANSWERED)


def _false_refusals(calls: list[Call], starts: Counter) -> int:
    return sum(starts[call.name] > 0 for call in calls if call.seen is Seen.REFUSED)


def _zone_starts(ledger: list[dict], zone_outs: list[ZoneOut]) -> int:
    return sum(
        start["zone"] == out.zone
        and out.out_at + ZONE_OUT_S < start["started_at"] < out.in_at
        for start in ledger
        for out in zone_outs
    )


def _above_limit(ledger: list[dict], limit_by_organisation: dict[str, int]) -> int:
    return sum(
        peak > limit_by_organisation[organisation]
        for organisation, peak in peak_by_organisation(ledger).items()
    )


def peak_by_organisation(ledger: list[dict]) -> dict[str, int]:
    """Return the most tasks that each organisation had running at one moment."""
    changes = defaultdict(list)
    for start in ledger:
        changes[start["organisation"]].append((start["started_at"], 1))
        if start["ended_at"] is not None:
            changes[start["organisation"]].append((start["ended_at"], -1))
    peaks = {}
    for organisation, events in changes.items():
        running = peak = 0
        for _, change in sorted(events):
            running += change
            peak = max(peak, running)
        peaks[organisation] = peak
    return peaks


def _late_keys(calls: list[Call], revoked_at_by_organisation: dict[str, float]) -> int:
    return sum(
        call.seen is not Seen.REFUSED
        and call.began_at
        > revoked_at_by_organisation[call.organisation] + KEY_REVOKED_S
        for call in calls
        if call.organisation in revoked_at_by_organisation
    )
