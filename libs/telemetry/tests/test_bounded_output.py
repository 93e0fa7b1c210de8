"""Log output never blocks and is limited in volume."""

from __future__ import annotations

import os
from contextlib import suppress

import gevent

from lycheeloom.telemetry import BoundedOutput


def test_stopped_reader_does_not_block_writers():
    """Guards against requests that block on a full pipe when they log a line."""
    reader, writer = os.pipe()
    output = BoundedOutput(writer, max_waiting=50)
    line = "x" * 9_999 + "\n"
    for _ in range(500):
        output.write(line)
        gevent.sleep(0)
    assert output.dropped > 300
    os.set_blocking(reader, False)
    received = b""
    while b"log_lines_dropped" not in received:
        output.write("event=later\n")
        gevent.sleep(0.01)
        with suppress(BlockingIOError):
            received += os.read(reader, 65_536)
    assert received.startswith(line.encode())


def test_volume_is_bounded_and_drops_are_counted():
    """Guards against a flood of log lines under load."""
    reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_s=0.0, burst=10)
    for number in range(25):
        output.write(f"event=e number={number}\n")
    output.flush()
    lines = os.read(reader, 65_536).decode().splitlines()
    assert len(lines) == 10
    assert output.dropped == 15
