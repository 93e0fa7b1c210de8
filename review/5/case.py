"""A timed job outgrows its progress record; then the leader is killed."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from rig import CANNOT_RUN, Rig, find_twice, finish, trouble  # noqa: E402

JOB = "00000000000000c1"
REPETITIONS = 4_000
STEPS = 1
INTERVAL_MS = 10
RUN_MS = 200
KILL_AFTER_DONE = 3_800


def main() -> int:
    with Rig(CASE, nodes=3, workers=2) as rig:
        rig.wait_ready()
        step = {"count": 1, "cpu": 100, "estimated_ms": RUN_MS}
        job = {
            "specification": json.dumps({"run_ms": RUN_MS}),
            "steps": [step] * STEPS,
            "repetitions": REPETITIONS,
            "first_run_ms": int(time.time() * 1000) + 500,
            "interval_ms": INTERVAL_MS,
        }
        if rig.call("POST", JOB, job)[0] != 200:
            return CANNOT_RUN
        done = 0
        while done < KILL_AFTER_DONE:
            time.sleep(0.5)
            done = sum(e.get("how") == "done" for e in rig.worker_events())
            if rig.left_s(92) < 0:
                print(f"only {done} tasks ended in time")
                return CANNOT_RUN
        time.sleep(2.0)
        if trouble():
            rig.kill(rig.leader())
        time.sleep(10.0)
        rig.call("GET", JOB)
        return finish(find_twice(rig.worker_events()), rig)


if __name__ == "__main__":
    sys.exit(main())
