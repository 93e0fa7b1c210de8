"""Updates a parsed configuration without parsing the whole document again.

At the planned fleet size, validating the whole document blocks the event loop of
an entry for tens of milliseconds. Most patches change a single key or zone, so
only the changed items are validated.
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

# Above this number of changed items, parsing the whole document costs no more.
MAX_CHANGED_ITEMS = 200


@dataclass(frozen=True, slots=True)
class _Section:
    """How the items of one section of the document are validated and indexed.

    ``index_field`` is the field of ``FleetConfig`` that holds the built items.
    """

    index_field: str
    document_type: type[BaseModel]
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
    """Return the configuration for ``document``, the result of applying ``patch``.

    ``previous`` is the configuration before the patch. The result equals that of
    ``parse_config(document, version)``. The whole document is parsed if the patch
    removes items or replaces whole sections, and if it has an error, so that
    error messages are the same on both paths.
    """
    if not _only_sets_items(document, patch):
        return parse_config(document, version)
    if not _keys_are_valid(previous, patch.get("organisations", {})):
        return parse_config(document, version)
    try:
        changed = _change_items(previous, document, patch, version)
    except ValidationError:
        return parse_config(document, version)
    if not _references_exist(changed, patch):
        return parse_config(document, version)
    return changed


def _only_sets_items(document: Mapping[str, Any], patch: Any) -> bool:
    """Tell whether a patch only adds or changes a few items of known sections."""
    if not isinstance(patch, dict):
        return False
    count = 0
    for name, items in patch.items():
        if name not in _SECTION_BY_NAME or not isinstance(items, dict):
            return False
        count += len(items)
        # An item that the patch sets to null is missing in the document.
        if any(item not in document[name] for item in items):
            return False
    return count <= MAX_CHANGED_ITEMS


def _change_items(
    previous: FleetConfig,
    document: Mapping[str, Any],
    patch: Mapping[str, Any],
    version: int,
) -> FleetConfig:
    values: dict[str, Any] = {}
    for name, items in patch.items():
        section = _SECTION_BY_NAME[name]
        index = dict(getattr(previous, section.index_field))
        for item in items:
            validated = section.document_type.model_validate(document[name][item])
            index[item] = section.build(item, validated)
        values[section.index_field] = index
    if "organisations" in patch:
        values["key_by_id"] = _update_keys(previous, document, patch["organisations"])
    return replace(previous, version=version, **values)


def _update_keys(
    previous: FleetConfig, document: Mapping[str, Any], organisations: Mapping[str, Any]
) -> dict[str, Any]:
    keys = {
        key_id: key
        for key_id, key in previous.key_by_id.items()
        if key.organisation not in organisations
    }
    for organisation in organisations:
        validated = OrganisationDocument.model_validate(
            document["organisations"][organisation]
        )
        for key in build_keys(organisation, validated):
            keys[key.id] = key
    return keys


def _references_exist(config: FleetConfig, patch: Mapping[str, Any]) -> bool:
    """Tell whether all pools, zones and organisations that items name exist.

    Only the items in ``patch`` are checked.
    """
    return all(
        _instance_references_exist(config, config.instance_by_id[name])
        for name in patch.get("instances", ())
    ) and all(
        _queue_references_exist(config, config.queue_by_id[name])
        for name in patch.get("queues", ())
    )


def _instance_references_exist(config: FleetConfig, instance: Instance) -> bool:
    return instance.pool in config.pool_by_id and instance.zone in config.zone_by_id


def _queue_references_exist(config: FleetConfig, queue: Queue) -> bool:
    return queue.pool in config.pool_by_id and all(
        organisation in config.organisation_by_id
        for organisation in queue.organisations
    )


def _keys_are_valid(previous: FleetConfig, organisations: Mapping[str, Any]) -> bool:
    """Tell whether the key ids in a patch are well formed and unique.

    A key id may be used by one organisation only.
    """
    seen: set[str] = set()
    for organisation, item in organisations.items():
        keys = item.get("keys") if isinstance(item, dict) else None
        if keys is None:
            continue
        if not isinstance(keys, dict):
            return False
        for key_id in keys:
            owner = previous.key_by_id.get(key_id)
            is_taken = owner is not None and owner.organisation != organisation
            if "." in key_id or not key_id or key_id in seen or is_taken:
                return False
            seen.add(key_id)
    return True
