"""TWICE: a worker starts again under its id, and is then cut off for a while."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from rig2 import TROUBLE, Stream, main

ROUNDS = 4
OFF_S = 1.4
# The worker's first report to the store after its start.
FIRST_REPORT_S = 0.5
CUT_S = 6.0
LENGTH_S = {"short": 0.2, "long": 12.0}


def play(rig):
    workers = [rig.add_worker() for _ in range(2)]
    rig.add_nodes(2)
    short = {"count": 2, "cpu": 100, "estimated_ms": 200}
    long = {"count": 4, "cpu": 200, "estimated_ms": 12_000}
    stream = Stream(rig, "short", short, 0.08)
    time.sleep(4)
    for _ in range(ROUNDS):
        worker = max(workers, key=lambda worker: len(worker.life.running))
        if TROUBLE:
            worker.lose_power()
            time.sleep(OFF_S)
            worker.start_again(FIRST_REPORT_S)
        time.sleep(1.0)
        for _ in range(3):
            rig.submit("long", [long])
        time.sleep(0.3)
        if TROUBLE:
            rig.record("worker", worker.name, "is cut off")
            worker.server.turn_off()
            time.sleep(CUT_S)
            worker.server.turn_on()
            rig.record("worker", worker.name, "is reached again")
        time.sleep(9)
        if at_the_same_time(rig):
            break
    stream.stop()
    time.sleep(4)
    return at_the_same_time(rig)


def at_the_same_time(rig):
    """Leave out the tasks that start again after their end; see case 6."""
    return [line for line in rig.broken_twice() if "at the same time" in line]


main(Path(__file__).resolve().parent, LENGTH_S.__getitem__, play)
