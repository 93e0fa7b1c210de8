"""Prints a configuration as TOML with a comment that explains each field."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any

import tomlkit

from .meanings import MEANING_BY_FIELD, NOUN_BY_SECTION, default_of
from .toml_reader import VERSION_KEY

SECTIONS = ("zones", "pools", "organisations", "queues", "instances")
VERSION_COMMENT = "It can be published while this version is in force."
UNKNOWN_FIELD_COMMENT = "Unknown to this program version; kept as it is."


def print_config(document: Mapping[str, Any], version: int | None = None) -> str:
    """Return the document as TOML with a sentence that explains each value.

    ``version`` is the version in force. The text contains it, and can be published
    only while it is still in force. ``read_config_text`` reads back exactly the same
    document. Defaults of fields that are not set are printed as comments. The document
    must contain no null, which TOML cannot express; documents in force have none in a
    table, since a merge patch leaves none there.
    """
    lines = list(_header_lines(document, version))
    for section in SECTIONS:
        if section in document:
            lines += _section_lines(section, document[section])
    return "\n".join(lines) + "\n"


def _header_lines(document: Mapping[str, Any], version: int | None) -> Iterator[str]:
    counts = ", ".join(
        f"{section} {len(document[section])}"
        for section in SECTIONS
        if isinstance(document.get(section), Mapping)
    )
    yield f"# Number of entries in each part: {counts or 'none'}."
    yield "# Lines that start with # only explain; programs do not read them."
    if version is not None:
        yield f"{VERSION_KEY} = {version}  # {VERSION_COMMENT}"
    if "name" in document:
        yield f"name = {_toml_value(document['name'])}  # The name of this fleet."
    for name, value in document.items():
        if name != "name" and name not in SECTIONS:
            yield f"{_toml_key(name)} = {_toml_value(value)}  # {UNKNOWN_FIELD_COMMENT}"


def _section_lines(section: str, items: Any) -> Iterator[str]:
    if section == "instances" or not items:
        yield ""
        yield f"[{section}]"
    if section == "instances":
        yield "# One line for each worker instance. cores counts processor cores,"
        yield "# memory_mb is memory in MB, accelerators counts accelerators."
    for name, item in items.items():
        if section == "instances":
            yield from _instance_lines(name, item)
            continue
        yield ""
        yield from _table_lines(section, (section, name), item)


def _instance_lines(name: str, item: Mapping[str, Any]) -> Iterator[str]:
    if {"pool", "zone", "rack", "cores", "memory_mb"} <= item.keys():
        yield "# " + _single_line(
            f"Worker {name} of pool {item['pool']} is in zone {item['zone']}, rack "
            f"{item['rack']}; cores: {item['cores']}, memory: {item['memory_mb']} "
            f"MB, accelerators: {item.get('accelerators', 0)}."
        )
    yield f"{_toml_key(name)} = {_toml_value(item)}"


def _table_lines(
    section: str, path: tuple[str, ...], item: Mapping[str, Any]
) -> Iterator[str]:
    yield f"[{'.'.join(_toml_key(part) for part in path)}]"
    meanings = MEANING_BY_FIELD[section]
    for name, meaning in meanings.items():
        if name in item and name != "keys":
            text = _single_line(meaning.explain(item[name]))
            yield f"{name} = {_toml_value(item[name])}  # {text}"
    for name, value in item.items():
        if name not in meanings:
            yield f"{_toml_key(name)} = {_toml_value(value)}  # {UNKNOWN_FIELD_COMMENT}"
    yield from _default_lines(section, item)
    if section == "organisations" and "keys" in item:
        yield from _organisation_key_lines(path, item["keys"])


def _default_lines(section: str, item: Mapping[str, Any]) -> Iterator[str]:
    for name, meaning in MEANING_BY_FIELD[section].items():
        default = default_of(section, name)
        if name in item or default is None or default == [] or default == {}:
            continue
        noun = NOUN_BY_SECTION[section]
        yield (
            f"# {name} is {_toml_value(default)} unless this {noun} sets it. "
            f"{meaning.explain(default)}"
        )


def _organisation_key_lines(
    path: tuple[str, ...], keys: Mapping[str, Any]
) -> Iterator[str]:
    yield f"[{'.'.join(_toml_key(part) for part in (*path, 'keys'))}]"
    yield f"# {MEANING_BY_FIELD['organisations']['keys'].explain(None)}"
    for key_id, item in keys.items():
        yield f"{_toml_key(key_id)} = {_toml_value(item)}"


def _toml_key(name: str) -> str:
    if name and all(
        char.isascii() and (char.isalnum() or char in "-_") for char in name
    ):
        return name
    return _toml_value(name)


def _toml_value(value: Any) -> str:
    if isinstance(value, Mapping):
        parts = ", ".join(
            f"{_toml_key(name)} = {_toml_value(item)}" for name, item in value.items()
        )
        return f"{{ {parts} }}" if parts else "{}"
    if isinstance(value, list):
        return f"[{', '.join(_toml_value(item) for item in value)}]"
    return tomlkit.item(value).as_string()


def _single_line(text: str) -> str:
    """Escape text with line breaks or other characters that a comment cannot hold."""
    if text.isprintable():
        return text
    return json.dumps(text)[1:-1]
