"""Several writers and readers over one faulty log, against the whole log.

Guards against readers whose states differ, records that take effect twice,
outcomes that are not true and configuration that goes back.
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
WHICH = st.integers(0, PROCESSES - 1)
APPEND_FAULTS = st.sampled_from(
    ["", "", "lost_answer", "lost_request", "delayed", "down", "busy"]
)


class Oracle:
    """The states and effects that the whole log gives, one for each offset."""

    def __init__(self, log):
        self._log = log
        self._state = FleetState()
        self._snapshots = SnapshotCollector()
        self.image_by_offset = {0: FleetState()._image}
        self.effective_offsets_by_request = {}
        self.request_ids = set()
        self.covered = 0

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
            for record, took in zip(batch.records, applied.effective, strict=True):
                self._note(offset, record, took)
        dump = self._state.dump_snapshot()
        self.image_by_offset[offset + 1] = FleetState.load_snapshot(dump)._image

    def _note(self, offset, record, took):
        if isinstance(record, r.SnapshotChunk):
            if self._snapshots.add(record).unpack() is not None:
                self.covered = max(self.covered, record.covers_offset + 1)
        elif isinstance(record, r.RequestSubmitted):
            self.request_ids.add(record.request_id)
            offsets = self.effective_offsets_by_request
            if took:
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
        for which in range(PROCESSES):
            self._begin(which, FleetState())

    def _begin(self, which, state):
        self.authors += 1
        rng, clock = random.Random(self.authors), Clock()
        tail = LogTail(self.clients[which], state, clock=clock, rng=rng)
        self.tails[which] = tail
        self.writers[which] = LogWriter(
            self.clients[which], f"a{self.authors}", tail, clock=clock, rng=rng
        )

    @rule(which=WHICH)
    def submit(self, which):
        name = f"q{len(self.pending_by_request)}"
        record = r.RequestSubmitted(name, "t", "main", b"x")
        self.pending_by_request[name] = self.writers[which].append(record)

    @rule(back=st.integers(1, 3))
    def withdraw(self, back):
        for pending in list(self.pending_by_request.values())[-back:]:
            pending.withdraw()

    @rule(which=WHICH, name=st.integers(0, 99))
    def publish(self, which, name):
        version = self.tails[which].state.config.version
        record = r.ConfigChanged(version, json.dumps({"name": str(name)}))
        pending = self.writers[which].append(record, Priority.CONTROL)
        self.config_pending.append((version, pending))

    @rule(which=WHICH, faults=st.lists(APPEND_FAULTS, min_size=1, max_size=3))
    def write(self, which, faults):
        self.clients[which].append_faults.extend(faults)
        for _ in faults:
            self.writers[which].step()
        self.clients[which].append_faults.clear()

    @rule(which=WHICH, fault=st.sampled_from(["", "", "", "down"]))
    def read(self, which, fault):
        self.clients[which].read_faults.append(fault)
        self.tails[which].step()
        self.clients[which].read_faults.clear()

    @rule(source=WHICH, reader=WHICH, skip=st.integers(0, 1))
    def relay(self, source, reader, skip):
        first = self.tails[reader].next_offset + skip
        batches = self.tails[source].ring.read(first, 10_000)
        for offset, encoded in enumerate(batches, first):
            self.tails[reader].offer(offset, encoded)

    @rule(which=WHICH, faults=st.lists(APPEND_FAULTS, max_size=2))
    def delay(self, which, faults):
        self.write(which, ["delayed", *faults])

    @rule(which=WHICH)
    def deliver_delayed(self, which):
        self.log.deliver_delayed()
        self.tails[which].step()

    @rule()
    def append_garbage(self):
        self.log.archive.append(b"\xff" * 12)

    @rule(which=WHICH, torn=st.booleans())
    def snapshot(self, which, torn):
        state, writer = self.tails[which].state, self.writers[which]
        if state.next_offset == 0:
            return
        covers, dump = state.next_offset - 1, state.dump_snapshot()
        chunks = split_snapshot(f"{writer.author}-{covers}", covers, dump, 250)
        for chunk in chunks[torn:]:
            writer.append(chunk)

    @rule(part=st.floats(0, 1))
    def expire(self, part):
        # The duty's holder keeps a complete snapshot and its tail retained.
        self.oracle.advance()
        self.log.oldest = max(self.log.oldest, int(part * self.oracle.covered))

    @rule(which=WHICH)
    def replace(self, which):
        state = recover(self.clients[which])
        if isinstance(state, RecoveryFailed):
            return
        self.writers[which].stop()
        self.highest_version[which] = 0
        self._begin(which, state)

    @rule(which=WHICH)
    def rejoin(self, which):
        self.authors += 1
        self.writers[which].change_author(f"a{self.authors}")

    @invariant()
    def readers_equal_the_log(self):
        self.oracle.advance()
        for which, tail in enumerate(self.tails):
            state = tail.state
            assert state._image == self.oracle.image_by_offset[state.next_offset]
            assert state.config.version >= self.highest_version[which]
            self.highest_version[which] = state.config.version

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
        """After the faults end, everything settles and all readers agree."""
        self.log.deliver_delayed()
        for _ in range(40):
            for which in range(PROCESSES):
                self.writers[which].step()
                self.tails[which].step()
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
