"""Ranks the waiting jobs of pools that have no room for all of them."""

from __future__ import annotations

import copy
import math
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from lycheeloom.model.resources import Resources

from .acceptance import MAX_TARGETS, target_ms
from .active_job import ActiveJob
from .fleet import Fleet
from .model import Policy, Queue
from .overload import Contender, PoolRoom, Service, choose_service
from .size_groups import SizeGroups
from .step_tasks import StepTasks
from .task_numbering import StepKey

# A delayed job that has waited for this long is brought forward, one at a time in each
# pool and priority, so that every accepted job is completed.
MAX_DELAY_S = 10.0
# Another one gets its turn after this time: a job may be unable to start, for example
# because its organisation is at its limit, or may never end.
FORWARD_TURN_S = 5.0
# Ranks are kept for this long, so that rounds in quick succession cost little. Jobs
# that arrive meanwhile are ranked by their deadline.
RANK_INTERVAL_MS = 100.0


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job with steps that may start, and its queue."""

    active_job: ActiveJob
    queue: Queue
    steps: Sequence[tuple[StepKey, StepTasks]]


@dataclass(frozen=True, slots=True)
class JobRank:
    """How a job is served, and its order among jobs that are served alike."""

    service: Service
    order: float


@dataclass(frozen=True, slots=True)
class _JobFacts:
    """Figures of a job that do not change.

    ``work`` is in instance-seconds, and ``share_by_step`` holds the part of an instance
    that a task of each step uses; it is 0 for long-running tasks.
    """

    chain_ms: float
    target_ms: float
    work: float
    share_by_step: tuple[float, ...]
    group: int


@dataclass(slots=True)
class _Demand:
    """What waits for a pool: instances needed at once, and durations of tasks."""

    contenders: list[Contender]
    needed: float = 0.0
    tasks: int = 0
    duration_ms: int = 0


class OverloadOrder:
    """Ranks jobs of full pools by what a delay costs their callers.

    Only jobs with steps that end are ranked. All state is in memory: a new leader
    derives the order from the open jobs and the runs.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._sizes = SizeGroups()
        self._facts_by_job: dict[str, _JobFacts] = {}
        # Ids of the jobs whose outcome ``SizeGroups`` knows.
        self._settled_job_ids: set[str] = set()
        # The delayed job that has been brought forward, by pool and priority.
        self._forward_job_by_key: dict[tuple[str, int], str] = {}
        # When jobs were last brought forward, as Unix time.
        self._forward_ms_by_job: dict[str, float] = {}
        self._ranked_ms = -math.inf
        self._rank_by_key: dict[tuple[str, int], JobRank] = {}
        # Number of jobs by queue and service, as of the last round; full pools only.
        self.count_by_queue: dict[str, Counter[Service]] = {}

    def copied(self, fleet: Fleet) -> OverloadOrder:
        """Return a copy for ``fleet`` that ranks anew at its first call."""
        copied = copy.copy(self)
        copied._fleet = fleet
        copied._sizes = copy.deepcopy(self._sizes)
        copied._facts_by_job = self._facts_by_job.copy()
        copied._settled_job_ids = self._settled_job_ids.copy()
        copied._forward_job_by_key = self._forward_job_by_key.copy()
        copied._forward_ms_by_job = self._forward_ms_by_job.copy()
        copied._ranked_ms = -math.inf
        return copied

    def service_of(self, job_id: str, occurrence: int) -> Service | None:
        """Return how a job is served by the last ranks; None if it has none."""
        job_rank = self._rank_by_key.get((job_id, occurrence))
        return job_rank.service if job_rank is not None else None

    def forget_job(self, job_id: str) -> None:
        """Discard the state kept for a job that has ended."""
        self._facts_by_job.pop(job_id, None)
        self._settled_job_ids.discard(job_id)
        self._forward_ms_by_job.pop(job_id, None)
        for key, forward_job_id in list(self._forward_job_by_key.items()):
            if forward_job_id == job_id:
                del self._forward_job_by_key[key]

    def rank(
        self,
        waiting_jobs: Iterable[WaitingJob],
        policy: Policy,
        zones_out_of_service: Collection[str],
        is_above_rate: Mapping[str, bool],
        now_ms: float,
    ) -> dict[tuple[str, int], JobRank]:
        """Return the rank of each occurrence of a job whose pool is full.

        Occurrences are given by job id and number; those that are missing in the result
        find room at once. ``now_ms`` is Unix time.
        """
        if 0 <= now_ms - self._ranked_ms < RANK_INTERVAL_MS:
            return self._rank_by_key
        self._ranked_ms = now_ms
        jobs_by_pool: dict[str, list[WaitingJob]] = defaultdict(list)
        for waiting_job in waiting_jobs:
            jobs_by_pool[waiting_job.queue.pool].append(waiting_job)
        rank_by_key = self._rank_by_key = {}
        self.count_by_queue = {}
        weight_by_organisation = {
            name: organisation.weight
            for name, organisation in policy.organisation_by_name.items()
        }
        for pool, jobs in jobs_by_pool.items():
            capacity, room = self._room_of(pool, zones_out_of_service)
            if capacity is None:
                continue
            demand = self._demand(jobs, capacity, is_above_rate, now_ms)
            contenders = demand.contenders
            if demand.needed <= room.free:
                continue
            room = self._with_use(room, pool, capacity)
            if demand.tasks:
                task_s = demand.duration_ms / demand.tasks / 1000
                room = replace(room, task_s=task_s)
            # Queues with a higher priority take their room first.
            for priority in sorted({job.queue.priority for job in jobs}):
                job_ids = {
                    job.active_job.job.job_id
                    for job in jobs
                    if job.queue.priority == priority
                }
                group = [c for c in contenders if c.key[0] in job_ids]
                chosen = choose_service(group, room, weight_by_organisation, now_ms)
                for contender in group:
                    service = chosen[contender.key]
                    rank_by_key[contender.key] = JobRank(
                        service, _order(contender, service)
                    )
                self._bring_forward((pool, priority), group, rank_by_key, now_ms)
                preceding_work = sum(contender.work for contender in group)
                room = replace(
                    room, preceding_work=room.preceding_work + preceding_work
                )
        self._count(jobs_by_pool, rank_by_key)
        return rank_by_key

    def note_start(self, waiting_job: ActiveJob, now_ms: float) -> None:
        """Note that the first task of a job is about to start."""
        job = waiting_job.job
        facts = self._facts_by_job.get(job.job_id)
        if facts is None or job.job_id in self._settled_job_ids:
            return
        begins_ms = max(job.accepted_ms, job.due_ms(0))
        deadline_ms = begins_ms + facts.target_ms - facts.chain_ms
        self._settle(job.job_id, job.queue, facts, in_time=now_ms <= deadline_ms)

    def _settle(
        self, job_id: str, queue: str, facts: _JobFacts, *, in_time: bool
    ) -> None:
        self._settled_job_ids.add(job_id)
        self._sizes.note_outcome(queue, facts.group, in_time=in_time)

    def _demand(
        self,
        jobs: Iterable[WaitingJob],
        capacity: Resources,
        is_above_rate: Mapping[str, bool],
        now_ms: float,
    ) -> _Demand:
        """Return what waits for a pool; the least urgent step of a job counts."""
        demand = _Demand([])
        is_disadvantaged_by_group: dict[tuple[str, int], bool] = {}
        for waiting_job in jobs:
            job = waiting_job.active_job.job
            facts = self._facts_by_job.get(job.job_id)
            if facts is None:
                facts = self._add_facts(waiting_job, capacity)
            group = (job.queue, facts.group)
            is_disadvantaged = is_disadvantaged_by_group.get(group)
            if is_disadvantaged is None:
                is_disadvantaged = self._sizes.is_disadvantaged(*group)
                is_disadvantaged_by_group[group] = is_disadvantaged
            chain_ms_by_occurrence: dict[int, float] = {}
            for (occurrence, step_index), step_tasks in waiting_job.steps:
                if step_tasks.step.long_running:
                    continue
                waiting = len(step_tasks.waiting)
                demand.needed += facts.share_by_step[step_index] * waiting
                demand.tasks += waiting
                demand.duration_ms += step_tasks.step.estimated_ms * waiting
                chain_ms_by_occurrence[occurrence] = max(
                    chain_ms_by_occurrence.get(occurrence, 0.0),
                    waiting_job.active_job.remaining_chain_ms((occurrence, step_index)),
                )
            for occurrence, chain_ms in chain_ms_by_occurrence.items():
                begins_ms = max(job.accepted_ms, job.due_ms(occurrence))
                in_time_until_ms = begins_ms + facts.target_ms - chain_ms
                remaining = chain_ms / facts.chain_ms if facts.chain_ms else 1.0
                demand.contenders.append(
                    Contender(
                        (job.job_id, occurrence),
                        job.organisation,
                        facts.work * remaining,
                        in_time_until_ms,
                        in_time_until_ms + (MAX_TARGETS - 1.0) * facts.target_ms,
                        is_above_rate.get(job.job_id, False),
                        is_disadvantaged,
                        waiting_job.active_job.has_begun or job.rejections > 0,
                        job.accepted_ms - job.offered_ms,
                    )
                )
                is_missed = in_time_until_ms < now_ms
                if is_missed and job.job_id not in self._settled_job_ids:
                    self._settle(job.job_id, job.queue, facts, in_time=False)
        return demand

    def _add_facts(self, waiting_job: WaitingJob, capacity: Resources) -> _JobFacts:
        active_job, queue = waiting_job.active_job, waiting_job.queue
        job = active_job.job
        share_by_step = tuple(
            0.0 if step.long_running else step.reservation.dominant_share(capacity)
            for step in job.steps
        )
        work = sum(
            step.count * share * step.estimated_ms / 1000
            for step, share in zip(job.steps, share_by_step, strict=True)
        )
        self._sizes.note_job(job.queue, work)
        chain_ms = active_job.chain_ms()
        facts = _JobFacts(
            chain_ms,
            target_ms(queue, chain_ms),
            work,
            share_by_step,
            self._sizes.group_of(job.queue, work),
        )
        self._facts_by_job[job.job_id] = facts
        return facts

    def _room_of(
        self, pool: str, zones_out_of_service: Collection[str]
    ) -> tuple[Resources | None, PoolRoom]:
        """Return the capacity of one instance of a pool, and the room of the pool.

        What the runs use is left out; see ``_with_use``.
        """
        capacity: Resources | None = None
        instances = free = 0.0
        for state in self._fleet.state_by_id.values():
            if state.worker.pool != pool:
                continue
            capacity = capacity or state.worker.capacity
            is_usable = (
                state.has_current_lists
                and not state.is_cordoned
                and not state.worker.draining
                and state.worker.zone not in zones_out_of_service
            )
            if is_usable:
                instances += 1.0
                free += 1.0 - state.used.dominant_share(capacity)
        return capacity, PoolRoom(instances, free, 0.0, {})

    def _with_use(self, room: PoolRoom, pool: str, capacity: Resources) -> PoolRoom:
        """Return the room of a pool with what its runs use.

        This looks at each run, so it is done only for a pool that is full.
        """
        long_running = 0.0
        used_by_organisation: Counter[str] = Counter()
        # Tasks of a step share one object.
        share_by_step: dict[int, float] = {}
        for state in self._fleet.state_by_id.values():
            if state.worker.pool != pool:
                continue
            for run in state.run_by_task.values():
                share = share_by_step.get(id(run.step))
                if share is None:
                    share = run.step.reservation.dominant_share(capacity)
                    share_by_step[id(run.step)] = share
                if run.step.long_running:
                    long_running += share
                else:
                    used_by_organisation[run.organisation] += share
        return replace(
            room,
            instances=max(0.0, room.instances - long_running),
            used_by_organisation=used_by_organisation,
        )

    def _bring_forward(
        self,
        key: tuple[str, int],
        contenders: Iterable[Contender],
        rank_by_key: dict[tuple[str, int], JobRank],
        now_ms: float,
    ) -> None:
        """Rank one job of a pool and priority first that has been delayed for long."""
        forward_job_id = self._forward_job_by_key.get(key, "")
        turn_ms = now_ms - self._forward_ms_by_job.get(forward_job_id, -math.inf)
        if not 0 <= turn_ms < FORWARD_TURN_S * 1000:
            # The one that has waited longest since its deadline or its last turn.
            _, forward_job_id = min(
                (
                    (
                        max(
                            contender.in_time_until_ms,
                            self._forward_ms_by_job.get(contender.key[0], -math.inf),
                        ),
                        contender.key[0],
                    )
                    for contender in contenders
                    if rank_by_key[contender.key].service >= Service.DELAYED
                    and now_ms - contender.in_time_until_ms >= MAX_DELAY_S * 1000
                ),
                default=(now_ms, ""),
            )
            if not forward_job_id:
                self._forward_job_by_key.pop(key, None)
                return
            self._forward_job_by_key[key] = forward_job_id
            self._forward_ms_by_job[forward_job_id] = now_ms
        for contender in contenders:
            if contender.key[0] == forward_job_id:
                rank_by_key[contender.key] = JobRank(Service.IN_TIME, 0.0)

    def _count(
        self,
        jobs_by_pool: Mapping[str, Sequence[WaitingJob]],
        rank_by_key: Mapping[tuple[str, int], JobRank],
    ) -> None:
        queue_by_job = {
            job.active_job.job.job_id: job.queue.name
            for jobs in jobs_by_pool.values()
            for job in jobs
        }
        for (job_id, _), rank in rank_by_key.items():
            counts = self.count_by_queue.setdefault(queue_by_job[job_id], Counter())
            counts[rank.service] += 1


def _order(contender: Contender, service: Service) -> float:
    """Return the order of a job among those that are served alike.

    A returning job goes before jobs that came after its first attempt.
    """
    match service:
        case Service.IN_TIME | Service.IN_TIME_ABOVE_RATE:
            return contender.in_time_until_ms - contender.returned_after_ms
        case Service.DELAYED:
            # A small job is the one that may still find room.
            return contender.work
    return contender.useful_until_ms
