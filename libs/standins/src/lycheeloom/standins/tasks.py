"""Tasks of a worker stand-in: their payload, progress and end."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import gevent
from gevent.event import Event


class TaskStatus(StrEnum):
    """State of a task at a worker."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


@dataclass(slots=True)
class Amount:
    """An amount of processors, memory and accelerators."""

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def as_dict(self) -> dict[str, Any]:
        return {
            "cores": self.cores,
            "memory_mb": self.memory_mb,
            "accelerators": self.accelerators,
        }


@dataclass(frozen=True, slots=True)
class SimulatedWork:
    """What a task is to simulate, as its payload says.

    A payload that is a JSON object can give the duration (``work_ms``), whether the
    task fails at its end (``fail``), the resources that usage reports show instead of
    the requested ones (``used_cores``, ``used_memory_mb``) and an id chosen by the
    caller (``call``), which the ledger records. Any other payload means a successful
    task of the default duration.
    """

    duration_s: float
    fails: bool = False
    used_cores: float | None = None
    used_memory_mb: int | None = None
    call: str = ""


def parse_work(payload: bytes, default_s: float) -> SimulatedWork:
    """Parse a payload; an invalid one means work of the default duration."""
    if not payload.startswith(b"{"):
        return SimulatedWork(default_s)
    try:
        document = json.loads(payload)
        return SimulatedWork(
            float(document.get("work_ms", default_s * 1000)) / 1000,
            bool(document.get("fail", False)),
            document.get("used_cores"),
            document.get("used_memory_mb"),
            str(document.get("call", "")),
        )
    except (ValueError, TypeError):
        return SimulatedWork(default_s)


@dataclass(slots=True, eq=False)
class Task:
    """One start of a task; times are from the monotonic clock, in seconds.

    ``worked_s`` is the work done until ``progress_updated_at``, in seconds at full
    speed; ``rate`` is the current fraction of full speed. ``changed`` wakes the
    greenlet that runs the task; it and ``ended`` are None if the task ended at its
    start.
    """

    id: str
    request_id: str
    organisation: str
    queue: str
    resources: Amount
    work: SimulatedWork
    answer: bytes
    started_at: float
    lease_until: float
    traceparent: str = ""
    ended_at: float | None = None
    status: TaskStatus = TaskStatus.RUNNING
    rate: float = 1.0
    worked_s: float = 0.0
    progress_updated_at: float = 0.0
    changed: Event | None = None
    ended: Event | None = None

    def update_progress(self, now: float) -> None:
        """Add the work done since the last update at the current rate."""
        self.worked_s += (now - self.progress_updated_at) * self.rate
        self.progress_updated_at = now

    def remaining_s(self, now: float) -> float:
        """Update the progress and return the time left at the current rate."""
        self.update_progress(now)
        return (self.work.duration_s - self.worked_s) / self.rate

    def notify_change(self) -> None:
        """Make the greenlet that runs the task re-read its lease, rate and status."""
        if self.changed is not None:
            self.changed.set()


def run_task(task: Task) -> TaskStatus:
    """Wait until the work is done, the lease expires or the task is stopped."""
    while task.status is TaskStatus.RUNNING:
        now = time.monotonic()
        if now >= task.lease_until:
            return TaskStatus.STOPPED
        remaining_s = task.remaining_s(now)
        if remaining_s <= 0:
            return TaskStatus.FAILED if task.work.fails else TaskStatus.DONE
        task.changed.clear()
        task.changed.wait(min(remaining_s, task.lease_until - now))
    return task.status


def spawn_task(task: Task, on_finished: Any) -> None:
    """Run a task in its own greenlet and call ``on_finished(task, status)`` after."""
    task.changed = Event()
    task.ended = Event()
    gevent.spawn(_run_and_report, task, on_finished)


def _run_and_report(task: Task, on_finished: Any) -> None:
    on_finished(task, run_task(task))
