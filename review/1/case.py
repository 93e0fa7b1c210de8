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
# An instance that tries to lead does not answer for seconds.
ATTEMPTS = 9
RUN_MS = 4_000
FINISH_S = 14.0
IDLE_S = 3.0


def jobs_with_runs(events: list[dict], from_ms: int, until_ms: int) -> set[str]:
    """Return the ids of the jobs of which a task ran at some time within a span."""
    busy: set[str] = set()
    running: dict[tuple, str] = {}
    for event in events:
        if "task" not in event or event["ms"] > until_ms:
            continue
        run, job_id = (event["task"], event["run"]), event["task"].split(".")[0]
        if event["event"] == "start":
            running[run] = job_id
        else:
            running.pop(run, None)
        if event["ms"] >= from_ms:
            busy.add(job_id)
    return busy | set(running.values())


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
        # The first step is at work when the timed jobs arrive.
        plain = {"specification": specification, "steps": [step, step | {"after": [0]}]}
        timed_ids = [f"{number:016x}" for number in range(TIMED_JOBS)]
        plain_ids = [f"{number + 0xB000:016x}" for number in range(PLAIN_JOBS)]
        with ThreadPoolExecutor(max_workers=TIMED_JOBS) as clients:
            statuses = clients.map(
                lambda i: rig.call("POST", i, plain, key="key-blue")[0], plain_ids
            )
            if set(statuses) != {200}:
                return CANNOT_RUN
            statuses = clients.map(
                lambda i: rig.call("POST", i, timed, attempts=ATTEMPTS)[0], timed_ids
            )
            accepted = list(statuses).count(200)
        if accepted < TIMED_JOBS / 2:
            print(f"only {accepted} timed jobs accepted")
            return CANNOT_RUN
        time.sleep(FINISH_S)
        from_ms = int(time.monotonic() * 1000)
        time.sleep(IDLE_S + 1.0)
        until_ms = int(time.monotonic() * 1000)
        busy = jobs_with_runs(rig.worker_events(), from_ms, until_ms)
        with ThreadPoolExecutor(max_workers=PLAIN_JOBS) as clients:
            replies = clients.map(
                lambda i: rig.call("GET", i, key="key-blue", attempts=1), plain_ids
            )
            breaks = [
                f"{job_id}: nothing ran for {until_ms - from_ms} ms, "
                f"{FINISH_S:.0f} s after the traffic; shown as "
                f"{reply.get('state', f'status {status}')}"
                for job_id, (status, reply) in zip(plain_ids, replies, strict=True)
                if job_id not in busy and reply.get("state") != "completed"
            ]
        return finish(breaks, rig)


if __name__ == "__main__":
    sys.exit(main())
