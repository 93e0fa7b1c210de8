"""Property test: a random state machine checks the scheduler against a simple model.

The model tracks only what workers and callers see: queued and running tasks, free
capacity and grants.
"""

from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from lycheeloom.model.config import Queue, ZoneState
from lycheeloom.model.resources import NO_RESOURCES, Resources
from lycheeloom.model.verdict import Refusal
from lycheeloom.sched import (
    Checkpoint,
    Expire,
    OrganisationUsage,
    Outcome,
    Scheduler,
    Start,
    Task,
)

from .fleet_fixtures import make_config, with_zone

ORGANISATIONS = ("t0", "t1", "t2")
QUEUES = ("q", "o", "b")
# Longest time that a core may stay idle while a task of one core waits and may run.
MAX_IDLE_S = 4.0
SIZES = (Resources(1, 1024), Resources(2, 1024), Resources(4, 8192))


class SchedulerMachine(RuleBasedStateMachine):
    """Callers, operators and workers act at random; the model checks the decisions."""

    @initialize(seed=st.integers(0, 1000))
    def start_scheduler(self, seed):
        self.config = make_config(workers=3, weights=(3, 2, 1), spare=2)
        self.scheduler = Scheduler(self.config, seed)
        self.now = 0.0
        self.task_count = 0
        self.grants = dict.fromkeys(ORGANISATIONS, 4)
        self.scheduler.set_grants(self.grants)
        self.queued = {}
        self.running = {}
        self.started_once = set()
        self.checkpoint_requested = set()
        self.awaiting_requeue = {}
        self.free = {n: i.size for n, i in self.config.instance_by_id.items()}
        self.idle_since = None
        for name in self.free:
            self.scheduler.observe_worker(name, True, self.free[name], "b", 0.0)

    @rule(
        organisation=st.sampled_from(ORGANISATIONS),
        queue=st.sampled_from(QUEUES),
        size=st.sampled_from(SIZES),
        count=st.integers(1, 6),
        flags=st.tuples(st.booleans(), st.booleans(), st.booleans()),
        deadline_after_s=st.sampled_from((None, 3.0)),
    )
    def submit(self, organisation, queue, size, count, flags, deadline_after_s):
        idempotent, urgent, checkpointable = flags
        for _ in range(count):
            self.task_count += 1
            deadline = None if deadline_after_s is None else self.now + deadline_after_s
            task = Task(
                f"task{self.task_count}",
                organisation,
                queue,
                size,
                2.0,
                self.now,
                deadline,
                idempotent,
                urgent and self.task_count % 4 == 0,
                checkpointable,
            )
            verdict = self.scheduler.submit(task, self.now)
            if not isinstance(verdict, Refusal):
                self.queued[task.id] = task

    @rule(step=st.sampled_from((0.0, 0.1, 0.6, 2.5)))
    def advance(self, step):
        self.now += step
        for decision in self.scheduler.next_decisions(self.now):
            match decision:
                case Start(task, worker, resources):
                    self.check_start(task, worker, resources)
                case Checkpoint(task_id):
                    if task_id in self.running:
                        assert self.running[task_id][0].checkpointable
                        self.checkpoint_requested.add(task_id)
                case Expire(task):
                    assert task.deadline <= self.now
                    # A task that a worker refused may expire before its requeue.
                    if self.queued.pop(task.id, None) is None:
                        del self.awaiting_requeue[task.id]
        self.check_work_conservation(step)

    def check_start(self, task, worker, resources):
        assert self.queued.pop(task.id) == task
        zone = self.config.instance_by_id[worker].zone
        assert self.config.zone_by_id[zone].state is ZoneState.IN
        assert resources.fits_in(self.free[worker])
        if not (task.idempotent or task.checkpointable):
            assert task.id not in self.started_once
        self.started_once.add(task.id)
        self.running[task.id] = (task, worker, resources)
        self.free[worker] = self.free[worker] - resources
        running = sum(
            t.organisation == task.organisation for t, _, _ in self.running.values()
        )
        assert running <= self.grants[task.organisation]

    def check_work_conservation(self, step):
        """Check that no core stays idle for long while a small task may run."""
        running = dict.fromkeys(ORGANISATIONS, 0)
        for task, _, _ in self.running.values():
            running[task.organisation] += 1
        waits = any(
            task.resources == SIZES[0]
            and running[task.organisation] < self.grants[task.organisation]
            for task in self.queued.values()
        )
        idle = any(
            self.free[name].cores >= 1
            and self.config.zone_by_id[i.zone].state is ZoneState.IN
            for name, i in self.config.instance_by_id.items()
        )
        if not (waits and idle) or self.checkpoint_requested:
            self.idle_since = None
        elif self.idle_since is None:
            self.idle_since = self.now
        # After a large step of time the scheduler had no chance to act within it.
        if self.idle_since is not None and step <= 0.6:
            assert self.now - self.idle_since <= MAX_IDLE_S

    @rule(data=st.data(), outcome=st.sampled_from(Outcome))
    def finish(self, data, outcome):
        if not self.running:
            return
        task_id = data.draw(st.sampled_from(sorted(self.running)))
        # Only a task that was asked to checkpoint can stop.
        if outcome is Outcome.STOPPED and task_id not in self.checkpoint_requested:
            outcome = Outcome.DONE
        # No task fails in this test, so that no worker is put on probation.
        if outcome is Outcome.FAILED:
            outcome = Outcome.DONE
        task, worker, resources = self.running.pop(task_id)
        self.free[worker] = self.free[worker] + resources
        self.checkpoint_requested.discard(task_id)
        self.scheduler.finished(task_id, outcome, self.now)
        if outcome is Outcome.STOPPED:
            self.queued[task_id] = task
        if outcome is Outcome.REFUSED_BY_WORKER:
            # A worker refuses a task only without having run it.
            self.started_once.discard(task_id)
            self.awaiting_requeue[task_id] = (task, worker)
        self.scheduler.observe_worker(worker, True, self.free[worker], "b", self.now)

    @rule()
    def requeue(self):
        for task_id, (task, worker) in self.awaiting_requeue.items():
            self.scheduler.requeue(task_id, worker)
            self.queued[task_id] = task
        self.awaiting_requeue = {}

    @rule(data=st.data())
    def cancel(self, data):
        if not self.queued:
            return
        chosen = data.draw(st.sets(st.sampled_from(sorted(self.queued)), max_size=5))
        done = self.scheduler.cancel([*chosen, "unknown"], self.now)
        assert set(done) == chosen
        for task_id in chosen:
            del self.queued[task_id]

    @rule(zone=st.sampled_from(("z0", "z1", "z2")), out=st.booleans())
    def change_zone(self, zone, out):
        state = ZoneState.OUT if out else ZoneState.IN
        self.config = with_zone(self.config, zone, state)
        self.scheduler.set_config(self.config, self.now)
        self.idle_since = None

    @rule(organisation=st.sampled_from(ORGANISATIONS), slots=st.integers(0, 12))
    def change_grant(self, organisation, slots):
        self.grants[organisation] = slots
        self.scheduler.set_grants(self.grants)

    @rule(organisation=st.sampled_from(ORGANISATIONS), queued=st.integers(0, 5))
    def receive_peer_usage(self, organisation, queued):
        usage = OrganisationUsage(NO_RESOURCES, queued, {"q": queued} if queued else {})
        self.scheduler.set_peer_usage({"peer": {organisation: usage}})

    @rule(worker=st.integers(0, 2))
    def move_worker(self, worker):
        pools = {name: i.pool for name, i in self.config.instance_by_id.items()}
        pools[f"other-{worker}"] = "main"
        self.scheduler.set_pool_by_instance(pools)

    @rule(bound=st.integers(5, 50))
    def change_queue(self, bound):
        queues = dict(self.config.queue_by_id)
        queue: Queue = queues["q"]
        queues["q"] = replace(queue, max_queued=bound)
        self.config = replace(self.config, queue_by_id=queues)
        self.scheduler.set_config(self.config, self.now)

    @invariant()
    def no_task_is_lost_or_counted_twice(self):
        if not hasattr(self, "scheduler"):
            return
        expected = {}
        for task in self.queued.values():
            expected[task.organisation] = expected.get(task.organisation, 0) + 1
        for task, _, _ in self.running.values():
            expected[task.organisation] = expected.get(task.organisation, 0) + 1
        assert self.scheduler.demand_by_organisation() == expected


TestScheduler = SchedulerMachine.TestCase
TestScheduler.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    database=None,
)
