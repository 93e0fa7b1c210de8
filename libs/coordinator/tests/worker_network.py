"""The network between coordinators and workers, with faults of single calls."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Literal

import gevent
from gevent.event import AsyncResult
from libs.coordinator.tests.leased_workers import LeasedWorker
from libs.coordinator.tests.simulated_time import SimulatedTime

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.ports import CallOutcome, CallReply, TaskLists
from lycheeloom.jobs.planner import Start

# Time that a call or an answer takes on its way.
LATENCY_S = 0.006
# An attempt to connect to a worker without power fails after this time.
CONNECT_TIMEOUT_S = 0.35
# Time in which the caller takes in an answer.
RECEIVE_S = 0.0002

CallKind = Literal["start", "stop", "poll"]
Answer = TaskLists | CallReply


@dataclass(frozen=True, slots=True)
class CallFault:
    """What happens to one call: its delay, its answer's delay, and a lost answer."""

    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    loses_answer: bool = False


@dataclass
class StartOrder:
    """A start on its way to a worker."""

    start: Start
    token: int
    # The worker was told to reject it before it restarted.
    is_rejected: bool = False


@dataclass
class _Route:
    """The path to one worker."""

    # Faults of the next calls of a kind, in order.
    faults_by_kind: dict[CallKind, list[CallFault]] = field(default_factory=dict)
    cut_until_s: float = 0.0
    # Orders sent while the path is cut arrive at its end instead of being lost.
    keeps_orders: bool = False
    starts: list[StartOrder] = field(default_factory=list)

    @property
    def is_cut(self) -> bool:
        return steady_s() < self.cut_until_s

    def take_fault(self, kind: CallKind) -> CallFault:
        faults = self.faults_by_kind.get(kind)
        return faults.pop(0) if faults else CallFault()


class WorkerNetwork:
    """Delivers calls to workers, some late and some without an answer."""

    def __init__(
        self, time: SimulatedTime, worker_by_id: Mapping[str, LeasedWorker]
    ) -> None:
        self._time = time
        self._worker_by_id = worker_by_id
        self._route_by_worker = {worker_id: _Route() for worker_id in worker_by_id}

    def add_fault(
        self, worker_id: str, kind: CallKind, fault: CallFault, count: int
    ) -> None:
        """Let the next calls of a kind to a worker fail."""
        faults_by_kind = self._route_by_worker[worker_id].faults_by_kind
        faults_by_kind.setdefault(kind, []).extend([fault] * count)

    def cut(self, worker_id: str, duration_s: float, keeps_orders: bool) -> None:
        """Cut the path to a worker, which runs on."""
        route = self._route_by_worker[worker_id]
        route.cut_until_s = max(route.cut_until_s, steady_s() + duration_s)
        route.keeps_orders = keeps_orders

    def lift_faults(self) -> None:
        """End all faults, except for the calls that are under way."""
        for route in self._route_by_worker.values():
            route.cut_until_s = 0.0
            route.faults_by_kind.clear()

    def drop_rejected_starts(self, worker_id: str) -> None:
        """Drop the starts under way that a worker has been told to reject."""
        leased = self._worker_by_id[worker_id]
        for order in self._route_by_worker[worker_id].starts:
            is_old = order.start.run <= leased.closed_run_by_task[order.start.task]
            if is_old or order.token < leased.token:
                order.is_rejected = True

    def is_closed(self, worker_id: str, started_ms: int) -> bool:
        """Return whether the caller can see that an incarnation's connections ended.

        A worker that loses power does not close its connections.
        """
        leased = self._worker_by_id[worker_id]
        is_alive = leased.is_up and leased.worker.started_ms == started_ms
        return not is_alive and not leased.has_lost_power

    def call(
        self,
        worker_id: str,
        kind: CallKind,
        timeout_s: float,
        carry_out: Callable[[LeasedWorker], Answer | None],
        order: StartOrder | None = None,
        started_ms: int = 0,
    ) -> Answer:
        """Call a worker; the outcome is unknown if no answer comes in time.

        With a start time, the call is for this incarnation, and only a fault that
        delays it can bring it to the next one, unless that one is up already when the
        call is sent. 0 calls any incarnation.
        """
        answer: AsyncResult = AsyncResult()
        delivery = gevent.spawn(
            self._deliver, worker_id, kind, carry_out, order, started_ms, answer
        )
        self._time.set_process(delivery, "")
        answer.wait(timeout_s)
        gevent.sleep(RECEIVE_S)
        if not answer.ready():
            return CallReply(CallOutcome.UNKNOWN, "no answer in time")
        return answer.value

    def _deliver(
        self,
        worker_id: str,
        kind: CallKind,
        carry_out: Callable[[LeasedWorker], Answer | None],
        order: StartOrder | None,
        started_ms: int,
        answer: AsyncResult,
    ) -> None:
        """Deliver a call to a worker, and the answer to the caller."""
        route, leased = self._route_by_worker[worker_id], self._worker_by_id[worker_id]
        fault = route.take_fault(kind)
        is_late = fault.delay_s > 0
        receiver_ms = leased.worker.started_ms if leased.is_up else 0
        if order is not None:
            route.starts.append(order)
        gevent.sleep(LATENCY_S + fault.delay_s)
        while route.is_cut and route.keeps_orders and kind != "poll":
            is_late = True
            gevent.sleep(route.cut_until_s - steady_s() + LATENCY_S)
        if order is not None:
            route.starts.remove(order)
        if route.is_cut or (order is not None and order.is_rejected):
            return
        if not leased.has_power:
            if kind == "poll":
                # Sent over a connection that is open but silent.
                return
            gevent.sleep(CONNECT_TIMEOUT_S)
        if not leased.is_up:
            answer.set(CallReply(CallOutcome.NOT_SENT, "connection refused"))
            return
        is_other = bool(started_ms) and leased.worker.started_ms != started_ms
        if is_other and (receiver_ms == leased.worker.started_ms or not is_late):
            # The caller asks who answers before it sends an order over a new
            # connection; polls go over the connection of the former incarnation.
            if kind == "poll" or receiver_ms == started_ms:
                answer.set(CallReply(CallOutcome.UNKNOWN, "connection reset"))
            else:
                found_ms = leased.worker.started_ms
                answer.set(CallReply(CallOutcome.RESTARTED, started_ms=found_ms))
            return
        result = carry_out(leased)
        gevent.sleep(LATENCY_S + fault.answer_delay_s)
        if result is not None and not fault.loses_answer and not route.is_cut:
            answer.set(result)
