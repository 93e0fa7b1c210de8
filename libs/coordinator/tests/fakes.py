"""In-memory implementations of the coordinator's ports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from libs.coordinator.tests.fake_store import FakeStore

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.dispatcher import Dispatcher
from lycheeloom.coordinator.features import NO_FEATURES
from lycheeloom.coordinator.ports import (
    CallOutcome,
    CallReply,
    Renewal,
    TaskLists,
)
from lycheeloom.coordinator.replica import Replica
from lycheeloom.coordinator.view import View
from lycheeloom.coordinator.writer import LeaderWriter
from lycheeloom.jobs.model import (
    EndedTask,
    EndKind,
    Job,
    Organisation,
    Policy,
    Pool,
    Queue,
    RunningTask,
    Step,
    TaskKey,
    Worker,
)
from lycheeloom.jobs.planner import Start
from lycheeloom.model.resources import NO_RESOURCES, Resources

JOB_ID = "0" * 16
# Time that a poll takes to reach the worker; other greenlets run meanwhile.
POLL_DELAY_S = 0.03


@dataclass
class FakeWorker:
    """State and faults of one worker."""

    # Numbers of the running runs, by task.
    running: dict[TaskKey, int] = field(default_factory=dict)
    # Ends of all runs, including those that the leader has acknowledged.
    ended: list[EndedTask] = field(default_factory=list)
    # Highest run number of each task that was stopped or has ended; starts up to it are
    # rejected.
    highest_closed_run_by_task: dict[TaskKey, int] = field(default_factory=dict)
    # Progress that all runs report.
    percent: int = 50
    # Number of the latest end that the leader has acknowledged.
    acknowledged_end: int = 0
    end_count: int = 0
    # Highest fencing token of a poll; orders and polls with a lower one are rejected.
    token: int = 0
    # Calls time out without effect.
    is_unresponsive: bool = False
    # Starts are carried out but their answers are lost.
    loses_start_answers: bool = False
    # Starts time out and are put into ``delayed_starts``; a test can have them carried
    # out with ``carry_out_start``.
    delays_starts: bool = False
    delayed_starts: list[Start] = field(default_factory=list)
    # Starts are carried out and answered after this time.
    start_delay_s: float = 0.0
    # Stops are carried out at once and answered after this time.
    stop_delay_s: float = 0.0
    # The answer to stops that are carried out.
    stop_outcome: CallOutcome = CallOutcome.DONE
    # Maximum ends in one list; the others are listed once these are acknowledged.
    max_listed_ends: int = 500
    # All lists come over one connection, which a restart resets.
    connection_id: int = 1
    # Start time of this incarnation in its lists; if 0, see ``FakeWorkers``.
    started_ms: int = 0
    # Orders that were not sent since another incarnation would have got them.
    unsent_orders: int = 0


class FakeWorkers:
    """A worker port for all workers; ``by_id`` holds those called so far."""

    def __init__(self) -> None:
        self.by_id: dict[str, FakeWorker] = {}
        # Worker, task and run number of each start that was carried out, in order.
        self.started_runs: list[tuple[str, TaskKey, int]] = []
        # Start time of the worker's incarnation in all lists; if 0, each list contains
        # the time in the leader's ``Worker``.
        self.listed_started_ms = 0
        # Processor time of the leader for sending a start order.
        self.start_cpu_s = 0.0

    def worker(self, worker_id: str) -> FakeWorker:
        """Return a worker; the first call creates it."""
        return self.by_id.setdefault(worker_id, FakeWorker())

    def start(
        self, worker: Worker, start: Start, token: int, deadline_ms: int, ticket: str
    ) -> CallReply:
        fake = self.worker(worker.worker_id)
        busy_wait(self.start_cpu_s)
        if fake.is_unresponsive:
            return CallReply(CallOutcome.UNKNOWN, "no answer in time")
        if (reply := self._check_incarnation(worker)) is not None:
            return reply
        if token < fake.token:
            return CallReply(CallOutcome.FENCED)
        if deadline_ms <= steady_s() * 1000:
            return CallReply(CallOutcome.LATE)
        if fake.delays_starts:
            fake.delayed_starts.append(start)
            return CallReply(CallOutcome.UNKNOWN, "no answer in time")
        if fake.start_delay_s:
            gevent.sleep(fake.start_delay_s)
        outcome = self.carry_out_start(worker.worker_id, start)
        if fake.loses_start_answers:
            return CallReply(CallOutcome.UNKNOWN, "answer lost")
        return CallReply(outcome)

    def carry_out_start(self, worker_id: str, start: Start) -> CallOutcome:
        """Start a run; rejected if it or a later run was stopped or has ended.

        Has no effect if a run of the task is running.
        """
        fake = self.worker(worker_id)
        if start.run <= fake.highest_closed_run_by_task.get(start.task, 0):
            return CallOutcome.OLD_RUN
        if start.task not in fake.running:
            fake.running[start.task] = start.run
            self.started_runs.append((worker_id, start.task, start.run))
        return CallOutcome.DONE

    def stop(self, worker: Worker, task: str, run: int, token: int) -> CallReply:
        fake = self.worker(worker.worker_id)
        if fake.is_unresponsive:
            return CallReply(CallOutcome.UNKNOWN, "no answer in time")
        if (reply := self._check_incarnation(worker)) is not None:
            return reply
        if token < fake.token:
            return CallReply(CallOutcome.FENCED)
        task_key = TaskKey.parse(task)
        fake.highest_closed_run_by_task[task_key] = max(
            run, fake.highest_closed_run_by_task.get(task_key, 0)
        )
        if fake.running.get(task_key) == run:
            self.end_run(worker.worker_id, task_key, EndKind.STOPPED)
        outcome = fake.stop_outcome
        if fake.stop_delay_s:
            gevent.sleep(fake.stop_delay_s)
        return CallReply(outcome)

    def pace(
        self, worker: Worker, task: str, run: int, percent: int, token: int
    ) -> CallReply:
        return self._check_incarnation(worker) or CallReply(CallOutcome.DONE)

    def renew_and_list(
        self, worker: Worker, token: int, renewal: Renewal | None, wait_ms: int
    ) -> TaskLists | CallReply:
        fake = self.worker(worker.worker_id)
        gevent.sleep(POLL_DELAY_S)
        if fake.is_unresponsive:
            return CallReply(CallOutcome.UNKNOWN, "no answer in time")
        if token < fake.token:
            return CallReply(CallOutcome.FENCED)
        fake.token = token
        if renewal is not None:
            if renewal.connection_id != fake.connection_id:
                return CallReply(CallOutcome.UNKNOWN, "connection reset")
            fake.acknowledged_end = max(fake.acknowledged_end, renewal.acknowledged_end)
        deadline_s = steady_s() + wait_ms / 1000
        while not self._unacknowledged_ends(fake) and steady_s() < deadline_s:
            gevent.sleep(0.005)
        return TaskLists(
            int(steady_s() * 1000),
            fake.started_ms or self.listed_started_ms or worker.started_ms,
            tuple(
                RunningTask(task, run, "", fake.percent, 0.0)
                for task, run in fake.running.items()
            ),
            tuple(self._unacknowledged_ends(fake)[: fake.max_listed_ends]),
            len(self._unacknowledged_ends(fake)) >= fake.max_listed_ends,
            fake.connection_id,
        )

    def restart(self, worker_id: str, started_ms: int) -> None:
        """Restart a worker under its id; it no longer knows anything."""
        fake = self.worker(worker_id)
        fake.running.clear()
        fake.ended.clear()
        fake.highest_closed_run_by_task.clear()
        fake.acknowledged_end = fake.end_count = fake.token = 0
        fake.connection_id += 1
        fake.started_ms = started_ms

    def end_run(
        self, worker_id: str, task: TaskKey, kind: EndKind, checkpoint: str = ""
    ) -> None:
        """End the run of a task on a worker."""
        fake = self.worker(worker_id)
        run = fake.running.pop(task)
        fake.highest_closed_run_by_task[task] = max(
            run, fake.highest_closed_run_by_task.get(task, 0)
        )
        fake.end_count += 1
        fake.ended.append(EndedTask(fake.end_count, task, run, kind, checkpoint))

    def end_all_runs(self, kind: EndKind = EndKind.DONE) -> int:
        """End all runs; return their number."""
        ended_count = 0
        for worker_id, fake in self.by_id.items():
            for task in list(fake.running):
                self.end_run(worker_id, task, kind)
                ended_count += 1
        return ended_count

    def _check_incarnation(self, worker: Worker) -> CallReply | None:
        """Return the reply to an order for another incarnation, else None."""
        fake = self.worker(worker.worker_id)
        if fake.started_ms in (0, worker.started_ms):
            return None
        fake.unsent_orders += 1
        return CallReply(CallOutcome.RESTARTED, started_ms=fake.started_ms)

    @staticmethod
    def _unacknowledged_ends(fake: FakeWorker) -> list[EndedTask]:
        return [end for end in fake.ended if end.number > fake.acknowledged_end]


def busy_wait(duration_s: float) -> None:
    """Use the processor without giving way to other greenlets."""
    until_s = steady_s() + duration_s
    while steady_s() < until_s:
        pass


def make_worker(number: int, pool: str = "pool", cores: float = 8.0) -> Worker:
    """Return a worker; workers alternate between two zones with a rack each."""
    letter = "ab"[number % 2]
    return Worker(
        f"w{number}",
        1,
        pool,
        f"127.0.0.1:{number}",
        f"zone-{letter}",
        Resources(cores, 32_000, 0),
        frozenset({"kind", f"rack-{letter}"}),
        f"rack-{letter}",
    )


def make_policy(limit: Resources = NO_RESOURCES, max_attempts: int = 2) -> Policy:
    """Return a policy with one queue, one pool and one organisation.

    ``limit`` is the upper limit of the organisation.
    """
    queue = Queue(
        "queue", "host", "/q/", "pool", max_attempts=max_attempts, stretch=2.0
    )
    organisation = Organisation("red", frozenset({"key"}), 10.0, limit)
    return Policy(
        1, {"queue": queue}, {"pool": Pool("pool")}, {"red": organisation}, {}
    )


def make_job(job_id: str = "0" * 16, *steps: Step) -> Job:
    """Return a job, by default with one step of one task."""
    return Job(job_id, "queue", "red", "spec", steps or (Step(1, 1000),), 1)


class FakeCluster:
    """A fake store and fake workers, and the leaders that a test starts."""

    def __init__(self, worker_count: int = 2) -> None:
        self.store = FakeStore()
        self.workers = FakeWorkers()
        self.view = View(
            make_policy(),
            {f"w{number}": make_worker(number) for number in range(worker_count)},
        )
        # Optional behaviour of the leaders that start from now on.
        self.features = NO_FEATURES
        self._greenlets: list[gevent.Greenlet] = []

    def start_leader(
        self, token: int = 1, *, has_instance_list: bool = True
    ) -> Dispatcher:
        """Start a leader with a fencing token; return its dispatcher.

        It has a list with an instance of each worker in the view, unless
        ``has_instance_list`` is false.

        Earlier leaders keep running until they notice that they are fenced.
        """
        replica = Replica(self.store)
        replica.is_leading = True
        assert replica.load()
        writer = LeaderWriter(self.store, token, f"instance-{token}", lambda: None)
        end = writer.open(1.0)
        assert end is not None
        self._greenlets.append(gevent.spawn(replica.run))
        assert replica.wait_for_leader_record(end, 1.0)
        dispatcher = Dispatcher(
            self.workers, replica, writer, self.view, features=self.features
        )
        if has_instance_list:
            workers = self.view.worker_by_id.values()
            pool_by_live_worker = {w.worker_id: w.pool for w in workers}
            dispatcher.note_instances(pool_by_live_worker, steady_s())
        self._greenlets.append(gevent.spawn(dispatcher.run))
        return dispatcher

    def spawn(self, function: Callable[[], None]) -> None:
        """Run a function in a greenlet until the cluster is closed."""
        self._greenlets.append(gevent.spawn(function))

    def close(self) -> None:
        """Stop all greenlets."""
        gevent.killall(self._greenlets)


def wait_until(condition: Callable[[], bool], timeout_s: float = 20.0) -> None:
    """Wait for a condition; the timeout only ends a test that would hang."""
    deadline_s = steady_s() + timeout_s
    while not condition():
        if steady_s() > deadline_s:
            raise TimeoutError("condition not met in time")
        gevent.sleep(0.005)
