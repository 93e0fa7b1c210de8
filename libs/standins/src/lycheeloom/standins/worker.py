"""Stand-in for a worker: sessions, task leases, capacity, usage and ledger."""

from __future__ import annotations

import json
import secrets
import time
from base64 import b64decode, b64encode
from collections import deque
from typing import Any
from urllib.parse import unquote

from .server import Reply, Request, StandIn, error_reply
from .tasks import Amount, Task, TaskStatus, parse_work, spawn_task

# How long ended tasks are kept for usage reports, which may lag.
USAGE_RETENTION_S = 60.0
# How long answers of ended tasks are kept; their status is kept until a reboot.
ANSWER_RETENTION_S = 300.0
TASK_ACTIONS = ("renew", "cancel", "checkpoint", "throttle", "stop")


class WorkerStandIn(StandIn):
    """A worker that simulates tasks by waiting for their duration.

    ``default_work_s`` is the duration of a task whose payload gives none, in seconds.
    The answer of a task is its payload. ``ledger`` records every task start.
    """

    def __init__(
        self,
        name: str = "worker",
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        zone: str = "z1",
        rack: str = "r1",
        capacity: Amount | None = None,
        default_work_s: float = 0.0,
    ) -> None:
        super().__init__(name, host, port)
        self.zone = zone
        self.rack = rack
        self.capacity = capacity or Amount(64, 256 * 1024, 0)
        self.default_work_s = default_work_s
        self.draining = False
        self.boot_id = secrets.token_hex(8)
        self.ledger: list[Task] = []
        self.running: dict[str, Task] = {}
        self._used = Amount()
        self._task_by_id: dict[str, Task] = {}
        self._expires_at_by_session: dict[str, float] = {}
        self._recently_ended: deque[Task] = deque()
        self._tasks_with_answer: deque[Task] = deque()

    # HTTP requests.

    def handle(self, request: Request) -> Reply:
        path = request.path
        if path.startswith("/v1/tasks/"):
            return self._handle_task(request, path[len("/v1/tasks/") :])
        match request.method, path:
            case "POST", "/v1/sessions":
                return self._open_session(request)
            case "GET", "/v1/usage":
                return Reply(200, self.usage())
            case "GET", "/v1/ledger":
                return Reply(200, {"starts": self.ledger_entries()})
        return error_reply(404, "not_found")

    def _handle_task(self, request: Request, rest: str) -> Reply:
        task_id, _, action = rest.partition("/")
        task_id = unquote(task_id)
        if request.method == "GET" and not action:
            return self._status_reply(task_id)
        document = request.document()
        if request.method != "POST" or document is None:
            return error_reply(400, "expected a JSON object")
        if not action:
            return self._handle_start(task_id, document, request.traceparent)
        if action not in TASK_ACTIONS:
            return error_reply(404, "not_found")
        task = self._task_by_id.get(task_id)
        if task is not None and task.status is TaskStatus.RUNNING:
            refusal = self._apply_action(task, action, document)
            if refusal is not None:
                return refusal
        return self._status_reply(task_id)

    def _open_session(self, request: Request) -> Reply:
        document = request.document()
        try:
            ttl_s = float(document["ttl_ms"]) / 1000
        except (TypeError, KeyError, ValueError):
            return error_reply(400, "ttl_ms must be a number")
        now = time.monotonic()
        session = document.get("session") or secrets.token_hex(8)
        if self._session_expired(session, now):
            session = secrets.token_hex(8)
        self._drop_expired_sessions(now)
        self._expires_at_by_session[session] = now + ttl_s
        document = {
            "session": session,
            "boot_id": self.boot_id,
            "draining": self.draining,
            "free": self._free_resources(),
        }
        return Reply(200, document)

    def _session_expired(self, session: str, now: float) -> bool:
        """Return whether a session is unknown or has expired."""
        return now >= self._expires_at_by_session.get(session, now)

    def _drop_expired_sessions(self, now: float) -> None:
        expires_at_by_session = self._expires_at_by_session
        for session in [s for s, at in expires_at_by_session.items() if at <= now]:
            del expires_at_by_session[session]

    def _handle_start(
        self, task_id: str, document: dict[str, Any], traceparent: str
    ) -> Reply:
        now = time.monotonic()
        if task_id in self._task_by_id:
            return self._refuse("duplicate")
        if self.draining:
            return self._refuse("draining")
        if self.faults.lapse_leases or self._session_expired(
            document.get("session", ""), now
        ):
            return self._refuse("lease_lapsed")
        try:
            task = self._parse_task(task_id, document, now)
        except (KeyError, TypeError, ValueError) as error:
            return error_reply(400, f"bad field: {error}")
        if not self._fits(task.resources):
            return self._refuse("no_capacity")
        task.traceparent = traceparent
        self._start_task(task)
        if task.ended is None:
            return self._status_reply(task_id)
        if document.get("wait", True):
            task.ended.wait()
            return self._task_reply(200, task)
        return self._task_reply(202, task)

    def _parse_task(self, task_id: str, document: dict[str, Any], now: float) -> Task:
        payload = b64decode(document.get("payload", ""))
        resources = Amount(**document.get("resources", {}))
        lease_s = float(document["lease_ms"]) / 1000
        organisation = document["organisation"]
        if not isinstance(organisation, str) or lease_s <= 0:
            raise ValueError("organisation must be a string and lease_ms positive")
        if min(resources.cores, resources.memory_mb, resources.accelerators) < 0:
            raise ValueError("resources must not be negative")
        request_id = document.get("request_id") or task_id.rpartition(".")[0]
        work = parse_work(payload, self.default_work_s)
        task = Task(
            task_id,
            request_id,
            organisation,
            document.get("queue", ""),
            resources,
            work,
            payload,
            now,
            now + lease_s,
            progress_updated_at=now,
        )
        if document.get("checkpoint"):
            task.worked_s = float(json.loads(document["checkpoint"])["worked_s"])
        return task

    def _fits(self, resources: Amount) -> bool:
        used, total = self._used, self.capacity
        return (
            used.cores + resources.cores <= total.cores
            and used.memory_mb + resources.memory_mb <= total.memory_mb
            and used.accelerators + resources.accelerators <= total.accelerators
        )

    def _start_task(self, task: Task) -> None:
        self._task_by_id[task.id] = task
        self.ledger.append(task)
        self.running[task.id] = task
        self._adjust_used(task.resources, 1)
        if self.faults.fail_all:
            self._finish_task(task, TaskStatus.FAILED)
        elif task.work.duration_s <= task.worked_s:
            failed = task.work.fails
            self._finish_task(task, TaskStatus.FAILED if failed else TaskStatus.DONE)
        else:
            spawn_task(task, self._finish_task)

    def _finish_task(self, task: Task, status: TaskStatus) -> None:
        if self.running.pop(task.id, None) is None:
            return
        now = time.monotonic()
        task.status = status
        task.ended_at = now
        self._adjust_used(task.resources, -1)
        self._recently_ended.append(task)
        while self._recently_ended[0].ended_at < now - USAGE_RETENTION_S:
            self._recently_ended.popleft()
        self._tasks_with_answer.append(task)
        while self._tasks_with_answer[0].ended_at < now - ANSWER_RETENTION_S:
            self._tasks_with_answer.popleft().answer = b""
        if task.ended is not None:
            task.notify_change()
            task.ended.set()

    def _apply_action(
        self, task: Task, action: str, document: dict[str, Any]
    ) -> Reply | None:
        match action:
            case "renew":
                return self._renew(task, document)
            case "throttle":
                return self._throttle(task, document)
            case "checkpoint":
                task.update_progress(time.monotonic())
                self._finish_task(task, TaskStatus.CHECKPOINTED)
            case "stop" | "cancel":
                self._finish_task(task, TaskStatus.STOPPED)
        return None

    def _renew(self, task: Task, document: dict[str, Any]) -> Reply | None:
        try:
            lease_s = float(document["lease_ms"]) / 1000
        except (KeyError, TypeError, ValueError):
            return error_reply(400, "lease_ms must be a number")
        now = time.monotonic()
        if self._session_expired(document.get("session", ""), now):
            return self._refuse("lease_lapsed")
        if not self.faults.lapse_leases:
            task.lease_until = now + lease_s
            task.notify_change()
        return None

    def _throttle(self, task: Task, document: dict[str, Any]) -> Reply | None:
        """Set the fraction of full speed and requested cores that a task gets."""
        fraction = document.get("fraction")
        if not isinstance(fraction, int | float) or not 0 < fraction <= 1:
            return error_reply(400, "fraction must be above 0 and at most 1")
        cores = task.resources.cores / task.rate * fraction
        if not self._fits(Amount(cores - task.resources.cores)):
            return self._refuse("no_capacity")
        task.update_progress(time.monotonic())
        self._used.cores += cores - task.resources.cores
        task.resources.cores = cores
        task.rate = fraction
        task.notify_change()
        return None

    # State and reports.

    def drain(self) -> None:
        """Refuse new tasks; running tasks continue."""
        self.draining = True

    def undrain(self) -> None:
        self.draining = False

    def reboot(self) -> None:
        """Stop all tasks and forget sessions and tasks; the ledger is kept."""
        self.boot_id = secrets.token_hex(8)
        for task in list(self.running.values()):
            self._finish_task(task, TaskStatus.STOPPED)
        self._task_by_id.clear()
        self._expires_at_by_session.clear()

    def set_faults(self, **changes: Any) -> None:
        """Change faults; ``lapse_leases`` ends all sessions and tasks at once."""
        super().set_faults(**changes)
        if not self.faults.lapse_leases:
            return
        self._expires_at_by_session.clear()
        for task in list(self.running.values()):
            self._finish_task(task, TaskStatus.STOPPED)

    def usage(self) -> dict[str, Any]:
        """Return the tasks that were running ``lag_ms`` ago and what they used."""
        at = time.monotonic() - self.faults.lag_ms / 1000
        tasks = [*self._recently_ended, *self.running.values()]
        return {
            "boot_id": self.boot_id,
            "age_ms": self.faults.lag_ms,
            "tasks": [
                _usage_entry(task, at) for task in tasks if _was_running_at(task, at)
            ],
        }

    def ledger_entries(self) -> list[dict[str, Any]]:
        """Return every task start so far, including those before a reboot."""
        return [self._ledger_entry(task) for task in self.ledger]

    def _ledger_entry(self, task: Task) -> dict[str, Any]:
        return {
            "worker": self.name,
            "zone": self.zone,
            "task": task.id,
            "request_id": task.request_id,
            "organisation": task.organisation,
            "queue": task.queue,
            "traceparent": task.traceparent,
            "call": task.work.call,
            "status": task.status,
            "started_at": task.started_at,
            "ended_at": task.ended_at,
        }

    def _adjust_used(self, resources: Amount, sign: int) -> None:
        used = self._used
        used.cores += sign * resources.cores
        used.memory_mb += sign * resources.memory_mb
        used.accelerators += sign * resources.accelerators

    def _free_resources(self) -> dict[str, Any]:
        used, total = self._used, self.capacity
        return {
            "cores": total.cores - used.cores,
            "memory_mb": total.memory_mb - used.memory_mb,
            "accelerators": total.accelerators - used.accelerators,
        }

    def _status_reply(self, task_id: str) -> Reply:
        task = self._task_by_id.get(task_id)
        if task is not None:
            return self._task_reply(200, task)
        document = {
            "task": task_id,
            "status": TaskStatus.UNKNOWN,
            "boot_id": self.boot_id,
            "free": self._free_resources(),
        }
        return Reply(200, document)

    def _task_reply(self, status: int, task: Task) -> Reply:
        document = {
            "task": task.id,
            "status": task.status,
            "boot_id": self.boot_id,
            "free": self._free_resources(),
        }
        if task.status is TaskStatus.CHECKPOINTED:
            document["checkpoint"] = json.dumps({"worked_s": task.worked_s})
        elif task.status in (TaskStatus.DONE, TaskStatus.FAILED):
            document["answer"] = b64encode(task.answer).decode()
        return Reply(status, document)

    def _refuse(self, reason: str) -> Reply:
        return Reply(409, {"reason": reason, "free": self._free_resources()})


def _was_running_at(task: Task, at: float) -> bool:
    ended = task.ended_at
    return task.started_at <= at and (ended is None or ended > at)


def _usage_entry(task: Task, at: float) -> dict[str, Any]:
    work = task.work
    cores, memory_mb = task.resources.cores, task.resources.memory_mb
    return {
        "task": task.id,
        "organisation": task.organisation,
        "queue": task.queue,
        "cores": cores if work.used_cores is None else work.used_cores,
        "memory_mb": memory_mb if work.used_memory_mb is None else work.used_memory_mb,
        "accelerators": task.resources.accelerators,
        "ran_ms": round((at - task.started_at) * 1000),
    }
