"""What a worker says about tasks, sessions and usage."""

from __future__ import annotations

from base64 import b64decode
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from lycheeloom.model.resources import Resources


class TaskStatus(StrEnum):
    """State of a task at a worker."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


class StartRefusal(StrEnum):
    """Why a start certainly had no effect."""

    LEASE_LAPSED = "lease_lapsed"
    NO_CAPACITY = "no_capacity"
    DRAINING = "draining"
    BAD_REQUEST = "bad_request"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class TaskStart:
    """A start of one task; ``task`` is the request id and the attempt.

    ``lease_s`` and ``run_s`` are in seconds. With ``wait`` the worker answers when
    the task has ended, else at once. ``checkpoint`` resumes an earlier attempt.
    """

    task: str
    session: str
    organisation: str
    queue: str
    payload: bytes
    resources: Resources
    lease_s: float
    run_s: float = 0.0
    request_id: str = ""
    checkpoint: str = ""
    wait: bool = True


@dataclass(frozen=True, slots=True)
class Session:
    """A worker session: starts that name it are accepted until it lapses."""

    id: str
    boot_id: str
    draining: bool
    free: Resources


@dataclass(frozen=True, slots=True)
class TaskReport:
    """What the worker says about a task; the task ran unless it is unknown.

    ``answer`` is the whole answer of an ended task, ``checkpoint`` the point to
    resume from.
    """

    task: str
    status: TaskStatus
    boot_id: str
    free: Resources
    answer: bytes = b""
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class StartRefused:
    """Proof that the start had no effect. ``free`` is None if not reported."""

    reason: StartRefusal
    free: Resources | None = None


@dataclass(frozen=True, slots=True)
class StartUnknown:
    """The task may have run, be running or still start; ask for its status."""

    reason: str


@dataclass(frozen=True, slots=True)
class ActionRefused:
    """The worker or instance list refused an action on a task or instance."""

    reason: str


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """What one task used at the time of the report."""

    task: str
    organisation: str
    queue: str
    used: Resources
    ran_s: float


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage of the running tasks as it was ``age_s`` ago."""

    boot_id: str
    age_s: float
    tasks: tuple[TaskUsage, ...]


def parse_resources(document: dict[str, Any]) -> Resources:
    """Read resources; raises KeyError or TypeError if malformed."""
    return Resources(document["cores"], document["memory_mb"], document["accelerators"])


def parse_session(document: dict[str, Any]) -> Session:
    """Read a session; raises KeyError or TypeError if malformed."""
    return Session(
        document["session"],
        document["boot_id"],
        document["draining"],
        parse_resources(document["free"]),
    )


def parse_report(document: dict[str, Any]) -> TaskReport:
    """Read a task report; raises KeyError, TypeError or ValueError."""
    return TaskReport(
        document["task"],
        TaskStatus(document["status"]),
        document["boot_id"],
        parse_resources(document["free"]),
        b64decode(document.get("answer", "")),
        document.get("checkpoint", ""),
    )


def parse_usage(document: dict[str, Any]) -> UsageReport:
    """Read a usage report; raises KeyError or TypeError if malformed."""
    return UsageReport(
        document["boot_id"],
        document["age_ms"] / 1000,
        tuple(_parse_task_usage(task) for task in document["tasks"]),
    )


def _parse_task_usage(document: dict[str, Any]) -> TaskUsage:
    return TaskUsage(
        document["task"],
        document["organisation"],
        document["queue"],
        parse_resources(document),
        document["ran_ms"] / 1000,
    )
