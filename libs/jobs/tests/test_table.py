"""Tests of the table of all jobs, which each instance keeps."""

from __future__ import annotations

import pytest

from lycheeloom.jobs import table as table_module
from lycheeloom.jobs.model import Job, JobState, Step
from lycheeloom.jobs.records import JobProgress, Kind, Record, encode, key_of
from lycheeloom.jobs.table import JobTable

JOB_ID = "0" * 16


def progress_record(state: JobState, run: int = 1) -> Record:
    """Return the record of a job's progress."""
    return Record(key_of(Kind.PROGRESS, JOB_ID), encode(JobProgress(state, run)))


@pytest.fixture
def table():
    """A table with one job."""
    table = JobTable()
    job = Job(JOB_ID, "queue", "red", "spec", (Step(1),))
    table.apply(0, Record(key_of(Kind.JOB, JOB_ID), encode(job)))
    return table


def test_progress_that_nobody_needs_is_not_decoded(table, monkeypatch):
    """Guards against instances that spend their processor on replaced records.

    Load pattern: hundreds of runs end each second, and each of a hundred instances
    reads the progress of all jobs.
    """
    decoded = []
    decode = table_module.decode
    monkeypatch.setattr(
        table_module, "decode", lambda *args: decoded.append(args) or decode(*args)
    )
    for offset in range(1, 100):
        table.apply(offset, progress_record(JobState.RUNNING, offset))
    assert decoded == []
    assert table.entry_by_id[JOB_ID].state is JobState.RUNNING
    assert table.entry_by_id[JOB_ID].progress.highest_run == 99
    assert len(decoded) == 1


def test_damaged_progress_does_not_replace_an_earlier_one(table):
    """Guards against a job that starts again because one record is damaged."""
    table.apply(1, progress_record(JobState.COMPLETED))
    damaged = Record(key_of(Kind.PROGRESS, JOB_ID), b"\x00" * 40)
    assert table.apply(2, damaged) is None
    assert table.entry_by_id[JOB_ID].state is JobState.COMPLETED
    assert table.unreadable_records == 1


def test_state_follows_the_newest_progress(table):
    """Guards against a state that stays at the first progress that was decoded."""
    assert table.entry_by_id[JOB_ID].state is JobState.QUEUED
    table.apply(1, progress_record(JobState.RUNNING))
    assert table.entry_by_id[JOB_ID].state is JobState.RUNNING
    table.apply(2, progress_record(JobState.COMPLETED))
    assert table.entry_by_id[JOB_ID].state is JobState.COMPLETED
