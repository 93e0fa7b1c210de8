"""Log output never blocks and is limited in volume."""

from __future__ import annotations

import os
from contextlib import suppress

import gevent

from lycheeloom.telemetry import BoundedOutput, configure_logging, log_event


def test_stopped_reader_does_not_block_writers():
    """Guards against requests that block on a full pipe when they log a line."""
    reader, writer = os.pipe()
    output = BoundedOutput(writer, max_waiting=50)
    line = "x" * 9_999 + "\n"
    # The pipe and the queue hold far fewer than 200 of these lines.
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


def test_rate_limit_drops_and_counts_lines():
    """Guards against a flood of log lines under load."""
    reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_s=0.0, burst=10)
    for number in range(25):
        output.write(f"event=e number={number}\n")
    output.flush()
    lines = os.read(reader, 65_536).decode().splitlines()
    assert len(lines) == 10
    assert output.dropped == 15


def read_lines(reader: int) -> list[str]:
    """Return the lines that a pipe holds."""
    return os.read(reader, 65_536).decode().splitlines()


def test_surge_of_routine_lines_drops_no_other_line():
    """Guards against losing the lines that explain a failure in a surge."""
    reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_s=0.0, burst=100)
    for number in range(500):
        output.write(f"event=routine number={number}\n", is_routine=True)
        if number % 20 == 0:
            output.write(f"event=failure number={number}\n")
    output.flush()
    lines = read_lines(reader)
    failures = [line for line in lines if line.startswith("event=failure")]
    assert len(failures) == 25
    # The routine lines end when 25 of the 100 tokens are left.
    assert len(lines) <= 100 + 1
    assert 70 < 500 + 25 - output.dropped <= 100


def test_lines_that_are_not_routine_are_limited_too():
    """Guards against an unlimited volume of lines that are not routine."""
    reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_s=0.0, burst=100)
    for number in range(500):
        output.write(f"event=routine number={number}\n", is_routine=True)
        output.write(f"event=failure number={number}\n")
    output.flush()
    assert 1000 - output.dropped == 100
    # The lines that report the dropped ones are not counted.
    assert 100 <= len(read_lines(reader)) <= 110


def test_routine_lines_leave_room_in_the_queue():
    """The same as for a surge, while the reader is slow."""
    _, writer = os.pipe()
    output = BoundedOutput(writer, max_waiting=100)
    for _ in range(500):
        output.write("event=routine\n", is_routine=True)
    assert output.dropped == 425
    for _ in range(500):
        output.write("event=failure\n")
    # The report of the dropped lines takes one of the 25 places.
    assert output.dropped == 425 + 500 - 24


def test_drops_are_reported_once_in_an_interval():
    """Guards against reports of dropped lines that double the volume of a surge."""
    reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_s=0.0, burst=100)
    for _ in range(100):
        output.write("event=routine\n", is_routine=True)
    for _ in range(25):
        output.write("event=routine\n", is_routine=True)
        output.write("event=failure\n")
    output.flush()
    reports = [line for line in read_lines(reader) if "log_lines_dropped" in line]
    assert reports == ["event=log_lines_dropped count=26"]


def test_events_are_routine_only_if_marked():
    """Guards against events that lose their mark on the way to the output."""
    reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_s=0.0, burst=4)
    configure_logging("entry-1", output=output)
    try:
        for _ in range(5):
            log_event("task_start", is_routine=True, outcome="done")
        log_event("worker_lapsed")
    finally:
        configure_logging("tests")
    output.flush()
    events = [line.split(" event=")[-1] for line in read_lines(reader)]
    assert events == [
        *["task_start outcome=done"] * 3,
        "event=log_lines_dropped count=2",
        "worker_lapsed",
    ]
