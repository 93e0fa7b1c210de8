"""Format of log lines and spans, and propagation of traces."""

import io
import os
import re
import subprocess
import sys

import gevent
import pytest

from lycheeloom.telemetry import configure_logging, log_event
from lycheeloom.telemetry.logs import format_value
from lycheeloom.telemetry.traces import LineSpanExporter, Tracer


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("plain", "plain"),
        ("", '""'),
        ("two words", '"two words"'),
        ('a"b', '"a\\"b"'),
        ("line\nbreak", '"line\\nbreak"'),
        (1.23456, "1.235"),
        (7, "7"),
    ],
)
def test_values_stay_on_one_line(value, expected):
    """Values with spaces, quotes or line breaks must not break the line format."""
    assert format_value(value) == expected


def test_log_event_is_one_line(capsys):
    """Braces in values must not be interpreted as format fields."""
    configure_logging("entry-1")
    log_event("request_refused", message="bad {payload}\nsecond")
    line = capsys.readouterr().err
    assert line.count("\n") == 1
    assert "process=entry-1" in line
    assert 'event=request_refused message="bad {payload}\\nsecond"' in line


def test_line_begins_with_time_level_and_process(capsys):
    """The time has milliseconds and the offset from UTC."""
    configure_logging("entry-1")
    log_event("zone_out", level="WARNING", zone="z1")
    assert re.fullmatch(
        r"time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}[+-]\d\d:\d\d "
        r"level=WARNING process=entry-1 event=zone_out zone=z1\n",
        capsys.readouterr().err,
    )


def test_child_span_has_trace_and_parent_of_the_caller():
    """Spans of one trace must be linked across processes."""
    stream = io.StringIO()
    exporter = LineSpanExporter(stream)
    first, second = (Tracer(name, 1.0, exporter) for name in ("caller", "entry"))
    with (
        first.span("call") as parent,
        second.span("accept", parent.traceparent, organisation="t") as child,
    ):
        child.fail("no worker")
    lines = stream.getvalue().splitlines()
    trace_id, span_id = parent.traceparent.split("-")[1:3]
    assert all(f"trace={trace_id}" in line for line in lines)
    assert f"parent={span_id}" in lines[0]
    assert 'error="no worker"' in lines[0]


@pytest.mark.parametrize("header", ["", "garbage", "00-zz-1-01"])
def test_bad_traceparent_starts_a_new_trace(header):
    """A malformed header from a caller must not fail the request."""
    stream = io.StringIO()
    tracer = Tracer("entry", 1.0, LineSpanExporter(stream))
    with tracer.span("accept", header):
        pass
    assert "parent=-" in stream.getvalue()


@pytest.mark.parametrize(
    ("ratio", "header"),
    [(0.0, ""), (1.0, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00")],
)
def test_unrecorded_trace_is_propagated(ratio, header):
    """A caller's decision not to record a trace must reach the next process."""
    stream = io.StringIO()
    with Tracer("entry", ratio, LineSpanExporter(stream)).span("a", header) as span:
        span.set("organisation", "t")
        span.fail("reason")
    assert span.traceparent == header
    assert stream.getvalue() == ""


def test_forked_child_runs_no_greenlet_of_its_parent(tmp_path):
    """Guards against a forked child that uses its parent's connections before exec.

    A child sent a request on an idle connection of its parent, and the parent took
    the response to be that of its own next request.
    """
    path = tmp_path / "runs"
    path.touch()
    parent = os.getpid()
    # Each tracer registers a fork handler, which works as long as the tracer exists.
    tracers = [Tracer(f"entry-{number}", 0.0) for number in range(30)]
    with path.open("a", buffering=1) as runs:

        def record_runs_in_child():
            while True:
                gevent.sleep(0.0001)
                if os.getpid() != parent:
                    runs.write("child\n")

        greenlets = [gevent.spawn(record_runs_in_child) for _ in range(20)]
        for _ in range(5):
            assert subprocess.Popen([sys.executable, "-c", ""]).wait() == 0
        gevent.killall(greenlets)
    assert len(tracers) == 30
    assert path.read_text() == ""
