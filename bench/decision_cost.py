"""Processor time of one scheduling decision on full fleets of several sizes.

A decision is the end of one task and the start that replaces it. Every queue is
full, so each decision chooses between all organisations of a queue. The baselines
are first come first served and an entry that owns a third of the workers.
"""

from __future__ import annotations

import gc
import math
import random
import time

from lycheeloom.model.resources import Resources
from lycheeloom.sched import Outcome, Scheduler, Start, Task

from .baselines import EqualSplit, FirstComeFirstServed
from .entries import UNLIMITED_SLOTS, SchedulingPolicy
from .fleets import scaled_fleet
from .report import Row

# Workers, organisations and queued tasks.
SMALL = (30, 6, 1_000)
MIDDLE = (300, 60, 10_000)
LARGE = (5_100, 210, 100_000)
# One dimension grows while the others stay at the design size.
SIZES_BY_DIMENSION = {
    "workers": ((30, 210, 100_000), LARGE),
    "organisations": ((5_100, 6, 100_000), LARGE),
    "queued": ((5_100, 210, 1_000), LARGE),
}
TASK_CORES = (1, 2, 4)
MEAN_CORES = sum(TASK_CORES) / len(TASK_CORES)
MAX_DECISIONS = 4_000
# Limits the number of decisions of slow baselines.
MAX_MEASURED_CPU_S = 3.0
GOAL_PER_S = 2_000
# Rate of decisions in the virtual time that the policies see.
SIMULATED_DECISIONS_PER_S = 2_000


def measure(policy_type: type, size: tuple[int, int, int], seed: int) -> float:
    """Return the processor seconds of one decision.

    ``size`` is the number of workers, organisations and queued tasks.
    """
    workers, organisations, queued = size
    config = scaled_fleet(workers, organisations, max_queued=queued)
    if policy_type is EqualSplit:
        policy: SchedulingPolicy = EqualSplit(config, seed, 0, 3)
    else:
        policy = policy_type(config, seed)
    rng = random.Random(seed)
    policy.set_grants(dict.fromkeys(config.organisation_by_id, UNLIMITED_SLOTS))
    for name, instance in config.instance_by_id.items():
        policy.observe_worker(name, True, instance.size, "b", 0.0)
    task_count = 0

    def submit(queue: str, organisation: str) -> None:
        nonlocal task_count
        task_count += 1
        cores = rng.choice(TASK_CORES)
        task = Task(
            f"task-{task_count}",
            organisation,
            queue,
            Resources(cores, cores * 2048),
            1.0,
            idempotent=True,
        )
        policy.submit(task, 0.0)

    queue_organisation_pairs = [
        (queue, organisation)
        for queue, settings in config.queue_by_id.items()
        for organisation in settings.organisations
    ]
    queue_organisation_pairs.sort()
    # Fills every worker, then every queue.
    capacity = sum(i.size.cores for i in config.instance_by_id.values())
    for _ in range(int(capacity / MEAN_CORES) + queued):
        queue, organisation = queue_organisation_pairs[
            task_count % len(queue_organisation_pairs)
        ]
        submit(queue, organisation)
    decisions = policy.next_decisions(0.0)
    running = [d.task.id for d in decisions if isinstance(d, Start)]
    return _time_decisions(policy, running, queue_organisation_pairs, submit, rng)


def _time_decisions(policy, running, queue_organisation_pairs, submit, rng) -> float:
    now = 1.0
    decision_count = 0
    used_cpu_s = 0.0
    gc.collect()
    gc.disable()
    while decision_count < MAX_DECISIONS and used_cpu_s < MAX_MEASURED_CPU_S:
        now += 1.0 / SIMULATED_DECISIONS_PER_S
        index = rng.randrange(len(running))
        running[index], running[-1] = running[-1], running[index]
        task_id = running.pop()
        started_at = time.process_time()
        policy.finished(task_id, Outcome.DONE, now)
        decisions = policy.next_decisions(now)
        used_cpu_s += time.process_time() - started_at
        started = [d for d in decisions if isinstance(d, Start)]
        running.extend(d.task.id for d in started)
        decision_count += max(1, len(started))
        for start in started:
            submit(start.task.queue, start.task.organisation)
    gc.enable()
    return used_cpu_s / decision_count


def cancel_cost(count: int, seed: int) -> float:
    """Return the processor seconds per task of cancelling ``count`` tasks at once."""
    config = scaled_fleet(300, 6, max_queued=count)
    scheduler = Scheduler(config, seed)
    queue, settings = next(iter(config.queue_by_id.items()))
    organisations = sorted(settings.organisations)
    for number in range(count):
        size = Resources(1 + number % 4, 1024)
        task = Task(
            f"task-{number}", organisations[number % len(organisations)], queue, size
        )
        scheduler.submit(task, 0.0)
    started_at = time.process_time()
    cancelled = scheduler.cancel([f"task-{n}" for n in range(count)], 1.0)
    return (time.process_time() - started_at) / max(1, len(cancelled))


def run(seed: int) -> list[Row]:
    """Measure three sizes, the growth in each dimension and cancellation."""
    rows = []
    for size in (SMALL, MIDDLE, LARGE):
        decisions_per_s = 1 / measure(Scheduler, size, seed)
        goal = f"over {GOAL_PER_S}/s" if size is LARGE else ""
        rows.append(
            Row(
                "decisions per second, {} workers, {} organisations, {} queued".format(
                    *size
                ),
                goal,
                decisions_per_s,
                decisions_per_s > GOAL_PER_S if goal else None,
                1 / measure(FirstComeFirstServed, size, seed),
                1 / measure(EqualSplit, size, seed),
                "/s",
            )
        )
    for index, (name, (small, large)) in enumerate(SIZES_BY_DIMENSION.items()):
        growth = measure(Scheduler, large, seed) / measure(Scheduler, small, seed)
        allowed = math.log(large[index]) / math.log(small[index])
        rows.append(
            Row(
                f"growth of cost from {small[index]} to {large[index]} {name}",
                f"at most {allowed:.2f} (logarithmic)",
                growth,
                growth <= allowed,
            )
        )
    few, many = 1_000, 100_000
    growth = cancel_cost(many, seed) / cancel_cost(few, seed)
    rows.append(
        Row(
            f"growth of the cost per task of cancelling {few} to {many}",
            "at most 2 (linear time)",
            growth,
            growth <= 2,
        )
    )
    return rows
