"""Counts of a run from the outcomes of calls and the task starts at workers."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass

from .callers import Call, CallKind, Outcome

# Maximum time from publishing that a zone is out of service until its last start.
ZONE_OUT_LIMIT_S = 3.0
# Maximum time from publishing that a key is revoked until no entry accepts it.
KEY_REVOCATION_LIMIT_S = 3.0


@dataclass(frozen=True, slots=True)
class ZoneOutPeriod:
    """Time for which a zone was out of service, on the shared monotonic clock."""

    zone: str
    out_at: float
    in_at: float


@dataclass(frozen=True, slots=True)
class ResultRow:
    """One row of the result table; ``expected`` is None where any count is valid."""

    name: str
    count: int
    expected: int | None = None

    @property
    def is_ok(self) -> bool:
        """Whether the count is the wanted one."""
        return self.expected is None or self.count == self.expected


def count_results(
    calls: list[Call],
    ledger: list[dict],
    limit_by_organisation: dict[str, int],
    zone_out_periods: list[ZoneOutPeriod],
    revoked_at_by_organisation: dict[str, float],
) -> list[ResultRow]:
    """Return the counts of a run with their expected values."""
    outcomes = Counter(call.outcome for call in calls)
    starts = Counter(start["call"] for start in ledger)
    return [
        ResultRow("calls", len(calls)),
        ResultRow("answered", outcomes[Outcome.ANSWERED]),
        ResultRow("refused as not run", outcomes[Outcome.REFUSED]),
        ResultRow("may have run", outcomes[Outcome.MAY_HAVE_RUN]),
        ResultRow("lost", outcomes[Outcome.LOST], 0),
        ResultRow("starts at workers", len(ledger)),
        ResultRow(
            "not idempotent but started more than once",
            _started_repeatedly(calls, starts),
            0,
        ),
        ResultRow(
            "answered without a start", _answered_without_start(calls, starts), 0
        ),
        ResultRow(
            "refused as not run but started", _refused_but_started(calls, starts), 0
        ),
        ResultRow(
            "starts in a zone out of service for over 3 s",
            _starts_in_zones_out(ledger, zone_out_periods),
            0,
        ),
        ResultRow(
            "organisations above their upper limit",
            _organisations_above_limit(ledger, limit_by_organisation),
            0,
        ),
        ResultRow(
            "accepted with a key revoked for over 3 s",
            _accepted_after_revocation(calls, revoked_at_by_organisation),
            0,
        ),
    ]


def _started_repeatedly(calls: list[Call], starts: Counter) -> int:
    return sum(
        starts[call.name] > 1 for call in calls if call.kind is not CallKind.LOOKUP
    )


def _answered_without_start(calls: list[Call], starts: Counter) -> int:
    return sum(
        starts[call.name] == 0 for call in calls if call.outcome is Outcome.ANSWERED
    )


def _refused_but_started(calls: list[Call], starts: Counter) -> int:
    return sum(
        starts[call.name] > 0 for call in calls if call.outcome is Outcome.REFUSED
    )


def _starts_in_zones_out(
    ledger: list[dict], zone_out_periods: list[ZoneOutPeriod]
) -> int:
    return sum(
        start["zone"] == period.zone
        and period.out_at + ZONE_OUT_LIMIT_S < start["started_at"] < period.in_at
        for start in ledger
        for period in zone_out_periods
    )


def _organisations_above_limit(
    ledger: list[dict], limit_by_organisation: dict[str, int]
) -> int:
    return sum(
        peak > limit_by_organisation[organisation]
        for organisation, peak in peak_by_organisation(ledger).items()
    )


def peak_by_organisation(ledger: list[dict]) -> dict[str, int]:
    """Return the peak number of tasks that each organisation ran at the same time."""
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


def _accepted_after_revocation(
    calls: list[Call], revoked_at_by_organisation: dict[str, float]
) -> int:
    return sum(
        call.outcome is not Outcome.REFUSED
        and call.sent_at
        > revoked_at_by_organisation[call.organisation] + KEY_REVOCATION_LIMIT_S
        for call in calls
        if call.organisation in revoked_at_by_organisation
    )
