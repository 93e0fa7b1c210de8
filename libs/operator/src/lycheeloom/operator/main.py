"""Entry point of the ``lycheeloom`` command."""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable, Sequence

from lycheeloom.clients import LogClient

from . import changing_commands as changing
from . import reading_commands as reading
from .cli_parser import (
    EXPLAINED_KINDS,
    FLEET_KIND,
    LEADER_KIND,
    LOGGED_KINDS,
    PLACEMENT_KIND,
    build_parser,
    parse_arguments,
)
from .entries import Entries
from .exit_codes import ExitCode
from .field_checks import is_address
from .operator import Operator
from .output import Report, report_problems
from .placement_command import explain_placement
from .settings import Settings, load_settings

# Reports with these codes go to standard error. OUTCOME_UNKNOWN and NOT_IN_FORCE are
# not among them: such a report may show a new key, which belongs on standard output.
_CODES_ON_STDERR = frozenset(
    {
        ExitCode.INVALID_INPUT,
        ExitCode.LOST_RACE,
        ExitCode.UNAVAILABLE,
        ExitCode.NOT_FOUND,
    }
)
Command = Callable[[Operator, argparse.Namespace], Report]

COMMANDS: dict[str, Command] = {
    "config show": reading.show_config,
    "config diff": reading.diff_config,
    "config publish": changing.publish_file,
    "config history": reading.show_history,
    "key grant": changing.grant_key,
    "key withdraw": changing.withdraw_key,
    "zone out": changing.take_zone_out,
    "zone in": changing.bring_zone_in,
    "wave plan": reading.plan_wave,
    "wave start": changing.command_wave,
    "wave pause": changing.command_wave,
    "wave resume": changing.command_wave,
    "wave abort": changing.command_wave,
    "wave status": reading.show_waves,
    "pool move": changing.move_instance,
    "status": reading.show_status,
    "explain": reading.explain,
    "watch": reading.show_status,
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    parser = build_parser()
    args = parse_arguments(parser, argv)
    try:
        return _run(parser, args)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


def make_operator(settings: Settings) -> Operator:
    """Return an ``Operator`` for the log, entries and controllers in the settings."""
    return Operator(
        LogClient(settings.log),
        Entries.at(settings.entries, settings.handover_token),
        settings.operator,
        controllers=Entries.at(settings.controllers),
    )


def _run(parser: argparse.ArgumentParser, args: argparse.Namespace) -> int:
    command = getattr(args, "command", None)
    if command == "config check":
        return _print(reading.check_file(args), args.json)
    if command is None and not args.check_config:
        parser.print_help(sys.stderr)
        return ExitCode.USAGE
    if command == "explain":
        _check_explain_arguments(parser, args)
        if args.kind == PLACEMENT_KIND:
            return _print(explain_placement(args), args.json)
        if args.logs:
            return _print(reading.explain_logs(args), args.json)
    settings = load_settings(args.settings)
    if not isinstance(settings, Settings):
        return _print(report_problems(settings), args.json)
    if command is None or args.check_config:
        return _print(Report(("No errors.",), {"result": "ok"}), args.json)
    if args.timeout_s is None:
        args.timeout_s = settings.timeout_s
    operator = make_operator(settings)
    if command == "watch":
        return _watch(operator, args)
    return _print(COMMANDS[command](operator, args), args.json)


def _check_explain_arguments(
    parser: argparse.ArgumentParser, args: argparse.Namespace
) -> None:
    if not args.id and args.kind not in (FLEET_KIND, LEADER_KIND):
        parser.error(f"explain {args.kind} needs an ID")
    placement = (args.address, args.host, args.path)
    if args.kind == PLACEMENT_KIND:
        if not all(placement):
            parser.error("explain placement needs --address, --host and --path")
        if not is_address(args.address):
            parser.error(f"--address {args.address}: allowed: HOST:PORT")
    elif any(placement) or args.organisation:
        parser.error(f"explain {args.kind} does not ask an instance")
    if args.logs and args.kind not in LOGGED_KINDS:
        parser.error(f"explain {args.kind} does not read logs")
    if not args.logs and args.kind not in (*EXPLAINED_KINDS, PLACEMENT_KIND):
        parser.error(f"explain {args.kind} needs --logs FILE")


def _watch(operator: Operator, args: argparse.Namespace) -> int:
    printed = 0
    # ``args.count`` is 0 without the option; it then never equals ``printed``.
    while True:
        code = _print(COMMANDS["watch"](operator, args), args.json)
        printed += 1
        if printed == args.count:
            return code
        print(flush=True)
        time.sleep(args.interval_s)


def _print(report: Report, as_json: bool) -> int:
    failed = report.code in _CODES_ON_STDERR
    stream = sys.stderr if failed and not as_json else sys.stdout
    print(report.render(as_json), file=stream)
    return report.code


if __name__ == "__main__":
    sys.exit(main())
