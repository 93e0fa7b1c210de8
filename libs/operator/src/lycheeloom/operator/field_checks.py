"""Checks of single fields: names, types, ranges and unknown keys."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterator, Mapping
from typing import Any

from pydantic import ValidationError

from .meanings import MEANING_BY_FIELD, MODEL_BY_SECTION, NOUN_BY_SECTION
from .problems import Problem, did_you_mean, format_value, join_key, with_article
from .toml_writer import SECTIONS

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
# Without a dot, which separates the key id from the secret in a token.
_KEY_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
_ADDRESS_PATTERN = re.compile(r"(?:[A-Za-z0-9.-]+|\[[0-9A-Fa-f:]+\]):([0-9]{1,5})")
NAME_RULE = (
    "1 to 63 letters, digits, dots, hyphens or underscores, starting with a letter or "
    "digit"
)
KEY_ID_RULE = (
    "1 to 63 letters, digits, hyphens or underscores, starting with a letter or digit"
)
TOP_LEVEL_KEYS = ("name", *SECTIONS)


def check_fields(
    document: Mapping[str, Any], in_force: Mapping[str, Any], file: str
) -> Iterator[Problem]:
    """Yield a problem for each field that is invalid regardless of other fields.

    A field unknown to this program version is accepted only if the configuration in
    force has the field already, since a newer program version then published it.
    """
    name = document.get("name", "fleet")
    if not isinstance(name, str) or not name:
        yield Problem(
            file, "name", f"is {format_value(name)}", "a text in quotation marks"
        )
    for key in document:
        if key not in TOP_LEVEL_KEYS and key not in in_force:
            wrong = f"is not a known key{did_you_mean(key, TOP_LEVEL_KEYS)}"
            yield Problem(file, join_key(key), wrong, ", ".join(TOP_LEVEL_KEYS))
    for section in SECTIONS:
        items = document.get(section, {})
        if not isinstance(items, Mapping):
            noun = NOUN_BY_SECTION[section]
            allowed = f"a table with one part for each {noun}"
            yield Problem(file, section, f"is {format_value(items)}", allowed)
            continue
        items_in_force = _as_mapping(in_force.get(section))
        for item_name, item in items.items():
            path = (section, item_name)
            item_in_force = _as_mapping(items_in_force.get(item_name))
            yield from _check_item(section, path, item, item_in_force, file)


def _check_item(
    section: str,
    path: tuple[str, ...],
    item: Any,
    in_force: Mapping[str, Any],
    file: str,
) -> Iterator[Problem]:
    """Check one item of a section, or one key of an organisation.

    ``in_force`` is the same item in the configuration in force, or empty.
    """
    yield from _check_name(section, path, file)
    if not isinstance(item, Mapping):
        noun = NOUN_BY_SECTION[section]
        allowed = f"a table of the settings of one {noun}"
        yield Problem(file, join_key(*path), f"is {format_value(item)}", allowed)
        return
    fields = MEANING_BY_FIELD[section]
    for name in item:
        if name not in fields and name not in in_force:
            wrong = f"is not a known key{did_you_mean(name, fields)}"
            yield Problem(file, join_key(*path, name), wrong, ", ".join(fields))
    yield from _check_values(section, path, item, file)
    if section == "instances" and isinstance(item.get("address"), str):
        yield from _check_address(path, item["address"], file)
    keys = item.get("keys") if section == "organisations" else None
    if isinstance(keys, Mapping):
        keys_in_force = _as_mapping(in_force.get("keys"))
        for key_id, key in keys.items():
            key_in_force = _as_mapping(keys_in_force.get(key_id))
            yield from _check_item(
                "keys", (*path, "keys", key_id), key, key_in_force, file
            )


def _check_name(section: str, path: tuple[str, ...], file: str) -> Iterator[Problem]:
    name = path[-1]
    pattern, rule = (
        (_KEY_ID_PATTERN, KEY_ID_RULE)
        if section == "keys"
        else (_NAME_PATTERN, NAME_RULE)
    )
    if not pattern.fullmatch(name):
        noun = NOUN_BY_SECTION[section]
        wrong = f"{format_value(name)} cannot be the name of {with_article(noun)}"
        yield Problem(file, join_key(*path), wrong, rule)


def _check_values(
    section: str, path: tuple[str, ...], item: Mapping[str, Any], file: str
) -> Iterator[Problem]:
    """Yield at most one problem for each known field that has a wrong value or none."""
    model = MODEL_BY_SECTION[section]
    fields = MEANING_BY_FIELD[section]
    values = {name: value for name, value in item.items() if name in fields}
    if isinstance(values.get("keys"), Mapping):
        # ``_check_item`` checks the keys one by one, each with its own message.
        values.pop("keys")
    reported_names = set()
    for error in _validation_errors(model, values):
        name = str(error["loc"][0])
        if name in reported_names:
            continue
        reported_names.add(name)
        allowed = fields[name].allowed
        key = join_key(*path, name)
        if error["type"] == "missing":
            yield Problem(file, key, "is missing", allowed)
            continue
        yield Problem(
            file, key, _describe_wrong_value(section, name, item[name]), allowed
        )


def _validation_errors(model: Any, values: Mapping[str, Any]) -> list[Any]:
    # The values are validated as JSON because strict validation of Python objects does
    # not accept the string value of an enum member.
    try:
        model.model_validate_json(json.dumps(values, default=str), strict=True)
    except ValidationError as error:
        return error.errors()
    return []


def _describe_wrong_value(section: str, name: str, value: Any) -> str:
    if (section, name) == ("instances", "pool") and isinstance(value, list):
        return f"puts the instance in {len(value)} pools, {format_value(value)}"
    if section == "keys" and name == "digest":
        # The value is not shown, since it may be a secret key entered by mistake.
        return "is not the salted hash of a key"
    if isinstance(value, float) and not math.isfinite(value):
        return f"is {value}"
    return f"is {format_value(value)}"


def _check_address(path: tuple[str, ...], address: str, file: str) -> Iterator[Problem]:
    if is_address(address):
        return
    allowed = MEANING_BY_FIELD["instances"]["address"].allowed
    yield Problem(
        file, join_key(*path, "address"), f"is {format_value(address)}", allowed
    )


def is_address(text: str) -> bool:
    """Tell whether a text is a host and a port from 1 to 65535, as ``host:port``."""
    match = _ADDRESS_PATTERN.fullmatch(text)
    return match is not None and 1 <= int(match.group(1)) <= 65535


def _as_mapping(value: Any) -> Mapping[str, Any]:
    """Return a table as it is, and an empty one in place of any other value."""
    return value if isinstance(value, Mapping) else {}
