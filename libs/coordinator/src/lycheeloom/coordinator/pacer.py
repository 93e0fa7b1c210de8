"""Slows filling tasks that raise the latency of tasks on the same worker."""

from __future__ import annotations

import gevent

from lycheeloom.jobs.fleet import Run, RunState, WorkerState
from lycheeloom.jobs.pacing import next_pace
from lycheeloom.telemetry import log_event

from .dispatcher import Dispatcher
from .ports import CallOutcome, WorkerPort

# Workers report tail latencies measured over the last half second.
ADJUST_INTERVAL_S = 0.5


class Pacer:
    """Adjusts the pace of filling tasks while this instance leads.

    Filling tasks reserve no CPU. Their pace is the percentage of their full speed to
    which the worker limits them while a task on the same worker misses its latency
    target.
    """

    def __init__(self, dispatcher: Dispatcher, port: WorkerPort) -> None:
        self._dispatcher = dispatcher
        self._port = port

    def run(self) -> None:
        """Adjust the pace on all workers until the leader is fenced."""
        while not self._dispatcher.writer.is_fenced:
            gevent.sleep(ADJUST_INTERVAL_S)
            if not self._dispatcher.writer.may_act:
                continue
            for state in list(self._dispatcher.fleet.state_by_id.values()):
                self._adjust(state)

    def _adjust(self, state: WorkerState) -> None:
        runs = [
            run for run in state.run_by_task.values() if run.state is RunState.RUNNING
        ]
        filling = [run for run in runs if run.step.fills]
        if not filling:
            return
        worst_latency_ratio = max(
            (
                run.latency_or_cores / run.step.target_ms
                for run in runs
                if run.step.target_ms
            ),
            default=0.0,
        )
        for run in filling:
            percent = next_pace(run.pace_percent, worst_latency_ratio)
            if percent != run.pace_percent:
                gevent.spawn(self._send_pace, run, percent, worst_latency_ratio)

    def _send_pace(self, run: Run, percent: int, worst_latency_ratio: float) -> None:
        link = self._dispatcher.link_by_id.get(run.worker_id)
        if link is None or not self._dispatcher.writer.may_act:
            return
        reply = self._port.pace(
            link.worker, str(run.task), run.run, percent, self._dispatcher.writer.token
        )
        log_event(
            "task_pace",
            task=run.task,
            worker=run.worker_id,
            started_ms=link.worker.started_ms,
            percent=percent,
            before=run.pace_percent,
            worst_latency_ratio=worst_latency_ratio,
            outcome=reply.outcome.value,
        )
        if reply.outcome is CallOutcome.DONE:
            run.pace_percent = percent
        elif reply.outcome is CallOutcome.RESTARTED:
            self._dispatcher.on_reply(link, reply)
