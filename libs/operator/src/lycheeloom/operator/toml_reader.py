"""Reads configuration files and other TOML files; errors name the line or key."""

from __future__ import annotations

import ast
import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .problems import Problem, format_value, join_key

# Patterns for error messages of ``tomllib``: that a table is declared twice, and the
# position at the end of a message.
_DUPLICATE_DECLARATION = re.compile(
    r"Cannot (?:declare|mutate immutable namespace) (\(.*\))"
)
_POSITION = re.compile(r"\s*\(at (?:line (\d+), column \d+|end of document)\)$")


# Key of a configuration file that is not part of the document. ``print_config`` writes
# the version in force to it, and the file can be published while that is in force.
VERSION_KEY = "printed_from_version"


@dataclass(frozen=True, slots=True)
class TomlFile:
    """The content of a TOML file; ``source`` names the file in messages."""

    source: str
    document: dict[str, Any]


@dataclass(frozen=True, slots=True)
class ConfigFile:
    """A configuration document read from a file.

    ``version`` is the configuration version that the file was printed from, None if
    the file does not name one.
    """

    source: str
    document: dict[str, Any]
    version: int | None = None


def read_config(path: str) -> ConfigFile | Problem:
    """Read a configuration file."""
    file = read_toml(path)
    return file if isinstance(file, Problem) else _to_config_file(file)


def read_config_text(text: str, source: str) -> ConfigFile | Problem:
    """Read the text of a configuration file; ``source`` names the file in messages."""
    file = read_toml_text(text, source)
    return file if isinstance(file, Problem) else _to_config_file(file)


def _to_config_file(file: TomlFile) -> ConfigFile | Problem:
    document = dict(file.document)
    version = document.pop(VERSION_KEY, None)
    if version is None:
        return ConfigFile(file.source, document)
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        allowed = "the version that config show printed, 0 or more"
        return Problem(file.source, VERSION_KEY, f"is {format_value(version)}", allowed)
    return ConfigFile(file.source, document, version)


def read_toml(path: str) -> TomlFile | Problem:
    """Read a TOML file."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        return Problem(path, "file", error.strerror or str(error), "a readable file")
    except UnicodeDecodeError:
        return Problem(path, "file", "is not UTF-8 text", "TOML text in UTF-8")
    return read_toml_text(text, path)


def read_toml_text(text: str, source: str) -> TomlFile | Problem:
    """Read the text of a TOML file; ``source`` names the file in messages."""
    try:
        return TomlFile(source, tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        return _syntax_problem(str(error), text, source)


def _syntax_problem(message: str, text: str, source: str) -> Problem:
    position = _POSITION.search(message)
    line = (
        int(position.group(1))
        if position and position.group(1)
        else text.count("\n") + 1
    )
    reason = _POSITION.sub("", message)
    duplicate = _DUPLICATE_DECLARATION.search(reason)
    if duplicate:
        parts = [str(part) for part in ast.literal_eval(duplicate.group(1))]
        return _duplicate_problem(source, join_key(*parts), parts[0], line)
    if reason == "Cannot overwrite a value":
        key, section = _key_at(text, line)
        return _duplicate_problem(source, key, section, line)
    return Problem(
        source, f"line {line}", reason[:1].lower() + reason[1:], "valid TOML"
    )


def _key_at(text: str, line: int) -> tuple[str, str]:
    """Return the dotted key that a line sets, and the section of the line or ``""``."""
    lines = text.splitlines()[:line]
    name = lines[-1].partition("=")[0].strip()
    for row in reversed(lines):
        header = re.match(r"\s*\[([^\[\]]+)\]", row)
        if header:
            section = header.group(1).strip()
            return f"{section}.{name}", section
    return name, ""


def _duplicate_problem(source: str, key: str, section: str, line: int) -> Problem:
    if section == "instances":
        return Problem(
            source,
            key,
            f"is defined a second time in line {line}",
            "each instance once, in exactly one pool",
        )
    return Problem(
        source, key, f"is defined a second time in line {line}", "each key once"
    )
