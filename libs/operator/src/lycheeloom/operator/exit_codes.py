"""Exit codes of the ``lycheeloom`` command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command; ``MEANING_BY_EXIT_CODE`` describes each one."""

    OK = 0
    INVALID_INPUT = 1
    USAGE = 2
    LOST_RACE = 3
    UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5
    NOT_IN_FORCE = 6
    NOT_FOUND = 7
    DIFFERENCES_FOUND = 8
    INTERRUPTED = 130


MEANING_BY_EXIT_CODE = {
    ExitCode.OK: "done",
    ExitCode.INVALID_INPUT: "mistakes in the settings, a configuration or a name; "
    "nothing was changed",
    ExitCode.USAGE: "the command line is not understood",
    ExitCode.LOST_RACE: "another operator was first; nothing was changed",
    ExitCode.UNAVAILABLE: "the log or the entries gave no answer; nothing was changed",
    ExitCode.OUTCOME_UNKNOWN: "the change may take effect, in part or as a whole; "
    "see lycheeloom config history or wave status",
    ExitCode.NOT_IN_FORCE: "the change is accepted, but not yet in force on every "
    "entry",
    ExitCode.NOT_FOUND: "no entry knows what was asked for",
    ExitCode.DIFFERENCES_FOUND: "config diff --exit-code found differences",
    ExitCode.INTERRUPTED: "interrupted with Ctrl-C",
}


def exit_code_help() -> str:
    """Return the exit codes as text for ``--help``."""
    rows = [f"  {code.value:3}  {text}" for code, text in MEANING_BY_EXIT_CODE.items()]
    return "\n".join(["exit codes:", *rows])
