"""Loading of TOML settings with exact messages."""

from .loading import ADDRESS_PATTERN, BadSettings, load_settings, split_address

__all__ = ["ADDRESS_PATTERN", "BadSettings", "load_settings", "split_address"]
