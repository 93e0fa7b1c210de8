"""Stand-in for the platform's instance list and its drain and reboot actions.

The list shows changes only after a configurable lag.
"""

from __future__ import annotations

import secrets
import time
from collections import deque
from dataclasses import asdict, dataclass, replace
from typing import Any

import gevent

from .server import Reply, Request, StandIn, error_reply, split_path
from .worker import WorkerStandIn

ACTION_KINDS = ("drain", "undrain", "reboot")
DRAIN_POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance as the instance list shows it."""

    instance: str
    role: str
    address: str
    zone: str
    rack: str
    state: str = "live"
    boot_id: str = ""


@dataclass(slots=True)
class Action:
    """A drain, undrain or reboot of an instance.

    ``action`` is the id that the caller chose. A repeated request with the same id
    returns the existing action.
    """

    action: str
    instance: str
    kind: str
    state: str = "running"
    reason: str = ""


@dataclass(frozen=True, slots=True)
class _ListVersion:
    """The instance list from ``recorded_at`` (monotonic, s) until the next version."""

    recorded_at: float
    version: int
    instances: tuple[Instance, ...] = ()


class InstancesStandIn(StandIn):
    """The instance list, whose actions drain and reboot its worker stand-ins.

    ``reboot_s`` is how long a rebooting worker refuses connections, in seconds.
    """

    def __init__(
        self,
        name: str = "instances",
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        reboot_s: float = 0.0,
    ) -> None:
        super().__init__(name, host, port)
        self.reboot_s = reboot_s
        self._instance_by_id: dict[str, Instance] = {}
        self._worker_by_id: dict[str, WorkerStandIn] = {}
        # Includes removed workers, whose task starts stay in the ledger.
        self._all_workers: list[WorkerStandIn] = []
        self._action_by_id: dict[str, Action] = {}
        self._versions: deque[_ListVersion] = deque([_ListVersion(0.0, 0)])
        # Random, so that ETags of different processes never match.
        self._etag_prefix = secrets.token_hex(4)

    def add(self, instance: Instance) -> None:
        """Add or replace an instance that is not a worker stand-in."""
        self._instance_by_id[instance.instance] = instance
        self._record_version()

    def add_worker(self, worker: WorkerStandIn) -> None:
        """Add a worker stand-in under its name; it must have been started."""
        self._worker_by_id[worker.name] = worker
        if worker not in self._all_workers:
            self._all_workers.append(worker)
        self.add(
            Instance(
                worker.name,
                "worker",
                worker.address,
                worker.zone,
                worker.rack,
                boot_id=worker.boot_id,
            )
        )

    def remove(self, instance_id: str) -> None:
        """Remove an instance; the list shows it until the lag has passed."""
        self._instance_by_id.pop(instance_id, None)
        self._worker_by_id.pop(instance_id, None)
        self._record_version()

    def handle(self, request: Request) -> Reply:
        if self.faults.fail_all:
            return error_reply(500, "failed")
        match request.method, split_path(request.path):
            case "GET", ["instances"]:
                return self._handle_list(request.if_none_match)
            case "PUT", ["instances", instance_id]:
                return self._handle_put(instance_id, request)
            case "DELETE", ["instances", instance_id]:
                self.remove(instance_id)
                return Reply(200, {})
            case "POST", ["instances", instance_id, kind] if kind in ACTION_KINDS:
                return self._handle_action(instance_id, kind, request)
            case "GET", ["actions", action_id]:
                action = self._action_by_id.get(action_id)
                return (
                    error_reply(404, "unknown")
                    if action is None
                    else _action_reply(action)
                )
            case "GET", ["ledger"]:
                return Reply(200, {"starts": self.ledger_entries()})
        return error_reply(404, "not_found")

    def visible_instances(self) -> tuple[Instance, ...]:
        """Return the list as it was ``lag_ms`` ago."""
        return self._visible_version().instances

    def ledger_entries(self) -> list[dict[str, Any]]:
        """Return the task starts at all workers, ordered by time."""
        starts = [
            entry for worker in self._all_workers for entry in worker.ledger_entries()
        ]
        return sorted(starts, key=lambda entry: entry["started_at"])

    def _handle_list(self, known_etag: str) -> Reply:
        visible = self._visible_version()
        etag = f'"{self._etag_prefix}-{visible.version}"'
        headers = (("ETag", etag),)
        if known_etag == etag:
            return Reply(304, None, headers)
        instances = [asdict(instance) for instance in visible.instances]
        return Reply(200, {"instances": instances}, headers)

    def _visible_version(self) -> _ListVersion:
        at = time.monotonic() - self.faults.lag_ms / 1000
        visible = self._versions[0]
        for version in self._versions:
            if version.recorded_at > at:
                break
            visible = version
        return visible

    def _handle_put(self, instance_id: str, request: Request) -> Reply:
        document = request.document()
        try:
            self.add(Instance(**{**document, "instance": instance_id}))
        except TypeError as error:
            return error_reply(400, str(error))
        return Reply(200, {})

    def _handle_action(self, instance_id: str, kind: str, request: Request) -> Reply:
        document = request.document()
        action_id = document.get("action") if document else None
        if not isinstance(action_id, str) or not action_id:
            return error_reply(400, "action must be a string")
        known = self._action_by_id.get(action_id)
        if known is not None:
            if (known.instance, known.kind) != (instance_id, kind):
                return error_reply(409, "action_conflict")
            return _action_reply(known)
        if instance_id not in self._instance_by_id:
            return error_reply(404, "unknown_instance")
        action = Action(action_id, instance_id, kind)
        self._action_by_id[action_id] = action
        self._start_action(action)
        return _action_reply(action)

    def _start_action(self, action: Action) -> None:
        worker = self._worker_by_id.get(action.instance)
        match action.kind:
            case "drain":
                self._update_instance(action.instance, state="leaving")
                gevent.spawn(_run_drain, action, worker)
            case "undrain":
                self._update_instance(action.instance, state="live")
                if worker is not None:
                    worker.undrain()
                action.state = "done"
            case "reboot":
                gevent.spawn(self._run_reboot, action, worker)

    def _run_reboot(self, action: Action, worker: WorkerStandIn | None) -> None:
        if worker is None:
            gevent.sleep(self.reboot_s)
            self._update_instance(action.instance, boot_id=secrets.token_hex(8))
        else:
            worker.set_faults(down=True)
            worker.reboot()
            gevent.sleep(self.reboot_s)
            worker.set_faults(down=False)
            self._update_instance(action.instance, boot_id=worker.boot_id)
        action.state = "done"

    def _update_instance(self, instance_id: str, **changes: str) -> None:
        instance = self._instance_by_id.get(instance_id)
        if instance is not None:
            self.add(replace(instance, **changes))

    def _record_version(self) -> None:
        now = time.monotonic()
        version = self._versions[-1].version + 1
        instances = tuple(self._instance_by_id.values())
        self._versions.append(_ListVersion(now, version, instances))
        oldest_needed = now - self.faults.lag_ms / 1000
        while (
            len(self._versions) > 2 and self._versions[1].recorded_at <= oldest_needed
        ):
            self._versions.popleft()


def _run_drain(action: Action, worker: WorkerStandIn | None) -> None:
    if worker is not None:
        worker.drain()
        while worker.running:
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
    action.state = "done"


def _action_reply(action: Action) -> Reply:
    return Reply(200, asdict(action))
