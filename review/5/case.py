"""Tasks that take long are stopped again and again, and are never done."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from rig import CANNOT_RUN, Rig, finish, trouble  # noqa: E402

WORKERS = 6
TASKS = 3
LONG_RUN_MS = 400_000
SHORT_RUN_MS = 60_000
JOB = "00000000000000d1"
FINISH_S = 14.0
WATCH_S = 30.0
IDLE_MS = 3_000


def idle_spans(events: list[dict], from_ms: int, until_ms: int) -> list[tuple]:
    """Return the spans of at least ``IDLE_MS`` in which no task of the job ran."""
    spans, running, idle_since_ms = [], 0, from_ms
    for event in events:
        if event["event"] == "start":
            if not running and event["ms"] - idle_since_ms >= IDLE_MS:
                spans.append((idle_since_ms, event["ms"]))
            running += 1
        elif event["event"] == "end":
            running -= 1
            idle_since_ms = max(from_ms, event["ms"])
    if not running and until_ms - idle_since_ms >= IDLE_MS:
        spans.append((idle_since_ms, until_ms))
    return [span for span in spans if span[1] > from_ms]


def main() -> int:
    with Rig(CASE, nodes=3, workers=WORKERS) as rig:
        rig.wait_ready()
        run_ms = LONG_RUN_MS if trouble() else SHORT_RUN_MS
        step = {
            "count": TASKS,
            "cpu": 1000,
            "estimated_ms": run_ms,
            "anti_affinity": 1,
        }
        job = {"specification": json.dumps({"run_ms": run_ms}), "steps": [step]}
        if rig.call("POST", JOB, job)[0] != 200:
            return CANNOT_RUN
        time.sleep(FINISH_S)
        from_ms = int(time.monotonic() * 1000)
        time.sleep(WATCH_S)
        until_ms = int(time.monotonic() * 1000)
        rig.call("GET", JOB)
        events = [e for e in rig.worker_events() if e.get("task", "").startswith(JOB)]
        breaks = [
            f"{JOB}: nothing ran for {until - since} ms"
            for since, until in idle_spans(events, from_ms, until_ms)
        ]
        return finish(breaks, rig)


if __name__ == "__main__":
    sys.exit(main())
