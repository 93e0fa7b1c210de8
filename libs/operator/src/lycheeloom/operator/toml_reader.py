"""Reads configuration and other TOML files, and names the line or key of an error."""

from __future__ import annotations

import ast
import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .problems import Problem, format_value, join_key

# Patterns for the error messages of ``tomllib``.
_DUPLICATE_DECLARATION = re.compile(
    r"Cannot (?:declare|mutate immutable namespace) (\(.*\))"
)
_POSITION = re.compile(r"\s*\(at (?:line (\d+), column \d+|end of document)\)$")


# ``print_config`` writes this key into the file; it is not part of the document.
VERSION_KEY = "printed_from_version"


@dataclass(frozen=True, slots=True)
class TomlFile:
    """The content of a TOML file; ``source`` names the file in messages."""

    source: str
    document: dict[str, Any]


@dataclass(frozen=True, slots=True)
class ConfigFile:
    """A configuration document read from a file.

    ``version`` is the configuration version that the file was printed from.
    """

    source: str
    document: dict[str, Any]
    version: int | None = None


def read_config(path: str) -> ConfigFile | Problem:
    """Read a configuration file."""
    file = read_toml(path)
    return file if isinstance(file, Problem) else _config_file(file)


def read_config_text(text: str, source: str) -> ConfigFile | Problem:
    """Read a configuration; ``source`` names it in messages."""
    file = read_toml_text(text, source)
    return file if isinstance(file, Problem) else _config_file(file)


def _config_file(file: TomlFile) -> ConfigFile | Problem:
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
    """Read TOML text; ``source`` names it in messages."""
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
    """Return the dotted key that a line sets, and the section that it is in."""
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
