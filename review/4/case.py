"""A leader is killed while more than 500 ends wait at one worker."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from rig import CANNOT_RUN, Rig, find_twice, finish, trouble  # noqa: E402

JOBS = 10
TASKS_PER_JOB = 90
# The tasks of each job end a little later than those of the one before.
FIRST_RUN_MS = 6_000
STAGGER_MS = 150


def main() -> int:
    with Rig(CASE, nodes=3, workers=2) as rig:
        rig.wait_ready()
        job_ids = [f"{number + 0xA0:016x}" for number in range(JOBS)]
        for number, job_id in enumerate(job_ids):
            run_ms = FIRST_RUN_MS + number * STAGGER_MS
            step = {"count": TASKS_PER_JOB, "cpu": 10, "estimated_ms": run_ms}
            job = {"specification": json.dumps({"run_ms": run_ms}), "steps": [step]}
            if rig.call("POST", job_id, job)[0] != 200:
                return CANNOT_RUN
        while rig.left_s(60) > 0:
            time.sleep(0.1)
            ended = sum(e["event"] == "end" for e in rig.worker_events())
            if ended >= 20:
                break
        else:
            return CANNOT_RUN
        if trouble():
            rig.kill(rig.leader())
        time.sleep(12.0)
        while rig.left_s(90) > 0:
            states = {rig.call("GET", i)[1].get("state", "") for i in job_ids}
            if states == {"completed"}:
                break
            time.sleep(0.5)
        time.sleep(3.0)
        return finish(find_twice(rig.worker_events()), rig)


if __name__ == "__main__":
    sys.exit(main())
