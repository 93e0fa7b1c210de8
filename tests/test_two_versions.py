"""Tests a rolling restart to a newer version of the entry and back to this one.

The newer version is simulated by ``tests.newer_entry``.
"""

from __future__ import annotations

import random
import re
from pathlib import Path

import pytest

from bench.fault_fleet import collect_all
from lycheeloom.clients import LogClient, ReadBatches, Response
from lycheeloom.cluster import connect
from lycheeloom.log import SnapshotReader
from lycheeloom.model.records import UnknownRecord
from lycheeloom.operator import Operator, Published
from lycheeloom.wire import PeerMessage, RangeRequest, decode_batch
from lycheeloom.wire.checksum import strip_checksum

from . import newer_entry
from .conftest import Load, call_if_ran, is_known_by, wait_until

NEWER_PROGRAM = "tests.newer_entry"
CURRENT_PROGRAM = "lycheeloom.entry.main"
# The controller appends records again once they are older than half of this time.
LOG_RETENTION_S = 4.0
COLLECT_TIMEOUT_S = 60.0
NEWER_POOL_FIELDS = {"cost_centre": newer_entry.COST_CENTRE}
NEWER_NOTICES = {"evening": {"text": "closed", "from": 18}}


class NewerOperator(Operator):
    """An operator of the newer version, which knows the newer fields."""

    def new_problems(self, document, file):
        """Report no problem with any field."""
        return []


@pytest.fixture(scope="module")
def newer_records():
    """The schema of log records with the additions of the newer version."""
    return newer_entry.load_newer_records()


def read_batches(harness):
    """Return all encoded batches of the log; the index of each is its offset."""
    client, batches = LogClient(harness.fleet.platform.log), []
    while True:
        answer = client.read(len(batches), 1000, 0.0)
        assert isinstance(answer, ReadBatches), answer
        if not answer.batches:
            return batches
        batches += answer.batches


def read_cost_centres(schema, encoded, tag):
    """Return the request ids and cost centres of the records of one kind in a batch.

    ``tag`` is the name of the kind in the schema.
    """
    with schema.Batch.from_bytes(strip_checksum(encoded)) as batch:
        return [
            (str(getattr(item, tag).requestId), str(getattr(item, tag).costCentre))
            for item in batch.records
            if str(item.which()) == tag
        ]


def cost_centres_in_log(harness, schema, tag, request_id):
    """Return the cost centre of each copy of a request's record in the log."""
    return [
        cost_centre
        for encoded in read_batches(harness)
        for found_id, cost_centre in read_cost_centres(schema, encoded, tag)
        if found_id == request_id
    ]


def count_unknown_in_log(harness):
    """Return how many records in the log are of a kind unknown to this version."""
    return sum(
        isinstance(record, UnknownRecord)
        for encoded in read_batches(harness)
        for record in decode_batch(encoded).records
    )


def count_skipped_by(harness, name):
    """Return how many records of unknown kinds an entry has skipped, by its metrics."""
    answer = harness.fleet.transport.call(
        harness.entry_by_name[name].address, "GET", "/metrics", timeout_s=5.0
    )
    assert isinstance(answer, Response)
    return float(re.search(rb"^\S*unknown_records (\S+)$", answer.body, re.M)[1])


def relayed_batches(harness, name, first_offset):
    """Return the batches that an entry relays to a peer, starting at an offset."""
    operator = harness.operator("reader")
    operator.refresh()
    members = operator.view.state.members.active()
    address = next(m.address for m in members if m.instance == name)
    connection = connect(address, 5.0)
    try:
        answer = connection.call(PeerMessage("test", RangeRequest(first_offset)), 5.0)
    finally:
        connection.close()
    return answer.body.batches


def replace_entry(harness, name, program):
    """Shut an entry down, start another version and wait until that takes part.

    The new process takes part once it is ready, and it and every other entry know each
    other as ``is_known_by`` says.
    """
    assert harness.stop_entry(name) == 0
    harness.start_entry(name, program=program)
    harness.serving_entries.discard(name)
    harness.wait_ready([name])
    harness.serving_entries.add(name)
    for other in harness.zone_by_entry:
        if other != name:
            wait_until(lambda other=other: is_known_by(harness, other, name))
            wait_until(lambda other=other: is_known_by(harness, name, other))


def publish_newer_fields(harness):
    """Publish a configuration with fields that the current version does not know."""
    operator = NewerOperator(
        LogClient(harness.fleet.platform.log), harness._entries(), "newer"
    )

    def edit(draft):
        draft.document["notices"] = NEWER_NOTICES
        draft.document["pools"]["main"].update(NEWER_POOL_FIELDS)

    result = operator.change(edit, accept_warnings=True)
    assert isinstance(result, Published), result


def assert_newer_fields(document):
    """Check that the newer fields of a configuration are as they were published."""
    assert document["notices"] == NEWER_NOTICES
    assert NEWER_POOL_FIELDS.items() <= document["pools"]["main"].items()


def assert_fields_outlive_retention(harness, schema, entry, key):
    """Check that records keep their newer field when the controller appends them again.

    The request runs longer than ``LOG_RETENTION_S``, so that the record with which it
    was submitted is appended again meanwhile.
    """
    batch = harness.submit("batch", entry, key, work_ms=9000)
    assert batch.status == 202, batch
    request_id = batch.document["request_id"]
    for tag in ("requestSubmitted", "requestFinished"):
        cost_centres = wait_until(
            lambda tag=tag: list_if_several(
                cost_centres_in_log(harness, schema, tag, request_id)
            )
        )
        assert set(cost_centres) == {newer_entry.COST_CENTRE}, tag


def list_if_several(items):
    """Return the list if it has more than one item, else None."""
    return items if len(items) > 1 else None


def test_rolling_restart_to_a_newer_version_and_back(isolated_harness, newer_records):
    """Guards against an older entry or controller that fails on a record or field of
    a newer version, or loses it.

    A controller of the current version writes snapshots and appends old records
    again.
    """
    harness = isolated_harness
    key = next(
        key for key, owner in harness.organisation_by_key.items() if owner == "red"
    )
    controller = harness.fleet.start_controller(
        "c0", "north", log_retention_s=LOG_RETENTION_S
    )

    def submit_mixed(entry):
        # A work id ends in a consecutive number, so the kinds take turns.
        work_id = harness.new_work_id()
        kind = ("lookup", "keyed", "batch")[int(work_id.split("-")[1]) % 3]
        options = {"idempotency_key": work_id} if kind == "keyed" else {}
        return harness.submit(kind, entry, key, work=work_id, work_ms=200, **options)

    names = sorted(harness.zone_by_entry)
    with Load(harness, 6, submit_mixed) as load:
        replace_entry(harness, names[0], NEWER_PROGRAM)
        publish_newer_fields(harness)
        assert_fields_outlive_retention(harness, newer_records, names[0], key)
        for name in names[1:]:
            assert_relays_unchanged(harness, name)
            load.wait_for_more_calls(12)
            replace_entry(harness, name, NEWER_PROGRAM)
            harness.grant_key("blue")
            harness.record_versions()
        load.wait_for_more_calls(12)
        for name in names:
            replace_entry(harness, name, CURRENT_PROGRAM)
            if name != names[-1]:
                assert_relays_unchanged(harness, name)
            load.wait_for_more_calls(12)
            # Publish with the current version, whose draft keeps fields unknown to it.
            harness.grant_key("green")
            harness.record_versions()
    for call in load.calls:
        if call.kind == "keyed" and call.verdict == "accepted":
            wait_until(lambda call=call: call_if_ran(harness.collect(call, "e1", 1000)))
    collect_all(harness, random.Random(1), COLLECT_TIMEOUT_S)

    assert {call.verdict for call in load.calls} <= {"ran", "not_run", "accepted"}
    unknown_count = count_unknown_in_log(harness)
    assert unknown_count > 0
    for name in names:
        wait_until(lambda name=name: count_skipped_by(harness, name) == unknown_count)
    assert_kept_in_log_and_snapshot(harness)
    assert_no_program_failed(harness, controller)


def assert_kept_in_log_and_snapshot(harness):
    """Check that log and snapshot hold the newer configuration fields unchanged."""
    operator = harness.operator("reader")
    operator.refresh()
    assert_newer_fields(operator.document)
    reader = SnapshotReader(LogClient(harness.fleet.platform.log))
    snapshot = reader.find_newest(reader.find_range())
    assert_newer_fields(snapshot.configuration.document)
    assert snapshot.unknown_records > 0


def assert_relays_unchanged(harness, name):
    """Check that an entry of the current version relays the log byte for byte.

    The relayed range starts at the newest record that this version does not know.
    """
    batches = read_batches(harness)
    last_unknown_offset = max(
        offset
        for offset, encoded in enumerate(batches)
        if UnknownRecord() in decode_batch(encoded).records
    )
    relayed = wait_until(lambda: relayed_batches(harness, name, last_unknown_offset))
    assert list(relayed) == read_batches(harness)[last_unknown_offset:][: len(relayed)]


def assert_no_program_failed(harness, controller):
    """Check that every program still runs and has logged no internal error."""
    programs_in_service = [*harness.entry_by_name.values(), controller]
    # Three entries and the controller; ``poll`` returns None while a process runs.
    assert [program.process.poll() for program in programs_in_service] == [None] * 4
    for program in harness.fleet.programs:
        log_text = Path(program.log_path).read_text()
        for error_mark in ("Traceback", "heartbeat_failed", "step_failed"):
            assert error_mark not in log_text, f"{program.name}: {log_text[-2000:]}"
