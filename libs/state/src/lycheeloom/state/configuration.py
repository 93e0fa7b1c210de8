"""The published configuration document and its version."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from lycheeloom.model.config import (
    ConfigError,
    FleetConfig,
    change_config,
    merge_patch,
)
from lycheeloom.model.records import ConfigChanged

# The latest changes are kept so that operators can see who published what.
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
    """The document in force and its latest changes.

    The document is kept as published, including fields that only newer program
    versions know.
    """

    version: int = 0
    document: dict[str, Any] = field(default_factory=dict)
    history: list[ConfigChange] = field(default_factory=list)

    def prepare_change(
        self, record: ConfigChanged, config: FleetConfig
    ) -> tuple[dict, FleetConfig] | None:
        """Return the document and configuration after a change.

        Returns None if the change was made from another version or is invalid.
        ``config`` is the configuration in force.
        """
        if record.expected_version != self.version:
            return None
        try:
            patch = json.loads(record.patch)
        except ValueError:
            return None
        document = merge_patch(self.document, patch)
        changed = change_config(config, document, patch, self.version + 1)
        if isinstance(changed, ConfigError):
            return None
        return document, changed

    def commit_change(self, offset: int, record: ConfigChanged, document: dict) -> None:
        """Put the document of a prepared change in force as the next version."""
        self.version += 1
        self.document = document
        self.history.append(
            ConfigChange(self.version, record.operator, record.patch, offset)
        )
        del self.history[:-HISTORY_LENGTH]
