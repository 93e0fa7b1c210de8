"""Tests the commands, files and ports that README and operators' guide name."""

import itertools
import re
import shlex
import tomllib
from pathlib import Path

import pytest

from lycheeloom.operator.cli_parser import build_parser

ROOT = Path(__file__).parents[3]
PAGES = ("README.md", "docs/operators-guide.md")
# Ends a command within a line: a pipe, a redirection, ``&`` or a comment.
COMMAND_END = re.compile(r" +(?:[|>&#]|>>|2>&1)(?: |$).*")


def code_of(page):
    """Return the lines of the code blocks of a page, and its pieces of inline code."""
    text = (ROOT / page).read_text(encoding="utf-8")
    blocks = re.findall(r"^ *```\w*\n(.*?)^ *```", text, re.DOTALL | re.MULTILINE)
    lines = [line for block in blocks for line in block.splitlines()]
    return lines + re.findall(r"`([^`\n]+)`", text)


def commands_of(page, program):
    """Return the argument lists with which a page calls a program.

    A word ``a|b`` stands for two calls, one with ``a`` and one with ``b``.
    """
    found = []
    for line in code_of(page):
        match = re.search(rf"(?:^|\$\()({program} .+)", line)
        if match is None:
            continue
        words = shlex.split(COMMAND_END.sub("", match[1]), comments=True)
        found += itertools.product(*(word.split("|") for word in words))
    return sorted(set(found))


@pytest.mark.parametrize(
    "command",
    [
        pytest.param(command, id=" ".join(command))
        for page in PAGES
        for command in commands_of(page, "lycheeloom")
    ],
)
def test_command_is_understood(command):
    """Guards against a documented command that the program does not accept."""
    try:
        args = build_parser().parse_args(command[1:])
    except SystemExit as error:
        # Options such as --help end the program.
        assert error.code == 0, command
        return
    file = getattr(args, "file", "")
    if file.startswith("examples/"):
        assert (ROOT / file).is_file()


def test_search_finds_each_group_of_commands():
    """Guards against a search for commands that finds only some or none."""
    found = {
        command[1] for page in PAGES for command in commands_of(page, "lycheeloom")
    }
    groups = {"config", "key", "zone", "wave", "pool", "status", "explain", "watch"}
    assert groups <= found


@pytest.mark.parametrize("page", PAGES)
def test_named_programs_and_example_files_exist(page):
    """Guards against naming a program or an example file that does not exist."""
    scripts = {}
    for path in ROOT.glob("libs/*/pyproject.toml"):
        scripts |= tomllib.loads(path.read_text())["project"].get("scripts", {})
    for line in code_of(page):
        for program in re.findall(r"\blycheeloom(?:-[a-z]+)?(?![\w.=/-])", line):
            assert program in scripts, line
        for path in re.findall(r"\bexamples/[\w./-]+", line):
            assert (ROOT / path).exists(), line


@pytest.mark.parametrize("page", PAGES)
def test_make_targets_exist(page):
    """Guards against naming a make target that does not exist."""
    targets = set(re.findall(r"^(\w+):", (ROOT / "Makefile").read_text(), re.M))
    named = {
        words[1]
        for words in map(str.split, code_of(page))
        if words[:1] == ["make"] and len(words) > 1
    }
    assert named <= targets


def test_addresses_of_the_first_hour_are_in_its_settings():
    """Guards against a documented port that no example settings file has."""
    settings = "".join(
        path.read_text() for path in (ROOT / "examples/first-hour").glob("*.toml")
    )
    for page in PAGES:
        for port in re.findall(r"127\.0\.0\.1:(\d+)", " ".join(code_of(page))):
            assert port in settings
