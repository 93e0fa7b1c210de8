"""Explanations that ``GET /v1/explain`` returns, in sentences."""

from __future__ import annotations

from lycheeloom.log import LogTail
from lycheeloom.sched import Scheduler
from lycheeloom.state import RecordedRequest

from .local_requests import LocalRequestTable


class EntryExplanations:
    """Explains requests, organisations, instances and pools from this entry's state."""

    def __init__(
        self, tail: LogTail, scheduler: Scheduler, local_requests: LocalRequestTable
    ) -> None:
        self._tail = tail
        self._scheduler = scheduler
        self._local_requests = local_requests

    def explain(self, kind: str, name: str) -> list[str] | None:
        """Return sentences, oldest first, or None if nothing is known."""
        match kind:
            case "request":
                return self._explain_request(name)
            case "organisation" if name in self._tail.state.config.organisation_by_id:
                return [
                    str(event) for event in self._scheduler.explain_organisation(name)
                ]
            case "instance" if name in self._tail.state.config.instance_by_id:
                return self._explain_instance(name)
            case "pool" if name in self._tail.state.config.pool_by_id:
                return self._explain_pool(name)
        return None

    def _explain_request(self, name: str) -> list[str] | None:
        lines = []
        recorded = self._tail.state.requests.request_by_id.get(name)
        if recorded is not None:
            lines.extend(_describe_recorded(recorded))
        local = self._local_requests.by_id.get(name)
        retries = local.copies if local is not None else 0
        for attempt in range(retries + 1):
            events = self._scheduler.explain(f"{name}#{attempt}")
            lines.extend(str(event) for event in events)
        return lines or None

    def _explain_instance(self, name: str) -> list[str]:
        state = self._tail.state
        instance = state.config.instance_by_id[name]
        pool = state.maintenance.pool_by_instance[name]
        lines = [
            f"Instance {name} is in pool {pool}, zone {instance.zone}, "
            f"rack {instance.rack}."
        ]
        if instance.pool != pool:
            lines.append(f"The configuration wants it in pool {instance.pool}.")
        move = state.maintenance.move_by_instance.get(name)
        if move is not None:
            lines.append(
                f"Its last move ({move.reason or 'no reason given'}) to pool "
                f"{move.to_pool} is at stage {move.stage}."
            )
        health = state.maintenance.health_by_instance.get(name)
        if health is not None:
            lines.append(f"Its health is {health.health}: {health.reason}.")
        events = (str(event) for event in self._scheduler.fleet_events())
        lines.extend(line for line in events if name in line)
        return lines

    def _explain_pool(self, name: str) -> list[str]:
        state = self._tail.state
        pool = state.config.pool_by_id[name]
        members = [
            instance
            for instance, actual in state.maintenance.pool_by_instance.items()
            if actual == name
        ]
        return [
            f"Pool {name} has {len(members)} instances and needs {pool.needed}.",
            f"At most {pool.max_unavailable} of them, and "
            f"{pool.max_unavailable_per_rack} of one rack, may be unavailable at once.",
            f"Its instances are {', '.join(sorted(members)) or 'none'}.",
        ]


def _describe_recorded(request: RecordedRequest) -> list[str]:
    lines = [
        f"Request {request.request_id} of organisation {request.organisation} on queue "
        f"{request.queue} was recorded at offset {request.submitted_at}."
    ]
    if request.holder:
        lines.append(
            f"Attempt {request.attempt} was claimed by entry {request.holder} for "
            f"worker {request.worker}."
        )
    if request.outcome is not None:
        lines.append(f"It ended as {request.outcome} at offset {request.finished_at}.")
    return lines
