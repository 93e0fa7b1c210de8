"""A rolling restart to a newer version of the entry and back to today's.

The newer version is ``tests.newer_entry``.
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
from .conftest import Load, accepted, hears, wait_until

NEWER = "tests.newer_entry"
TODAY = "lycheeloom.entry.main"
# Records are appended again when they are older than half of this.
RETENTION_S = 4.0
COLLECT_TIMEOUT_S = 60.0
POOL_FIELDS = {"cost_centre": newer_entry.COST_CENTRE}
NOTICES = {"evening": {"text": "closed", "from": 18}}


class NewerOperator(Operator):
    """An operator whose program knows the fields that today's does not."""

    def new_problems(self, document, file):
        """Accept every field."""
        return []


@pytest.fixture(scope="module")
def newer_records():
    """The schema of records with the fields of the newer version."""
    return newer_entry.load_newer_records()


def batches_of(world):
    """Return every batch of the log by offset."""
    client, batches = LogClient(world.fleet.platform.log), []
    while True:
        answer = client.read(len(batches), 1000, 0.0)
        assert isinstance(answer, ReadBatches), answer
        if not answer.batches:
            return batches
        batches += answer.batches


def read_field(schema, encoded, tag):
    """Return the newer field of each record of a kind, with its request id."""
    with schema.Batch.from_bytes(strip_checksum(encoded)) as batch:
        return [
            (str(getattr(item, tag).requestId), str(getattr(item, tag).costCentre))
            for item in batch.records
            if str(item.which()) == tag
        ]


def fields_in_log(world, schema, tag, request_id):
    """Return the newer field of every copy of a record in the log."""
    return [
        centre
        for encoded in batches_of(world)
        for found, centre in read_field(schema, encoded, tag)
        if found == request_id
    ]


def notes_in_log(world):
    """Return how many records of the unknown kind the log has."""
    return sum(
        isinstance(record, UnknownRecord)
        for encoded in batches_of(world)
        for record in decode_batch(encoded).records
    )


def unknown_records(world, name):
    """Return how many records an entry says that it has skipped."""
    answer = world.fleet.transport.call(
        world.entry_by_name[name].address, "GET", "/metrics", timeout_s=5.0
    )
    assert isinstance(answer, Response)
    return float(re.search(rb"^\S*unknown_records (\S+)$", answer.body, re.M)[1])


def relayed_batches(world, name, first):
    """Return what an entry relays to a peer that asks from an offset on."""
    operator = world.operator("reader")
    operator.refresh()
    members = operator.view.state.members.active()
    address = next(m.address for m in members if m.instance == name)
    connection = connect(address, 5.0)
    try:
        answer = connection.call(PeerMessage("test", RangeRequest(first)), 5.0)
    finally:
        connection.close()
    return answer.body.batches


def replace(world, name, program):
    """Shut an entry down and start another version in its place."""
    assert world.stop_entry(name) == 0
    world.start_entry(name, program=program)
    world.serving_entries.discard(name)
    world.wait_ready([name])
    world.serving_entries.add(name)
    for other in world.zone_by_entry:
        if other != name:
            wait_until(lambda other=other: hears(world, other, name))
            wait_until(lambda other=other: hears(world, name, other))


def publish_newer_fields(world):
    """Publish fields that today's version does not know."""
    operator = NewerOperator(
        LogClient(world.fleet.platform.log), world._entries(), "newer"
    )

    def edit(draft):
        draft.document["notices"] = NOTICES
        draft.document["pools"]["main"].update(POOL_FIELDS)

    result = operator.change(edit, accept_warnings=True)
    assert isinstance(result, Published), result


def assert_newer_fields(document):
    """The unknown fields of a configuration are as they were published."""
    assert document["notices"] == NOTICES
    assert POOL_FIELDS.items() <= document["pools"]["main"].items()


def assert_fields_outlive_retention(world, schema, entry, key):
    """A request of the newer version keeps its field when it is appended again."""
    batch = world.submit("batch", entry, key, work_ms=9000)
    assert batch.status == 202, batch
    request_id = batch.document["request_id"]
    for tag in ("requestSubmitted", "requestFinished"):
        copies = wait_until(
            lambda tag=tag: several(fields_in_log(world, schema, tag, request_id))
        )
        assert set(copies) == {newer_entry.COST_CENTRE}, tag


def several(items):
    """Return a list if it has more than one item."""
    return items if len(items) > 1 else None


def test_rolling_restart_to_a_newer_version_and_back(lone_world, newer_records):
    """Guards against an older entry or controller that stops at a record or field
    of a newer one, or loses it.

    A controller of today's version writes snapshots and appends old records again.
    """
    world = lone_world
    key = next(
        key
        for key, organisation in world.organisation_by_key.items()
        if organisation == "red"
    )
    controller = world.fleet.start_controller(
        "c0", "north", log_retention_s=RETENTION_S
    )

    def call(entry):
        work = world.new_work_id()
        kind = ("lookup", "keyed", "batch")[int(work.split("-")[1]) % 3]
        options = {"idempotency_key": work} if kind == "keyed" else {}
        return world.submit(kind, entry, key, work=work, work_ms=200, **options)

    names = sorted(world.zone_by_entry)
    with Load(world, 6, call) as load:
        replace(world, names[0], NEWER)
        publish_newer_fields(world)
        assert_fields_outlive_retention(world, newer_records, names[0], key)
        for name in names[1:]:
            assert_relays_unchanged(world, name)
            load.wait_for_more(12)
            replace(world, name, NEWER)
            world.grant_key("blue")
            world.record_versions()
        load.wait_for_more(12)
        for name in names:
            replace(world, name, TODAY)
            if name != names[-1]:
                assert_relays_unchanged(world, name)
            load.wait_for_more(12)
            # A draft of today's operator keeps what it does not know.
            world.grant_key("green")
            world.record_versions()
    for call_seen in load.calls:
        if call_seen.kind == "keyed" and call_seen.verdict == "accepted":
            wait_until(lambda seen=call_seen: accepted(world.collect(seen, "e1", 1000)))
    collect_all(world, random.Random(1), COLLECT_TIMEOUT_S)

    assert {seen.verdict for seen in load.calls} <= {"ran", "not_run", "accepted"}
    notes = notes_in_log(world)
    assert notes > 0
    for name in names:
        wait_until(lambda name=name: unknown_records(world, name) == notes)
    assert_kept_in_log_and_snapshot(world)
    assert_nobody_stopped(world, controller)


def assert_kept_in_log_and_snapshot(world):
    """The newer fields of the configuration are read back unchanged."""
    operator = world.operator("reader")
    operator.refresh()
    assert_newer_fields(operator.document)
    reader = SnapshotReader(LogClient(world.fleet.platform.log))
    snapshot = reader.find_newest(reader.find_range())
    assert_newer_fields(snapshot.configuration.document)
    assert snapshot.unknown_records > 0


def assert_relays_unchanged(world, name):
    """An entry of today's version relays the newest unknown record as it is."""
    log = batches_of(world)
    last_note = max(
        offset
        for offset, encoded in enumerate(log)
        if UnknownRecord() in decode_batch(encoded).records
    )
    relayed = wait_until(lambda: relayed_batches(world, name, last_note))
    assert list(relayed) == batches_of(world)[last_note:][: len(relayed)]


def assert_nobody_stopped(world, controller):
    """Every program still runs and none has reported a fault of its own."""
    running = [*world.entry_by_name.values(), controller]
    assert [program.process.poll() for program in running] == [None] * 4
    for program in world.fleet.programs:
        text = Path(program.log_path).read_text()
        for mark in ("Traceback", "heartbeat_failed", "step_failed"):
            assert mark not in text, f"{program.name}: {text[-2000:]}"
