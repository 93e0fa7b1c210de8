"""Splits a configuration patch that is too large for one batch of the log."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any

from lycheeloom.model.limits import MAX_BATCH_BYTES

# The difference is room for the author and the encoding of the batch.
MAX_PATCH_BYTES = MAX_BATCH_BYTES - 4096
# A section comes after those that its items refer to. Additions follow this order and
# removals the reverse, so that no part refers to an item that does not exist.
_ADDITION_ORDER = ("zones", "pools", "organisations", "instances", "queues")


def patch_text(patch: Mapping[str, Any]) -> str:
    """Serialise a patch for the log."""
    return json.dumps(patch, separators=(",", ":"))


def split_patch(
    patch: Mapping[str, Any], max_bytes: int = MAX_PATCH_BYTES
) -> list[dict[str, Any]]:
    """Return patches that, applied in order, have the effect of the given one.

    A patch that fits into ``max_bytes`` is not split, so that it takes effect at
    once. A larger one is split between the items of its sections, with additions
    and changes before removals.
    """
    if len(patch_text(patch)) <= max_bytes:
        return [dict(patch)]
    parts: list[dict[str, Any]] = []
    size = 0
    for section, name, value in _items_in_order(patch):
        item_size = len(patch_text({section: {name: value}}))
        if not parts or size + item_size > max_bytes:
            parts.append({})
            size = 0
        size += item_size
        if name is None:
            parts[-1][section] = value
        else:
            parts[-1].setdefault(section, {})[name] = value
    return parts


def _items_in_order(patch: Mapping[str, Any]) -> Iterator[tuple[str, str | None, Any]]:
    """Yield section, item name and value; the name is None for a whole section."""
    for section, value in patch.items():
        is_table = isinstance(value, Mapping) and value
        if value is not None and not (is_table and section in _ADDITION_ORDER):
            yield section, None, value
    for section in _ADDITION_ORDER:
        for name, value in _table_items(patch, section):
            if value is not None:
                yield section, name, value
    for section in reversed(_ADDITION_ORDER):
        for name, value in _table_items(patch, section):
            if value is None:
                yield section, name, value
    for section in reversed([*_other_sections(patch), *_ADDITION_ORDER]):
        if section in patch and patch[section] is None:
            yield section, None, None


def _other_sections(patch: Mapping[str, Any]) -> list[str]:
    return [section for section in patch if section not in _ADDITION_ORDER]


def _table_items(patch: Mapping[str, Any], section: str) -> list[tuple[str, Any]]:
    value = patch.get(section)
    return list(value.items()) if isinstance(value, Mapping) else []
