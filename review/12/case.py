"""A job never starts, as the leader asks for advice on the same 30 workers for good."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from rig3 import (  # noqa: E402
    FINISH_S,
    Call,
    CannotRunError,
    Deployment,
    Record,
    Reply,
    Server,
    json_reply,
    request,
    run_case,
)

# Workers of the pool; grown sites have 28 to 44 in each.
WORKERS = 40
# How many of them the policy of the queue allows to run a step.
ALLOWED = 2
TERMS = {"decision_ms": 20.0, "each_ms": 1.0, "validity_ms": 4_000}
MAX_WORKERS_PER_CALL = 100
JOB_ID = "fe000000000000a1"
TASKS = 4
TASK_S = 1.0
# For so long, a job has nothing running although there is capacity for it.
NOTHING_S = 3.0


class AdviceService:
    """Knows which workers may run the steps of a queue; handles one call at a time."""

    def __init__(self, record: Record, allowed: set[str]) -> None:
        self.server = Server(self._handle)
        self.calls = 0
        self.asked: set[str] = set()
        self._record = record
        self._allowed = allowed
        self._turn = asyncio.Lock()

    async def _handle(self, call: Call) -> Reply:
        body = call.document
        workers = body["workers"]
        if call.path != "/v1/advise" or len(workers) > MAX_WORKERS_PER_CALL:
            return Reply(400)
        async with self._turn:
            duration_ms = TERMS["decision_ms"] + TERMS["each_ms"] * len(workers)
            await asyncio.sleep(duration_ms / 1000)
        self.calls += 1
        self.asked.update(workers)
        rows = [
            [worker, f"t-{worker}"] for worker in workers if worker in self._allowed
        ]
        self._record.write(
            f"advice on {len(workers)} workers for {body['step']}: {len(rows)} eligible"
        )
        return json_reply(
            {"eligible_workers": rows, "validity_ms": TERMS["validity_ms"]}
        )


async def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    deployment = Deployment(record, 3, [f"r-{n // 4}" for n in range(WORKERS)])
    ids = sorted(worker.worker_id for worker in deployment.workers)
    allowed = ids[-ALLOWED:] if has_trouble else ids[:ALLOWED]
    record.write(f"the policy allows {allowed} of {WORKERS} workers")
    service = AdviceService(record, set(allowed))
    try:
        await service.server.start()
        deployment.more_settings = [f"recommendation={service.server.address}"]
        deployment.advice_terms = TERMS
        await deployment.start()
        return await _play(deployment, service, set(allowed), record)
    finally:
        await deployment.stop()


async def _play(
    deployment: Deployment, service: AdviceService, allowed: set[str], record: Record
) -> bool:
    await asyncio.sleep(3.0)
    body = {
        "specification": json.dumps({"run_s": TASK_S, "cpu": 1_000}),
        "steps": [{"count": TASKS, "cpu": 1_000, "estimated_ms": 1_000}],
    }
    path = f"/sheet/{JOB_ID}"
    reply = await request(deployment.frontends[0], "POST", path, body)
    accepted_s = time.monotonic()
    record.write(f"POST of {JOB_ID}: {reply}")
    if reply is None or reply[0] != 200:
        raise CannotRunError("the job was not accepted")
    # The traffic has ended; jobs are asked for after this time.
    await asyncio.sleep(FINISH_S)
    looked_s = time.monotonic()
    state = b""
    while time.monotonic() < looked_s + NOTHING_S + 1.0:
        reply = await request(deployment.frontends[1], "GET", path)
        state = reply[1] if reply else b""
        await asyncio.sleep(0.2)
    runs = [run for worker in deployment.workers for run in worker.runs]
    is_idle = all(
        not worker.running()
        for worker in deployment.workers
        if worker.worker_id in allowed
    )
    record.write(
        f"{time.monotonic() - accepted_s:.1f} s after the acceptance: state {state!r}, "
        f"{len(runs)} starts, the allowed workers are idle: {is_idle}; {service.calls} "
        f"calls for advice named {len(service.asked)} workers, of the allowed ones "
        f"{sorted(service.asked & allowed)}"
    )
    return b"completed" not in state and not runs and is_idle


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
