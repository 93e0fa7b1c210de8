"""Handlers of the commands that change nothing."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Mapping
from pathlib import Path

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.records import WaveState
from lycheeloom.model.status import StatusDocument, WaveStatus

from .changing_commands import unknown_pools
from .checks import check_document
from .cli_parser import FLEET_KIND, LEADER_KIND
from .entries import EntryUnavailable, Explanation, ExplanationNotFound, newest_status
from .exit_codes import ExitCode
from .log_timeline import build_leader_timeline, build_timeline
from .operator import Operator
from .output import (
    Report,
    report_history,
    report_log_unavailable,
    report_problems,
    table,
)
from .problems import Problem, errors_in
from .status_text import format_duration, status_lines, wave_table
from .toml_reader import read_config
from .toml_writer import print_config
from .waves import preview_wave


def show_config(operator: Operator, args: argparse.Namespace) -> Report:
    """Print the configuration in force."""
    failure = operator.refresh()
    if failure is not None:
        return report_log_unavailable(failure)
    text = print_config(operator.document, operator.version)
    data = {"version": operator.version, "document": operator.document}
    return Report(tuple(text.splitlines()), data)


def check_file(args: argparse.Namespace) -> Report:
    """Check a file without reading the log or calling an entry."""
    file = read_config(args.file)
    if isinstance(file, Problem):
        return report_problems([file])
    problems = check_document(file.document, file.source)
    report = report_problems(problems)
    if errors_in(problems):
        return report
    lines = [f"warning: {problem}" for problem in problems]
    return Report((*lines, "No errors."), {"result": "ok", "problems": problems})


def diff_config(operator: Operator, args: argparse.Namespace) -> Report:
    """Compare a file with the configuration in force."""
    file = read_config(args.file)
    if isinstance(file, Problem):
        return report_problems([file])
    failure = operator.refresh()
    if failure is not None:
        return report_log_unavailable(failure)
    problems = operator.new_problems(file.document, file.source)
    if errors_in(problems):
        return report_problems(problems)
    changes = operator.compare(file.document)
    lines = [f"warning: {problem}" for problem in problems]
    lines += [change.describe() for change in changes] or ["No differences."]
    data = {"changes": changes, "warnings": problems, "version": operator.version}
    code = ExitCode.DIFFERENCES_FOUND if changes and args.exit_code else ExitCode.OK
    return Report(tuple(lines), data, code)


def show_history(operator: Operator, args: argparse.Namespace) -> Report:
    """List the newest published changes, oldest first, and who made them."""
    failure = operator.refresh()
    if failure is not None:
        return report_log_unavailable(failure)
    changes = operator.history()
    return report_history(changes[len(changes) - min(args.limit, len(changes)) :])


def show_status(operator: Operator, args: argparse.Namespace) -> Report:
    """Show the status of the fleet and of each entry."""
    statuses = operator.statuses()
    newest = newest_status(statuses)
    data = {
        "fleet": newest,
        "entries": {
            address: item
            if isinstance(item, StatusDocument)
            else {"unavailable": item.reason}
            for address, item in statuses.items()
        },
    }
    code = ExitCode.OK if newest is not None else ExitCode.UNAVAILABLE
    return Report(tuple(status_lines(newest, statuses)), data, code)


def plan_wave(operator: Operator, args: argparse.Namespace) -> Report:
    """Show the rounds of a wave that is not started yet."""
    failure = operator.refresh()
    if failure is not None:
        return report_log_unavailable(failure)
    problems = unknown_pools(operator, args.pool)
    if problems:
        return report_problems(problems)
    config: FleetConfig = operator.view.state.config
    preview = preview_wave(config, args.pool)
    seconds = preview.duration_s(args.drain_s, args.reboot_s)
    lines = [
        f"Round {number}: {', '.join(names)}"
        for number, names in enumerate(preview.rounds, start=1)
    ]
    lines.append(
        f"Instances: {preview.instance_count}, rounds: {len(preview.rounds)}, about "
        f"{format_duration(seconds)} if every round takes "
        f"{format_duration(args.drain_s)} to drain and "
        f"{format_duration(args.reboot_s)} to reboot."
    )
    lines += [
        f"Instance {name} is never maintained: a budget allows 0 unavailable, or "
        "no spare instance would be left."
        for name in preview.never_maintained
    ]
    data = {
        "rounds": preview.rounds,
        "never": preview.never_maintained,
        "duration_s": seconds,
    }
    return Report(tuple(lines), data)


def show_waves(operator: Operator, args: argparse.Namespace) -> Report:
    """Show the progress of one wave, or of all."""
    failure = operator.refresh()
    if failure is not None:
        return report_log_unavailable(failure)
    waves = _waves_with_progress(operator)
    if args.wave:
        if args.wave not in waves:
            line = f'There is no wave "{args.wave}".'
            return Report((line,), {"waves": {}}, ExitCode.NOT_FOUND)
        waves = {args.wave: waves[args.wave]}
    lines = table(*wave_table(waves)) if waves else ["No wave is on record."]
    return Report(tuple(lines), {"waves": waves})


def explain(operator: Operator, args: argparse.Namespace) -> Report:
    """Print the sentences with which entries and controllers explain decisions."""
    # The fleet has no id, so its kind is its name.
    name = args.id or args.kind
    answers = operator.explain(args.kind, name)
    found = {
        address: answer
        for address, answer in answers.items()
        if isinstance(answer, Explanation)
    }
    if found:
        lines = dict.fromkeys(
            sentence for answer in found.values() for sentence in answer.sentences
        )
        return Report(tuple(lines), {"explanations": found})
    if any(isinstance(answer, ExplanationNotFound) for answer in answers.values()):
        line = f"No entry knows the {args.kind} {name}."
        if args.kind == FLEET_KIND:
            line = "No decision about the whole fleet is known."
        return Report((line,), {"explanations": {}}, ExitCode.NOT_FOUND)
    lines = [
        f"{address} gave no answer: {answer.reason}."
        for address, answer in answers.items()
        if isinstance(answer, EntryUnavailable)
    ]
    return Report(tuple(lines), {"explanations": {}}, ExitCode.UNAVAILABLE)


def explain_logs(args: argparse.Namespace) -> Report:
    """Print the timeline of one object, or of the leaders, from log files."""
    raw_lines: list[str] = []
    for name in args.logs:
        try:
            raw_lines += _read_lines(name)
        except OSError as error:
            line = f"{name}: cannot be read: {error.strerror}"
            return Report((line,), {"story": []}, ExitCode.INVALID_INPUT)
    if args.kind == LEADER_KIND:
        timeline = build_leader_timeline(raw_lines)
    else:
        timeline = build_timeline(raw_lines, args.id)
    if not timeline:
        name = args.id or args.kind
        line = f"No line of these logs mentions {name}."
        return Report((line,), {"story": []}, ExitCode.NOT_FOUND)
    return Report(tuple(timeline), {"story": timeline})


def _read_lines(name: str) -> list[str]:
    """Return the lines of a file; ``-`` is standard input."""
    if name == "-":
        return sys.stdin.readlines()
    return Path(name).read_text(errors="replace").splitlines()


def _waves_with_progress(operator: Operator) -> Mapping[str, WaveStatus]:
    """Return the waves on record, with the progress that entries report."""
    newest = newest_status(operator.statuses())
    reported = newest.waves if newest is not None else {}
    waves = {}
    for name, wave in operator.view.state.maintenance.wave_by_id.items():
        status = reported.get(name, WaveStatus(pools=list(wave.pools)))
        state = WaveState(wave.state)
        waves[name] = status.model_copy(update={"state": state, "urgent": wave.urgent})
    return waves
