"""Library and ``lycheeloom`` command for the operators of a fleet."""

from .appending import Clock, NotAccepted, OutcomeUnknown
from .checks import check_document
from .difference import Change, compare, make_patch
from .draft import Draft
from .entries import Entries, EntryClient, EntryUnavailable, Explanation
from .log_view import Log, LogView, PublishedChange
from .operator import Operator
from .problems import Problem, Severity
from .reference_checks import Usage
from .results import (
    InForce,
    LogUnavailable,
    LostRace,
    NoEffect,
    NothingToChange,
    NotYetInForce,
    PartlyPublished,
    Published,
    Rejected,
    WaveChanged,
    WaveRefused,
)
from .toml_reader import ConfigFile, read_config, read_config_text
from .toml_writer import print_config

__all__ = [
    "Change",
    "Clock",
    "ConfigFile",
    "Draft",
    "Entries",
    "EntryClient",
    "EntryUnavailable",
    "Explanation",
    "InForce",
    "Log",
    "LogUnavailable",
    "LogView",
    "LostRace",
    "NoEffect",
    "NotAccepted",
    "NotYetInForce",
    "NothingToChange",
    "Operator",
    "OutcomeUnknown",
    "PartlyPublished",
    "Problem",
    "Published",
    "PublishedChange",
    "Rejected",
    "Severity",
    "Usage",
    "WaveChanged",
    "WaveRefused",
    "check_document",
    "compare",
    "make_patch",
    "print_config",
    "read_config",
    "read_config_text",
]
