"""Cost of log lines of events.

Run with ``python -m bench.line_cost [--json] [--lines N]``. The events are starts of
tasks, the most frequent lines of a leader. They are written through a pipe that
another process reads; its processor time is not counted.
"""

from __future__ import annotations

import argparse
import os
import subprocess
import time
from collections.abc import Iterator

import gevent

from lycheeloom.telemetry import BoundedOutput, configure_logging, log_event

from .report import Row, print_rows

# Rate of a leader's lines in a surge, starts and ends of tasks together.
SURGE_LINES_PER_S = 920
# The greenlet that writes the lines runs after so many events.
EVENTS_PER_TURN = 50


def measure(name: str, lines: int, lines_per_s: float, burst: int) -> Iterator[Row]:
    """Measure events through an output with a rate limit."""
    reader = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=subprocess.DEVNULL)
    output = BoundedOutput(
        os.dup(reader.stdin.fileno()),
        max_waiting=2 * lines,
        lines_per_s=lines_per_s,
        burst=burst,
    )
    configure_logging("entry-1", output=output)
    cpu_s = time.process_time()
    for number in range(lines):
        log_event(
            "task_start",
            is_routine=True,
            task=f"4be7bd5ffe407fe6.0.0.{number}",
            run=1,
            worker="i-ea28e2906d",
            token=1,
            outcome="done",
            reason="",
            took_ms=8.387,
        )
        if number % EVENTS_PER_TURN == 0:
            gevent.sleep(0)
    output.flush(60.0)
    cpu_s = time.process_time() - cpu_s
    reader.stdin.close()
    reader.terminate()
    reader.wait()
    yield Row(f"{name}: lines dropped", "", output.dropped, None)
    yield Row(f"{name}: processor", "", cpu_s / lines * 1e6, None, unit="us")
    share = 100 * cpu_s / lines * SURGE_LINES_PER_S
    yield Row(f"{name}: {SURGE_LINES_PER_S} lines/s", "", share, None, unit="% core")


def main() -> None:
    """Run all measurements and print the results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument(
        "--lines", type=int, default=50_000, help="number of events (50,000)"
    )
    options = parser.parse_args()
    rows = [
        *measure("written", options.lines, 0.0, 2 * options.lines),
        *measure("dropped", options.lines, 0.0, 1),
    ]
    print_rows("Log lines", rows, options.json)


if __name__ == "__main__":
    main()
