"""Tests timelines of a job and of the leaders, built from log lines."""

from __future__ import annotations

import pytest

from lycheeloom.operator.exit_codes import ExitCode
from lycheeloom.operator.log_timeline import (
    build_leader_timeline,
    build_timeline,
    parse_line,
)
from lycheeloom.operator.main import main

JOB = "5c0e7a21d94b36f8"


def log_line(second: int, process: str, event: str, **fields: str) -> str:
    """Return a log line as a process writes it."""
    pairs = " ".join(f"{k}={v}" for k, v in fields.items())
    time = f"2026-12-04T10:00:{second:02d}.000+00:00"
    return f"time={time} level=INFO process={process} event={event} {pairs}\n"


@pytest.fixture
def log():
    """Log lines of a job whose leader changed, unordered, and one of another job."""
    return [
        log_line(9, "n2", "task_adopted", task=f"{JOB}.0.0.0", run="1", worker="w"),
        "a line of something else\n",
        log_line(1, "n1", "job_submitted", job=JOB, verdict="accepted"),
        log_line(1, "n3", "job_opened", job=JOB, queue="q"),
        log_line(2, "n3", "task_start", task=f"{JOB}.0.0.0", run="1", outcome="done"),
        log_line(2, "n3", "task_start", task="0000000000000000.0.0.0", run="1"),
        log_line(8, "n2", "lead_taken", token="2"),
        log_line(10, "n2", "job_ended", job=JOB, state="completed"),
    ]


def test_timeline_merges_processes_and_shows_gaps(log):
    """Guards against timelines that hide periods without a log line."""
    timeline = build_timeline(log, JOB)
    events = [row.split()[2] for row in timeline if not row.startswith(" ")]
    assert events == [
        "job_submitted",
        "job_opened",
        "task_start",
        "lead_taken",
        "task_adopted",
        "job_ended",
    ]
    assert "    no line for 6.0 s" in timeline


def test_missing_events_are_reported(log):
    """Guards against mistaking a missing log file for a job that no leader handled."""
    timeline = build_timeline(log[1:3], JOB)
    assert "    no line about a leader taking the job over" in timeline


def test_timeline_of_the_leaders(log):
    """Guards against timelines that lack a change of leader."""
    assert build_leader_timeline(log) == [
        "2026-12-04T10:00:08.000+00:00 n2 lead_taken token=2"
    ]


def test_timelines_show_a_leader_that_cannot_keep_up(log):
    """Guards against late jobs in whose timeline only a gap shows the cause."""
    late = [
        log_line(4, "n3", "leader_late", late_s="1.250"),
        log_line(5, "n2", "lead_bid", token="1"),
        log_line(6, "n3", "lead_handed_over", to="n2"),
        log_line(12, "n2", "leader_late", late_s="0.750"),
    ]
    prefix = "2026-12-04T10:00:"
    job_rows = build_timeline(log + late, JOB)
    assert f"{prefix}04.000+00:00 n3 leader_late late_s=1.250" in job_rows
    assert f"{prefix}06.000+00:00 n3 lead_handed_over to=n2" in job_rows
    assert not any("late_s=0.750" in row for row in job_rows)
    events = [row.split()[2] for row in build_leader_timeline(log + late)]
    assert events == [
        "leader_late",
        "lead_bid",
        "lead_handed_over",
        "lead_taken",
        "leader_late",
    ]


def test_timelines_show_why_nothing_starts(log):
    """Guards against late jobs whose leader waits for lists, or does not plan."""
    waiting = [
        log_line(4, "n3", "campaign_given_up", reason="leader seen"),
        log_line(4, "n3", "lead_delayed", late_records="1"),
        log_line(5, "n3", "inherited_jobs_wait", pools="p"),
        log_line(6, "n3", "inherited_jobs_released", after_s="1.000"),
        log_line(6, "n3", "starts_paused", reason="logs not read"),
        log_line(7, "n3", "starts_resumed"),
    ]
    leader_events = [row.split()[2] for row in build_leader_timeline(log + waiting)]
    assert leader_events[:6] == [
        "campaign_given_up",
        "lead_delayed",
        "inherited_jobs_wait",
        "inherited_jobs_released",
        "starts_paused",
        "starts_resumed",
    ]
    job_rows = build_timeline(log + waiting, JOB)
    assert any("n3 inherited_jobs_wait pools=p" in row for row in job_rows)
    assert any("n3 starts_paused" in row for row in job_rows)


def test_prefixes_and_quoted_values_are_read():
    """Guards against ignoring lines to which a log collector added a prefix."""
    text = '  1.25 n1 time=T level=INFO process=n1 event=e reason="no \\"x\\" here"'
    assert parse_line(text).fields == {"reason": 'no "x" here'}


def test_command_reads_files(log, tmp_path, capsys):
    """Guards against requiring a settings file for a command that reads only logs."""
    path = tmp_path / "n.log"
    path.write_text("".join(log))
    assert main(["explain", "job", JOB, "--logs", str(path)]) == ExitCode.OK
    assert "task_adopted" in capsys.readouterr().out
    assert main(["explain", "job", "f" * 16, "--logs", str(path)]) == ExitCode.NOT_FOUND
    missing = str(tmp_path / "none")
    assert main(["explain", "leader", "--logs", missing]) == ExitCode.INVALID_INPUT
