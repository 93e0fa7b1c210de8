"""Simulates several entries that schedule one fleet and exchange their usage."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from lycheeloom.model.config import FleetConfig
from lycheeloom.model.resources import Resources
from lycheeloom.model.verdict import Refusal
from lycheeloom.sched import (
    Checkpoint,
    Expire,
    Outcome,
    RetryBudget,
    Scheduler,
    Start,
    Task,
    UsageReport,
)

from .baselines import FirstComeFirstServed
from .fakes import FakeWorkers, TaskBehaviour, VirtualClock

EXCHANGE_S = 0.5
USAGE_LAG_S = 2.0
CHECKPOINT_S = 0.3
UNLIMITED_SLOTS = 1_000_000

SchedulingPolicy = Scheduler | FirstComeFirstServed


class Observer:
    """Is notified of every event of a task, in the order of the events.

    A recorder overrides the methods that it needs; the others do nothing.
    """

    def offered(self, task: Task, behaviour: TaskBehaviour, now: float) -> None:
        """A caller sent a task, which may be refused."""

    def submitted(self, task: Task, behaviour: TaskBehaviour, now: float) -> None:
        """A task was accepted."""

    def started(
        self, task: Task, behaviour: TaskBehaviour, worker: str, now: float
    ) -> None:
        """A worker accepted a start."""

    def ended(
        self, task: Task, behaviour: TaskBehaviour, succeeded: bool, now: float
    ) -> None:
        """A started task ended."""

    def dropped(self, task: Task, behaviour: TaskBehaviour, now: float) -> None:
        """A queued task will not run."""


class SimulatedEntries:
    """Executes the decisions of several policies, one for each entry, on one fleet.

    ``coordinated`` entries tell each other their usage and reserved workers.
    """

    def __init__(
        self,
        config: FleetConfig,
        policies: list[SchedulingPolicy],
        observer: Observer,
        coordinated: bool = True,
    ) -> None:
        self.clock = VirtualClock()
        self.workers = FakeWorkers(config, self.clock)
        self.policies = policies
        self.behaviour_by_id: dict[str, TaskBehaviour] = {}
        self._config = config
        self._observer = observer
        self._coordinated = coordinated
        self._running: dict[str, tuple[Task, str]] = {}
        self._reports: list[list[tuple[float, UsageReport]]] = [[] for _ in policies]
        self._budgets = [
            {name: RetryBudget(queue) for name, queue in config.queue_by_id.items()}
            for _ in policies
        ]
        for entry, policy in enumerate(policies):
            policy.set_grants(dict.fromkeys(config.organisation_by_id, UNLIMITED_SLOTS))
            first_heartbeat_s = EXCHANGE_S * entry / len(policies)
            self.clock.call_at(first_heartbeat_s, self._heartbeat(entry))

    def submit(self, entry: int, task: Task, behaviour: TaskBehaviour) -> bool:
        """Submit a new task to an entry; return whether it was accepted."""
        self._budgets[entry][task.queue].on_request()
        self._observer.offered(task, behaviour, self.clock.now)
        return self._submit(entry, task, behaviour)

    def step(self, entry: int) -> None:
        """Execute the decisions that an entry makes now."""
        now = self.clock.now
        for decision in self.policies[entry].next_decisions(now):
            match decision:
                case Start(task, worker, resources):
                    self._start(entry, task, worker, resources)
                case Checkpoint(task_id):
                    self.clock.call_at(
                        now + CHECKPOINT_S, self._checkpoint(entry, task_id)
                    )
                case Expire(task, _):
                    self._observer.dropped(task, self.behaviour_by_id.pop(task.id), now)

    def _submit(self, entry: int, task: Task, behaviour: TaskBehaviour) -> bool:
        now = self.clock.now
        verdict = self.policies[entry].submit(task, now)
        if isinstance(verdict, Refusal):
            return False
        self.behaviour_by_id[task.id] = behaviour
        self._observer.submitted(task, behaviour, now)
        self.step(entry)
        return True

    def _start(self, entry: int, task: Task, worker: str, reserved: Resources) -> None:
        behaviour = self.behaviour_by_id[task.id]
        policy = self.policies[entry]
        now = self.clock.now

        def ended(succeeded: bool) -> None:
            self._ended(entry, task, behaviour, worker, succeeded, now)

        if not self.workers.start(worker, task.id, behaviour, reserved, ended):
            policy.finished(task.id, Outcome.REFUSED_BY_WORKER, now)
            policy.observe_worker(worker, True, self.workers.free(worker), "b", now)
            policy.requeue(task.id, worker)
            return
        self._running[task.id] = (task, worker)
        self._observer.started(task, behaviour, worker, now)

    def _ended(
        self,
        entry: int,
        task: Task,
        behaviour: TaskBehaviour,
        worker: str,
        succeeded: bool,
        started_at: float,
    ) -> None:
        now = self.clock.now
        policy = self.policies[entry]
        self._running.pop(task.id, None)
        self._observer.ended(task, behaviour, succeeded, now)
        policy.finished(task.id, Outcome.DONE if succeeded else Outcome.FAILED, now)
        policy.observe_worker(worker, True, self.workers.free(worker), "b", now)
        if succeeded:
            report = UsageReport(task.id, behaviour.size, now - started_at)
            self._reports[entry].append((now, report))
            self.behaviour_by_id.pop(task.id, None)
        else:
            self._retry(entry, task, behaviour, worker)
        self.step(entry)

    def _retry(
        self, entry: int, task: Task, behaviour: TaskBehaviour, worker: str
    ) -> None:
        excluded = task.excluded_workers | {worker}
        may_retry = len(excluded) < 3 and task.idempotent
        if may_retry and self._budgets[entry][task.queue].try_spend():
            retry = replace(task, excluded_workers=excluded)
            if self._submit(entry, retry, behaviour):
                return
        self.behaviour_by_id.pop(task.id, None)

    def _checkpoint(self, entry: int, task_id: str) -> Callable[[], None]:
        def stop() -> None:
            if task_id not in self._running:
                return
            task, worker = self._running.pop(task_id)
            remaining_s = self.workers.stop(worker, task_id)
            behaviour = self.behaviour_by_id[task_id]
            now = self.clock.now
            policy = self.policies[entry]
            self._observer.ended(task, behaviour, False, now)
            self.behaviour_by_id[task_id] = replace(behaviour, run_s=remaining_s)
            self._observer.submitted(task, self.behaviour_by_id[task_id], now)
            policy.finished(task_id, Outcome.STOPPED, now)
            policy.observe_worker(worker, True, self.workers.free(worker), "b", now)
            self.step(entry)

        return stop

    def _heartbeat(self, entry: int) -> Callable[[], None]:
        def heartbeat() -> None:
            now = self.clock.now
            policy = self.policies[entry]
            for name in self._config.instance_by_id:
                policy.observe_worker(name, True, self.workers.free(name), "b", now)
            if self._coordinated:
                peers = {
                    str(n): other.usage_by_organisation()
                    for n, other in enumerate(self.policies)
                    if n != entry
                }
                reserved = [
                    name
                    for n, other in enumerate(self.policies)
                    if n != entry
                    for name in other.reserved_workers()
                ]
                policy.set_peer_usage(peers, reserved)
            self._deliver_usage(entry, now)
            self.step(entry)
            self.clock.call_at(now + EXCHANGE_S, heartbeat)

        return heartbeat

    def _deliver_usage(self, entry: int, now: float) -> None:
        due = [
            r for ended_at, r in self._reports[entry] if now - ended_at >= USAGE_LAG_S
        ]
        waiting = [
            (ended_at, r)
            for ended_at, r in self._reports[entry]
            if now - ended_at < USAGE_LAG_S
        ]
        self._reports[entry] = waiting
        self.policies[entry].observe_usage(due, now)
