"""Builds timelines of jobs, instances, workers, waves and leaders from log lines."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Events that show which process leads, why a leader stops, and when it starts nothing.
LEADER_EVENTS = frozenset(
    {
        "campaign_given_up",
        "inherited_jobs_wait",
        "inherited_jobs_released",
        "lead_taken",
        "lead_delayed",
        "lead_bid",
        "lead_handed_over",
        "lead_given_up",
        "lead_claim_failed",
        "lead_claimed_elsewhere",
        "lead_not_taken",
        "leader_append_repeated",
        "leader_fenced",
        "leader_late",
        "process_started",
        "process_stopping",
        "process_stopped",
        "starts_paused",
        "starts_resumed",
        "store_lost",
        "store_regained",
    }
)
# Those of them that explain why tasks are late or start again.
_TASK_DELAY_EVENTS = frozenset(
    {
        "inherited_jobs_wait",
        "inherited_jobs_released",
        "lead_taken",
        "lead_handed_over",
        "lead_given_up",
        "leader_late",
        "starts_paused",
        "starts_resumed",
    }
)
# Fields that hold the name of an object. ``_is_about`` matches the fields for tasks and
# steps, whose names are the name of their job followed by a dot and numbers.
_NAME_FIELDS = ("job", "instance", "worker", "wave")
_COMMON_FIELDS = frozenset({"time", "level", "process", "event"})
# Two consecutive lines further apart than this are reported as a gap.
MIN_GAP_S = 5.0


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event that a process logged; ``fields`` has all but ``_COMMON_FIELDS``."""

    time: str
    process: str
    event: str
    fields: dict[str, str]

    @property
    def seconds(self) -> float:
        """The time of day in seconds, 0 if ``time`` has no time of day."""
        match = re.search(r"T(\d+):(\d+):([\d.]+)", self.time)
        if match is None:
            return 0.0
        return int(match[1]) * 3600 + int(match[2]) * 60 + float(match[3])


def parse_line(text: str) -> LogLine | None:
    """Parse a line of key=value pairs; None if it lacks time, process or event.

    Text before the first pair, such as the prefix of a log collector, is ignored.
    """
    fields = {
        name: value[1:-1].replace('\\"', '"') if value.startswith('"') else value
        for name, value in _PAIR.findall(text)
    }
    if not {"time", "process", "event"} <= fields.keys():
        return None
    other_fields = {
        name: value for name, value in fields.items() if name not in _COMMON_FIELDS
    }
    return LogLine(fields["time"], fields["process"], fields["event"], other_fields)


def build_timeline(raw_lines: Iterable[str], name: str) -> list[str]:
    """Return the lines about a job, instance, worker or wave, ordered by time.

    Changes and delays of the leader between the first and the last of these lines are
    included, since they explain why tasks are late or are started again. For a job, the
    main events that no line mentions follow at the end. Without any line about the
    object the result is empty.
    """
    lines = [line for text in raw_lines if (line := parse_line(text)) is not None]
    matching = [line for line in lines if _is_about(line, name)]
    if not matching:
        return []
    first, last = min(x.time for x in matching), max(x.time for x in matching)
    leaders = [
        line
        for line in lines
        if line.event in _TASK_DELAY_EVENTS and first <= line.time <= last
    ]
    return [*_render(matching + leaders), *_missing_events(matching)]


def build_leader_timeline(raw_lines: Iterable[str]) -> list[str]:
    """Return the events that show which process led when and why that changed."""
    lines = [line for text in raw_lines if (line := parse_line(text)) is not None]
    return _render([line for line in lines if line.event in LEADER_EVENTS])


def _is_about(line: LogLine, name: str) -> bool:
    """Tell whether a line is about an object, or about a task or step of a job."""
    if any(line.fields.get(key) == name for key in _NAME_FIELDS):
        return True
    task = line.fields.get("task", line.fields.get("step", ""))
    return task == name or task.startswith(name + ".")


def _render(lines: Sequence[LogLine]) -> list[str]:
    """Return the lines as text, ordered by time, with a line for each gap."""
    rendered = []
    previous: LogLine | None = None
    for line in sorted(lines, key=lambda x: x.time):
        if previous is not None and line.seconds - previous.seconds > MIN_GAP_S:
            gap_s = line.seconds - previous.seconds
            rendered.append(f"    no line for {gap_s:.1f} s")
        previous = line
        pairs = " ".join(f"{k}={v}" for k, v in line.fields.items())
        rendered.append(f"{line.time} {line.process} {line.event} {pairs}".rstrip())
    return rendered


def _missing_events(lines: Sequence[LogLine]) -> list[str]:
    """Return a text for each main event of a job that no line mentions.

    The result is empty if the lines are not about a job.
    """
    events = {line.event for line in lines}
    if not events & {"job_submitted", "job_opened", "job_ended"}:
        return []
    expected = {
        "job_submitted": "no line about an instance accepting the job",
        "job_opened": "no line about a leader taking the job over",
        "job_ended": "no line about the end of the job: it still runs, or the log of "
        "a leader is missing",
    }
    return [f"    {text}" for event, text in expected.items() if event not in events]
