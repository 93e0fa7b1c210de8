"""Reports of commands: text or JSON to print, and the exit code."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from pydantic import BaseModel
from tabulate import tabulate

from .appending import NotAccepted, OutcomeUnknown
from .difference import ABSENT
from .exit_codes import ExitCode
from .log_view import PublishedChange
from .problems import Problem, Severity, errors_in
from .results import (
    InForce,
    LogUnavailable,
    LostRace,
    NoEffect,
    NothingToChange,
    NotYetInForce,
    PartlyPublished,
    Published,
    Rejected,
    WaveChanged,
    WaveRefused,
)


@dataclass(frozen=True, slots=True)
class Report:
    """The output of a command, as text and as ``data`` for ``--json``, and its code.

    ``code`` is the exit code.
    """

    lines: tuple[str, ...]
    data: Mapping[str, Any] = field(default_factory=dict)
    code: ExitCode = ExitCode.OK

    def __add__(self, other: Report) -> Report:
        """Join two reports; the exit code is the first one that is not OK."""
        return Report(
            self.lines + other.lines,
            {**self.data, **other.data},
            self.code or other.code,
        )

    def render(self, as_json: bool) -> str:
        """Return the text to print."""
        if as_json:
            return json.dumps(to_json_value(self.data), indent=2, ensure_ascii=False)
        return "\n".join(self.lines)


def report_problems(problems: Sequence[Problem]) -> Report:
    """Report problems that prevent publication, each on a line of its own.

    If all of them are warnings, the report says how to publish nevertheless.
    """
    lines = [
        f"{'warning' if item.severity is Severity.WARNING else 'error'}: {item}"
        for item in problems
    ]
    if not errors_in(problems):
        lines.append(
            "Nothing was published. Repeat with --accept-warnings to publish anyway."
        )
    data = {"result": "rejected", "problems": list(problems)}
    return Report(tuple(lines), data, ExitCode.INVALID_INPUT)


# What still works while the log is unavailable; see "An outage of the log" in the
# operators' guide.
OUTAGE_NOTE = "Meanwhile interactive work goes on, and lycheeloom status still answers."


def report_result(
    result: Any, view_command: str = "lycheeloom config history"
) -> Report:
    """Report the outcome of a change.

    ``view_command`` is the command that shows later whether a change of unknown
    outcome took effect.
    """
    match result:
        case Published(version, changes, not_handed):
            lines = [item.describe() for item in changes]
            lines.append(f"Published as version {version}.")
            lines += _not_handed_lines(not_handed)
            return _result_report(result, lines, ExitCode.OK)
        case NothingToChange(version):
            line = f"Nothing to change: version {version} already has this content."
            return _result_report(result, [line], ExitCode.OK)
        case Rejected(problems):
            return report_problems(problems)
        case LostRace():
            return _result_report(result, _lost_race_lines(result), ExitCode.LOST_RACE)
        case NoEffect(reason) | WaveRefused(reason):
            line = f"Not changed: {reason}."
            return _result_report(result, [line], ExitCode.INVALID_INPUT)
        case NotAccepted(reason, may_repeat=False):
            line = f"Nothing was changed: {reason}. Make it in smaller steps."
            return _result_report(result, [line], ExitCode.INVALID_INPUT)
        case NotAccepted(reason) | LogUnavailable(reason):
            lines = [
                f"Nothing was changed: {reason}.",
                f"{OUTAGE_NOTE} Repeat the command when the log answers again.",
            ]
            return _result_report(result, lines, ExitCode.UNAVAILABLE)
        case OutcomeUnknown(reason):
            lines = [
                f"It is not known whether the change takes effect: {reason}.",
                f"{OUTAGE_NOTE} When the log answers again, look at {view_command}; "
                "repeat the command only if the change is not there.",
            ]
            return _result_report(result, lines, ExitCode.OUTCOME_UNKNOWN)
        case PartlyPublished():
            return _result_report(
                result, _partly_published_lines(result), ExitCode.OUTCOME_UNKNOWN
            )
        case WaveChanged(not_handed):
            return _result_report(
                result, ["Done.", *_not_handed_lines(not_handed)], ExitCode.OK
            )
        case InForce(version):
            line = f"Version {version} is in force on every entry."
            return Report((line,), {"in_force": True})
        case NotYetInForce():
            return _not_in_force_report(result)
    raise TypeError(f"no report for {type(result).__name__}")


def report_log_unavailable(failure: LogUnavailable) -> Report:
    """Report that a command that changes nothing could not read the log."""
    lines = [
        f"{failure.reason[:1].upper()}{failure.reason[1:]}.",
        f"{OUTAGE_NOTE} Repeat the command when the log answers again.",
    ]
    return _result_report(failure, lines, ExitCode.UNAVAILABLE)


def report_history(changes: Iterable[PublishedChange]) -> Report:
    """Report accepted changes in the given order."""
    changes = tuple(changes)
    lines = [line for change in changes for line in _change_lines(change)]
    return Report(tuple(lines or ["No change is on record."]), {"changes": changes})


def table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> list[str]:
    """Return the lines of a text table."""
    text = tabulate(list(rows), headers=list(headers), tablefmt="simple")
    return text.splitlines()


def to_json_value(value: Any) -> Any:
    """Convert data classes, models and collections to values for ``json.dumps``.

    ``ABSENT`` becomes null.
    """
    if value is ABSENT:
        return None
    if isinstance(value, BaseModel):
        return value.model_dump(mode="json")
    if dataclasses.is_dataclass(value):
        names = [item.name for item in dataclasses.fields(value)]
        return {name: to_json_value(getattr(value, name)) for name in names}
    if isinstance(value, Mapping):
        return {str(name): to_json_value(item) for name, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [to_json_value(item) for item in value]
    return value


def _result_report(result: Any, lines: Iterable[str], code: ExitCode) -> Report:
    data = {"result": _snake_case(type(result).__name__), **to_json_value(result)}
    return Report(tuple(lines), data, code)


def _partly_published_lines(result: PartlyPublished) -> list[str]:
    lines = [
        f"Only {result.parts} of {result.all_parts} parts of the change are "
        f"published; version {result.version} is in force."
    ]
    match result.stopped_by:
        case LostRace(winners=winners):
            lines.append("Another operator was first with the next part.")
            for winner in winners:
                lines += _change_lines(winner)
        case OutcomeUnknown(reason):
            lines.append(f"It is not known whether the next part follows: {reason}.")
        case NotAccepted(reason) | NoEffect(reason):
            lines.append(f"The next part was not published: {reason}.")
    lines.append("Compare with lycheeloom config diff, then publish again.")
    return lines


def _lost_race_lines(result: LostRace) -> list[str]:
    lines = [
        f"Nothing was changed: version {result.expected_version} was expected, but "
        f"version {result.version} is in force."
    ]
    if result.expected_version > result.version:
        return [*lines, "No such version exists yet."]
    for winner in result.winners:
        lines += _change_lines(winner)
    lines.append("Print the configuration again and repeat your change there.")
    return lines


def _change_lines(change: PublishedChange) -> list[str]:
    who = change.operator or "an unnamed operator"
    head = f"Version {change.version} by {who}:"
    return [head, *(f"  {sentence}" for sentence in change.sentences)]


def _not_handed_lines(reason_by_entry: Mapping[str, str]) -> list[str]:
    return [
        f"Entry {address} was not sent the change directly ({reason}); it will read it "
        "from the log."
        for address, reason in reason_by_entry.items()
    ]


def _not_in_force_report(result: NotYetInForce) -> Report:
    lines = [
        f"Not yet in force on entry {address}: {reason}."
        for address, reason in result.missing.items()
    ]
    data = {"in_force": False, "missing": dict(result.missing)}
    return Report(tuple(lines), data, ExitCode.NOT_IN_FORCE)


def _snake_case(name: str) -> str:
    return "".join(f"_{char.lower()}" if char.isupper() else char for char in name)[1:]
