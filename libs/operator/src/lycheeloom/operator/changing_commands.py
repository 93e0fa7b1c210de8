"""Handlers of the commands that change the fleet."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from lycheeloom.model.keys import NewKey
from lycheeloom.model.records import WaveState

from .draft import Draft
from .exit_codes import ExitCode
from .operator import Operator
from .output import Report, report_problems, report_result
from .problems import Problem, did_you_mean, join_key
from .results import NothingToChange, Published
from .toml_reader import VERSION_KEY, ConfigFile, read_config

# Problems show one of these in place of a file name: the first for a problem of an
# argument, the second for one of the configuration that the change would produce.
COMMAND_LINE = "command line"
AFTER_CHANGE = "after this change"

# By command, the state into which it brings a wave, and the states from which it may
# do so.
_STATES_BY_COMMAND = {
    "wave start": (WaveState.RUNNING, (WaveState.ABSENT,)),
    "wave pause": (WaveState.PAUSED, (WaveState.RUNNING,)),
    "wave resume": (WaveState.RUNNING, (WaveState.PAUSED,)),
    "wave abort": (WaveState.ABORTED, (WaveState.RUNNING, WaveState.PAUSED)),
}


def publish_file(operator: Operator, args: argparse.Namespace) -> Report:
    """Publish a configuration file if the version it was printed from is in force.

    ``--expect`` replaces that version. Without either, only the first configuration of
    a fleet can be published.
    """
    file = read_config(args.file)
    if isinstance(file, Problem):
        return report_problems([file])
    expected = args.expect if args.expect is not None else file.version
    if expected is None:
        failure = operator.refresh()
        if failure is not None:
            return report_result(failure)
        if operator.version != 0:
            return report_problems([_missing_version_problem(file, operator.version)])
        expected = 0
    result = operator.publish(
        file.document,
        expected,
        file=file.source,
        accept_warnings=args.accept_warnings,
        timeout_s=args.timeout_s,
    )
    return _report_and_wait(operator, args, result)


def grant_key(operator: Operator, args: argparse.Namespace) -> Report:
    """Create a key for an organisation and show its token."""
    created_keys: list[NewKey | None] = []
    report = _change(
        operator,
        args,
        lambda draft: created_keys.append(draft.grant_key(args.organisation, args.id)),
        {
            join_key("organisations", args.organisation, "keys"): "--id",
            "organisations": "ORGANISATION",
        },
    )
    # The draft may have been edited several times; the last edit is the published one.
    key = created_keys[-1] if created_keys else None
    codes_with_token = (ExitCode.OK, ExitCode.NOT_IN_FORCE, ExitCode.OUTCOME_UNKNOWN)
    if key is None or report.code not in codes_with_token:
        return report
    lines = (
        f"Key {key.id} of the organisation {args.organisation}, shown only now:",
        f"  {key.token}",
    )
    return Report(lines, {"key": key.id, "token": key.token}) + report


def withdraw_key(operator: Operator, args: argparse.Namespace) -> Report:
    """Withdraw a key of an organisation."""
    return _change(
        operator,
        args,
        lambda draft: draft.withdraw_key(args.key),
        {"organisations": "KEY"},
    )


def take_zone_out(operator: Operator, args: argparse.Namespace) -> Report:
    """Take a zone out of service."""
    return _change(
        operator,
        args,
        lambda draft: draft.take_zone_out(args.zone),
        {"zones": "ZONE"},
        f'the zone "{args.zone}" is out of service already',
    )


def bring_zone_in(operator: Operator, args: argparse.Namespace) -> Report:
    """Bring a zone back into service."""
    return _change(
        operator,
        args,
        lambda draft: draft.bring_zone_in(args.zone),
        {"zones": "ZONE"},
        f'the zone "{args.zone}" is in service already',
    )


def move_instance(operator: Operator, args: argparse.Namespace) -> Report:
    """Set the pool that an instance is to belong to."""
    return _change(
        operator,
        args,
        lambda draft: draft.move_instance(args.instance, args.pool),
        {"instances": "INSTANCE", "pools": "POOL"},
        f'the instance "{args.instance}" belongs to the pool "{args.pool}" already',
    )


def command_wave(operator: Operator, args: argparse.Namespace) -> Report:
    """Start, pause, resume or abort a wave."""
    wanted, expected = _STATES_BY_COMMAND[args.command]
    pools = getattr(args, "pool", [])
    failure = operator.refresh()
    if failure is not None:
        return report_result(failure)
    problems = unknown_pools(operator, pools)
    if problems:
        return report_problems(problems)
    result = operator.command_wave(
        args.wave,
        wanted,
        pools=pools,
        urgent=getattr(args, "urgent", False),
        reboot=not getattr(args, "no_reboot", False),
        expected=expected,
        timeout_s=args.timeout_s,
    )
    return report_result(result, view_command="lycheeloom wave status")


def unknown_pools(operator: Operator, pools: list[str]) -> list[Problem]:
    """Return a problem for each name that is not a pool."""
    known = operator.document.get("pools", {})
    return [
        Problem(
            COMMAND_LINE,
            "--pool",
            f'there is no pool "{pool}"{did_you_mean(pool, known)}',
            "the name of a pool under [pools]",
        )
        for pool in pools
        if pool not in known
    ]


def _change(
    operator: Operator,
    args: argparse.Namespace,
    edit: Callable[[Draft], Any],
    argument_by_key: Mapping[str, str],
    unchanged_message: str = "",
) -> Report:
    """Edit the configuration in force and publish the result.

    ``unchanged_message`` is shown if the edit changes nothing. ``argument_by_key``
    has arguments of the command by dotted key of the configuration: a problem that
    the draft reports for such a key is shown as a problem of the argument.
    """

    def edit_and_name_arguments(draft: Draft) -> None:
        draft.file = AFTER_CHANGE
        edit(draft)
        draft.problems[:] = [
            _name_argument(problem, argument_by_key) for problem in draft.problems
        ]

    result = operator.change(
        edit_and_name_arguments,
        accept_warnings=args.accept_warnings,
        timeout_s=args.timeout_s,
    )
    report = _report_and_wait(operator, args, result)
    if unchanged_message and isinstance(result, NothingToChange):
        return replace(report, lines=(f"Nothing to change: {unchanged_message}.",))
    return report


def _name_argument(problem: Problem, argument_by_key: Mapping[str, str]) -> Problem:
    """Return a problem of a key, or of a key below it, as one of its argument."""
    for key, argument in argument_by_key.items():
        if problem.key == key or problem.key.startswith(f"{key}."):
            return replace(problem, file=COMMAND_LINE, key=argument)
    return problem


def _report_and_wait(
    operator: Operator, args: argparse.Namespace, result: Any
) -> Report:
    """Report a result; if it was published, wait until every entry has the version."""
    report = report_result(result)
    if not isinstance(result, Published) or args.no_wait:
        return report
    in_force = operator.wait_in_force(result.version, args.timeout_s)
    return report + report_result(in_force)


def _missing_version_problem(file: ConfigFile, version: int) -> Problem:
    return Problem(
        file.source,
        VERSION_KEY,
        f"is missing, and version {version} is in force",
        "the line that config show prints, or the option --expect VERSION",
    )
