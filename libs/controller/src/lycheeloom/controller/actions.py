"""Asking the platform about actions and for them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from gevent.pool import Pool

from lycheeloom.clients import ActionRefused, ActionState, InstanceClient, Unavailable
from lycheeloom.clients import ActionStatus as Reported
from lycheeloom.fleet import ActionKind, ActionStatus, PlatformAction
from lycheeloom.telemetry import log_event

# Calls under way at once; a silent platform takes the whole call timeout.
MAX_CALLS = 16
MAX_KEPT = 10_000

_FINAL = frozenset({ActionStatus.DONE, ActionStatus.REFUSED})
_STATUS_BY_STATE = {
    ActionState.RUNNING: ActionStatus.RUNNING,
    ActionState.DONE: ActionStatus.DONE,
    ActionState.FAILED: ActionStatus.REFUSED,
}


class ActionRunner:
    """Takes platform actions and knows their status.

    Final statuses are kept, so that an action is asked about only until it has
    ended. A refusal is kept as well: the platform does not know refused ids.
    """

    def __init__(self, client: InstanceClient) -> None:
        self._client = client
        self._final: OrderedDict[str, ActionStatus] = OrderedDict()
        self._calls = Pool(MAX_CALLS)

    def statuses(self, names: Iterable[str]) -> dict[str, ActionStatus]:
        """Return the statuses that could be learned.

        A further try of an action is asked about only where the one before it
        was refused; it cannot exist otherwise.
        """
        found: dict[str, ActionStatus] = {}
        waiting = list(names)
        while waiting:
            askable = [name for name in waiting if _may_exist(name, found)]
            if not askable:
                return found
            asked = self._calls.map(self._status, askable)
            for name, status in zip(askable, asked, strict=True):
                if status is not None:
                    found[name] = status
            waiting = [name for name in waiting if name not in set(askable)]
        return found

    def take(self, actions: Sequence[PlatformAction]) -> None:
        """Ask the platform for actions; the next step learns their status."""
        self._calls.map(self._take, actions)

    def _status(self, name: str) -> ActionStatus | None:
        if name in self._final:
            return self._final[name]
        return self._keep(name, self._client.action_status(name))

    def _take(self, action: PlatformAction) -> None:
        match action.kind:
            case ActionKind.DRAIN:
                answer = self._client.drain(action.instance, action.action_id)
            case ActionKind.UNDRAIN:
                answer = self._client.undrain(action.instance, action.action_id)
            case ActionKind.REBOOT:
                answer = self._client.reboot(action.instance, action.action_id)
        fields = {
            "action": action.kind,
            "instance": action.instance,
            "id": action.action_id,
        }
        match answer:
            case Reported():
                log_event("action_taken", state=answer.state, **fields)
                self._keep(action.action_id, answer)
            case ActionRefused(reason):
                log_event("action_refused", "WARNING", reason=reason, **fields)
                self._set_final(action.action_id, ActionStatus.REFUSED)
            case Unavailable(reason):
                log_event("action_unanswered", "WARNING", reason=reason, **fields)

    def _keep(self, name: str, answer: object) -> ActionStatus | None:
        match answer:
            case Reported(state=state):
                status = _STATUS_BY_STATE[state]
                if status in _FINAL:
                    self._set_final(name, status)
                return status
            case ActionRefused(reason="unknown"):
                return ActionStatus.UNKNOWN
        return None

    def _set_final(self, name: str, status: ActionStatus) -> None:
        self._final[name] = status
        if len(self._final) > MAX_KEPT:
            self._final.popitem(last=False)


def _may_exist(name: str, found: dict[str, ActionStatus]) -> bool:
    base, _, number = name.rpartition(".")
    if not number.isdecimal():
        return True
    attempt = int(number)
    before = base if attempt == 2 else f"{base}.{attempt - 1}"
    return found.get(before) is ActionStatus.REFUSED
