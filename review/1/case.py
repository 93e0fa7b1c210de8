"""Timed jobs with many repetitions are accepted; after that, no job runs any more."""

from __future__ import annotations

import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from rig import CANNOT_RUN, Rig, finish, trouble  # noqa: E402

TIMED_JOBS = 20
# Every minute for 30 days.
REPETITIONS = 43_200
INTERVAL_MS = 60_000
FIRST_RUN_IN_MS = 3_600_000
PLAIN_JOBS = 10
RUN_MS = 500
FINISH_S = 14.0
IDLE_S = 3.0


def main() -> int:
    with Rig(CASE, nodes=3, workers=2) as rig:
        rig.wait_ready()
        step = {"count": 1, "cpu": 1000, "estimated_ms": RUN_MS}
        specification = json.dumps({"run_ms": RUN_MS})
        timed = {
            "specification": specification,
            "steps": [step],
            "repetitions": REPETITIONS if trouble() else 100,
            "first_run_ms": int(time.time() * 1000) + FIRST_RUN_IN_MS,
            "interval_ms": INTERVAL_MS,
        }
        plain = {"specification": specification, "steps": [step]}
        timed_ids = [f"{number:016x}" for number in range(TIMED_JOBS)]
        plain_ids = [f"{number + 0xB000:016x}" for number in range(PLAIN_JOBS)]
        with ThreadPoolExecutor(max_workers=TIMED_JOBS) as clients:
            statuses = clients.map(lambda i: rig.call("POST", i, timed)[0], timed_ids)
            accepted = list(statuses).count(200)
            statuses = clients.map(
                lambda i: rig.call("POST", i, plain, key="key-blue")[0], plain_ids
            )
            job_ids = [
                i
                for i, status in zip(plain_ids, statuses, strict=True)
                if status == 200
            ]
        if accepted < TIMED_JOBS / 2 or len(job_ids) < PLAIN_JOBS / 2:
            return CANNOT_RUN
        time.sleep(FINISH_S)
        from_ms = int(time.monotonic() * 1000)
        time.sleep(IDLE_S + 1.0)
        until_ms = int(time.monotonic() * 1000)
        begun = {e["task"].split(".")[0] for e in rig.worker_events() if "task" in e}
        breaks = []
        for job_id in job_ids:
            status, reply = rig.call("GET", job_id, key="key-blue", attempts=1)
            state = reply.get("state", f"status {status}")
            if job_id not in begun:
                breaks.append(
                    f"{job_id}: nothing ran for {until_ms - from_ms} ms, "
                    f"{FINISH_S:.0f} s after the traffic; shown as {state}"
                )
        return finish(breaks, rig)


if __name__ == "__main__":
    sys.exit(main())
