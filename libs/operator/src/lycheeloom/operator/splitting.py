"""Splits a configuration patch that is too large for one batch of the log."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any

from lycheeloom.model.limits import MAX_BATCH_BYTES

# Leaves 4,096 bytes of a batch for its author and the encoding of the batch.
MAX_PATCH_BYTES = MAX_BATCH_BYTES - 4096
# The items of a section refer only to items of sections before it. Additions are made
# in this order and removals in the reverse order, so that no part refers to an item
# that does not exist.
_ADDITION_ORDER = ("zones", "pools", "organisations", "instances", "queues")


def patch_text(patch: Mapping[str, Any]) -> str:
    """Serialise a patch for the log, in ASCII: its length is its size in bytes."""
    return json.dumps(patch, separators=(",", ":"))


def split_patch(
    patch: Mapping[str, Any], max_bytes: int = MAX_PATCH_BYTES
) -> list[dict[str, Any]]:
    """Return patches that, applied in order, have the effect of the given one.

    A patch of at most ``max_bytes`` is not split, so that it takes effect as a whole.
    A larger one is split between the items of its sections, with additions and
    changes before removals. A single item is not split, however large it is.
    """
    if len(patch_text(patch)) <= max_bytes:
        return [dict(patch)]
    parts: list[dict[str, Any]] = []
    part_bytes = 0
    for section, name, value in _items_in_order(patch):
        # Counts the section and the braces for each item, so no part gets too large.
        item_bytes = len(patch_text({section: {name: value}}))
        if not parts or part_bytes + item_bytes > max_bytes:
            parts.append({})
            part_bytes = 0
        part_bytes += item_bytes
        if name is None:
            parts[-1][section] = value
        else:
            parts[-1].setdefault(section, {})[name] = value
    return parts


def _items_in_order(patch: Mapping[str, Any]) -> Iterator[tuple[str, str | None, Any]]:
    """Yield section, item name and value in the order in which to apply them.

    The name is None if the value is that of the whole section, or of another field
    at the top level. First come such values, then added or changed items, removed
    items and last removed sections.
    """
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
