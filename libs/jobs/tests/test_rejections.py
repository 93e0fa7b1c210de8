"""Tests of which record of a job counts: its own or a rejection."""

from __future__ import annotations

import itertools

import pytest

from lycheeloom.jobs.model import Job, Step
from lycheeloom.jobs.records import Kind, Record, Rejection, decode, encode, key_of
from lycheeloom.jobs.table import JobEntry, JobTable

JOB_ID = "0" * 16


def job_record(rejections: int = 0) -> Record:
    job = Job(JOB_ID, "queue", "red", "", (Step(1),), rejections=rejections)
    return Record(key_of(Kind.JOB, JOB_ID), encode(job))


def rejection_record(count: int = 1) -> Record:
    rejection = Rejection(count, 1_000, 2_000)
    return Record(key_of(Kind.REJECTION, JOB_ID), encode(rejection))


def replay(*records: Record) -> JobEntry:
    """Return the entry of the job after all records, read as they are written."""
    table = JobTable()
    for offset, record in enumerate(records):
        table.apply(offset, record)
    return table.entry_by_id.get(JOB_ID, JobEntry())


def load(*records: Record) -> list[JobEntry]:
    """Return the entries that a snapshot gives, for each order of its records."""
    newest = {record.key: (offset, record) for offset, record in enumerate(records)}
    entries = []
    for order in itertools.permutations(newest.values()):
        table = JobTable()
        for offset, record in order:
            table.apply(offset, record, is_live=False)
        entries.append(table.entry_by_id.get(JOB_ID, JobEntry()))
    return entries


@pytest.mark.parametrize(
    ("records", "is_in_effect"),
    [
        ([rejection_record(1), job_record(0)], False),
        ([rejection_record(1), job_record(1)], True),
        ([job_record(0), rejection_record(1)], True),
        ([rejection_record(1), job_record(0), rejection_record(2)], False),
        ([rejection_record(1), job_record(1), rejection_record(2)], True),
        ([rejection_record(1), job_record(0), job_record(1)], True),
        ([rejection_record(1), rejection_record(2), job_record(1)], False),
    ],
)
def test_replay_and_snapshot_agree(records, is_in_effect):
    """Guards against a rejected job that runs, or an accepted one lost, by a restart.

    A job record with fewer rejections has a higher offset than the rejection, and the
    reverse.
    """
    assert bool(replay(*records).job) is is_in_effect
    assert not replay(*records).needs_correction
    assert {bool(entry.job) for entry in load(*records)} == {is_in_effect}


@pytest.mark.parametrize(
    ("records", "is_in_effect"),
    [
        # A repeated record of the accepted job hides that it came before the rejection.
        ([job_record(0), rejection_record(1), job_record(0)], True),
        # The second rejection hides that the late record came after the first one.
        ([rejection_record(1), job_record(0), rejection_record(1)], False),
        # An instance that lags behind writes a count that is not higher.
        ([rejection_record(2), rejection_record(1), job_record(1)], False),
        ([rejection_record(1), job_record(1), job_record(0)], True),
        # A copy of the first rejection arrives after the second one.
        ([rejection_record(1), rejection_record(2), rejection_record(1)], False),
        (
            [
                rejection_record(1),
                job_record(0),
                rejection_record(3),
                rejection_record(2),
            ],
            False,
        ),
    ],
)
def test_correction_makes_a_snapshot_agree(records, is_in_effect):
    """Guards against the loss of what only the replaced records showed."""
    entry = replay(*records)
    assert bool(entry.job) is is_in_effect
    assert entry.needs_correction
    corrected = entry.corrected_rejection()
    value = encode(corrected) if corrected else b""
    records = [*records, Record(key_of(Kind.REJECTION, JOB_ID), value)]
    assert bool(replay(*records).job) is is_in_effect
    assert not replay(*records).needs_correction
    assert {bool(entry.job) for entry in load(*records)} == {is_in_effect}
    if not is_in_effect:
        # Those who begin with the snapshot must not accept with too low a count.
        assert {entry.rejections for entry in load(*records)} == {
            replay(*records).rejections
        }


def test_snapshot_that_overlaps_the_log_gives_the_same_result():
    """Guards against a snapshot whose pages were read while records were appended.

    Histories that the leader corrects are tested above.
    """
    for records in ([job_record(0), rejection_record(1)], [rejection_record(1)] * 2):
        for late in (job_record(0), job_record(1), rejection_record(2)):
            history = [*records, late]
            whole = replay(*history)
            if whole.needs_correction:
                continue
            for loaded in range(len(history)):
                table = JobTable()
                table.apply(loaded, history[loaded], is_live=False)
                for offset, record in enumerate(history):
                    table.apply(offset, record)
                assert bool(table.entry_by_id[JOB_ID].job) is bool(whole.job)


def test_later_rejections_do_not_end_an_accepted_job():
    """Guards against the loss of a job that was answered with 200."""
    entry = replay(job_record(0), rejection_record(1), rejection_record(7))
    assert entry.job is not None


def test_job_keeps_the_time_of_its_first_attempt():
    """Guards against jobs that lose their place by a rejection, and by an update."""
    job = Job(JOB_ID, "queue", "red", "", (Step(1),), accepted_ms=5_000)
    assert decode(Job, encode(job)).offered_ms == 5_000
    waiting = Job(
        JOB_ID, "q", "red", "", (), accepted_ms=5_000, rejections=1, first_offered_ms=9
    )
    assert decode(Job, encode(waiting)) == waiting
    assert (waiting.offered_ms, waiting.accepted_ms) == (9, 5_000)


def test_late_copy_does_not_replace_a_returning_job():
    """Guards against a returning job that loses the time of its first attempt."""
    entry = replay(rejection_record(1), job_record(1), job_record(0))
    assert entry.job.rejections == 1


def test_record_of_an_earlier_version_is_decoded():
    """Guards against jobs that are lost by an update; encoded on commit b59164f."""
    record = bytes.fromhex(
        "a4e52147d0f013cb000000001d00000000000000040005000700000000000000"
        "000000000000000000000000000000000000000000000000110000008a000000"
        "19000000320000001900000022000000190000002a000000190000004f000000"
        "6162616261626162616261626162616200000000000000007175657565000000"
        "7265640000000000737065630000000004000000050004000200000064000000"
        "0000000000000000000000000000000000000000000000000000000000000000"
        "0d00000004000000090000000a000000090000000a000000090000000a000000"
        "000000000000000000000000000000000000000000000000"
    )
    job = Job("ab" * 8, "queue", "red", "spec", (Step(2, 100),), accepted_ms=7)
    assert decode(Job, record) == job
