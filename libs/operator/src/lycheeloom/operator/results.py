"""What became of a change that an operator made."""

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

    ``not_handed`` has the reason for each entry that did not take the batch
    directly; such an entry reads it from the log.
    """

    version: int
    changes: tuple[Change, ...] = ()
    not_handed: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class NothingToChange:
    """The document is in force already."""

    version: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The document has mistakes; nothing was published."""

    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class LostRace:
    """Another operator published first; nothing of this change took effect.

    ``winners`` are the changes since the expected version, the oldest first.
    """

    expected_version: int
    version: int
    winners: tuple[PublishedChange, ...]


@dataclass(frozen=True, slots=True)
class NoEffect:
    """The log took the batch, but replay gave it no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The log could not be read; nothing was published."""

    reason: str


@dataclass(frozen=True, slots=True)
class PartlyPublished:
    """A change larger than one batch took effect up to some part.

    ``stopped_by`` says what became of the next part.
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
    """Each entry has the version, or a newer one."""

    version: int


@dataclass(frozen=True, slots=True)
class NotYetInForce:
    """Some entries do not have the version yet, each with what is known."""

    version: int
    missing: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class WaveChanged:
    """The command to a wave took effect."""

    not_handed: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WaveRefused:
    """The wave is in a state that does not allow the command."""

    reason: str


WaveResult = WaveChanged | WaveRefused | NotAccepted | OutcomeUnknown | LogUnavailable
