"""Processor time of one planning round of the leader while a fleet is overloaded.

Run with ``python -m bench.planning_cost``. The fleet is full, and jobs of several
organisations wait; with ``--plain``, the order of overloaded pools is not in use.
"""

from __future__ import annotations

import argparse
import random
import time

from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.fleet import Fleet, Run, RunState
from lycheeloom.jobs.model import Job, Organisation, Policy, Pool, Queue, Step, Worker
from lycheeloom.jobs.planner import Planner
from lycheeloom.model.resources import Resources

POOLS = 4
WORKERS = 160
ORGANISATIONS = 20
TASKS_PER_WORKER = 10
WORKER_CAPACITY = Resources(32.0, 65_536, 0)
ROUNDS = 30
NOW_MS = 1_000_000


def make_planner(jobs: int, *, plain: bool) -> tuple[Planner, list[ActiveJob], Policy]:
    """Return a planner of a full fleet, the waiting jobs, and the policy."""
    rng = random.Random(7)
    fleet = Fleet()
    for number in range(WORKERS):
        pool = f"pool-{number % POOLS}"
        worker = Worker(f"w{number}", 1, pool, "", "zone", WORKER_CAPACITY)
        fleet.add_worker(worker).has_current_lists = True
    policy = Policy(
        1,
        {
            f"queue-{n}": Queue(f"queue-{n}", "", "", f"pool-{n}", n % 2, 2, 1.6, 600.0)
            for n in range(POOLS)
        },
        {f"pool-{n}": Pool(f"pool-{n}") for n in range(POOLS)},
        {
            f"org-{n}": Organisation(f"org-{n}", frozenset(), 1.0 + n)
            for n in range(ORGANISATIONS)
        },
    )
    planner = Planner(fleet, uses_overload_order=not plain)
    active_jobs = []
    for number in range(jobs):
        steps = tuple(
            Step(
                rng.randint(2, 16),
                rng.randint(1_000, 6_000),
                rng.randint(1_000, 6_000),
                estimated_ms=rng.randint(300, 1_600),
                after=(index - 1,) if index else (),
            )
            for index in range(rng.randint(1, 3))
        )
        job = Job(
            f"{number:016x}",
            f"queue-{number % POOLS}",
            f"org-{rng.randrange(ORGANISATIONS)}",
            "",
            steps,
            NOW_MS - rng.randint(0, 8_000),
        )
        active_jobs.append(ActiveJob(job))
        planner.note_job(active_jobs[-1], policy)
    for _ in range(2_000):
        starts = planner.plan(active_jobs, policy, (), 1.0, NOW_MS)
        if not starts:
            break
        for start in starts:
            fleet.add_run(
                Run(
                    start.task,
                    start.run,
                    start.worker_id,
                    start.step,
                    start.organisation,
                    start.queue,
                    RunState.RUNNING,
                    1.0,
                )
            )
    return planner, active_jobs, policy


def main() -> None:
    """Print the processor time of planning rounds in which nothing can start."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=2_000)
    parser.add_argument("--plain", action="store_true")
    options = parser.parse_args()
    planner, active_jobs, policy = make_planner(options.jobs, plain=options.plain)
    times_ms = []
    for number in range(ROUNDS):
        began_s = time.process_time()
        planner.plan(active_jobs, policy, (), 1.0, NOW_MS + 20 * number)
        times_ms.append((time.process_time() - began_s) * 1000)
    times_ms.sort()
    print(
        f"{options.jobs} waiting jobs, {ORGANISATIONS} organisations, {WORKERS} "
        f"workers: median {times_ms[ROUNDS // 2]:.1f} ms, max {times_ms[-1]:.1f} ms"
    )


if __name__ == "__main__":
    main()
