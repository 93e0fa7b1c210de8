"""Requests actions from the platform and queries their status."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from gevent.pool import Pool

from lycheeloom.clients import ActionRefused, ActionState, InstanceClient, Unavailable
from lycheeloom.clients import ActionStatus as ActionReport
from lycheeloom.fleet import ActionKind, ActionStatus, PlatformAction
from lycheeloom.telemetry import log_event

# Calls run concurrently, as each takes its whole timeout if the platform is silent.
MAX_CONCURRENT_CALLS = 16
MAX_FINAL_STATUSES = 10_000

_FINAL_STATUSES = frozenset({ActionStatus.DONE, ActionStatus.REFUSED})
_STATUS_BY_STATE = {
    ActionState.RUNNING: ActionStatus.RUNNING,
    ActionState.DONE: ActionStatus.DONE,
    ActionState.FAILED: ActionStatus.REFUSED,
}


class ActionRunner:
    """Requests platform actions and queries their status.

    Final statuses are cached, so that an action is queried only until it has ended.
    Refusals are cached as well, because the platform does not record refused ids.
    """

    def __init__(self, client: InstanceClient) -> None:
        self._client = client
        self._final_status_by_action: OrderedDict[str, ActionStatus] = OrderedDict()
        self._calls = Pool(MAX_CONCURRENT_CALLS)

    def statuses(self, action_ids: Iterable[str]) -> dict[str, ActionStatus]:
        """Return the statuses that the platform returned.

        A further attempt of an action is queried only if the previous attempt was
        refused, since it cannot exist otherwise.
        """
        found: dict[str, ActionStatus] = {}
        remaining = list(action_ids)
        while remaining:
            queryable = [
                action_id for action_id in remaining if _may_exist(action_id, found)
            ]
            if not queryable:
                return found
            answers = self._calls.map(self._status, queryable)
            for action_id, status in zip(queryable, answers, strict=True):
                if status is not None:
                    found[action_id] = status
            remaining = [
                action_id for action_id in remaining if action_id not in set(queryable)
            ]
        return found

    def perform(self, actions: Sequence[PlatformAction]) -> None:
        """Request actions from the platform; the next step queries their status."""
        self._calls.map(self._perform, actions)

    def _status(self, action_id: str) -> ActionStatus | None:
        if action_id in self._final_status_by_action:
            return self._final_status_by_action[action_id]
        return self._record_answer(action_id, self._client.action_status(action_id))

    def _perform(self, action: PlatformAction) -> None:
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
            case ActionReport():
                log_event("action_taken", state=answer.state, **fields)
                self._record_answer(action.action_id, answer)
            case ActionRefused(reason):
                log_event("action_refused", "WARNING", reason=reason, **fields)
                self._set_final(action.action_id, ActionStatus.REFUSED)
            case Unavailable(reason):
                log_event("action_unanswered", "WARNING", reason=reason, **fields)

    def _record_answer(self, action_id: str, answer: object) -> ActionStatus | None:
        match answer:
            case ActionReport(state=state):
                status = _STATUS_BY_STATE[state]
                if status in _FINAL_STATUSES:
                    self._set_final(action_id, status)
                return status
            case ActionRefused(reason="unknown"):
                return ActionStatus.UNKNOWN
        return None

    def _set_final(self, action_id: str, status: ActionStatus) -> None:
        self._final_status_by_action[action_id] = status
        if len(self._final_status_by_action) > MAX_FINAL_STATUSES:
            self._final_status_by_action.popitem(last=False)


def _may_exist(action_id: str, found: dict[str, ActionStatus]) -> bool:
    base, _, number = action_id.rpartition(".")
    if not number.isdecimal():
        return True
    attempt = int(number)
    previous = base if attempt == 2 else f"{base}.{attempt - 1}"
    return found.get(previous) is ActionStatus.REFUSED
