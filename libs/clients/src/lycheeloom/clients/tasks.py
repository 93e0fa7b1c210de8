"""Requests to workers, and their reports on tasks, sessions and usage."""

from __future__ import annotations

from base64 import b64decode
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from lycheeloom.model.resources import Resources


class TaskStatus(StrEnum):
    """State of a task as its worker reports it."""

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
    """A request to start one task; ``task`` is the request id and the attempt.

    ``lease_s`` and ``run_s`` are in seconds. With ``wait``, the worker responds
    when the task has ended, otherwise at once. If ``checkpoint`` is set, the task
    resumes from this checkpoint of an earlier attempt.
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
    """A session at a worker, which accepts starts in its name until it lapses."""

    id: str
    boot_id: str
    draining: bool
    free: Resources


@dataclass(frozen=True, slots=True)
class TaskReport:
    """State of a task; unless it is ``UNKNOWN``, the task has run or is running.

    ``answer`` is the complete answer of a task that has ended. ``checkpoint`` is
    where another attempt can resume a checkpointed task.
    """

    task: str
    status: TaskStatus
    boot_id: str
    free: Resources
    answer: bytes = b""
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The start certainly had no effect.

    ``free`` is what the worker has free, or None if it did not report that.
    """

    reason: StartRefusal
    free: Resources | None = None


@dataclass(frozen=True, slots=True)
class StartUnknown:
    """The task may have run, may be running or may yet start.

    Call ``WorkerClient.status`` to find out.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class ActionRefused:
    """A worker or the instance service refused an action on a task or instance."""

    reason: str


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """Resources that one task used at the time of the report."""

    task: str
    organisation: str
    queue: str
    used: Resources
    ran_s: float


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage of the running tasks of a worker as it was ``age_s`` seconds ago."""

    boot_id: str
    age_s: float
    tasks: tuple[TaskUsage, ...]


def parse_resources(document: dict[str, Any]) -> Resources:
    """Parse resources; raises KeyError or TypeError if malformed."""
    return Resources(document["cores"], document["memory_mb"], document["accelerators"])


def parse_session(document: dict[str, Any]) -> Session:
    """Parse a session; raises KeyError or TypeError if malformed."""
    return Session(
        document["session"],
        document["boot_id"],
        document["draining"],
        parse_resources(document["free"]),
    )


def parse_report(document: dict[str, Any]) -> TaskReport:
    """Parse a task report; raises KeyError, TypeError or ValueError if malformed."""
    return TaskReport(
        document["task"],
        TaskStatus(document["status"]),
        document["boot_id"],
        parse_resources(document["free"]),
        b64decode(document.get("answer", "")),
        document.get("checkpoint", ""),
    )


def parse_usage(document: dict[str, Any]) -> UsageReport:
    """Parse a usage report; raises KeyError or TypeError if malformed."""
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
