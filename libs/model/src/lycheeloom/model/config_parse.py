"""Conversion of configuration documents into data classes."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from .config_document import (
    ConfigDocument,
    InstanceDocument,
    OrganisationDocument,
    PoolDocument,
    QueueDocument,
    ZoneDocument,
)
from .fleet_config import FleetConfig, Instance, Key, Organisation, Pool, Queue, Zone
from .resources import Resources


@dataclass(frozen=True, slots=True)
class ConfigError:
    """A document is not a valid configuration; one line for each problem."""

    problems: tuple[str, ...]


def merge_patch(target: Any, patch: Any) -> Any:
    """Return ``target`` with an RFC 7396 JSON merge patch applied.

    ``merge_patch({"a": 1, "b": 2}, {"a": None})`` gives ``{"b": 2}``.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
            continue
        merged[name] = merge_patch(merged.get(name), value)
    return merged


def parse_config(
    document: Mapping[str, Any], version: int
) -> FleetConfig | ConfigError:
    """Validate a document and index it, or return all problems found."""
    try:
        validated = ConfigDocument.model_validate(document)
    except ValidationError as error:
        return ConfigError(tuple(describe_error(item) for item in error.errors()))
    return _index(validated, version)


def describe_error(item: Mapping[str, Any]) -> str:
    """Return one line with the path and the message of a pydantic error."""
    path = ".".join(str(part) for part in item["loc"]) or "document"
    return f"{path}: {item['msg']}"


def _index(document: ConfigDocument, version: int) -> FleetConfig:
    return FleetConfig(
        version=version,
        name=document.name,
        zone_by_id={n: build_zone(n, item) for n, item in document.zones.items()},
        pool_by_id={n: build_pool(n, item) for n, item in document.pools.items()},
        instance_by_id={
            n: build_instance(n, item) for n, item in document.instances.items()
        },
        organisation_by_id={
            n: build_organisation(n, item) for n, item in document.organisations.items()
        },
        queue_by_id={n: build_queue(n, item) for n, item in document.queues.items()},
        key_by_id={
            key.id: key
            for name, organisation in document.organisations.items()
            for key in build_keys(name, organisation)
        },
    )


def build_zone(name: str, zone: ZoneDocument) -> Zone:
    """Convert a zone of the document."""
    return Zone(name, zone.region, zone.state, zone.max_unavailable)


def build_pool(name: str, pool: PoolDocument) -> Pool:
    """Convert a pool of the document."""
    return Pool(
        name,
        pool.max_unavailable,
        pool.max_unavailable_per_rack,
        pool.needed,
        pool.spare,
    )


def build_instance(name: str, instance: InstanceDocument) -> Instance:
    """Convert an instance of the document."""
    return Instance(
        name,
        instance.pool,
        instance.zone,
        instance.rack,
        instance.address,
        Resources(instance.cores, instance.memory_mb, instance.accelerators),
    )


def build_organisation(name: str, organisation: OrganisationDocument) -> Organisation:
    """Convert an organisation of the document, without its keys."""
    return Organisation(name, organisation.share, organisation.upper_limit)


def build_keys(
    organisation_id: str, organisation: OrganisationDocument
) -> Iterator[Key]:
    """Convert the keys of an organisation of the document."""
    for key_id, key in organisation.keys.items():
        salt, digest = bytes.fromhex(key.salt), bytes.fromhex(key.digest)
        yield Key(key_id, organisation_id, salt, digest)


def build_queue(name: str, queue: QueueDocument) -> Queue:
    """Convert a queue of the document."""
    return Queue(
        name,
        queue.pool,
        queue.kind,
        queue.open_to_all,
        frozenset(queue.organisations),
        queue.max_queued,
        queue.idempotent,
        queue.answer_retention_s,
        queue.retry_budget_percent,
        queue.hedge_budget_percent,
    )


def canonical_json(document: Mapping[str, Any]) -> str:
    """Serialise a document so that equal documents give equal text."""
    return json.dumps(document, sort_keys=True, separators=(",", ":"))
