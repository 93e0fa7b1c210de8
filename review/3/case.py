"""A long-running task ends with ``done`` and is not started again."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from rig import CANNOT_RUN, Rig, finish, trouble  # noqa: E402

JOB = "00000000000000f1"
TASKS = 2
RUN_MS = 5_000
WATCH_S = 30.0
# From 6 s after its last run, a task must not wait for 3 s.
MAX_PAUSE_MS = 9_000


def main() -> int:
    with Rig(CASE, nodes=3, workers=2) as rig:
        rig.wait_ready()
        how = "done" if trouble() else "failed"
        specification = json.dumps({"run_ms": RUN_MS, "how": how, "lasts": True})
        step = {"count": TASKS, "cpu": 1000, "long_running": True}
        job = {"specification": specification, "steps": [step]}
        if rig.call("POST", JOB, job)[0] != 200:
            return CANNOT_RUN
        time.sleep(WATCH_S)
        until_ms = int(time.monotonic() * 1000)
        rig.call("GET", JOB)
        last_by_task = {e["task"]: e for e in rig.worker_events() if "task" in e}
        if not last_by_task:
            return CANNOT_RUN
        breaks = [
            f"{task}: run {last['run']} ended {last['how']} {until_ms - last['ms']} ms "
            "ago, and no other has started"
            for task, last in last_by_task.items()
            if last["event"] == "end" and until_ms - last["ms"] > MAX_PAUSE_MS
        ]
        return finish(breaks, rig)


if __name__ == "__main__":
    sys.exit(main())
