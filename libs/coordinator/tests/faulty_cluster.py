"""A simulated cluster whose workers, network, store and leaders can fail."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import gevent
from libs.coordinator.tests.fakes import make_policy, make_worker
from libs.coordinator.tests.leased_workers import LeasedWorker, RunMonitor, Workload
from libs.coordinator.tests.silent_store import SilentStore
from libs.coordinator.tests.simulated_time import SimulatedTime
from libs.coordinator.tests.worker_network import (
    LATENCY_S,
    Answer,
    CallFault,
    CallKind,
    StartOrder,
    WorkerNetwork,
)

from lycheeloom.coordinator.clock import steady_s, wall_ms
from lycheeloom.coordinator.dispatcher import Dispatcher
from lycheeloom.coordinator.features import NO_FEATURES, Features
from lycheeloom.coordinator.inventory import Inventory
from lycheeloom.coordinator.leadership import Leadership
from lycheeloom.coordinator.ports import (
    CallOutcome,
    CallReply,
    Instance,
    InstanceState,
    Renewal,
)
from lycheeloom.coordinator.replica import Replica
from lycheeloom.coordinator.view import View
from lycheeloom.coordinator.writer import LeaderWriter
from lycheeloom.jobs.model import (
    FINAL_STATES,
    Job,
    JobState,
    Policy,
    Pool,
    Queue,
    Step,
    TaskKey,
    Worker,
)
from lycheeloom.jobs.planner import Start

# Timeouts of the calls to workers, the second in addition to a poll's waiting time.
ORDER_TIMEOUT_S = 0.7
LIST_TIMEOUT_S = 0.8
# A stopping process waits this long until its resignation is recorded.
RESIGN_TIMEOUT_S = 1.0
FOREVER_S = 10_000.0
# Both coordinators know the first policy for this long before the first job.
WARM_UP_S = 0.5
# Pools of the workers, by index.
POOLS = ("pool", "pool", "other", "other")


class Coordinator:
    """One coordinator process with its view of the platform.

    Its port reaches the workers until the process has crashed.
    """

    def __init__(self, name: str, cluster: FaultyCluster) -> None:
        self.name = name
        self.view = View(cluster.policy, dict(cluster.registered))
        self.dispatcher: Dispatcher | None = None
        self._cluster = cluster
        self._has_crashed = False
        self._replica = Replica(cluster.store)
        self._leadership = Leadership(
            cluster.store,
            self._replica,
            name,
            self._lead,
            lambda: True,
            random.Random(name),
        )
        self._greenlets = [
            gevent.spawn(self._replica.run),
            gevent.spawn(self._leadership.run),
        ]
        for greenlet in self._greenlets:
            cluster.time.set_process(greenlet, name)

    def apply_policy(self, policy: Policy) -> None:
        """Apply a policy, unless a later one is in force."""
        if policy.version > self.view.policy.version:
            self.view.policy = policy

    def crash(self) -> None:
        """Stop without resigning; calls that are under way stay so."""
        self._has_crashed = True
        gevent.killall(self._greenlets, block=False)

    def resign(self) -> None:
        """Give up the lead and stop."""
        gevent.spawn(self._leadership.resign, RESIGN_TIMEOUT_S)
        gevent.spawn_later(RESIGN_TIMEOUT_S + 0.1, self.crash)

    def start(
        self, worker: Worker, start: Start, token: int, deadline_ms: int, ticket: str
    ) -> CallReply:
        """Send a start order."""
        return self._call(
            worker,
            "start",
            ORDER_TIMEOUT_S,
            lambda receiver: receiver.start(start, token, deadline_ms),
            StartOrder(start, token),
            started_ms=worker.started_ms,
        )

    def stop(self, worker: Worker, task: str, run: int, token: int) -> CallReply:
        """Send a stop order."""
        return self._call(
            worker,
            "stop",
            ORDER_TIMEOUT_S,
            lambda receiver: receiver.stop(TaskKey.parse(task), run, token),
            started_ms=worker.started_ms,
        )

    def pace(
        self, worker: Worker, task: str, run: int, percent: int, token: int
    ) -> CallReply:
        """Do nothing."""
        return CallReply(CallOutcome.DONE)

    def renew_and_list(
        self, worker: Worker, token: int, renewal: Renewal | None, wait_ms: int
    ) -> Answer:
        """Send a poll, without the renewal if its connection has been closed."""
        network = self._cluster.network
        if renewal and network.is_closed(worker.worker_id, renewal.connection_id):
            renewal, wait_ms = None, 0
        return self._call(
            worker,
            "poll",
            wait_ms / 1000 + LIST_TIMEOUT_S,
            lambda receiver: receiver.renew_and_list(token, renewal, wait_ms),
            started_ms=renewal.connection_id if renewal else 0,
        )

    def list_instances(self) -> tuple[Instance, ...]:
        """Return one instance per worker."""
        gevent.sleep(LATENCY_S)
        return tuple(
            Instance(
                f"i-{worker_id}",
                leased.worker.pool,
                InstanceState.UP if leased.is_up else InstanceState.DOWN,
                leased.worker.zone,
                worker_id if leased.is_up else "",
            )
            for worker_id, leased in self._cluster.worker_by_id.items()
        )

    def _call(
        self,
        worker: Worker,
        kind: CallKind,
        timeout_s: float,
        carry_out: Callable[[LeasedWorker], Answer | None],
        order: StartOrder | None = None,
        started_ms: int = 0,
    ) -> Answer:
        if self._has_crashed:
            # Greenlets that the process has started must not act any more.
            gevent.sleep(FOREVER_S)
        if not self._cluster.shows_incarnations:
            started_ms = 0
        return self._cluster.network.call(
            worker.worker_id, kind, timeout_s, carry_out, order, started_ms
        )

    def _lead(self, writer: LeaderWriter, had_leader: bool) -> None:
        self._cluster.monitor.note(f"{self.name} leads with token {writer.token}")
        self.dispatcher = Dispatcher(
            self, self._replica, writer, self.view, features=self._cluster.features
        )
        inventory = Inventory(self, writer, self.dispatcher.note_instances)
        self.dispatcher.run({"inventory": inventory.run})


class FaultyCluster:
    """Coordinators, workers and a store in simulated time.

    Two workers belong to the pool that the only queue uses at first, and two to the
    other pool.
    """

    def __init__(self, time: SimulatedTime, features: Features = NO_FEATURES) -> None:
        self.time = time
        self.features = features
        self.monitor = RunMonitor()
        self.store = SilentStore()
        self.policy = _policy("pool", 1)
        self.workload_by_job: dict[str, Workload] = {}
        self.job_by_id: dict[str, Job] = {}
        self.cancelled_job_ids: set[str] = set()
        # Clocks of workers may be up to 2% slow.
        self.worker_by_id = {
            f"w{number}": LeasedWorker(
                make_worker(number, pool),
                self.monitor,
                self.workload_by_job,
                clock_rate=0.98 if number % 2 else 1.0,
            )
            for number, pool in enumerate(POOLS)
        }
        # Workers according to the platform's list.
        self.registered = {i: w.worker for i, w in self.worker_by_id.items()}
        # Connections show which incarnation of a worker they lead to. Otherwise, all
        # calls reach the one that is up.
        self.shows_incarnations = True
        self.coordinators: list[Coordinator] = []
        self.network = WorkerNetwork(time, self.worker_by_id)
        self._coordinator_count = 0
        self.add_coordinator()
        time.advance(0.5)
        self.add_coordinator()
        time.advance(WARM_UP_S)

    @property
    def leader(self) -> Coordinator | None:
        """Return the coordinator that leads, even if it may not act now."""
        for coordinator in self.coordinators:
            dispatcher = coordinator.dispatcher
            if dispatcher is not None and not dispatcher.writer.is_fenced:
                return coordinator
        return None

    def add_coordinator(self) -> None:
        """Start a coordinator process."""
        self._coordinator_count += 1
        self.coordinators.append(Coordinator(f"c{self._coordinator_count}", self))

    def submit(self, tasks: int, workload: Workload) -> str:
        """Submit a job of one step; it lasts if its runs have no duration."""
        job_id = f"{len(self.job_by_id):016x}"
        lasts = workload.run_s is None
        # Runs stall early only if their steps have an estimate.
        run_s = workload.run_s if self.features.worker_ratings else None
        step = Step(
            tasks,
            1000 if lasts else 3000,
            estimated_ms=int(1000 * (run_s or 0)),
            long_running=lasts,
        )
        job = Job(job_id, "queue", "red", "spec", (step,), wall_ms())
        self.workload_by_job[job_id] = workload
        self.job_by_id[job_id] = job
        self.store.add_job(job)
        return job_id

    def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        self.monitor.note(f"cancel {job_id}")
        self.cancelled_job_ids.add(job_id)
        self.store.cancel(job_id)

    def add_call_fault(
        self, worker_id: str, kind: CallKind, fault: CallFault, count: int = 1
    ) -> None:
        """Let the next calls of a kind to a worker fail."""
        self.network.add_fault(worker_id, kind, fault, count)

    def cut(
        self, worker_id: str, duration_s: float, keeps_orders: bool = False
    ) -> None:
        """Cut the path to a worker, which runs on."""
        self.monitor.note(f"{worker_id} is cut for {duration_s} s")
        self.network.cut(worker_id, duration_s, keeps_orders)

    def silence_store(self, duration_s: float, executes_silently: bool = False) -> None:
        """Let the store not answer for a time."""
        self.monitor.note(f"the store is silent for {duration_s} s")
        self.store.silent_until_s = steady_s() + duration_s
        self.store.executes_silently = executes_silently

    def restart_worker(
        self,
        worker_id: str,
        down_s: float,
        listing_lag_s: float,
        loses_power: bool = False,
    ) -> None:
        """Crash a worker; a new incarnation comes up, and is listed later.

        Orders under way may reach the new incarnation, unless the former one had been
        told to reject them. Until then, connections are refused, or calls get no answer
        if the worker loses power. Has no effect on a worker that is down.
        """
        leased = self.worker_by_id[worker_id]
        if not leased.is_up:
            return
        self.network.drop_rejected_starts(worker_id)
        started_ms = wall_ms() + int(down_s * 1000)
        started_ms = max(started_ms, leased.worker.started_ms + 1)
        worker = dataclasses.replace(leased.worker, started_ms=started_ms)
        leased.crash()
        leased.has_power, leased.has_lost_power = not loses_power, loses_power
        gevent.spawn_later(down_s, leased.come_back, worker)
        gevent.spawn_later(down_s + listing_lag_s, self.register, worker)

    def register(self, worker: Worker) -> None:
        """Add a worker to the platform's list."""
        listed = self.registered.get(worker.worker_id)
        if listed is None or listed.started_ms < worker.started_ms:
            self.registered[worker.worker_id] = worker
            for coordinator in self.coordinators:
                coordinator.view.note_worker(worker)

    def unregister(self, worker_id: str, duration_s: float) -> None:
        """Remove a worker from the platform's list for a time."""
        self.monitor.note(f"{worker_id} is not listed for {duration_s} s")
        self.registered.pop(worker_id, None)
        for coordinator in self.coordinators:
            coordinator.view.worker_by_id.pop(worker_id, None)
        gevent.spawn_later(
            duration_s, lambda: self.register(self.worker_by_id[worker_id].worker)
        )

    def move_queue(self, pool: str, leader_lag_s: float, others_lag_s: float) -> None:
        """Publish a configuration that sends the queue to another pool.

        The leader and the other coordinators apply it some time later.
        """
        self.monitor.note(f"the queue uses pool {pool}")
        self.policy = _policy(pool, self.policy.version + 1)
        leader = self.leader
        for coordinator in self.coordinators:
            lag_s = leader_lag_s if coordinator is leader else others_lag_s
            gevent.spawn_later(lag_s, coordinator.apply_policy, self.policy)

    def crash_leader(self) -> None:
        """Crash the leader; another coordinator process is started."""
        leader = self.leader
        if leader is None:
            return
        self.monitor.note(f"{leader.name} crashes")
        leader.crash()
        self.coordinators.remove(leader)
        self.add_coordinator()

    def freeze_leader(self, duration_s: float) -> None:
        """Suspend the process of the leader."""
        leader = self.leader
        if leader is None:
            return
        self.monitor.note(f"{leader.name} freezes for {duration_s} s")
        self.time.freeze(leader.name, duration_s)

    def resign_leader(self) -> None:
        """Let the leader resign; another coordinator process is started."""
        leader = self.leader
        if leader is None:
            return
        self.monitor.note(f"{leader.name} resigns")
        leader.resign()
        self.coordinators.remove(leader)
        self.add_coordinator()

    def lift_faults(self) -> None:
        """End all faults, except for calls under way and frozen processes."""
        self.store.silent_until_s = 0.0
        self.network.lift_faults()
        for leased in self.worker_by_id.values():
            if leased.is_up:
                self.register(leased.worker)

    def busy_workers(self) -> list[str]:
        """Return the workers that run something."""
        return [i for i, w in self.worker_by_id.items() if w.run_by_task_and_number]

    def unfinished_jobs(self) -> list[str]:
        """Return the jobs that have not come to the end that they should have.

        A job is to be recorded as completed, or as cancelled with nothing running; all
        tasks of a job that lasts are to run.
        """
        return [
            job.job_id for job in self.job_by_id.values() if not self._is_settled(job)
        ]

    def _is_settled(self, job: Job) -> bool:
        step = job.steps[0]
        tasks = [TaskKey(job.job_id, 0, 0, index) for index in range(step.count)]
        running = sum(bool(self.monitor.runs_by_task[task]) for task in tasks)
        state = self.store.state_of(job.job_id)
        if job.job_id in self.cancelled_job_ids and state in FINAL_STATES:
            return running == 0
        if step.long_running:
            return running == step.count
        is_done = self.monitor.done_tasks.issuperset(tasks)
        return state is JobState.COMPLETED and is_done and running == 0


def _policy(pool: str, version: int) -> Policy:
    policy = make_policy(max_attempts=100)
    queue = Queue("queue", "host", "/q/", pool, max_attempts=100, stretch=2.0)
    return dataclasses.replace(
        policy,
        version=version,
        queue_by_name={"queue": queue},
        pool_by_name={"pool": Pool("pool"), "other": Pool("other")},
    )
