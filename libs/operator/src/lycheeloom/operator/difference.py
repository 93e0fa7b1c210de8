"""Compares two configurations and builds the patch between them."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from .meanings import MEANING_BY_FIELD, NOUN_BY_SECTION, default_of
from .problems import format_value, join_key


class _Absent:
    def __repr__(self) -> str:
        return "ABSENT"


# Value of a key that does not exist before or after a change.
ABSENT: Any = _Absent()


@dataclass(frozen=True, slots=True)
class Change:
    """One key whose value differs; the value of an absent key is ``ABSENT``."""

    path: tuple[str, ...]
    before: Any
    after: Any

    def describe(self) -> str:
        """Return the change as a sentence."""
        path_text = _describe_path(self.path)
        default = _default_text(self.path)
        if default is not None and self.before is ABSENT:
            return _describe_change_from_default(
                path_text, default, format_value(self.after)
            )
        if default is not None and self.after is ABSENT:
            return _describe_change_to_default(
                path_text, format_value(self.before), default
            )
        if self.before is ABSENT:
            return f"{path_text} is added: {_summarise(self.path, self.after)}"
        if self.after is ABSENT and _is_organisation_key(self.path):
            return f"{path_text} is removed"
        if self.after is ABSENT:
            return (
                f"{path_text} is removed; it was {_summarise(self.path, self.before)}"
            )
        return (
            f"{path_text} changes from {format_value(self.before)} to "
            f"{format_value(self.after)}"
        )


def compare(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[Change]:
    """Return every difference, in the order of the keys."""
    return list(_find_changes((), before, after))


def make_patch(before: Mapping[str, Any], after: Mapping[str, Any]) -> dict[str, Any]:
    """Return the RFC 7396 patch that turns ``before`` into ``after``."""
    patch: dict[str, Any] = {}
    for name in before:
        if name not in after:
            patch[name] = None
    for name, value in after.items():
        if name not in before:
            patch[name] = value
        elif isinstance(value, Mapping) and isinstance(before[name], Mapping):
            nested = make_patch(before[name], value)
            if nested:
                patch[name] = nested
        elif not _is_same_json(before[name], value):
            patch[name] = value
    return patch


def describe_patch(patch: Mapping[str, Any]) -> list[str]:
    """Return a sentence for each value that a patch sets or removes.

    The sentences do not name the values before, so this serves where the document
    before the patch is not known.
    """
    return [
        f"{_describe_path(path)} is removed"
        if value is None
        else f"{_describe_path(path)} is set to {_summarise(path, value)}"
        for path, value in _patch_leaves((), patch)
    ]


def changed_paths(before: Mapping[str, Any], patch: Mapping[str, Any]) -> set[tuple]:
    """Return the paths of the keys that a patch sets or removes in a document."""
    return set(_patch_paths((), patch, before))


def paths_overlap(first: set[tuple], second: set[tuple]) -> bool:
    """Tell whether a path of either set equals or contains a path of the other set."""
    return any(
        path[: len(other)] == other or other[: len(path)] == path
        for path in first
        for other in second
    )


def _patch_paths(path: tuple, patch: Any, before: Any) -> Iterator[tuple]:
    """Yield the paths that a patch of the table at ``path`` sets or removes.

    Where both patch and document have a table, these are paths of keys within it.
    """
    for name, value in patch.items():
        old = before.get(name) if isinstance(before, Mapping) else None
        if isinstance(value, Mapping) and isinstance(old, Mapping):
            yield from _patch_paths((*path, name), value, old)
            continue
        yield (*path, name)


def _patch_leaves(path: tuple[str, ...], patch: Any) -> Iterator[tuple[tuple, Any]]:
    """Yield path and value of everything in a patch but tables that have keys."""
    for name, value in patch.items():
        if isinstance(value, Mapping) and value:
            yield from _patch_leaves((*path, name), value)
            continue
        yield (*path, name), value


def _find_changes(
    path: tuple[str, ...], before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Change]:
    for name in [*before, *(name for name in after if name not in before)]:
        item_path = (*path, name)
        old, new = before.get(name, ABSENT), after.get(name, ABSENT)
        if isinstance(old, Mapping) and isinstance(new, Mapping):
            yield from _find_changes(item_path, old, new)
        elif (
            _is_compared_by_item(item_path)
            and old is ABSENT
            and isinstance(new, Mapping)
            and new
        ):
            yield from _find_changes(item_path, {}, new)
        elif (
            _is_compared_by_item(item_path)
            and new is ABSENT
            and isinstance(old, Mapping)
            and old
        ):
            yield from _find_changes(item_path, old, {})
        elif old is ABSENT or new is ABSENT or not _is_same_json(old, new):
            yield Change(item_path, old, new)


def _is_compared_by_item(path: tuple[str, ...]) -> bool:
    """Tell whether adding or removing the table at a path is one change for each item.

    This holds for a section and for the keys of an organisation. Any other table
    that is added or removed is one change.
    """
    return len(path) == 1 or (path[0] == "organisations" and path[2:] == ("keys",))


def _is_same_json(first: Any, second: Any) -> bool:
    # In Python 1 == 1.0 == True, but in a document these values differ.
    return json.dumps(first, sort_keys=True) == json.dumps(second, sort_keys=True)


def _describe_path(path: tuple[str, ...]) -> str:
    section = path[0]
    if section not in NOUN_BY_SECTION or len(path) < 2:
        return join_key(*path)
    noun = f"{NOUN_BY_SECTION[section].capitalize()} {path[1]}"
    if len(path) == 2:
        return noun
    if section == "organisations" and path[2] == "keys" and len(path) == 4:
        return f"{noun}: key {path[3]}"
    return f"{noun}: {join_key(*path[2:])}"


def _describe_change_from_default(path_text: str, default: str, after: str) -> str:
    if default == after:
        return f"{path_text} is now set to {after}, which was the default already"
    return f"{path_text} changes from {default} (the default) to {after}"


def _describe_change_to_default(path_text: str, before: str, default: str) -> str:
    if default == before:
        return f"{path_text} stays {default}, which is the default"
    return f"{path_text} changes from {before} to {default} (the default)"


def _default_text(path: tuple[str, ...]) -> str | None:
    """Return the default of a field as JSON, None if it has none or an empty one."""
    if len(path) != 3 or path[2] not in MEANING_BY_FIELD.get(path[0], {}):
        return None
    default = default_of(path[0], path[2])
    return None if default in (None, [], {}, "") else format_value(default)


def _is_organisation_key(path: tuple[str, ...]) -> bool:
    """Tell whether a path leads to a key of an organisation, stored as a hash."""
    return path[-2:-1] == ("keys",)


def _summarise(path: tuple[str, ...], value: Any) -> str:
    """Describe a value; of a table only the fields that this version knows.

    The keys of an organisation are counted, and the hash of a key is not shown.
    """
    if _is_organisation_key(path):
        return "a salted hash"
    if not isinstance(value, Mapping):
        return format_value(value)
    known = MEANING_BY_FIELD.get(path[0], {})
    parts = [
        f"{name} {len(item)}" if name == "keys" else f"{name} {format_value(item)}"
        for name, item in value.items()
        if name in known or not known
    ]
    return ", ".join(parts) or "without settings"
