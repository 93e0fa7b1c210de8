"""Outcomes of the changes that an operator makes.

``--json`` prints the names of these classes in snake case and their fields.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .appending import NotAccepted, OutcomeUnknown
from .difference import Change
from .log_view import PublishedChange
from .problems import Problem


@dataclass(frozen=True, slots=True)
class Published:
    """The change is accepted as ``version``.

    ``not_handed`` has the address of each entry to which the batch could not be sent
    directly, with the reason; such an entry reads the batch from the log.
    """

    version: int
    changes: tuple[Change, ...] = ()
    not_handed: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class NothingToChange:
    """The document equals the one in force, so nothing was published."""

    version: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The document has errors or unaccepted warnings, so nothing was published."""

    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class LostRace:
    """The expected version is not in force; nothing of this change took effect.

    Usually another operator has published first. ``version`` is the one in force, and
    ``winners`` are the changes after the expected version, oldest first. There are
    none if the expected version does not exist yet.
    """

    expected_version: int
    version: int
    winners: tuple[PublishedChange, ...]


@dataclass(frozen=True, slots=True)
class NoEffect:
    """The batch is in the log, but its record had no effect when replayed."""

    reason: str


@dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The log could not be read; nothing was published."""

    reason: str


@dataclass(frozen=True, slots=True)
class PartlyPublished:
    """Of a change that needs several batches, only the first ones took effect.

    The first ``parts`` of ``all_parts`` batches took effect, and ``version`` is in
    force. ``stopped_by`` is the outcome of the batch after them.
    """

    version: int
    parts: int
    all_parts: int
    stopped_by: LostRace | NoEffect | NotAccepted | OutcomeUnknown


PublishResult = (
    Published
    | PartlyPublished
    | NothingToChange
    | Rejected
    | LostRace
    | NoEffect
    | NotAccepted
    | OutcomeUnknown
    | LogUnavailable
)


@dataclass(frozen=True, slots=True)
class InForce:
    """Every entry has this version or a newer one."""

    version: int


@dataclass(frozen=True, slots=True)
class NotYetInForce:
    """Some entries do not have the version yet.

    ``missing`` has the address of each such entry, with its state as a text.
    """

    version: int
    missing: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class WaveChanged:
    """The command took effect on the wave.

    ``not_handed`` is as in ``Published``.
    """

    not_handed: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WaveRefused:
    """The wave is in a state that does not allow the command."""

    reason: str


WaveResult = WaveChanged | WaveRefused | NotAccepted | OutcomeUnknown | LogUnavailable
