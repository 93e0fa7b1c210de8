"""Two leaders act at once after lost answers of the store; a task runs twice."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from rig3 import (  # noqa: E402
    Call,
    CannotRunError,
    Deployment,
    Record,
    Run,
    Worker,
    keep,
    request,
    run_case,
)

JOBS_TOPIC = "keyed.lycheeloom"
# The rack of the worker that is slow to hear of a new leader.
FAR_RACK = "r-2"
RACKS = ["r-1", "r-1", "r-1", "r-1", "r-3", FAR_RACK]
# Losses of answers last 4.5 s at most, and meet at most this share of the writes.
LOSSES_S = 4.5
MAX_LOST_SHARE = 0.35
# Of one append of the leader: the first answer, and that to its first repetition.
MAX_LOST = 2
# Orders are carried out 2 to 12 s late.
LATE_S = 2.5
MAX_ROUNDS = 6
# From the first record of a new leader to the submission of a job.
SUBMIT_AFTER_S = 0.03
TASK_S = 3.0
WRITES_INTERVAL_S = 0.2


@dataclass
class Losses:
    """Decides which answers of the store are lost, within the limits above."""

    record: Record
    epoch: int
    began_s: float | None = None
    lost: int = 0
    writes: int = 0

    def lose(self, call: Call, outcome: str) -> bool:
        """Return whether the answer to an append is lost."""
        if self.began_s is not None:
            if time.monotonic() - self.began_s > LOSSES_S:
                return False
            self.writes += 1
        if call.query.get("epoch") != str(self.epoch):
            return False
        if self.began_s is None:
            self.began_s, self.writes = time.monotonic(), 1
        is_lost = self.lost < MAX_LOST and outcome in ("appended", "repeated")
        self.lost += is_lost
        self.record.write(
            f"append {call.query['sequence']} of the leader with token {self.epoch}: "
            f"{outcome}, {'answer lost' if is_lost else 'answered'}"
        )
        return is_lost


@dataclass
class LateOrder:
    """Holds back one order of a new leader to one worker."""

    record: Record
    worker: Worker
    former_token: int
    held: int = 0

    def hold_back(self, worker: Worker, call: Call) -> float | None:
        """Return for how long a call is held back, None for not at all."""
        if worker is not self.worker or self.held:
            return None
        if call.document.get("fencing_token", 0) <= self.former_token:
            return None
        self.held += 1
        self.record.write(
            f"worker {worker.worker_id} leaves {call.path} unanswered, and carries it "
            f"out {LATE_S} s later"
        )
        return LATE_S


async def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    deployment = Deployment(record, 3, RACKS)
    try:
        await deployment.start()
        keep(asyncio.create_task(_submit_timed_jobs(deployment)))
        for number in range(1, MAX_ROUNDS + 1):
            record.write(f"round {number}")
            await asyncio.sleep(4.0)
            if await _play_round(deployment, record, has_trouble, number):
                return True
        return False
    finally:
        await deployment.stop()


async def _submit_timed_jobs(deployment: Deployment) -> None:
    """Hand in jobs that are due much later, as other callers' writes to the store."""
    number = 0
    while True:
        number += 1
        body = {
            "specification": json.dumps({"run_s": 1.0, "cpu": 100}),
            "steps": [{"count": 1, "cpu": 100, "estimated_ms": 1000}],
            "repetitions": 1,
            "first_run_ms": int(time.time() * 1000) + 3_600_000,
            "interval_ms": 1000,
        }
        address = deployment.frontends[number % len(deployment.frontends)]
        path = f"/sheet/{number:015x}e"
        keep(asyncio.create_task(request(address, "POST", path, body)))
        await asyncio.sleep(WRITES_INTERVAL_S)


async def _play_round(
    deployment: Deployment, record: Record, has_trouble: bool, number: int
) -> bool:
    log = deployment.store.partition(JOBS_TOPIC)
    former_token = log.epoch
    leader = deployment.leader()
    losses = Losses(record, former_token)
    far_worker = next(w for w in deployment.workers if w.rack == FAR_RACK)
    late_order = LateOrder(record, far_worker, former_token)
    if has_trouble:
        deployment.store.lose = losses.lose
        for worker in deployment.workers:
            worker.hold_back = late_order.hold_back
    until_s = time.monotonic() + LOSSES_S
    while time.monotonic() < until_s and log.epoch == former_token:
        await asyncio.sleep(0.002)
    record.write(f"token of the leader: {former_token} before, {log.epoch} now")
    await asyncio.sleep(SUBMIT_AFTER_S)
    job_id = f"{number:016x}"
    body = {
        "specification": json.dumps({"run_s": TASK_S, "cpu": 1_000}),
        "steps": [
            {"count": 1, "cpu": 1_000, "estimated_ms": 3_000, "affinity": FAR_RACK}
        ],
    }
    address = deployment.frontends[(leader + 1) % len(deployment.frontends)]
    reply = await request(address, "POST", f"/sheet/{job_id}", body)
    record.write(f"POST of {job_id}: {reply}")
    await asyncio.sleep(2 * TASK_S)
    deployment.store.lose = lambda call, outcome: False
    if has_trouble:
        record.write(f"{losses.lost} of {losses.writes} answers to writes were lost")
        if losses.lost > MAX_LOST_SHARE * losses.writes:
            raise CannotRunError("too many answers were lost")
    runs = [r for w in deployment.workers for r in w.runs if r.task.startswith(job_id)]
    return _ran_twice(runs, record)


def _ran_twice(runs: list[Run], record: Record) -> bool:
    """Return whether two runs of one task were there at the same time."""
    is_twice = False
    now_s = time.monotonic()
    for number, first in enumerate(runs):
        for second in runs[number + 1 :]:
            ended_s = min(first.ended_s or now_s, second.ended_s or now_s)
            overlap_s = ended_s - max(first.began_s, second.began_s)
            if first.task != second.task or overlap_s <= 0:
                continue
            is_twice = True
            record.write(
                f"{first.task}: run {first.run} on {first.worker_id} by token "
                f"{first.token} and run {second.run} on {second.worker_id} by token "
                f"{second.token} at the same time for {overlap_s:.3f} s"
            )
    return is_twice


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
