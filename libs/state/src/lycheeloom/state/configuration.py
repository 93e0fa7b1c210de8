"""The published configuration document and its version."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from lycheeloom.model.config import (
    ConfigError,
    FleetConfig,
    merge_patch,
    parse_config,
)
from lycheeloom.model.records import ConfigChanged

# Changes kept for telling an operator who published what.
HISTORY_LENGTH = 100


@dataclass(slots=True)
class ConfigChange:
    """One accepted change of the configuration."""

    version: int
    operator: str
    patch: str
    offset: int


@dataclass(slots=True)
class Configuration:
    """The document in force; kept as published, with fields of newer programs."""

    version: int = 0
    document: dict[str, Any] = field(default_factory=dict)
    history: list[ConfigChange] = field(default_factory=list)

    def propose(self, record: ConfigChanged) -> tuple[dict, FleetConfig] | None:
        """Return the changed document and configuration, or None if invalid."""
        if record.expected_version != self.version:
            return None
        try:
            patch = json.loads(record.patch)
        except ValueError:
            return None
        document = merge_patch(self.document, patch)
        config = parse_config(document, self.version + 1)
        if isinstance(config, ConfigError):
            return None
        return document, config

    def adopt(self, offset: int, record: ConfigChanged, document: dict) -> None:
        """Put a proposed document in force."""
        self.version += 1
        self.document = document
        self.history.append(
            ConfigChange(self.version, record.operator, record.patch, offset)
        )
        del self.history[:-HISTORY_LENGTH]
