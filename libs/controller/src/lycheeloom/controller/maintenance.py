"""The maintenance loop: runs planner steps and carries out their plans."""

from __future__ import annotations

import time
from collections.abc import Callable

from lycheeloom.clients import (
    InstanceClient,
    InstanceList,
    InstanceState,
    ListedInstance,
)
from lycheeloom.fleet import FleetView, Plan, PlannedRecord, Planner
from lycheeloom.log import LogTail, LogWriter, NoEffect, PendingRecord, Priority
from lycheeloom.model.records import InstanceHealth, MoveStage, MoveStep
from lycheeloom.telemetry import log_event

from .actions import ActionRunner
from .duty import DutyElection
from .probes import WorkerProber

# A line of the list has about 150 bytes, so 50 lines a second take 7.5 KB per
# second of the 24 KB that a daemon may use.
LIST_LINES_PER_S = 50
MIN_LIST_INTERVAL_S = 1.0
# A list older than its read interval plus this is outdated: no new move starts.
LIST_GRACE_S = 30.0
_STAGES_NEEDING_TASK_COUNT = frozenset(
    {MoveStage.DRAINING, MoveStage.DRAINED, MoveStage.REBOOTING}
)


class MaintenanceLoop:
    """Runs the planner while this process holds the maintenance duty."""

    def __init__(
        self,
        planner: Planner,
        duty: DutyElection,
        tail: LogTail,
        writer: LogWriter,
        instances: InstanceClient,
        probes: WorkerProber,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.planner = planner
        self.last_step_s = 0.0
        self.view: FleetView | None = None
        self._duty = duty
        self._tail = tail
        self._writer = writer
        self._client = instances
        self._actions = ActionRunner(instances)
        self._probes = probes
        self._clock = clock
        self._pending: dict[PlannedRecord, PendingRecord] = {}
        self._list: InstanceList | None = None
        self._is_list_unchanged = False
        self._listed_at = float("-inf")
        self._seen_in_list: set[str] = set()

    def step(self) -> None:
        """Plan and carry out one step if the duty is held."""
        if not self._duty.is_held():
            self.view = None
            self._withdraw_except(())
            return
        self._refresh_list()
        view = self._observe()
        started_at = time.perf_counter()
        plan = self.planner.step(view, self._clock())
        self.last_step_s = time.perf_counter() - started_at
        self.view = view
        self._append_records(plan)
        # The calls above take time, in which another controller may have taken over.
        if plan.actions and self._duty.is_held():
            self._actions.perform(plan.actions)

    def _list_interval_s(self) -> float:
        """Return the time between reads; an unchanged list costs no transfer."""
        if self._is_list_unchanged or self._list is None:
            return MIN_LIST_INTERVAL_S
        lines = len(self._list.instances)
        return max(MIN_LIST_INTERVAL_S, lines / LIST_LINES_PER_S)

    def _refresh_list(self) -> None:
        if self._clock() - self._listed_at < self._list_interval_s():
            return
        listing = self._client.list()
        if not isinstance(listing, InstanceList):
            log_event("instance_list_unavailable", "WARNING", reason=listing.reason)
            return
        self._is_list_unchanged = listing is self._list
        self._list, self._listed_at = listing, self._clock()

    def _observe(self) -> FleetView:
        state = self._tail.state
        maintenance = state.maintenance
        moves = maintenance.move_by_instance
        known = state.config.instance_by_id
        self._probes.forget_unconfigured(known.keys())
        self._probes.probe_now(
            name
            for name, move in moves.items()
            if move.stage in _STAGES_NEEDING_TASK_COUNT
        )
        epoch, offset = self._duty.epoch, state.next_offset
        statuses = self._actions.statuses(self.planner.action_ids(moves))
        state = self._tail.state
        maintenance = state.maintenance
        return FleetView(
            config=state.config,
            offset=offset,
            duty_epoch=epoch,
            pool_by_instance=maintenance.pool_by_instance,
            move_by_instance=maintenance.move_by_instance,
            wave_by_id=maintenance.wave_by_id,
            health_by_instance=maintenance.health_by_instance,
            unavailable=self._unavailable(state.config.instance_by_id),
            running_by_instance=self._probes.running_by_instance(),
            status_by_action=statuses,
            is_list_current=self._is_list_current(),
        )

    def _is_list_current(self) -> bool:
        age_s = self._clock() - self._listed_at
        return age_s <= self._list_interval_s() + LIST_GRACE_S

    def _unavailable(self, known) -> frozenset[str]:
        """Return the instances that are leaving or have vanished from the list.

        The list lags, so an instance that was never listed does not count.
        """
        if self._list is None:
            return frozenset()
        listed: dict[str, ListedInstance] = {
            item.instance: item for item in self._list.instances
        }
        self._seen_in_list = (self._seen_in_list | listed.keys()) & known.keys()
        leaving = {
            name
            for name, item in listed.items()
            if item.state is InstanceState.LEAVING and name in known
        }
        return frozenset(leaving | (self._seen_in_list - listed.keys()))

    def _append_records(self, plan: Plan) -> None:
        """Append the records of a plan that are not pending already."""
        self._withdraw_except(plan.records)
        for record in plan.records:
            if record in self._pending:
                continue
            self._pending[record] = self._writer.append(record, Priority.CONTROL)
            log_event("record_appended", **_log_fields(record))

    def _withdraw_except(self, wanted) -> None:
        """Withdraw unsent records that are not ``wanted`` and drop finished ones.

        While the log is slow, the records of earlier steps would otherwise pile up
        and take effect late.
        """
        kept = set(wanted)
        for record, pending in list(self._pending.items()):
            if pending.outcome is None and record not in kept:
                pending.withdraw()
            if pending.outcome is None:
                continue
            if isinstance(pending.outcome, NoEffect):
                log_event("record_without_effect", "WARNING", **_log_fields(record))
            del self._pending[record]


def _log_fields(record: PlannedRecord) -> dict[str, str]:
    """Return the fields of a log line that identify a record."""
    match record:
        case MoveStep():
            return {
                "instance": record.instance,
                "move": record.move_id,
                "stage": record.stage,
                "to_pool": record.to_pool,
                "reason": record.reason,
            }
        case InstanceHealth():
            return {
                "instance": record.instance,
                "health": record.health,
                "reason": record.reason,
            }
    return {"wave": record.wave_id, "wanted": record.wanted}
