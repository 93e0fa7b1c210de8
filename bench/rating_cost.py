"""Processor time of rating workers, for a fleet of 180 workers at full load.

Shows the cost of a refresh, which a planning round pays at most four times a second,
and of the notes for one list. Run with ``python -m bench.rating_cost``.
"""

from __future__ import annotations

import random
import time

from lycheeloom.jobs.fleet import Fleet, Run, RunState
from lycheeloom.jobs.model import Step, TaskKey, Worker
from lycheeloom.jobs.worker_ratings import REFRESH_INTERVAL_S, WorkerRatings
from lycheeloom.model.resources import Resources

WORKERS = 180
POOLS = 5
SLOTS = 10
TASK_S = 0.64
SIMULATED_S = 20.0
# Steps of eight tasks are packed onto few workers.
TASKS_PER_STEP = 8


def measure(seed: int) -> tuple[float, float, float]:
    """Return the processor ms of a refresh, and those of notes per task and in all.

    The last figure is the processor time of all calls for a second of load.
    """
    rng = random.Random(seed)
    fleet = Fleet()
    ratings = WorkerRatings(fleet)
    step = Step(TASKS_PER_STEP, 3100, estimated_ms=int(TASK_S * 1000))
    for number in range(WORKERS):
        pool = f"pool-{number % POOLS}"
        capacity = Resources(32, 64_000, 0)
        worker = Worker(f"w{number}", 1, pool, "", "zone", capacity)
        fleet.add_worker(worker).has_current_lists = True
    end_s_by_run: dict[int, float] = {}
    job_count = refreshes = ends = 0
    refresh_cpu_s = note_cpu_s = 0.0
    now_s = 0.0
    while now_s < SIMULATED_S:
        now_s += REFRESH_INTERVAL_S
        for worker_id, state in fleet.state_by_id.items():
            runs = list(state.run_by_task.values())
            began_s = time.process_time()
            for run in runs:
                ratings.note_progress(run, now_s)
            note_cpu_s += time.process_time() - began_s
            for run in runs:
                if end_s_by_run[id(run)] > now_s:
                    continue
                fleet.remove_run(run)
                began_s = time.process_time()
                ratings.note_end(run, succeeded=True, is_timely=True, now_s=now_s)
                note_cpu_s += time.process_time() - began_s
                ends += 1
            while len(state.run_by_task) < SLOTS:
                job_count += 1
                task = TaskKey(f"j{job_count // TASKS_PER_STEP}", 0, 0, job_count)
                run = Run(
                    task, 1, worker_id, step, "red", "queue", RunState.RUNNING, now_s
                )
                fleet.add_run(run)
                end_s_by_run[id(run)] = now_s + TASK_S * rng.uniform(0.7, 1.4)
        began_s = time.process_time()
        ratings.refresh(now_s)
        refresh_cpu_s += time.process_time() - began_s
        refreshes += 1
    return (
        1000 * refresh_cpu_s / refreshes,
        1000 * note_cpu_s / ends,
        1000 * (refresh_cpu_s + note_cpu_s) / SIMULATED_S,
    )


def main() -> None:
    """Print the cost."""
    refresh_ms, note_ms, second_ms = measure(seed=3)
    print(f"refresh of {WORKERS} workers: {refresh_ms:.2f} ms")
    print(f"notes per task, with four lists a second: {note_ms:.4f} ms")
    print(f"in all, per second of load: {second_ms:.1f} ms")


if __name__ == "__main__":
    main()
