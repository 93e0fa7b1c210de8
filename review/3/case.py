"""A leader is killed while more than 500 ends wait at one worker."""

from __future__ import annotations

import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from rig import CANNOT_RUN, Rig, find_twice, finish, trouble  # noqa: E402

TASKS = 1500
RUN_MS = 8000
JOB = "00000000000000a1"


def main() -> int:
    with Rig(CASE, nodes=3, workers=2) as rig:
        rig.wait_ready()
        step = {"count": TASKS, "cpu": 10, "estimated_ms": RUN_MS}
        job = {"specification": f'{{"run_ms":{RUN_MS}}}', "steps": [step]}
        if rig.call("POST", JOB, job)[0] != 200:
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
        state = ""
        while rig.left_s(100) > 0 and state != "completed":
            time.sleep(0.5)
            state = rig.call("GET", JOB)[1].get("state", "")
        time.sleep(3.0)
        return finish(find_twice(rig.worker_events()), rig)


if __name__ == "__main__":
    sys.exit(main())
