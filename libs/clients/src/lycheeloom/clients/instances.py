"""Client of the platform's lagging instance list and its actions."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any
from urllib.parse import quote

from .results import Unavailable, read_answer, read_reason
from .tasks import ActionRefused
from .transport import PLAIN_HEADERS, CallFailed, Response, Transport

CALL_TIMEOUT_S = 3.0


class InstanceState(StrEnum):
    """Whether the platform is about to take an instance away."""

    LIVE = "live"
    LEAVING = "leaving"


class ActionState(StrEnum):
    """Progress of a drain, undrain or reboot."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One line of the lagging list; never a reason to start anything."""

    instance: str
    role: str
    address: str
    zone: str
    rack: str
    state: InstanceState
    boot_id: str


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The lagging list of live and leaving instances."""

    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True, slots=True)
class ActionStatus:
    """State of the action with id ``action``."""

    action: str
    instance: str
    kind: str
    state: ActionState
    reason: str = ""


ActionResult = ActionStatus | ActionRefused | Unavailable


class InstanceClient:
    """Lists instances and drains, undrains and reboots them.

    An action repeated with the same id has one effect, so after ``Unavailable``
    the caller repeats it with that id.
    """

    def __init__(
        self,
        address: str,
        transport: Transport | None = None,
        *,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._address = address
        self._transport = transport or Transport()
        self._call_timeout_s = call_timeout_s
        self._listing: InstanceList | None = None
        self._etag = ""

    def list(self) -> InstanceList | Unavailable:
        """Return the list of instances, which lags behind.

        The same object is returned while the platform says that nothing changed:
        with 5,100 workers a whole list has 800 KB.
        """
        headers = dict(PLAIN_HEADERS)
        if self._etag:
            headers["If-None-Match"] = self._etag
        response = self._call("GET", "/v1/instances", headers=headers)
        if isinstance(response, Response) and response.status == 304:
            return self._listing or Unavailable("nothing was listed before")
        listing = read_answer(response, _parse_list)
        if isinstance(listing, InstanceList):
            self._listing, self._etag = listing, response.etag
        return listing

    def drain(self, instance: str, action_id: str) -> ActionResult:
        """Refuse new tasks at a worker; done when none runs."""
        return self._act(instance, "drain", action_id)

    def undrain(self, instance: str, action_id: str) -> ActionResult:
        """Let a drained worker accept tasks again."""
        return self._act(instance, "undrain", action_id)

    def reboot(self, instance: str, action_id: str) -> ActionResult:
        """Reboot an instance; done when it is back under a new boot id."""
        return self._act(instance, "reboot", action_id)

    def action_status(self, action_id: str) -> ActionResult:
        """Return the state of an action; refused as ``unknown`` if never seen."""
        path = f"/v1/actions/{quote(action_id, safe='')}"
        return _read_action(self._call("GET", path))

    def close(self) -> None:
        """Close all idle connections."""
        self._transport.close()

    def _act(self, instance: str, kind: str, action_id: str) -> ActionResult:
        body = json.dumps({"action": action_id}).encode()
        path = f"/v1/instances/{quote(instance, safe='')}/{kind}"
        return _read_action(self._call("POST", path, body))

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] = PLAIN_HEADERS,
    ) -> Response | CallFailed:
        return self._transport.call(
            self._address,
            method,
            path,
            body=body,
            headers=headers,
            timeout_s=self._call_timeout_s,
        )


def _parse_list(document: dict[str, Any]) -> InstanceList:
    return InstanceList(tuple(map(_parse_instance, document["instances"])))


def _parse_instance(document: dict[str, Any]) -> ListedInstance:
    return ListedInstance(
        document["instance"],
        document["role"],
        document["address"],
        document["zone"],
        document["rack"],
        InstanceState(document["state"]),
        document["boot_id"],
    )


def _read_action(response: Response | CallFailed) -> ActionResult:
    if isinstance(response, Response) and response.status in (400, 404, 409):
        return ActionRefused(read_reason(response))
    return read_answer(response, _parse_action)


def _parse_action(document: dict[str, Any]) -> ActionStatus:
    return ActionStatus(
        document["action"],
        document["instance"],
        document["kind"],
        ActionState(document["state"]),
        document.get("reason", ""),
    )
