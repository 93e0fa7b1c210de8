"""Typed decisions of the planner and their descriptions for operators."""

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
    """A move entered its next stage."""

    instance: str
    pool: str
    stage: MoveStage


@dataclass(frozen=True, slots=True)
class MoveWaiting:
    """A move cannot proceed yet."""

    instance: str
    pool: str
    wait: Wait
    limit: Limit | None = None


@dataclass(frozen=True, slots=True)
class MoveEnded:
    """The instance joined its pool, or the move was abandoned."""

    instance: str
    pool: str
    stage: MoveStage
    reason: str = ""


@dataclass(frozen=True, slots=True)
class NotChosen:
    """A limit keeps an instance in service for now."""

    instance: str
    pool: str
    limit: Limit


@dataclass(frozen=True, slots=True)
class MaintenanceOnHold:
    """Waves and repair start nothing because of a correlated failure.

    ``lost`` counts the failed instances of ``domain``; ``until_s`` ends the hold.
    """

    domain: str
    lost: int
    until_s: float
    instances: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FailureDomainLost:
    """The instances of a rack or zone failed together.

    ``lost`` counts all failed instances of ``domain``, ``instances`` names those
    that have failed since the last step.
    """

    domain: str
    lost: int
    instances: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TooManySilent:
    """So many instances look silent that the silence is not credible."""

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
class BufferShortage:
    """The fleet lacks instances, which no move between pools can provide.

    ``domain`` is the rack or zone whose loss would leave it short; it is empty if
    instances are lacking already.
    """

    domain: str
    lacking: int
    size: str


Event = (
    MoveStarted
    | MoveAdvanced
    | MoveWaiting
    | MoveEnded
    | NotChosen
    | MaintenanceOnHold
    | FailureDomainLost
    | TooManySilent
    | HealthDecided
    | BufferShortage
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
    Wait.INSTANCE_LIST: "a new list of instances from the platform",
    Wait.PLATFORM: "the platform to finish the last step",
    Wait.RUNNING_TASKS: "its running work to end or to be checkpointed",
    Wait.TASK_COUNT: "a report of how much work it is running",
    Wait.RETRY: "the next try, because the platform refused the last one",
}
_HEALTH_TEXT = {
    Health.IN_SERVICE: "is in normal service",
    Health.PROBATION: "is on probation and gets single trial tasks only",
    Health.REBOOTING: "is taken out to be rebooted",
    Health.GIVEN_UP: "has been given up and needs a person to look at it",
}


def describe(event: Event) -> str:
    """Return a decision as one plain sentence for operators."""
    match event:
        case MoveStarted():
            return _describe_start(event)
        case MoveAdvanced():
            return f"Instance {event.instance} {_STAGE_TEXT[event.stage]}."
        case MoveWaiting():
            text = f"Instance {event.instance} waits for {_WAIT_TEXT[event.wait]}"
            return f"{text}{_because(event.limit)}."
        case MoveEnded(stage=MoveStage.JOINED):
            caveat = f", but {event.reason}" if event.reason else ""
            return (
                f"Instance {event.instance} is in service in pool {event.pool}{caveat}."
            )
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
        case MaintenanceOnHold():
            return (
                f"Maintenance and repair are on hold because {event.lost} instances"
                f" in {event.domain} failed together."
            )
        case FailureDomainLost():
            return (
                f"{event.domain.capitalize()} failed: {event.lost} instances stopped"
                " together, and this is treated as one event."
            )
        case TooManySilent():
            return (
                f"{event.silent} of {event.total} instances look silent; that is too"
                " many to be believed, so nothing is rebooted."
            )
        case HealthDecided():
            return (
                f"Instance {event.instance} of pool {event.pool}"
                f" {_HEALTH_TEXT[event.health]}{_with_reason(event.reason)}."
            )
        case BufferShortage():
            return _describe_shortage(event)


def _describe_start(event: MoveStarted) -> str:
    purpose = "to be rebooted" if event.reboot else "to change pools"
    if event.to_pool != event.pool:
        purpose = f"to go from pool {event.pool} to pool {event.to_pool}"
        purpose += " with a reboot" if event.reboot else ""
    return (
        f"Instance {event.instance} was chosen {purpose}{_with_reason(event.reason)}."
    )


def _describe_shortage(event: BufferShortage) -> str:
    condition = f"if {event.domain} were lost" if event.domain else "now"
    return (
        f"The fleet is short of {event.lacking} instances with {event.size}"
        f" {condition}; moving instances between pools cannot mend this."
    )


def _with_reason(reason: str) -> str:
    return f", because {reason}" if reason else ""


def _because(limit: Limit | None) -> str:
    if limit is None:
        return ""
    current, allowed, scope = limit.current, limit.allowed, limit.scope
    match limit.kind:
        case LimitKind.POOL:
            rule = f"{current} of at most {allowed} instances of pool {scope} are out"
        case LimitKind.RACK:
            rule = f"{current} of at most {allowed} of its pool in rack {scope} are out"
        case LimitKind.ZONE:
            rule = f"{current} of at most {allowed} instances in zone {scope} are out"
        case LimitKind.NEED:
            rule = f"pool {scope} has {current} in service and needs {allowed}"
        case LimitKind.LAST_SPARE:
            rule = "that would use the last spare instance"
    return f", because {rule}"
