"""The leader's newest list of the platform's instances."""

from __future__ import annotations

import gevent

from lycheeloom.telemetry import log_event

from .clock import steady_s
from .ports import CallReply, Instance, InstancePort
from .writer import LeaderWriter

LIST_INTERVAL_S = 0.5
IDLE_PAUSE_S = 0.1


class Inventory:
    """Instances by id, read again and again."""

    def __init__(
        self, port: InstancePort, writer: LeaderWriter, order_from_s: float
    ) -> None:
        self.instance_by_id: dict[str, Instance] = {}
        self._port = port
        self._writer = writer
        # Orders of the leader before may be seen as late as this.
        self._order_from_s = order_from_s
        self._is_failing = False

    @property
    def may_order(self) -> bool:
        """Tell whether orders of another leader are certainly long past."""
        return steady_s() >= self._order_from_s

    def run(self) -> None:
        """Read the list until the leader is fenced."""
        while not self._writer.is_fenced:
            if not self._writer.may_act:
                gevent.sleep(IDLE_PAUSE_S)
                continue
            self._read()
            gevent.sleep(LIST_INTERVAL_S)

    def _read(self) -> None:
        result = self._port.list_instances()
        if isinstance(result, CallReply):
            if not self._is_failing:
                log_event(
                    "instances_lost",
                    level="WARNING",
                    outcome=result.outcome.value,
                    reason=result.reason,
                )
            self._is_failing = True
            return
        if self._is_failing:
            log_event("instances_regained")
            self._is_failing = False
        self.instance_by_id = {i.instance_id: i for i in result}
