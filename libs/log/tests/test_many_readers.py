"""Stateful test of several processes that write to and read from one log.

Calls to the log fail at random. Guards against processes whose states differ, records
that take effect twice, outcomes reported by the writer that do not match the log, and
configuration versions that decrease.
"""

import json
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from libs.log.tests.fake_log import Clock, FakeClient, FakeLog

from lycheeloom.log import (
    Effective,
    LogTail,
    LogWriter,
    NoEffect,
    NotWritten,
    Priority,
    RecoveryFailed,
    Unknown,
    recover,
)
from lycheeloom.log.snapshot import SnapshotCollector, split_snapshot
from lycheeloom.model import records as r
from lycheeloom.state import FleetState
from lycheeloom.wire import BadBatch, decode_batch

PROCESS_COUNT = 3
PROCESS_INDEXES = st.integers(0, PROCESS_COUNT - 1)
# An empty string means no fault; it is repeated so that more appends succeed.
APPEND_FAULTS = st.sampled_from(
    ["", "", "lost_answer", "lost_request", "delayed", "down", "busy"]
)


class Oracle:
    """Replays the log independently of the processes.

    It keeps the expected content of the state before each offset and the offsets at
    which each submission took effect.
    """

    def __init__(self, log):
        self._log = log
        self._state = FleetState()
        self._snapshots = SnapshotCollector()
        self.content_by_offset = {0: FleetState()._content}
        self.effective_offsets_by_request = {}
        # Ids of all requests whose submission is in the log.
        self.request_ids = set()
        # The offset after the last one that a complete snapshot in the log covers.
        self.offset_after_snapshot = 0

    def advance(self):
        """Replay the log to its end."""
        while self._state.next_offset < len(self._log.archive):
            self._apply(self._state.next_offset)

    def _apply(self, offset):
        batch = decode_batch(self._log.archive[offset])
        if isinstance(batch, BadBatch):
            self._state.skip(offset)
            batch = None
        else:
            applied = self._state.apply(offset, batch)
            for record, took_effect in zip(
                batch.records, applied.effective, strict=True
            ):
                self._observe_record(offset, record, took_effect)
        # The content changes in place, so a copy is kept.
        dump = self._state.dump_snapshot()
        self.content_by_offset[offset + 1] = FleetState.load_snapshot(dump)._content

    def _observe_record(self, offset, record, took_effect):
        if isinstance(record, r.SnapshotChunk):
            if self._snapshots.add(record).assemble() is not None:
                self.offset_after_snapshot = max(
                    self.offset_after_snapshot, record.covers_offset + 1
                )
        elif isinstance(record, r.RequestSubmitted):
            self.request_ids.add(record.request_id)
            offsets = self.effective_offsets_by_request
            if took_effect:
                offsets.setdefault(record.request_id, []).append(offset)


class ProcessesOnOneLog(RuleBasedStateMachine):
    """Processes, each with a tail and a writer, that the rules drive step by step."""

    def __init__(self):
        super().__init__()
        self.log = FakeLog()
        self.oracle = Oracle(self.log)
        self.clients = [FakeClient(self.log) for _ in range(PROCESS_COUNT)]
        self.pending_by_request = {}
        # The version that each published change expects, and its pending record.
        self.published_changes = []
        self.author_count = 0
        self.highest_versions = [0] * PROCESS_COUNT
        self.tails = [None] * PROCESS_COUNT
        self.writers = [None] * PROCESS_COUNT
        for process in range(PROCESS_COUNT):
            self._start_process(process, FleetState())

    def _start_process(self, process, state):
        self.author_count += 1
        rng, clock = random.Random(self.author_count), Clock()
        tail = LogTail(self.clients[process], state, clock=clock, rng=rng)
        self.tails[process] = tail
        self.writers[process] = LogWriter(
            self.clients[process], f"a{self.author_count}", tail, clock=clock, rng=rng
        )

    @rule(process=PROCESS_INDEXES)
    def submit(self, process):
        request_id = f"q{len(self.pending_by_request)}"
        record = r.RequestSubmitted(request_id, "t", "main", b"x")
        self.pending_by_request[request_id] = self.writers[process].append(record)

    @rule(count=st.integers(1, 3))
    def withdraw_latest(self, count):
        for pending in list(self.pending_by_request.values())[-count:]:
            pending.withdraw()

    @rule(process=PROCESS_INDEXES, fleet_name=st.integers(0, 99))
    def publish_config(self, process, fleet_name):
        version = self.tails[process].state.config.version
        record = r.ConfigChanged(version, json.dumps({"name": str(fleet_name)}))
        pending = self.writers[process].append(record, Priority.CONTROL)
        self.published_changes.append((version, pending))

    @rule(
        process=PROCESS_INDEXES, faults=st.lists(APPEND_FAULTS, min_size=1, max_size=3)
    )
    def write(self, process, faults):
        self.clients[process].append_faults.extend(faults)
        for _ in faults:
            self.writers[process].step()
        self.clients[process].append_faults.clear()

    @rule(process=PROCESS_INDEXES, fault=st.sampled_from(["", "", "", "down"]))
    def read(self, process, fault):
        self.clients[process].read_faults.append(fault)
        self.tails[process].step()
        self.clients[process].read_faults.clear()

    @rule(source=PROCESS_INDEXES, reader=PROCESS_INDEXES, missing=st.integers(0, 1))
    def relay(self, source, reader, missing):
        """Offer batches of one process to another, perhaps after a missing one."""
        first_offset = self.tails[reader].next_offset + missing
        batches = self.tails[source].ring.read(first_offset, 10_000)
        for offset, encoded in enumerate(batches, first_offset):
            self.tails[reader].offer(offset, encoded)

    @rule(process=PROCESS_INDEXES, faults=st.lists(APPEND_FAULTS, max_size=2))
    def write_delayed(self, process, faults):
        self.write(process, ["delayed", *faults])

    @rule(process=PROCESS_INDEXES)
    def deliver_delayed(self, process):
        self.log.deliver_delayed()
        self.tails[process].step()

    @rule()
    def append_undecodable_batch(self):
        self.log.archive.append(b"\xff" * 12)

    @rule(process=PROCESS_INDEXES, is_torn=st.booleans())
    def write_snapshot(self, process, is_torn):
        state, writer = self.tails[process].state, self.writers[process]
        if state.next_offset == 0:
            return
        covers, dump = state.next_offset - 1, state.dump_snapshot()
        # Chunks of 250 bytes, so that a small state has several.
        chunks = split_snapshot(f"{writer.author}-{covers}", covers, dump, 250)
        # A torn snapshot lacks its first chunk.
        for chunk in chunks[is_torn:]:
            writer.append(chunk)

    @rule(fraction=st.floats(0, 1))
    def drop_oldest_batches(self, fraction):
        # The newest complete snapshot and all batches that it does not cover are kept.
        self.oracle.advance()
        self.log.oldest = max(
            self.log.oldest, int(fraction * self.oracle.offset_after_snapshot)
        )

    @rule(process=PROCESS_INDEXES)
    def restart(self, process):
        state = recover(self.clients[process])
        if isinstance(state, RecoveryFailed):
            return
        self.writers[process].stop()
        # The new process has not seen any version yet.
        self.highest_versions[process] = 0
        self._start_process(process, state)

    @rule(process=PROCESS_INDEXES)
    def change_author(self, process):
        self.author_count += 1
        self.writers[process].change_author(f"a{self.author_count}")

    @invariant()
    def states_equal_the_replayed_log(self):
        self.oracle.advance()
        for process, tail in enumerate(self.tails):
            state = tail.state
            assert state._content == self.oracle.content_by_offset[state.next_offset]
            assert state.config.version >= self.highest_versions[process]
            self.highest_versions[process] = state.config.version

    @invariant()
    def outcomes_match_the_log(self):
        self.oracle.advance()
        effective_offsets = self.oracle.effective_offsets_by_request
        assert all(len(offsets) == 1 for offsets in effective_offsets.values())
        for request_id, pending in self.pending_by_request.items():
            match pending.outcome:
                case Effective(offset):
                    assert effective_offsets[request_id] == [offset]
                case NoEffect():
                    raise AssertionError(
                        f"{request_id} is submitted once, so it must take effect"
                    )
                case NotWritten():
                    assert request_id not in self.oracle.request_ids
        # Only one change of each version may take effect.
        changed_versions = [
            version
            for version, pending in self.published_changes
            if isinstance(pending.outcome, Effective)
        ]
        assert len(changed_versions) == len(set(changed_versions))

    def teardown(self):
        """Check that all records get an outcome and all states agree without faults.

        40 rounds are enough for all batches that wait or are repeated.
        """
        self.log.deliver_delayed()
        for _ in range(40):
            for process in range(PROCESS_COUNT):
                self.writers[process].step()
                self.tails[process].step()
        for tail in self.tails:
            tail.step()
        self.states_equal_the_replayed_log()
        self.outcomes_match_the_log()
        assert {tail.next_offset for tail in self.tails} == {len(self.log.archive)}
        assert all(writer.is_idle for writer in self.writers)
        for pending in self.pending_by_request.values():
            assert pending.outcome is not None
            # The outcome may stay unknown only if the writer was stopped by a restart,
            # or if the state was replaced from a snapshot that covers the record.
            assert not isinstance(pending.outcome, Unknown) or (
                "stopped" in pending.outcome.reason
                or "snapshot" in pending.outcome.reason
            )


ProcessesOnOneLog.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
TestProcessesOnOneLog = ProcessesOnOneLog.TestCase
