"""Typed decisions of the planner and the sentences that describe them."""

from __future__ import annotations

from dataclasses import dataclass

from lycheeloom.model.records import Health, MoveStage

from .budgets import Limit, LimitKind
from .moves import Wait


@dataclass(frozen=True, slots=True)
class MoveStarted:
    """An instance was chosen for a move."""

    instance: str
    pool: str
    to_pool: str
    reboot: bool
    reason: str


@dataclass(frozen=True, slots=True)
class MoveAdvanced:
    """A move has reached a further stage."""

    instance: str
    pool: str
    stage: MoveStage


@dataclass(frozen=True, slots=True)
class MoveWaits:
    """A move cannot go on yet."""

    instance: str
    pool: str
    wait: Wait
    limit: Limit | None = None


@dataclass(frozen=True, slots=True)
class MoveEnded:
    """A move has joined its pool or was abandoned."""

    instance: str
    pool: str
    stage: MoveStage
    reason: str = ""


@dataclass(frozen=True, slots=True)
class NotChosen:
    """An instance was left in service for now."""

    instance: str
    pool: str
    limit: Limit


@dataclass(frozen=True, slots=True)
class MaintenanceHeld:
    """No wave and no repair starts anything because of a correlated failure."""

    place: str
    lost: int
    until_s: float
    instances: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PlaceLost:
    """A rack or zone failed as one event.

    ``instances`` are those that were not known to be lost before.
    """

    place: str
    lost: int
    instances: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ObserverDoubted:
    """Too much of the fleet looks silent for the reports to be believed."""

    silent: int
    total: int


@dataclass(frozen=True, slots=True)
class HealthDecided:
    """The health of an instance was changed."""

    instance: str
    pool: str
    health: Health
    reason: str


@dataclass(frozen=True, slots=True)
class BufferShort:
    """The fleet lacks instances; moves cannot mend it."""

    place: str
    lacking: int
    size: str


Event = (
    MoveStarted
    | MoveAdvanced
    | MoveWaits
    | MoveEnded
    | NotChosen
    | MaintenanceHeld
    | PlaceLost
    | ObserverDoubted
    | HealthDecided
    | BufferShort
)

_STAGE_TEXT = {
    MoveStage.PLANNED: "is planned to leave service",
    MoveStage.DRAINING: "gets no new work and finishes what it is running",
    MoveStage.DRAINED: "has finished its work",
    MoveStage.REBOOTING: "is being rebooted",
    MoveStage.JOINED: "is back in service",
    MoveStage.ABANDONED: "stays where it was",
}
_WAIT_TEXT = {
    Wait.NOTHING: "the next step",
    Wait.BUDGET: "room in the availability budget",
    Wait.LIST: "a new list of instances from the platform",
    Wait.PLATFORM: "the platform to finish the last step",
    Wait.WORK: "its running work to end or to be checkpointed",
    Wait.COUNT: "a report of how much work it is running",
    Wait.RETRY: "the next try, because the platform refused the last one",
}
_HEALTH_TEXT = {
    Health.IN_SERVICE: "is in normal service",
    Health.PROBATION: "is on probation and gets single trial tasks only",
    Health.REBOOTING: "is taken out to be rebooted",
    Health.GIVEN_UP: "has been given up and needs a person to look at it",
}


def describe(event: Event) -> str:
    """Describe a decision in one sentence for people who do not program."""
    match event:
        case MoveStarted():
            return _started(event)
        case MoveAdvanced():
            return f"Instance {event.instance} {_STAGE_TEXT[event.stage]}."
        case MoveWaits():
            text = f"Instance {event.instance} waits for {_WAIT_TEXT[event.wait]}"
            return f"{text}{_because(event.limit)}."
        case MoveEnded(stage=MoveStage.JOINED):
            but = f", but {event.reason}" if event.reason else ""
            return f"Instance {event.instance} is in service in pool {event.pool}{but}."
        case MoveEnded():
            return (
                f"The change of instance {event.instance} was called off and it stays"
                f" in pool {event.pool}{_with_reason(event.reason)}."
            )
        case NotChosen():
            return (
                f"Instance {event.instance} of pool {event.pool} stays in service"
                f" for now{_because(event.limit)}."
            )
        case MaintenanceHeld():
            return (
                f"Maintenance and repair are on hold because {event.lost} instances"
                f" in {event.place} failed together."
            )
        case PlaceLost():
            return (
                f"{event.place.capitalize()} failed: {event.lost} instances stopped"
                " together, and this is treated as one event."
            )
        case ObserverDoubted():
            return (
                f"{event.silent} of {event.total} instances look silent; that is too"
                " many to be believed, so nothing is rebooted."
            )
        case HealthDecided():
            return (
                f"Instance {event.instance} of pool {event.pool}"
                f" {_HEALTH_TEXT[event.health]}{_with_reason(event.reason)}."
            )
        case BufferShort():
            return _short(event)


def _started(event: MoveStarted) -> str:
    what = "to be rebooted" if event.reboot else "to change pools"
    if event.to_pool != event.pool:
        what = f"to go from pool {event.pool} to pool {event.to_pool}"
        what += " with a reboot" if event.reboot else ""
    return f"Instance {event.instance} was chosen {what}{_with_reason(event.reason)}."


def _short(event: BufferShort) -> str:
    when = f"if {event.place} were lost" if event.place else "now"
    return (
        f"The fleet is short of {event.lacking} instances with {event.size} {when};"
        " moving instances between pools cannot mend this."
    )


def _with_reason(reason: str) -> str:
    return f", because {reason}" if reason else ""


def _because(limit: Limit | None) -> str:
    if limit is None:
        return ""
    out, allowed, scope = limit.out, limit.allowed, limit.scope
    match limit.kind:
        case LimitKind.POOL:
            rule = f"{out} of at most {allowed} instances of pool {scope} are out"
        case LimitKind.RACK:
            rule = f"{out} of at most {allowed} of its pool in rack {scope} are out"
        case LimitKind.ZONE:
            rule = f"{out} of at most {allowed} instances in zone {scope} are out"
        case LimitKind.NEED:
            rule = f"pool {scope} has {out} in service and needs {allowed}"
        case LimitKind.LAST_SPARE:
            rule = "that would use the last spare instance"
    return f", because {rule}"
