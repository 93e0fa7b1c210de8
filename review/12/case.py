"""A cancelled job runs on after the open connections to its worker went silent."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from rig3 import (  # noqa: E402
    CANCEL_S,
    STOP_S,
    CannotRunError,
    Deployment,
    Record,
    request,
    run_case,
)

LASTING_ID = "00000000000000a1"
BURST_ID = "00000000000000b2"
BURST_TASKS = 24
# From the silence of the connections to the cancelling of the job. The rules count a
# machine as in touch again 3 s after a reset of its connections.
CALM_S = 4.0
# For the clocks of this script.
TOLERANCE_S = 0.3


async def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    deployment = Deployment(record, 3, ["r-1", "r-1", "r-2"])
    try:
        await deployment.start()
        return await _play(deployment, record, has_trouble)
    finally:
        await deployment.stop()


async def _play(deployment: Deployment, record: Record, has_trouble: bool) -> bool:
    work = json.dumps({"run_s": 1.0, "cpu": 1_000, "lasts": True})
    step = {"count": 1, "cpu": 1_000, "estimated_ms": 500, "long_running": True}
    await _submit(deployment, record, LASTING_ID, work, step)
    run = await _await_run(deployment, LASTING_ID)
    worker = next(w for w in deployment.workers if w.worker_id == run.worker_id)
    # Short tasks at once, as a round sheet has them; their starts are sent in parallel.
    work = json.dumps({"run_s": 0.8, "cpu": 300})
    step = {"count": BURST_TASKS, "cpu": 300, "estimated_ms": 800}
    await _submit(deployment, record, BURST_ID, work, step)
    until_s = time.monotonic() + 10.0
    while (
        sum(r.how == "done" for w in deployment.workers for r in w.runs) < BURST_TASKS
    ):
        if time.monotonic() > until_s:
            raise CannotRunError("the short tasks did not end in time")
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)
    if has_trouble:
        count = 0
        for any_worker in deployment.workers:
            for connection in any_worker.server.connections:
                connection.is_silent = True
                count += 1
        record.write(f"{count} open connections to the workers are silent from now on")
    await asyncio.sleep(CALM_S)
    if run.ended_s is not None:
        raise CannotRunError(f"the lasting task has ended: {run.how}")
    reply = await request(deployment.frontends[0], "DELETE", f"/sheet/{LASTING_ID}")
    acknowledged_s = time.monotonic()
    record.write(f"DELETE of {LASTING_ID}: {reply}")
    if reply is None or reply[0] != 200:
        raise CannotRunError("the cancelling was not acknowledged")
    latest_s = acknowledged_s + CANCEL_S + STOP_S + TOLERANCE_S
    while time.monotonic() < acknowledged_s + 12.0 and worker.running():
        await asyncio.sleep(0.02)
    runs = [r for w in deployment.workers for r in w.runs if LASTING_ID in r.task]
    for run in runs:
        after_s = (run.ended_s or time.monotonic()) - acknowledged_s
        record.write(
            f"run {run.run} of {run.task} on {run.worker_id} was there until "
            f"{after_s:.2f} s after the acknowledgement; allowed are "
            f"{CANCEL_S + STOP_S} s"
        )
    return any((run.ended_s or time.monotonic()) > latest_s for run in runs)


async def _submit(
    deployment: Deployment, record: Record, job_id: str, work: str, step: dict
) -> None:
    body = {"specification": work, "steps": [step]}
    reply = await request(deployment.frontends[0], "POST", f"/sheet/{job_id}", body)
    record.write(f"POST of {job_id}: {reply}")
    if reply is None or reply[0] != 200:
        raise CannotRunError("a job was not accepted")


async def _await_run(deployment: Deployment, job_id: str):
    until_s = time.monotonic() + 10.0
    while time.monotonic() < until_s:
        for worker in deployment.workers:
            for run in worker.running():
                if job_id in run.task:
                    return run
        await asyncio.sleep(0.02)
    raise CannotRunError("the lasting task did not start")


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
