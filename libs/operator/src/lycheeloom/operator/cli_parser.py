"""The command line of ``lycheeloom``."""

from __future__ import annotations

import argparse
import os
from collections.abc import Sequence

import shtab

from .exit_codes import exit_code_help
from .settings import DEFAULT_PATH, PATH_VARIABLE

VERSION = "0.1.0"
# Kinds of objects that entries and controllers explain; "fleet" needs no ID.
FLEET_KIND = "fleet"
EXPLAINED_KINDS = ("request", "instance", "pool", "organisation", FLEET_KIND)
# Kinds of objects that ``--logs`` explains from log lines; "leader" needs no ID.
LEADER_KIND = "leader"
LOGGED_KINDS = ("job", "instance", "worker", "wave", LEADER_KIND)
# An instance process explains where a submission would go; the ID is its file.
PLACEMENT_KIND = "placement"
ALL_KINDS = (*dict.fromkeys(EXPLAINED_KINDS + LOGGED_KINDS), PLACEMENT_KIND)
# Times that "wave plan" assumes for draining and rebooting an instance.
DEFAULT_PLANNED_DRAIN_S = 60.0
DEFAULT_PLANNED_REBOOT_S = 300.0
DEFAULT_WATCH_INTERVAL_S = 2.0

_Subparsers = "argparse._SubParsersAction[argparse.ArgumentParser]"


def build_parser() -> argparse.ArgumentParser:
    """Return the parser; it sets ``args.command`` to, for example, ``"zone out"``."""
    parser = argparse.ArgumentParser(
        prog="lycheeloom",
        description="Manages the configuration and maintenance of a fleet.",
        epilog=_examples(
            "lycheeloom status",
            "lycheeloom config show > fleet.toml",
            "lycheeloom zone out north",
        )
        + "\n\n"
        + exit_code_help(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common_options(
        parser,
        os.environ.get(PATH_VARIABLE, DEFAULT_PATH),
        False,
        None,
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {VERSION}")
    parser.add_argument(
        "--check-config", action="store_true", help="check the settings file and end"
    )
    shtab.add_argument_to(parser, help="print the completion script of a shell")
    groups = parser.add_subparsers(metavar="COMMAND")
    _add_config(groups)
    _add_key(groups)
    _add_zone(groups)
    _add_wave(groups)
    _add_pool(groups)
    _add_view_commands(groups)
    return parser


def parse_arguments(
    parser: argparse.ArgumentParser, argv: Sequence[str] | None
) -> argparse.Namespace:
    """Parse a command line.

    argparse takes an optional ID as missing if an option stands between the kind and
    the ID, as in ``explain placement --host NAME FILE``.
    """
    args, rest = parser.parse_known_args(argv)
    if len(rest) == 1 and getattr(args, "kind", "") == PLACEMENT_KIND:
        is_file = rest[0] == "-" or not rest[0].startswith("-")
        if is_file and args.id is None:
            args.id = rest.pop()
    if rest:
        parser.error(f"unrecognized arguments: {' '.join(rest)}")
    return args


def _add_common_options(
    parser: argparse.ArgumentParser, settings: object, as_json: object, timeout: object
) -> None:
    """Add the options that all commands have, with these defaults."""
    parser.add_argument(
        "--settings",
        metavar="FILE",
        default=settings,
        help=f"settings file (default: ${PATH_VARIABLE} or {DEFAULT_PATH})",
    )
    parser.add_argument(
        "--json", action="store_true", default=as_json, help="print JSON"
    )
    parser.add_argument(
        "--timeout-s",
        type=_seconds,
        metavar="SECONDS",
        default=timeout,
        help="wait this long for the log and the entries (default: from the settings)",
    )


def _add_group(groups: _Subparsers, name: str, text: str) -> _Subparsers:
    parser = groups.add_parser(name, help=text, description=text.capitalize() + ".")
    return parser.add_subparsers(metavar="COMMAND", required=True)


def _add_command(
    parsers: _Subparsers, command: str, text: str, *examples: str
) -> argparse.ArgumentParser:
    parser = parsers.add_parser(
        command.split()[-1],
        help=text,
        description=text[:1].upper() + text[1:] + ".",
        epilog=_examples(*examples),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    # No defaults here: they would override options given before the command.
    _add_common_options(parser, argparse.SUPPRESS, argparse.SUPPRESS, argparse.SUPPRESS)
    parser.set_defaults(command=command)
    return parser


def _add_config(groups: _Subparsers) -> None:
    parsers = _add_group(groups, "config", "the configuration of the fleet")
    _add_command(
        parsers,
        "config show",
        "print the configuration in force as TOML with explanations",
        "lycheeloom config show > fleet.toml",
    )
    check = _add_command(
        parsers,
        "config check",
        "report every mistake in a file, without asking the log or the entries",
        "lycheeloom config check fleet.toml",
    )
    diff = _add_command(
        parsers,
        "config diff",
        "say what publishing a file would change",
        "lycheeloom config diff fleet.toml",
        "lycheeloom config diff fleet.toml --exit-code && echo same",
    )
    diff.add_argument(
        "--exit-code", action="store_true", help="exit with 8 if there are differences"
    )
    publish = _add_command(
        parsers,
        "config publish",
        "publish a file and wait until it is in force",
        "lycheeloom config publish fleet.toml",
        "lycheeloom config publish fleet.toml --expect 7 --accept-warnings",
    )
    for parser in (check, diff, publish):
        _add_file_argument(parser)
    publish.add_argument(
        "--expect",
        type=_whole_number,
        metavar="VERSION",
        help="the version that must be in force (default: the one in the file)",
    )
    _add_change_options(publish)
    history = _add_command(
        parsers,
        "config history",
        "list published changes and who made them",
        "lycheeloom config history --limit 5",
    )
    history.add_argument(
        "--limit",
        type=_whole_number,
        default=20,
        metavar="COUNT",
        help="newest changes shown",
    )


def _add_key(groups: _Subparsers) -> None:
    parsers = _add_group(groups, "key", "keys of organisations")
    grant = _add_command(
        parsers,
        "key grant",
        "make a key for an organisation and show it once",
        "lycheeloom key grant red",
        "lycheeloom key grant red --id red-laptop",
    )
    grant.add_argument("organisation", metavar="ORGANISATION")
    grant.add_argument("--id", default="", metavar="KEY", help="name of the key")
    withdraw = _add_command(
        parsers,
        "key withdraw",
        "withdraw a key; every entry refuses it within 3 seconds",
        "lycheeloom key withdraw red-laptop",
    )
    withdraw.add_argument("key", metavar="KEY", help="name of the key, not its secret")
    _add_change_options(grant)
    _add_change_options(withdraw)


def _add_zone(groups: _Subparsers) -> None:
    parsers = _add_group(groups, "zone", "availability zones")
    for word, text in (
        ("out", "take a zone out of service; no task starts there after 3 seconds"),
        ("in", "bring a zone back into service"),
    ):
        parser = _add_command(
            parsers, f"zone {word}", text, f"lycheeloom zone {word} north"
        )
        parser.add_argument("zone", metavar="ZONE")
        _add_change_options(parser)


def _add_wave(groups: _Subparsers) -> None:
    parsers = _add_group(groups, "wave", "maintenance waves")
    plan = _add_command(
        parsers,
        "wave plan",
        "show in which rounds a wave would maintain instances, and how long it takes",
        "lycheeloom wave plan --pool general --reboot-s 240",
    )
    for option, default, text in (
        (
            "--drain-s",
            DEFAULT_PLANNED_DRAIN_S,
            "seconds that draining an instance takes",
        ),
        ("--reboot-s", DEFAULT_PLANNED_REBOOT_S, "seconds that a reboot takes"),
    ):
        plan.add_argument(
            option,
            type=_seconds,
            default=default,
            metavar="SECONDS",
            help=f"{text} (default: {default:g})",
        )
    start = _add_command(
        parsers,
        "wave start",
        "start a wave over all pools or some",
        "lycheeloom wave start kernel-6 --pool general --pool lookup",
        "lycheeloom wave start cve-fix --urgent",
    )
    for parser in (plan, start):
        parser.add_argument(
            "--pool", action="append", default=[], metavar="POOL", help="only this pool"
        )
    start.add_argument("wave", metavar="WAVE", help="a new name for the wave")
    start.add_argument(
        "--urgent", action="store_true", help="as fast as the budgets allow"
    )
    start.add_argument(
        "--no-reboot", action="store_true", help="drain and return without a reboot"
    )
    for word, text in (
        ("pause", "begin maintenance of no further instance"),
        ("resume", "continue a paused wave"),
        ("abort", "end a wave; instances in progress are finished"),
    ):
        parser = _add_command(
            parsers, f"wave {word}", text, f"lycheeloom wave {word} kernel-6"
        )
        parser.add_argument("wave", metavar="WAVE")
    status = _add_command(
        parsers,
        "wave status",
        "show the progress of all waves or one",
        "lycheeloom wave status kernel-6",
    )
    status.add_argument("wave", metavar="WAVE", nargs="?", default="")


def _add_pool(groups: _Subparsers) -> None:
    parsers = _add_group(groups, "pool", "pools of instances")
    move = _add_command(
        parsers,
        "pool move",
        "move an instance to another pool; it is drained first",
        "lycheeloom pool move worker-7 general",
    )
    move.add_argument("instance", metavar="INSTANCE")
    move.add_argument("pool", metavar="POOL")
    _add_change_options(move)


def _add_view_commands(groups: _Subparsers) -> None:
    _add_command(
        groups,
        "status",
        "show organisations against shares and limits, queues, zones, pools and "
        "entries",
        "lycheeloom status",
        "lycheeloom status --json",
    )
    explain = _add_command(
        groups,
        "explain",
        "say why something was decided",
        "lycheeloom explain instance worker-7",
        "lycheeloom explain request 01J8ZK",
        "lycheeloom explain fleet",
        "lycheeloom explain job 5c0e7a21d94b36f8 --logs node-1.log node-2.log",
        "lycheeloom explain leader --logs -",
        "lycheeloom explain placement --address 10.0.0.1:9100 --host h.example "
        "--path /a/ --organisation red job.json",
    )
    explain.add_argument("kind", choices=ALL_KINDS)
    explain.add_argument(
        "id",
        metavar="ID",
        nargs="?",
        help="name; not needed for fleet and leader; for placement, a file with a "
        "submission as JSON, or - for standard input",
    )
    for option, text in (
        ("--address", "metrics address of an instance, host and port"),
        ("--host", "host of the queue"),
        ("--path", "path of the queue, or of a submission with its id"),
        ("--organisation", "organisation; not needed if the queue is open to all"),
    ):
        explain.add_argument(
            option, default="", metavar=option[2:].upper(), help=f"placement: {text}"
        )
    explain.add_argument(
        "--logs",
        nargs="+",
        metavar="FILE",
        help="build a timeline from log lines in these files; - is standard input",
    )
    watch = _add_command(
        groups,
        "watch",
        "print the status repeatedly, until Ctrl-C",
        "lycheeloom watch --interval-s 5",
        "lycheeloom watch --count 3",
    )
    watch.add_argument(
        "--interval-s",
        type=_seconds,
        default=DEFAULT_WATCH_INTERVAL_S,
        metavar="SECONDS",
        help=f"pause between two prints (default: {DEFAULT_WATCH_INTERVAL_S:g})",
    )
    watch.add_argument(
        "--count",
        type=_whole_number,
        default=0,
        metavar="COUNT",
        help="exit after this many prints (default: 0, never)",
    )


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--accept-warnings", action="store_true", help="publish in spite of warnings"
    )
    parser.add_argument(
        "--no-wait", action="store_true", help="do not wait until it is in force"
    )


def _add_file_argument(parser: argparse.ArgumentParser) -> None:
    argument = parser.add_argument("file", metavar="FILE", help="configuration in TOML")
    argument.complete = shtab.FILE  # type: ignore[attr-defined]


def _examples(*commands: str) -> str:
    return "\n".join(["examples:", *(f"  {command}" for command in commands)])


def _seconds(text: str) -> float:
    value = float(text)
    if not 0 < value <= 3600:
        raise argparse.ArgumentTypeError("allowed: more than 0, at most 3600 seconds")
    return value


def _whole_number(text: str) -> int:
    value = int(text)
    if value < 0:
        raise argparse.ArgumentTypeError("allowed: a whole number, 0 or more")
    return value
