"""Runs all checks of a configuration and collects their problems."""

from __future__ import annotations

import datetime
import json
import math
from collections.abc import Iterator, Mapping
from typing import Any

from lycheeloom.model.config import ConfigError, parse_config

from .field_checks import check_fields
from .problems import Problem, errors_in, join_key
from .reference_checks import Usage, check_references

NO_USAGE = Usage()


def check_document(
    document: Mapping[str, Any],
    file: str,
    in_force: Mapping[str, Any] | None = None,
    usage: Usage = NO_USAGE,
) -> list[Problem]:
    """Return all problems of a document, without duplicates.

    ``in_force`` is the document that this one replaces. ``usage`` tells which tasks
    run now and in which pools instances are. If none of the problems is an error,
    ``parse_config`` accepts the document, and so does every entry.
    """
    problems = [
        *check_fields(document, in_force or {}, file),
        *check_references(document, usage, file),
    ]
    reported_keys = {problem.key for problem in problems}
    type_problems = _check_json_types((), document, file)
    problems += [
        problem for problem in type_problems if problem.key not in reported_keys
    ]
    if not errors_in(problems):
        parsed = parse_config(json.loads(json.dumps(document)), 0)
        if isinstance(parsed, ConfigError):
            problems += [
                Problem(file, "document", text, "what docs/configuration.md describes")
                for text in parsed.problems
            ]
    return list(dict.fromkeys(problems))


def _check_json_types(
    path: tuple[str, ...], value: Any, file: str
) -> Iterator[Problem]:
    """Find values that JSON, the format of published documents, cannot express."""
    if isinstance(value, Mapping):
        for name, item in value.items():
            yield from _check_json_types((*path, name), item, file)
    elif isinstance(value, list):
        for item in value:
            yield from _check_json_types(path, item, file)
    else:
        wrong = _describe_non_json(value)
        if wrong:
            allowed = "texts, finite numbers, true, false, lists and tables"
            yield Problem(file, join_key(*path), wrong, allowed)


def _describe_non_json(value: Any) -> str:
    """Say why JSON cannot express a value; an empty string if it can."""
    if value is None:
        return "is null"
    if isinstance(value, datetime.date | datetime.time):
        return f"is the date or time {value}"
    if isinstance(value, float) and not math.isfinite(value):
        return f"is {value}"
    return ""
