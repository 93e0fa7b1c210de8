"""Applies a change to a parsed configuration without parsing all of it again.

At the planned size the whole document takes tens of milliseconds to validate, in
which an entry answers nobody; a change of one key or zone touches one item.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from pydantic import BaseModel, ValidationError

from .config_document import (
    InstanceDocument,
    OrganisationDocument,
    PoolDocument,
    QueueDocument,
    ZoneDocument,
)
from .config_parse import (
    ConfigError,
    build_instance,
    build_keys,
    build_organisation,
    build_pool,
    build_queue,
    build_zone,
    parse_config,
)
from .fleet_config import FleetConfig, Instance, Queue

# Patches with more items are parsed as a whole, which then costs no more.
MAX_ITEMS = 200


@dataclass(frozen=True, slots=True)
class _Section:
    """How the items of one section are validated and indexed."""

    field: str
    model: type[BaseModel]
    build: Callable[[str, Any], Any]


_SECTION_BY_NAME = {
    "zones": _Section("zone_by_id", ZoneDocument, build_zone),
    "pools": _Section("pool_by_id", PoolDocument, build_pool),
    "instances": _Section("instance_by_id", InstanceDocument, build_instance),
    "organisations": _Section(
        "organisation_by_id", OrganisationDocument, build_organisation
    ),
    "queues": _Section("queue_by_id", QueueDocument, build_queue),
}


def change_config(
    previous: FleetConfig,
    document: Mapping[str, Any],
    patch: Any,
    version: int,
) -> FleetConfig | ConfigError:
    """Return the configuration of ``document``, which is ``previous`` patched.

    Gives the same result as ``parse_config(document, version)``. Patches that
    remove or replace more than single items, and those with a mistake, are
    parsed as a whole, so that every problem is reported in the same words.
    """
    if not _has_only_items(document, patch):
        return parse_config(document, version)
    if not _keys_hold(previous, patch.get("organisations", {})):
        return parse_config(document, version)
    try:
        changed = _change_items(previous, document, patch, version)
    except ValidationError:
        return parse_config(document, version)
    if not _references_hold(changed, patch):
        return parse_config(document, version)
    return changed


def _has_only_items(document: Mapping[str, Any], patch: Any) -> bool:
    """Tell whether a patch only adds or changes items of known sections."""
    if not isinstance(patch, dict):
        return False
    count = 0
    for name, items in patch.items():
        if name not in _SECTION_BY_NAME or not isinstance(items, dict):
            return False
        count += len(items)
        if any(item not in document[name] for item in items):
            return False
    return count <= MAX_ITEMS


def _change_items(
    previous: FleetConfig,
    document: Mapping[str, Any],
    patch: Mapping[str, Any],
    version: int,
) -> FleetConfig:
    values: dict[str, Any] = {}
    for name, items in patch.items():
        section = _SECTION_BY_NAME[name]
        index = dict(getattr(previous, section.field))
        for item in items:
            model = section.model.model_validate(document[name][item])
            index[item] = section.build(item, model)
        values[section.field] = index
    if "organisations" in patch:
        values["key_by_id"] = _change_keys(previous, document, patch["organisations"])
    return replace(previous, version=version, **values)


def _change_keys(
    previous: FleetConfig, document: Mapping[str, Any], organisations: Mapping[str, Any]
) -> dict[str, Any]:
    keys = {
        key_id: key
        for key_id, key in previous.key_by_id.items()
        if key.organisation not in organisations
    }
    for organisation in organisations:
        model = OrganisationDocument.model_validate(
            document["organisations"][organisation]
        )
        for key in build_keys(organisation, model):
            keys[key.id] = key
    return keys


def _references_hold(config: FleetConfig, patch: Mapping[str, Any]) -> bool:
    """Tell whether every changed item refers to things that exist."""
    return all(
        _instance_holds(config, config.instance_by_id[name])
        for name in patch.get("instances", ())
    ) and all(
        _queue_holds(config, config.queue_by_id[name])
        for name in patch.get("queues", ())
    )


def _instance_holds(config: FleetConfig, instance: Instance) -> bool:
    return instance.pool in config.pool_by_id and instance.zone in config.zone_by_id


def _queue_holds(config: FleetConfig, queue: Queue) -> bool:
    return queue.pool in config.pool_by_id and all(
        organisation in config.organisation_by_id
        for organisation in queue.organisations
    )


def _keys_hold(previous: FleetConfig, organisations: Mapping[str, Any]) -> bool:
    """Tell whether no key in a patch is malformed or also another organisation's."""
    seen: set[str] = set()
    for organisation, item in organisations.items():
        keys = item.get("keys") if isinstance(item, dict) else None
        if keys is None:
            continue
        if not isinstance(keys, dict):
            return False
        for key_id in keys:
            owner = previous.key_by_id.get(key_id)
            is_foreign = owner is not None and owner.organisation != organisation
            if "." in key_id or not key_id or key_id in seen or is_foreign:
                return False
            seen.add(key_id)
    return True
