"""TWICE: a worker loses power for a moment and starts again under its id."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from rig2 import TROUBLE, Stream, main

# Times of the power losses, from the begin of traffic.
LOSSES = 8
OFF_S = 1.4
# The worker's first report to the store after its start.
FIRST_REPORT_S = 0.5
TASK_S = 0.2


def play(rig):
    workers = [rig.add_worker() for _ in range(2)]
    rig.add_nodes(2)
    stream = Stream(rig, "short", {"count": 2, "cpu": 100, "estimated_ms": 200}, 0.08)
    time.sleep(4)
    for _ in range(LOSSES):
        if TROUBLE:
            # The worker with the most work.
            worker = max(workers, key=lambda worker: len(worker.life.running))
            worker.lose_power()
            time.sleep(OFF_S)
            worker.start_again(FIRST_REPORT_S)
        time.sleep(7)
        if rig.broken_twice():
            break
    stream.stop()
    time.sleep(4)
    return rig.broken_twice()


main(Path(__file__).resolve().parent, lambda specification: TASK_S, play)
