"""The leader's latest list of the platform's instances."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import gevent

from lycheeloom.telemetry import log_event

from .clock import steady_s
from .ports import CallReply, Instance, InstancePort
from .writer import LeaderWriter

LIST_INTERVAL_S = 0.5
# Pause while this instance may not act as leader.
IDLE_PAUSE_S = 0.1


class Inventory:
    """Instances by id, polled from the platform.

    After each poll, ``on_list`` is called with the pool of each worker that has an
    instance, by worker id, and with the time at which the list was requested.
    """

    def __init__(
        self,
        port: InstancePort,
        writer: LeaderWriter,
        on_list: Callable[[Mapping[str, str], float], None] = lambda pools, s: None,
    ) -> None:
        self.instance_by_id: dict[str, Instance] = {}
        self._port = port
        self._writer = writer
        self._on_list = on_list
        self._is_failing = False

    def run(self) -> None:
        """Poll the list until the leader is fenced."""
        while not self._writer.is_fenced:
            if not self._writer.may_act:
                gevent.sleep(IDLE_PAUSE_S)
                continue
            self._read()
            gevent.sleep(LIST_INTERVAL_S)

    def _read(self) -> None:
        requested_s = steady_s()
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
        self._on_list({i.worker_id: i.pool for i in result if i.worker_id}, requested_s)
