"""Decides which tasks start where, in which order."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from lycheeloom.model.resources import Resources

from .active_job import JobWork, StepKey, StepWork
from .fleet import Fleet, WorkerState
from .model import Policy, Queue, Step, TaskKey
from .placement import candidates, choose_gang, choose_worker, tasks_by_worker

# Jobs that cannot meet their objective any more go behind the others, until
# they have waited this long; then age alone decides, so that none starves.
MAX_YIELD_S = 6.0
# Jobs of an organisation beyond its weight a second go behind those within it.
RATE_WINDOW_S = 4.0


@dataclass(frozen=True, slots=True)
class Start:
    """An order to start a task on a worker."""

    task: TaskKey
    run: int
    worker_id: str
    step: Step
    organisation: str
    queue: str
    specification: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class _Turn:
    rank: tuple[float, ...]
    work: JobWork
    key: StepKey
    step_work: StepWork
    queue: Queue


class Planner:
    """Orders the steps whose turn has come and finds workers for their tasks."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        # Workers on which a task has failed.
        self.failed_on_by_task: dict[TaskKey, set[str]] = defaultdict(set)
        self._excess_by_job: dict[str, bool] = {}
        self._recent_by_organisation: dict[str, list[float]] = defaultdict(list)

    def note_job(self, work: JobWork, policy: Policy) -> None:
        """Note a new job, for the rate at which its organisation submits."""
        organisation = policy.organisation_by_name.get(work.job.organisation)
        if organisation is None:
            return
        at_s = work.job.accepted_ms / 1000
        recent = self._recent_by_organisation[organisation.name]
        recent.append(at_s)
        while recent and recent[0] < at_s - RATE_WINDOW_S:
            recent.pop(0)
        allowed = max(1.0, organisation.weight * RATE_WINDOW_S)
        self._excess_by_job[work.job.job_id] = len(recent) > allowed

    def forget_job(self, job_id: str) -> None:
        """Drop what is kept about a job that has ended."""
        self._excess_by_job.pop(job_id, None)
        for task in [t for t in self.failed_on_by_task if t.job_id == job_id]:
            del self.failed_on_by_task[task]

    def plan(
        self,
        works: Iterable[JobWork],
        policy: Policy,
        zones_out_of_service: Collection[str],
        now_s: float,
        now_ms: float,
        advised: AdvisedWorkers | None = None,
    ) -> list[Start]:
        """Return the tasks to start now; the caller adds their runs to the fleet.

        ``now_s`` is the leader's steady clock, ``now_ms`` the time since 1970.
        """
        turns = [
            _Turn(self._rank(work, queue, key, now_ms), work, key, step_work, queue)
            for work in works
            if (queue := policy.queue_by_name.get(work.job.queue)) is not None
            for key, step_work in work.startable_steps(now_ms)
        ]
        turns.sort(key=lambda turn: turn.rank)
        starts: list[Start] = []
        reserved = _Reservations(self._fleet)
        # Pools without room for a need of this size are not searched again.
        full: dict[str, Resources] = {}
        for turn in turns:
            starts.extend(
                self._plan_step(
                    turn, policy, zones_out_of_service, now_s, reserved, full, advised
                )
            )
        reserved.release()
        return starts

    def _rank(
        self, work: JobWork, queue: Queue, key: StepKey, now_ms: float
    ) -> tuple[float, ...]:
        job = work.job
        begins_ms = max(job.accepted_ms, job.due_ms(key[0]))
        objective_ms = queue.stretch * work.chain_ms() + queue.target_latency_ms
        deadline_ms = begins_ms + objective_ms
        slack_ms = deadline_ms - now_ms - work.remaining_chain_ms(key)
        waited_s = (now_ms - begins_ms) / 1000
        is_late = slack_ms < 0 and waited_s < MAX_YIELD_S
        step = job.steps[key[1]]
        if step.long_running:
            return (queue.priority, 0, 0, begins_ms)
        is_excess = self._excess_by_job.get(job.job_id, False)
        return (queue.priority, is_excess, is_late, deadline_ms)

    def _plan_step(
        self,
        turn: _Turn,
        policy: Policy,
        zones_out_of_service: Collection[str],
        now_s: float,
        reserved: _Reservations,
        full: dict[str, Resources],
        advised: AdvisedWorkers | None,
    ) -> list[Start]:
        step, pool = turn.step_work.step, turn.queue.pool
        least = full.get(pool)
        is_narrow = step.label or step.max_per_worker or step.gang
        # Only a step that may run on every worker shows that the pool is full.
        plain = not is_narrow and turn.queue.advice is None
        if least is not None and plain and _covers(step.need, least):
            return []
        states = candidates(self._fleet, pool, step, zones_out_of_service, now_s)
        if turn.queue.advice is not None and advised is not None:
            states = advised.filter(turn.work.job.job_id, turn.key, states)
        if not states:
            return []
        if step.gang:
            return self._plan_gang(turn, policy, states, reserved)
        starts = []
        counts: Counter[str] = Counter()
        if step.max_per_worker:
            counts = tasks_by_worker(self._fleet, turn.work.job.job_id, *turn.key)
        for index in list(turn.step_work.waiting):
            if not reserved.allows(policy, turn.work.job.organisation, step):
                break
            task = TaskKey(turn.work.job.job_id, *turn.key, index)
            avoid = self.failed_on_by_task.get(task, ())
            state = choose_worker(states, step, counts, avoid)
            if state is None:
                if plain:
                    full[pool] = step.need
                break
            counts[state.worker.worker_id] += 1
            starts.append(self._start(turn, task, state, turn.work.take(task)))
            reserved.add(turn.work.job.organisation, step, state)
        return starts

    def _plan_gang(
        self,
        turn: _Turn,
        policy: Policy,
        states: list[WorkerState],
        reserved: _Reservations,
    ) -> list[Start]:
        step, work = turn.step_work.step, turn.work
        if len(turn.step_work.waiting) < step.count:
            return []
        organisation = work.job.organisation
        if not reserved.allows(policy, organisation, step, step.count):
            return []
        choice = choose_gang(states, step, sorted(turn.step_work.waiting))
        if choice is None:
            return []
        run = work.next_run()
        starts = []
        for index, state in choice.items():
            task = TaskKey(work.job.job_id, *turn.key, index)
            turn.step_work.waiting.remove(index)
            starts.append(self._start(turn, task, state, run))
            reserved.add(organisation, step, state)
        return starts

    def _start(self, turn: _Turn, task: TaskKey, state: WorkerState, run: int) -> Start:
        job, saved = turn.work.job, turn.step_work.checkpoint_by_index
        checkpoint = saved.get(task.index, "")
        if turn.step_work.step.gang:
            checkpoint = next(iter(saved.values()), "")
        return Start(
            task,
            run,
            state.worker.worker_id,
            turn.step_work.step,
            job.organisation,
            job.queue,
            job.specification,
            checkpoint,
        )


class AdvisedWorkers:
    """Workers that the advice service has named for a step, with their tickets."""

    def __init__(self) -> None:
        # Ticket and the time until which it is used, by job, step and worker.
        self.ticket_by_key: dict[tuple[str, StepKey, str], tuple[str, float]] = {}

    def filter(
        self, job_id: str, key: StepKey, states: list[WorkerState]
    ) -> list[WorkerState]:
        """Keep the workers for which a ticket is known."""
        return [
            state
            for state in states
            if (job_id, key, state.worker.worker_id) in self.ticket_by_key
        ]

    def forget_job(self, job_id: str) -> None:
        """Drop the tickets of a job that has ended."""
        for entry in [e for e in self.ticket_by_key if e[0] == job_id]:
            del self.ticket_by_key[entry]


class _Reservations:
    """Room and limits taken by the starts of one planning round."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._used_by_organisation: dict[str, Resources] = {}
        self._need_by_worker: dict[str, tuple[WorkerState, Resources]] = {}

    def allows(self, policy: Policy, name: str, step: Step, count: int = 1) -> bool:
        organisation = policy.organisation_by_name.get(name)
        if organisation is None:
            return True
        use = step.use
        total = Resources(
            use.cores * count, use.memory_mb * count, use.accelerators * count
        )
        return organisation.allows(self._used(name), total)

    def add(self, name: str, step: Step, state: WorkerState) -> None:
        self._used_by_organisation[name] = self._used(name) + step.use
        worker_id = state.worker.worker_id
        _, need = self._need_by_worker.get(worker_id, (state, Resources()))
        self._need_by_worker[worker_id] = (state, need + step.need)
        state.used = state.used + step.need

    def release(self) -> None:
        """Undo the reservations; the runs are added to the fleet by the caller."""
        for state, need in self._need_by_worker.values():
            state.used = state.used - need

    def _used(self, name: str) -> Resources:
        used = self._used_by_organisation.get(name)
        return self._fleet.used_by_organisation[name] if used is None else used


def _covers(need: Resources, least: Resources) -> bool:
    return (
        need.cores >= least.cores
        and need.memory_mb >= least.memory_mb
        and need.accelerators >= least.accelerators
    )
