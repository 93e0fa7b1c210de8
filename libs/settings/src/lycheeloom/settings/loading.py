"""Loading of a TOML settings file into a validated pydantic model."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

ADDRESS_PATTERN = r"^[^:\s]+:\d{1,5}$"
Model = TypeVar("Model", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class BadSettings:
    """A settings file cannot be used; one line for each problem."""

    problems: tuple[str, ...]


def load_settings(path: Path, model: type[Model]) -> Model | BadSettings:
    """Read and validate a settings file; return all problems if there are any."""
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        return BadSettings((f"{path}: cannot be read: {error.strerror}",))
    except ValueError as error:
        return BadSettings((f"{path}: is not TOML: {error}",))
    try:
        return model.model_validate(document)
    except ValidationError as error:
        allowed = ", ".join(model.model_fields)
        return BadSettings(
            tuple(f"{path}: {_describe(item, allowed)}" for item in error.errors())
        )


def split_address(address: str) -> tuple[str, int]:
    """Return host and port: ``"127.0.0.1:80"`` gives ``("127.0.0.1", 80)``.

    Raises ``ValueError`` if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def _describe(item: Mapping[str, Any], allowed: str) -> str:
    key = ".".join(str(part) for part in item["loc"])
    if item["type"] == "extra_forbidden":
        return f"{key}: unknown key; allowed: {allowed}"
    if item["type"] == "missing":
        return f"{key}: is missing"
    return f"{key}: {item['msg']}, got {item['input']!r}"
