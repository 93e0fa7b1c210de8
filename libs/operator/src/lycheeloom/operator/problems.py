"""Problems found in a configuration or in settings, one message each."""

from __future__ import annotations

import difflib
import json
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Severity(StrEnum):
    """An error prevents publication; a warning can be accepted explicitly."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Problem:
    """What is wrong with one key of one file, and what is allowed there.

    ``str(Problem("a.toml", "organisations.red.share", "is 0", "a number above 0"))``
    gives ``a.toml: organisations.red.share: is 0; allowed: a number above 0``.
    """

    file: str
    key: str
    wrong: str
    allowed: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.wrong}; allowed: {self.allowed}"


def errors_in(problems: Iterable[Problem]) -> list[Problem]:
    """Return the problems that prevent publication."""
    return [item for item in problems if item.severity is Severity.ERROR]


def warnings_in(problems: Iterable[Problem]) -> list[Problem]:
    """Return the problems that do not prevent publication once accepted."""
    return [item for item in problems if item.severity is Severity.WARNING]


def did_you_mean(name: str, known: Iterable[str]) -> str:
    """Return `` (did you mean "lookup"?)`` for a similar known name, or ``""``."""
    matches = difflib.get_close_matches(name, list(known), n=1)
    if not matches:
        return ""
    return f' (did you mean "{matches[0]}"?)'


def format_value(value: Any) -> str:
    """Return a value as JSON, cut to at most 60 characters."""
    text = json.dumps(value, ensure_ascii=False, default=str)
    return text if len(text) <= 60 else text[:57] + "..."


def join_key(*parts: str) -> str:
    """Return a dotted key; parts with more than letters, digits, - and _ are quoted."""
    return ".".join(
        part if part.replace("-", "").replace("_", "").isalnum() else json.dumps(part)
        for part in parts
    )


def with_article(noun: str) -> str:
    """Return a noun with its article: ``with_article("entry")`` is "an entry"."""
    return f"{'an' if noun[0] in 'aeiou' else 'a'} {noun}"
