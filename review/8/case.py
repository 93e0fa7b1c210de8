"""UNASKED: a job whose cancelling was answered with 410 runs all the same."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from rig2 import TROUBLE, call, main, now_s

LATE_S = 6.0
CANCEL_S = 3.0
TASK_S = 1.0
STEPS = [{"count": 2, "cpu": 1000, "estimated_ms": 1000}]


def play(rig):
    for _ in range(2):
        rig.add_worker()
    rig.add_nodes(2)
    time.sleep(3)
    for _ in range(5):
        rig.submit("usual", STEPS)
        time.sleep(0.2)
    found = []
    for number in range(3):
        found += cancelled_job(rig, number)
    return found


def cancelled_job(rig, number):
    """Hand in a job, cancel it when there is no answer; return starts after that."""
    job = f"{0xC0FFEE00 + number:016x}"
    if TROUBLE:
        rig.store.late_s_by_text[job.encode()] = LATE_S
    body = {"specification": "cancelled", "steps": STEPS}
    first, second = rig.nodes[number % 2], rig.nodes[(number + 1) % 2]
    status, _ = call(first.address, "POST", f"/q/{job}", body)
    rig.record("POST", job, "at", first.name, "answered with", status)
    rig.store.late_s_by_text.clear()
    for _ in range(5):
        status, _ = call(second.address, "DELETE", f"/q/{job}")
        rig.record("DELETE", job, "at", second.name, "answered with", status)
        if status in (200, 410):
            break
        time.sleep(0.2)
    acknowledged_s = now_s()
    time.sleep(10)
    rig.record(job, "is shown as", rig.state(job))
    return [
        f"{run} began {run.began_s - acknowledged_s:.2f} s after the cancelling of its "
        f"job was answered with {status}, and ended {run.how}"
        for run in rig.runs()
        if run.task.startswith(job) and run.began_s > acknowledged_s + CANCEL_S
    ]


main(Path(__file__).resolve().parent, lambda specification: TASK_S, play)
