"""Plans a round with a further job on copies, to explain where the job would go."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from lycheeloom.model.resources import NO_RESOURCES, Resources

from .active_job import ActiveJob
from .advised_workers import AdvisedWorkers
from .fleet import Fleet, WorkerState
from .model import Job, Policy, Queue, Step
from .overload import Service
from .placement import (
    UsableWorkers,
    WorkerChoice,
    choose_gang,
    fits,
    unusable_reason,
)
from .planner import MAX_STARTS_PER_ROUND, Planner, RankedStep

# Ids of workers given for each reason; the answer stays short for any fleet.
MAX_IDS = 5
CAN_START = "can start"
CAN_START_BADLY_RATED = "can start, badly rated"


@dataclass(frozen=True, slots=True)
class WorkerGroup:
    """Workers of the pool that are alike for the job, with up to ``MAX_IDS`` ids."""

    reason: str
    count: int
    worker_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TrialRank:
    """The place of the job's first step among the steps that may start.

    ``rank`` is what the planner sorts by, after the priority. ``steps_ahead`` counts
    the steps of the pool that are planned before it. ``service`` is set while the pool
    is full, with ``Features.overload_control``.
    """

    priority: int
    rank: tuple[float, ...]
    steps_ahead: int
    service: Service | None


@dataclass(frozen=True, slots=True)
class Trial:
    """What a planning round would do with a further job now.

    ``worker_id`` is the worker of its first task, and ``starts`` the number of its
    tasks that would start; without any, ``obstacle`` says why. ``rank`` is None while
    no step of the job may start. ``workers`` describes the pool before the round.
    """

    rank: TrialRank | None
    workers: tuple[WorkerGroup, ...]
    worker_id: str
    starts: int
    obstacle: str


def try_round(
    planner: Planner,
    fleet: Fleet,
    active_jobs: Iterable[ActiveJob],
    job: Job,
    policy: Policy,
    zones_out_of_service: Collection[str],
    now_s: float,
    now_ms: float,
    advised_workers: AdvisedWorkers | None = None,
    unknown_use_by_organisation: Mapping[str, Resources] | None = None,
) -> Trial:
    """Return what ``Planner.plan`` would do if ``job`` were one more active job.

    The arguments are those of ``Planner.plan``, and none of them is changed. The queue
    of ``job`` must be in the policy. An active job of the same id is left out.
    """
    unknown_use = unknown_use_by_organisation or {}
    queue = policy.queue_by_name[job.queue]
    trial_fleet = fleet.copied()
    trial_planner = planner.copied(trial_fleet)
    own_job = ActiveJob(job)
    jobs = [
        active_job.copied()
        for active_job in active_jobs
        if active_job.job.job_id != job.job_id
    ]
    jobs.append(own_job)
    trial_planner.note_job(own_job, policy)
    ranked_steps = trial_planner.ranked_steps(
        jobs, policy, zones_out_of_service, now_ms
    )
    own = next((r for r in ranked_steps if r.active_job is own_job), None)
    if own is None:
        return Trial(None, (), "", 0, "no step is due yet")
    rank = _trial_rank(trial_planner, own, ranked_steps)
    pool_workers = _PoolWorkers(
        trial_fleet, zones_out_of_service, now_s, advised_workers
    )
    groups, candidates = pool_workers.sort(queue, job.job_id, own)
    starts = trial_planner.plan(
        jobs,
        policy,
        zones_out_of_service,
        now_s,
        now_ms,
        advised_workers,
        unknown_use,
    )
    own_starts = [start for start in starts if start.task.job_id == job.job_id]
    if own_starts:
        return Trial(rank, groups, own_starts[0].worker_id, len(own_starts), "")
    step = own.step_tasks.step
    count = step.count if step.gang else 1
    used = trial_fleet.used_by_organisation[job.organisation]
    used = used + unknown_use.get(job.organisation, NO_RESOURCES)
    planned = sum(
        (s.step.limit_use for s in starts if s.organisation == job.organisation),
        NO_RESOURCES,
    )
    organisation = policy.organisation_by_name.get(job.organisation)
    need = step.limit_use.times(count)
    if organisation is not None and not organisation.allows(used, need):
        obstacle = "the organisation is at its upper limit"
    elif not candidates:
        obstacle = "no worker of the pool can take a task now"
    elif step.gang and choose_gang(candidates, step, list(range(count))) is None:
        obstacle = "the pool has no room for all tasks of the gang"
    elif len(starts) >= MAX_STARTS_PER_ROUND:
        obstacle = "the round starts no more tasks, and the next one goes on"
    elif organisation is not None and not organisation.allows(used + planned, need):
        obstacle = "jobs ahead use up the upper limit of the organisation"
    else:
        obstacle = "jobs ahead take the room"
    return Trial(rank, groups, "", 0, obstacle)


def _trial_rank(
    planner: Planner, own: RankedStep, ranked_steps: Iterable[RankedStep]
) -> TrialRank:
    steps_ahead = 0
    for ranked in ranked_steps:
        if ranked is own:
            break
        steps_ahead += ranked.queue.pool == own.queue.pool
    service = None
    if planner.overload_order is not None:
        service = planner.overload_order.service_of(
            own.active_job.job.job_id, own.step_key[0]
        )
    rank = tuple(float(part) for part in own.rank[1:])
    return TrialRank(own.queue.priority, rank, steps_ahead, service)


class _PoolWorkers:
    """Sorts the workers of a pool by whether they can take a task of a step."""

    def __init__(
        self,
        fleet: Fleet,
        zones_out_of_service: Collection[str],
        now_s: float,
        advised_workers: AdvisedWorkers | None,
    ) -> None:
        self._fleet = fleet
        self._zones_out_of_service = zones_out_of_service
        self._now_s = now_s
        self._advised_workers = advised_workers
        self._usable = UsableWorkers(fleet, zones_out_of_service, now_s)

    def sort(
        self, queue: Queue, job_id: str, ranked: RankedStep
    ) -> tuple[tuple[WorkerGroup, ...], list[WorkerState]]:
        """Return the workers of a pool by reason, and those that can take a task."""
        step = ranked.step_tasks.step
        eligible = self._usable.eligible(queue.pool, step)
        advised = eligible
        if queue.advice is not None and self._advised_workers is not None:
            advised = self._advised_workers.filter(job_id, ranked.step_key, eligible)
        eligible_ids = {state.worker.worker_id for state in eligible}
        advised_ids = {state.worker.worker_id for state in advised}
        ids_by_reason: dict[str, list[str]] = {}
        candidates = []
        for worker_id, state in sorted(self._fleet.state_by_id.items()):
            if state.worker.pool != queue.pool:
                continue
            reason = unusable_reason(state, self._zones_out_of_service, self._now_s)
            if not reason and worker_id not in eligible_ids:
                reason = "label"
            if not reason and worker_id not in advised_ids:
                reason = "no ticket of the advice service"
            reason = reason or _room_reason(state, step)
            if not reason:
                candidates.append(state)
                reason = CAN_START_BADLY_RATED if state.is_badly_rated else CAN_START
            ids_by_reason.setdefault(reason, []).append(worker_id)
        groups = tuple(
            WorkerGroup(reason, len(ids), tuple(ids[:MAX_IDS]))
            for reason, ids in ids_by_reason.items()
        )
        return groups, candidates


def _room_reason(state: WorkerState, step: Step) -> str:
    """Return why a worker has no room for a task; an empty string if it has.

    The choice of the planner decides. Of a new job, no worker has a task yet, so the
    step's limit of tasks on one worker is not among the reasons.
    """
    if WorkerChoice([state], step, Counter()).next_worker() is not None:
        return ""
    return "no room" if not fits(step.reservation, state.free) else "badly rated"
