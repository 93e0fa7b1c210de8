"""Stateful test of several writers and readers on one faulty log.

Guards against readers whose states differ, records that take effect twice, wrong
outcomes and configuration versions that decrease.
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

PROCESSES = 3
PROCESS = st.integers(0, PROCESSES - 1)
APPEND_FAULTS = st.sampled_from(
    ["", "", "lost_answer", "lost_request", "delayed", "down", "busy"]
)


class Oracle:
    """The expected state at each offset and the expected effect of each record."""

    def __init__(self, log):
        self._log = log
        self._state = FleetState()
        self._snapshots = SnapshotCollector()
        self.content_by_offset = {0: FleetState()._content}
        self.effective_offsets_by_request = {}
        self.request_ids = set()
        self.snapshot_end = 0

    def advance(self):
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
                self._record_effect(offset, record, took_effect)
        dump = self._state.dump_snapshot()
        self.content_by_offset[offset + 1] = FleetState.load_snapshot(dump)._content

    def _record_effect(self, offset, record, took_effect):
        if isinstance(record, r.SnapshotChunk):
            if self._snapshots.add(record).assemble() is not None:
                self.snapshot_end = max(self.snapshot_end, record.covers_offset + 1)
        elif isinstance(record, r.RequestSubmitted):
            self.request_ids.add(record.request_id)
            offsets = self.effective_offsets_by_request
            if took_effect:
                offsets.setdefault(record.request_id, []).append(offset)


class ManyReaders(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.log = FakeLog()
        self.oracle = Oracle(self.log)
        self.clients = [FakeClient(self.log) for _ in range(PROCESSES)]
        self.pending_by_request = {}
        self.config_pending = []
        self.authors = 0
        self.highest_version = [0] * PROCESSES
        self.tails = [None] * PROCESSES
        self.writers = [None] * PROCESSES
        for process in range(PROCESSES):
            self._start_process(process, FleetState())

    def _start_process(self, process, state):
        self.authors += 1
        rng, clock = random.Random(self.authors), Clock()
        tail = LogTail(self.clients[process], state, clock=clock, rng=rng)
        self.tails[process] = tail
        self.writers[process] = LogWriter(
            self.clients[process], f"a{self.authors}", tail, clock=clock, rng=rng
        )

    @rule(process=PROCESS)
    def submit(self, process):
        name = f"q{len(self.pending_by_request)}"
        record = r.RequestSubmitted(name, "t", "main", b"x")
        self.pending_by_request[name] = self.writers[process].append(record)

    @rule(back=st.integers(1, 3))
    def withdraw(self, back):
        for pending in list(self.pending_by_request.values())[-back:]:
            pending.withdraw()

    @rule(process=PROCESS, name=st.integers(0, 99))
    def publish(self, process, name):
        version = self.tails[process].state.config.version
        record = r.ConfigChanged(version, json.dumps({"name": str(name)}))
        pending = self.writers[process].append(record, Priority.CONTROL)
        self.config_pending.append((version, pending))

    @rule(process=PROCESS, faults=st.lists(APPEND_FAULTS, min_size=1, max_size=3))
    def write(self, process, faults):
        self.clients[process].append_faults.extend(faults)
        for _ in faults:
            self.writers[process].step()
        self.clients[process].append_faults.clear()

    @rule(process=PROCESS, fault=st.sampled_from(["", "", "", "down"]))
    def read(self, process, fault):
        self.clients[process].read_faults.append(fault)
        self.tails[process].step()
        self.clients[process].read_faults.clear()

    @rule(source=PROCESS, reader=PROCESS, skip=st.integers(0, 1))
    def relay(self, source, reader, skip):
        first = self.tails[reader].next_offset + skip
        batches = self.tails[source].ring.read(first, 10_000)
        for offset, encoded in enumerate(batches, first):
            self.tails[reader].offer(offset, encoded)

    @rule(process=PROCESS, faults=st.lists(APPEND_FAULTS, max_size=2))
    def delay(self, process, faults):
        self.write(process, ["delayed", *faults])

    @rule(process=PROCESS)
    def deliver_delayed(self, process):
        self.log.deliver_delayed()
        self.tails[process].step()

    @rule()
    def append_garbage(self):
        self.log.archive.append(b"\xff" * 12)

    @rule(process=PROCESS, torn=st.booleans())
    def snapshot(self, process, torn):
        state, writer = self.tails[process].state, self.writers[process]
        if state.next_offset == 0:
            return
        covers, dump = state.next_offset - 1, state.dump_snapshot()
        chunks = split_snapshot(f"{writer.author}-{covers}", covers, dump, 250)
        for chunk in chunks[torn:]:
            writer.append(chunk)

    @rule(part=st.floats(0, 1))
    def expire(self, part):
        # The log keeps at least one complete snapshot and all batches after it.
        self.oracle.advance()
        self.log.oldest = max(self.log.oldest, int(part * self.oracle.snapshot_end))

    @rule(process=PROCESS)
    def replace(self, process):
        state = recover(self.clients[process])
        if isinstance(state, RecoveryFailed):
            return
        self.writers[process].stop()
        self.highest_version[process] = 0
        self._start_process(process, state)

    @rule(process=PROCESS)
    def rejoin(self, process):
        self.authors += 1
        self.writers[process].change_author(f"a{self.authors}")

    @invariant()
    def readers_equal_the_log(self):
        self.oracle.advance()
        for process, tail in enumerate(self.tails):
            state = tail.state
            assert state._content == self.oracle.content_by_offset[state.next_offset]
            assert state.config.version >= self.highest_version[process]
            self.highest_version[process] = state.config.version

    @invariant()
    def outcomes_are_true(self):
        self.oracle.advance()
        effects = self.oracle.effective_offsets_by_request
        assert all(len(offsets) == 1 for offsets in effects.values())
        for name, pending in self.pending_by_request.items():
            match pending.outcome:
                case Effective(offset):
                    assert effects[name] == [offset]
                case NoEffect():
                    raise AssertionError(f"{name} is unique, so it has an effect")
                case NotWritten():
                    assert name not in self.oracle.request_ids
        versions = [
            v for v, p in self.config_pending if isinstance(p.outcome, Effective)
        ]
        assert len(versions) == len(set(versions))

    def teardown(self):
        """Check that without faults all records settle and all readers agree."""
        self.log.deliver_delayed()
        for _ in range(40):
            for process in range(PROCESSES):
                self.writers[process].step()
                self.tails[process].step()
        for tail in self.tails:
            tail.step()
        self.readers_equal_the_log()
        self.outcomes_are_true()
        assert {tail.next_offset for tail in self.tails} == {len(self.log.archive)}
        assert all(writer.is_idle for writer in self.writers)
        for pending in self.pending_by_request.values():
            assert pending.outcome is not None
            assert not isinstance(pending.outcome, Unknown) or (
                "stopped" in pending.outcome.reason
                or "snapshot" in pending.outcome.reason
            )


ManyReaders.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
TestManyReaders = ManyReaders.TestCase
