"""Decides whether a job is accepted while its queue is overloaded."""

from __future__ import annotations

import math
import zlib
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .active_job import ActiveJob
from .model import Job, Policy, Queue, TaskKey
from .step_graph import chain_ms_by_step

# A job that ends later than this many times its target has no value to its caller.
MAX_TARGETS = 3.0
# In whole seconds, as in the header ``Retry-After``.
MIN_RETRY_S = 1
# Load exceeds capacity for some seconds; a caller that stays away for longer than this
# would miss the time after it.
MAX_RETRY_S = 30
# Stands for a weight of 0, which would have no finite share.
MIN_WEIGHT = 1e-9


def target_ms(queue: Queue, chain_ms: float) -> float:
    """Return the target of a job whose longest chain of steps takes ``chain_ms``."""
    return queue.stretch * chain_ms + queue.target_latency_ms


def chain_ms(job: Job) -> float:
    """Return the estimated duration of a job's longest chain of steps."""
    return max(chain_ms_by_step(job.steps), default=0.0)


def has_target(job: Job) -> bool:
    """Return whether the target of a job has a meaning.

    Services run until they are cancelled, and repeated jobs when they are due.
    """
    return not job.repetitions and not any(step.long_running for step in job.steps)


@dataclass(frozen=True, slots=True)
class QueueWait:
    """Time in ms until a job that a queue accepts now would start.

    ``total_ms`` is that of an organisation with most of the waiting work.
    ``wait_ms_by_organisation`` contains the organisations with waiting work; a job of
    any other one starts at once, as its share of the pool is not in use.
    """

    total_ms: float
    wait_ms_by_organisation: Mapping[str, float]


def find_waits(
    active_jobs: Iterable[ActiveJob],
    policy: Policy,
    cores_by_pool: Mapping[str, float],
    now_ms: float,
) -> dict[str, QueueWait]:
    """Return how long new jobs wait, by queue.

    That is the waiting work of the queue, and of queues of its pool with the same or a
    higher priority, divided by the cores of the pool. Jobs that can no longer end
    within ``MAX_TARGETS`` times their target are left out, and so are services and
    repeated jobs. An organisation counts with no more cores than its upper limit, since
    others get the rest. The work of an organisation alone is divided by its share of
    the pool by weight, so that those with little work do not wait for one with much. A
    queue whose pool has no known cores is not in the result.

    For example, 64 waiting tasks of 1 s on 2 cores make a wait of 4,000 ms in a pool
    of 32 cores. ``now_ms`` is Unix time.
    """
    # Work by organisation, by queue.
    work_by_queue: dict[str, Counter[str]] = defaultdict(Counter)
    for active_job in active_jobs:
        job = active_job.job
        queue = policy.queue_by_name.get(job.queue)
        if queue is None or active_job.is_final or not has_target(job):
            continue
        if not _is_useful(active_job, queue, now_ms):
            continue
        work_by_queue[queue.name][job.organisation] += _waiting_core_ms(active_job)
    result: dict[str, QueueWait] = {}
    for queue in policy.queue_by_name.values():
        cores = cores_by_pool.get(queue.pool, 0.0)
        if cores <= 0:
            continue
        work_ahead: Counter[str] = Counter()
        for name, work_by_organisation in work_by_queue.items():
            other = policy.queue_by_name[name]
            if other.pool == queue.pool and other.priority <= queue.priority:
                work_ahead.update(work_by_organisation)
        total_ms = _wait_ms(work_ahead, policy, cores)
        result[queue.name] = QueueWait(
            total_ms, _wait_ms_by_organisation(work_ahead, policy, cores, total_ms)
        )
    return result


def _wait_ms_by_organisation(
    work_by_organisation: Mapping[str, float],
    policy: Policy,
    cores: float,
    total_ms: float,
) -> dict[str, float]:
    weight_by_name = {
        name: _weight(policy, name)
        for name, work in work_by_organisation.items()
        if work > 0
    }
    total_weight = sum(weight_by_name.values())
    waits: dict[str, float] = {}
    for name, weight in weight_by_name.items():
        work = work_by_organisation[name]
        wait_ms = min(total_ms, work / (cores * weight / total_weight))
        organisation = policy.organisation_by_name.get(name)
        limit = organisation.upper_limit.cores if organisation else 0.0
        # Its limit holds also while the pool has room.
        waits[name] = max(wait_ms, work / limit) if limit else wait_ms
    return waits


def _weight(policy: Policy, name: str) -> float:
    organisation = policy.organisation_by_name.get(name)
    return max(MIN_WEIGHT, organisation.weight if organisation else 1.0)


def _wait_ms(
    work_by_organisation: Mapping[str, float], policy: Policy, cores: float
) -> float:
    """Return the time in ms until the pool has room for a further organisation.

    Organisations whose work does not end by then within their limits use their limits
    all the time, and the others share what is left.
    """
    work = dict(work_by_organisation)
    limit_by_name = {
        name: organisation.upper_limit.cores
        for name, organisation in policy.organisation_by_name.items()
        if organisation.upper_limit.cores
    }
    while True:
        wait_ms = sum(work.values()) / cores
        limited = [
            name
            for name in work
            if name in limit_by_name and work[name] > limit_by_name[name] * wait_ms
        ]
        # If their limits take up the whole pool, nothing is left for others before.
        limits = sum(limit_by_name[name] for name in limited)
        if not limited or limits >= cores:
            return wait_ms
        for name in limited:
            del work[name]
        cores -= limits


def is_overloaded(queue: Queue, wait_ms: float) -> bool:
    """Return whether a job of the queue could be rejected at this wait.

    With a stretch of at least a third, a longer chain extends the limit by more than it
    takes, so a job with an empty chain is the first to be rejected.
    """
    return wait_ms > MAX_TARGETS * target_ms(queue, 0.0)


def excess_ms(job: Job, queue: Queue, wait_ms: float, now_ms: float) -> float:
    """Return by how much a job would end too late; it is rejected if this exceeds 0.

    Work that came after the first attempt of a returning job is behind it, so the time
    since then is subtracted from the wait. A returning job is therefore accepted
    whenever a new job of the same shape is. ``now_ms`` is Unix time.
    """
    if not has_target(job):
        return 0.0
    waited_ms = max(0.0, now_ms - job.offered_ms)
    chain = chain_ms(job)
    remaining_wait_ms = max(0.0, wait_ms - waited_ms)
    if not remaining_wait_ms:
        return 0.0
    return max(0.0, remaining_wait_ms + chain - MAX_TARGETS * target_ms(queue, chain))


def retry_after_s(excess: float, job_id: str, attempt: int) -> int:
    """Return after how many whole seconds a rejected caller is to return.

    ``excess`` is the time in ms until the work ahead has shrunk far enough. The result
    lies between that and twice that, by job id and attempt, so that callers that were
    rejected together do not return together.
    """
    least_s = min(MAX_RETRY_S, max(MIN_RETRY_S, math.ceil(excess / 1000)))
    spread = zlib.crc32(f"{job_id}.{attempt}".encode()) % (least_s + 1)
    return min(MAX_RETRY_S, least_s + spread)


def _is_useful(active_job: ActiveJob, queue: Queue, now_ms: float) -> bool:
    """Return whether a job can still end within ``MAX_TARGETS`` times its target."""
    chain = active_job.chain_ms()
    limit_ms = active_job.job.offered_ms + MAX_TARGETS * target_ms(queue, chain)
    remaining_ms = max(
        (active_job.remaining_chain_ms(key) for key in active_job.tasks_by_step),
        default=chain,
    )
    return now_ms + remaining_ms <= limit_ms


def _waiting_core_ms(active_job: ActiveJob) -> float:
    """Return the core-milliseconds of the tasks of a job that have yet to start."""
    work = 0.0
    for index, step in enumerate(active_job.job.steps):
        cores = step.reservation.cores
        if not cores or not step.estimated_ms:
            continue
        work += cores * step.estimated_ms * _waiting_tasks(active_job, index)
    return work


def _waiting_tasks(active_job: ActiveJob, step: int) -> int:
    """Return how many tasks of a step wait; it may still depend on other steps."""
    step_tasks = active_job.tasks_by_step.get((0, step))
    if step_tasks is not None:
        return len(step_tasks.waiting)
    # No state of the step is kept: it has not been opened yet, or it is done.
    if active_job.is_done(TaskKey(active_job.job.job_id, 0, step, 0)):
        return 0
    return active_job.job.steps[step].count
