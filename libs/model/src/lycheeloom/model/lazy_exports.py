"""Exports of a package whose modules are imported on first use."""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from importlib import import_module


def lazy_exports(
    package: str, module_by_name: Mapping[str, str]
) -> Callable[[str], object]:
    """Return a ``__getattr__`` for a package that exports names of its modules.

    With ``__getattr__ = lazy_exports(__name__, {"Transport": "transport"})``, the first
    use of ``Transport`` imports the module ``transport`` of the package. A process thus
    loads only the modules that it needs, which matters when many processes start at the
    same time after a loss of power.
    """

    def get(name: str) -> object:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(f".{module}", package), name)
        setattr(sys.modules[package], name, value)
        return value

    return get
