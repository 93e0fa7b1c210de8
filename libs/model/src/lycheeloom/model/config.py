"""Fleet configuration: the published document and its parsed form.

Operators publish a JSON document; programs work with a ``FleetConfig``.
``parse_config`` converts the whole document, ``change_config`` updates a
``FleetConfig`` for a patched document.
"""

from .config_change import change_config
from .config_document import (
    ConfigDocument,
    InstanceDocument,
    KeyDocument,
    OrganisationDocument,
    PoolDocument,
    QueueDocument,
    QueueKind,
    ZoneDocument,
    ZoneState,
)
from .config_parse import ConfigError, canonical_json, merge_patch, parse_config
from .fleet_config import FleetConfig, Instance, Key, Organisation, Pool, Queue, Zone

__all__ = [
    "ConfigDocument",
    "ConfigError",
    "FleetConfig",
    "Instance",
    "InstanceDocument",
    "Key",
    "KeyDocument",
    "Pool",
    "PoolDocument",
    "Queue",
    "QueueDocument",
    "QueueKind",
    "Organisation",
    "OrganisationDocument",
    "Zone",
    "ZoneDocument",
    "ZoneState",
    "canonical_json",
    "change_config",
    "merge_patch",
    "parse_config",
]
