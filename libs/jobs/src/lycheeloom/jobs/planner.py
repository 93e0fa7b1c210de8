"""Decides which tasks to start, in which order and on which workers."""

from __future__ import annotations

import copy
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from lycheeloom.model.resources import Resources

from .active_job import ActiveJob
from .advised_workers import AdvisedWorkers
from .fleet import Fleet, WorkerState
from .model import Policy, Queue, Step, TaskKey
from .overload_order import JobRank, OverloadOrder, WaitingJob
from .placement import (
    UsableWorkers,
    WorkerChoice,
    choose_gang,
    is_at_least,
    tasks_by_worker,
)
from .step_tasks import StepTasks
from .task_numbering import StepKey

# Jobs that can no longer meet their deadline are ranked behind the others until they
# have waited this long; then they are ranked by their deadline again, so that none
# starves.
MAX_LATE_DEFERRAL_S = 6.0
# Time over which the submission rate of an organisation is measured. Jobs that exceed
# the rate given by its weight, in jobs per second, are ranked behind the others.
RATE_WINDOW_S = 4.0
# A round plans at most this many starts, and the members of one gang beyond them, so
# that the leader's polls and the renewal of its lease are not held up. The next round
# goes on with the others.
MAX_STARTS_PER_ROUND = 200
NO_UNKNOWN_USE: Mapping[str, Resources] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Start:
    """A decision to start a task on a worker."""

    task: TaskKey
    run: int
    worker_id: str
    step: Step
    organisation: str
    queue: str
    specification: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RankedStep:
    """A step with waiting tasks that may start; the lowest rank goes first."""

    rank: tuple[float, ...]
    active_job: ActiveJob
    step_key: StepKey
    step_tasks: StepTasks
    queue: Queue


class Planner:
    """Ranks the steps that may start and assigns workers to their tasks."""

    def __init__(self, fleet: Fleet, *, uses_overload_order: bool = False) -> None:
        self._fleet = fleet
        # Orders the jobs of full pools; None if this feature is not in use.
        self.overload_order = OverloadOrder(fleet) if uses_overload_order else None
        # Ids of the workers on which a task has failed; other workers are preferred.
        self.failed_workers_by_task: dict[TaskKey, set[str]] = defaultdict(set)
        # Whether a job was submitted above the rate allowed for its organisation.
        self._exceeds_rate_by_job: dict[str, bool] = {}
        # Acceptance times of the recent jobs of an organisation.
        self._accepted_s_by_organisation: dict[str, list[float]] = defaultdict(list)

    def note_job(self, active_job: ActiveJob, policy: Policy) -> None:
        """Count a new job towards the submission rate of its organisation.

        A job whose organisation is not in the policy never exceeds the rate.
        """
        organisation = policy.organisation_by_name.get(active_job.job.organisation)
        if organisation is None:
            return
        accepted_s = active_job.job.accepted_ms / 1000
        recent_s = self._accepted_s_by_organisation[organisation.name]
        recent_s.append(accepted_s)
        while recent_s and recent_s[0] < accepted_s - RATE_WINDOW_S:
            recent_s.pop(0)
        allowed_jobs = max(1.0, organisation.weight * RATE_WINDOW_S)
        self._exceeds_rate_by_job[active_job.job.job_id] = len(recent_s) > allowed_jobs

    def forget_job(self, job_id: str) -> None:
        """Discard the state kept for a job that has ended."""
        self._exceeds_rate_by_job.pop(job_id, None)
        if self.overload_order is not None:
            self.overload_order.forget_job(job_id)
        for task in [t for t in self.failed_workers_by_task if t.job_id == job_id]:
            del self.failed_workers_by_task[task]

    def copied(self, fleet: Fleet) -> Planner:
        """Return a copy that plans for ``fleet`` and leaves this planner as it is."""
        copied = copy.copy(self)
        copied._fleet = fleet
        if self.overload_order is not None:
            copied.overload_order = self.overload_order.copied(fleet)
        copied._exceeds_rate_by_job = self._exceeds_rate_by_job.copy()
        accepted_s = self._accepted_s_by_organisation
        copied._accepted_s_by_organisation = copy.deepcopy(accepted_s)
        return copied

    def plan(
        self,
        active_jobs: Iterable[ActiveJob],
        policy: Policy,
        zones_out_of_service: Collection[str],
        now_s: float,
        now_ms: float,
        advised_workers: AdvisedWorkers | None = None,
        unknown_use_by_organisation: Mapping[str, Resources] = NO_UNKNOWN_USE,
    ) -> list[Start]:
        """Return the tasks to start now; the caller adds their runs to the fleet.

        With ``MAX_STARTS_PER_ROUND`` or more starts, others may be able to start too.
        ``now_s`` is the leader's monotonic clock, ``now_ms`` is Unix time. Steps of
        queues that require advice start only on ``advised_workers``; None stands for
        no restriction. ``unknown_use_by_organisation`` contains the resources that runs
        unknown to the fleet may use; they count towards the organisations' limits.
        """
        starts: list[Start] = []
        reservations = _Reservations(self._fleet, unknown_use_by_organisation)
        workers = UsableWorkers(self._fleet, zones_out_of_service, now_s)
        # Resources of a task that did not fit on any worker of the pool; tasks that
        # need at least as much are not tried again in this round.
        unplaceable_need_by_pool: dict[str, Resources] = {}
        for ranked in self.ranked_steps(
            active_jobs, policy, zones_out_of_service, now_ms, workers
        ):
            if len(starts) >= MAX_STARTS_PER_ROUND:
                break
            starts.extend(
                self._plan_step(
                    ranked,
                    policy,
                    workers,
                    now_ms,
                    reservations,
                    unplaceable_need_by_pool,
                    advised_workers,
                    MAX_STARTS_PER_ROUND - len(starts),
                )
            )
        reservations.release()
        return starts

    def ranked_steps(
        self,
        active_jobs: Iterable[ActiveJob],
        policy: Policy,
        zones_out_of_service: Collection[str],
        now_ms: float,
        workers: UsableWorkers | None = None,
    ) -> list[RankedStep]:
        """Return the steps that may start, in the order in which they are planned.

        With ``workers``, steps that none of them has room for are left out.
        """
        waiting_jobs = [
            WaitingJob(active_job, queue, steps)
            for active_job in active_jobs
            if (queue := policy.queue_by_name.get(active_job.job.queue)) is not None
            and (steps := active_job.startable_steps(now_ms))
        ]
        rank_by_occurrence: Mapping[tuple[str, int], JobRank] = {}
        if self.overload_order is not None:
            rank_by_occurrence = self.overload_order.rank(
                waiting_jobs,
                policy,
                zones_out_of_service,
                self._exceeds_rate_by_job,
                now_ms,
            )
        ranked_steps = [
            RankedStep(
                self._rank(waiting_job, step_key, rank_by_occurrence, now_ms),
                waiting_job.active_job,
                step_key,
                step_tasks,
                waiting_job.queue,
            )
            for waiting_job in waiting_jobs
            for step_key, step_tasks in waiting_job.steps
            if workers is None
            or workers.may_fit(waiting_job.queue.pool, step_tasks.step.reservation)
        ]
        return sorted(ranked_steps, key=lambda ranked: ranked.rank)

    def _rank(
        self,
        waiting_job: WaitingJob,
        step_key: StepKey,
        rank_by_occurrence: Mapping[tuple[str, int], JobRank],
        now_ms: float,
    ) -> tuple[float, ...]:
        """Return the rank of a step; steps with lower ranks start first.

        The rank consists of the priority of the queue, of whether the job exceeds the
        submission rate of its organisation, of whether it can no longer meet its
        deadline, and of the deadline. Long-running steps have no deadline and are
        ranked by their begin instead. In a full pool, ``OverloadOrder`` decides if it
        is in use.
        """
        active_job, queue = waiting_job.active_job, waiting_job.queue
        job = active_job.job
        if job.steps[step_key[1]].long_running:
            return (queue.priority, 0, 0, max(job.accepted_ms, job.due_ms(step_key[0])))
        job_rank = rank_by_occurrence.get((job.job_id, step_key[0]))
        if job_rank is not None:
            return (queue.priority, job_rank.service, 0, job_rank.order)
        begins_ms = max(job.accepted_ms, job.due_ms(step_key[0]))
        target_duration_ms = (
            queue.stretch * active_job.chain_ms() + queue.target_latency_ms
        )
        deadline_ms = begins_ms + target_duration_ms
        slack_ms = deadline_ms - now_ms - active_job.remaining_chain_ms(step_key)
        waited_s = (now_ms - begins_ms) / 1000
        is_deferred = slack_ms < 0 and waited_s < MAX_LATE_DEFERRAL_S
        exceeds_rate = self._exceeds_rate_by_job.get(job.job_id, False)
        return (queue.priority, exceeds_rate, is_deferred, deadline_ms)

    def _plan_step(
        self,
        ranked: RankedStep,
        policy: Policy,
        workers: UsableWorkers,
        now_ms: float,
        reservations: _Reservations,
        unplaceable_need_by_pool: dict[str, Resources],
        advised_workers: AdvisedWorkers | None,
        max_starts: int,
    ) -> list[Start]:
        """Return the starts of a step, up to the limits of workers and organisation.

        A gang is not subject to ``max_starts``, as its tasks start together.
        Also sets the pool's ``unplaceable_need`` if the pool has no room for a task.
        """
        step, pool = ranked.step_tasks.step, ranked.queue.pool
        if not workers.may_fit(pool, step.reservation):
            return []
        unplaceable_need = unplaceable_need_by_pool.get(pool)
        is_restricted = step.label or step.max_per_worker or step.gang
        # Only a step that may run on any worker can show that the pool is full.
        runs_anywhere = not is_restricted and ranked.queue.advice is None
        if (
            unplaceable_need is not None
            and runs_anywhere
            and is_at_least(step.reservation, unplaceable_need)
        ):
            return []
        states = workers.eligible(pool, step)
        if ranked.queue.advice is not None and advised_workers is not None:
            states = advised_workers.filter(
                ranked.active_job.job.job_id, ranked.step_key, states
            )
        if not states:
            return []
        if step.gang:
            return self._plan_gang(ranked, policy, states, now_ms, reservations)
        starts = []
        counts: Counter[str] = Counter()
        if step.max_per_worker:
            counts = tasks_by_worker(
                self._fleet, ranked.active_job.job.job_id, *ranked.step_key
            )
        choice = WorkerChoice(states, step, counts)
        while ranked.step_tasks.waiting and len(starts) < max_starts:
            index = ranked.step_tasks.waiting.first
            if not reservations.allows(
                policy, ranked.active_job.job.organisation, step
            ):
                break
            task = TaskKey(ranked.active_job.job.job_id, *ranked.step_key, index)
            avoid = self.failed_workers_by_task.get(task, ())
            state = choice.next_worker(avoid)
            if state is None:
                workers.refresh(pool)
                if runs_anywhere:
                    unplaceable_need_by_pool[pool] = step.reservation
                break
            counts[state.worker.worker_id] += 1
            self._note_start(ranked.active_job, now_ms)
            starts.append(
                self._start(ranked, task, state, ranked.active_job.take(task))
            )
            reservations.add(ranked.active_job.job.organisation, step, state)
        return starts

    def _plan_gang(
        self,
        ranked: RankedStep,
        policy: Policy,
        states: list[WorkerState],
        now_ms: float,
        reservations: _Reservations,
    ) -> list[Start]:
        """Return the starts of all tasks of a gang, or none if not all can start."""
        step, active_job = ranked.step_tasks.step, ranked.active_job
        if len(ranked.step_tasks.waiting) < step.count:
            return []
        organisation = active_job.job.organisation
        if not reservations.allows(policy, organisation, step, step.count):
            return []
        choice = choose_gang(states, step, sorted(ranked.step_tasks.waiting))
        if choice is None:
            return []
        self._note_start(active_job, now_ms)
        # All runs of a gang have the same number.
        run = active_job.next_run()
        starts = []
        for index, state in choice.items():
            task = TaskKey(active_job.job.job_id, *ranked.step_key, index)
            active_job.remove_waiting(task)
            starts.append(self._start(ranked, task, state, run))
            reservations.add(organisation, step, state)
        return starts

    def _note_start(self, active_job: ActiveJob, now_ms: float) -> None:
        if self.overload_order is not None and not active_job.has_begun:
            self.overload_order.note_start(active_job, now_ms)

    def _start(
        self, ranked: RankedStep, task: TaskKey, state: WorkerState, run: int
    ) -> Start:
        job, checkpoints = ranked.active_job.job, ranked.step_tasks.checkpoint_by_index
        checkpoint = checkpoints.get(task.index, "")
        # All tasks of a gang continue from the same checkpoint.
        if ranked.step_tasks.step.gang:
            checkpoint = next(iter(checkpoints.values()), "")
        return Start(
            task,
            run,
            state.worker.worker_id,
            ranked.step_tasks.step,
            job.organisation,
            job.queue,
            job.specification,
            checkpoint,
        )


class _Reservations:
    """Resources taken by the starts planned so far in one round.

    They are added to the workers' ``used`` until ``release``, and to copies of the
    organisations' use.
    """

    def __init__(
        self, fleet: Fleet, unknown_use_by_organisation: Mapping[str, Resources]
    ) -> None:
        self._fleet = fleet
        self._used_by_organisation = {
            name: fleet.used_by_organisation[name] + use
            for name, use in unknown_use_by_organisation.items()
        }
        # Worker and the resources reserved on it, by worker id.
        self._reservation_by_worker: dict[str, tuple[WorkerState, Resources]] = {}

    def allows(
        self, policy: Policy, organisation_name: str, step: Step, count: int = 1
    ) -> bool:
        """Return whether ``count`` more tasks stay within the organisation's limit."""
        organisation = policy.organisation_by_name.get(organisation_name)
        if organisation is None:
            return True
        return organisation.allows(
            self._used(organisation_name), step.limit_use.times(count)
        )

    def add(self, organisation_name: str, step: Step, state: WorkerState) -> None:
        """Reserve the resources of one task."""
        self._used_by_organisation[organisation_name] = (
            self._used(organisation_name) + step.limit_use
        )
        worker_id = state.worker.worker_id
        _, reserved = self._reservation_by_worker.get(worker_id, (state, Resources()))
        self._reservation_by_worker[worker_id] = (state, reserved + step.reservation)
        state.used = state.used + step.reservation
        state.planned_tasks += 1

    def release(self) -> None:
        """Undo the reservations on the workers.

        The runs of the starts are counted when the caller adds them to the fleet.
        """
        for state, reserved in self._reservation_by_worker.values():
            state.used = state.used - reserved
            state.planned_tasks = 0

    def _used(self, organisation_name: str) -> Resources:
        used = self._used_by_organisation.get(organisation_name)
        return (
            self._fleet.used_by_organisation[organisation_name]
            if used is None
            else used
        )
