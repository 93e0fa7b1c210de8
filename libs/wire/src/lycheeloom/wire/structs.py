"""Conversion between data classes and Cap'n Proto structs by field name."""

from __future__ import annotations

import dataclasses
import types
import typing
from enum import Enum
from functools import cache
from typing import Any

_MAX_UINT64 = 2**64 - 1


@cache
def camel_case(name: str) -> str:
    """Return the field name used in schemas: ``run_ms`` becomes ``runMs``."""
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def to_fields(value: Any) -> dict[str, Any]:
    """Convert a data class to the mapping that a struct's ``from_dict`` accepts.

    Raises ``ValueError`` if a number is negative or needs more than 64 bits, and if
    a value is None.
    """
    return {
        schema_name: _to_plain(getattr(value, name))
        for name, schema_name, _ in _fields(type(value))
    }


def from_struct(kind: type, struct: Any) -> Any:
    """Convert a struct to a data class of type ``kind``.

    Raises ``ValueError`` for an unknown enum value.
    """
    values = {
        name: _from_plain(hint, getattr(struct, schema_name))
        for name, schema_name, hint in _fields(kind)
    }
    return kind(**values)


@cache
def _fields(kind: type) -> tuple[tuple[str, str, Any], ...]:
    hints = typing.get_type_hints(kind)
    return tuple(
        (field.name, camel_case(field.name), hints[field.name])
        for field in dataclasses.fields(kind)
    )


def _to_plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if dataclasses.is_dataclass(value):
        return to_fields(value)
    if isinstance(value, tuple):
        return [_to_plain(item) for item in value]
    if value is None or (isinstance(value, int) and not 0 <= value <= _MAX_UINT64):
        raise ValueError(f"{value} does not fit into a field")
    return value


def _from_plain(hint: Any, value: Any) -> Any:
    if isinstance(hint, types.GenericAlias):
        item_hint = typing.get_args(hint)[0]
        return tuple(_from_plain(item_hint, item) for item in value)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return hint(value)
    if dataclasses.is_dataclass(hint):
        return from_struct(hint, value)
    if hint is bytes:
        return bytes(value)
    return value
