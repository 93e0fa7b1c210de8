"""The last checks before a start or a lease renewal is sent."""

from __future__ import annotations

from lycheeloom.cluster import Freshness, MembershipManager
from lycheeloom.log import LogTail
from lycheeloom.model.config import ZoneState

from .attempt import Placement
from .dispatch import Dispatcher
from .grant_manager import GrantManager
from .local_requests import LocalRequest
from .worker_monitor import WorkerMonitor


class StartChecks:
    """Checks whether a start or a lease renewal may still be sent."""

    def __init__(
        self,
        tail: LogTail,
        freshness: Freshness,
        keeper: MembershipManager,
        dispatcher: Dispatcher,
        grants: GrantManager,
        worker_monitor: WorkerMonitor,
    ) -> None:
        self._tail = tail
        self._freshness = freshness
        self._keeper = keeper
        self._dispatcher = dispatcher
        self._grants = grants
        self._worker_monitor = worker_monitor

    def may_start(self, request: LocalRequest, placement: Placement) -> str | None:
        """Return why a start must not be sent now, or None."""
        if not self._freshness.is_fresh():
            return "the state is not fresh"
        if request.verdict is not None or request.cancel_requested:
            return "the request is already settled"
        organisation = request.submission.organisation
        if self._dispatcher.running(organisation) > self._grants.usable(organisation):
            return f"no running slot of organisation {organisation} is granted here"
        config = self._tail.state.config
        instance = config.instance_by_id.get(placement.worker)
        if instance is None or not self._worker_monitor.may_take_tasks(
            placement.worker
        ):
            return f"worker {placement.worker} is leaving"
        zone = config.zone_by_id.get(instance.zone)
        if zone is None or zone.state is ZoneState.OUT:
            return f"availability zone {instance.zone} is out"
        return None

    def may_renew(self, holder: str) -> bool:
        """Tell whether leases of one of this entry's incarnations may be renewed.

        The slots of an expelled incarnation are given to other entries once its
        leases have expired, so they are not renewed after this entry has rejoined.
        """
        return holder == self._keeper.incarnation and self._freshness.is_fresh()
