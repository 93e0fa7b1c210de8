"""Tests that an unexpected error or a record that is too large costs only itself."""

from __future__ import annotations

import gevent
from libs.coordinator.tests.fakes import (
    JOB_ID,
    FakeStore,
    make_job,
    make_worker,
    wait_until,
)

from lycheeloom.coordinator import supervision
from lycheeloom.coordinator.replica import Replica
from lycheeloom.coordinator.supervision import run_supervised
from lycheeloom.coordinator.writer import LeaderWriter
from lycheeloom.jobs.model import Step
from lycheeloom.jobs.records import Kind, Record, key_of

OTHER_JOB_ID = "1" * 16


class FailingLoop:
    """A loop that raises an exception in its first rounds and then returns."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.rounds = 0

    def run(self) -> None:
        self.rounds += 1
        if self.rounds <= self.failures:
            raise KeyError("x" * 10_000)


def test_loop_runs_again_after_an_exception(monkeypatch):
    """An exception must not end a loop for good."""
    monkeypatch.setattr(supervision, "RESTART_PAUSE_S", 0.0)
    loop = FailingLoop(failures=3)
    run_supervised("test", loop.run)
    assert loop.rounds == 4


def test_supervised_greenlet_can_be_killed():
    """A leader that is fenced must be able to end its loops."""
    greenlet = gevent.spawn(run_supervised, "test", lambda: gevent.sleep(600.0))
    gevent.sleep(0)
    greenlet.kill()
    assert greenlet.ready()


def test_record_whose_listener_fails_does_not_stop_the_log(cluster, monkeypatch):
    """The records behind one that cannot be processed must be applied."""
    replica = Replica(cluster.store)
    seen = []

    def listen(applied) -> None:
        seen.append(applied.name)
        if applied.name == JOB_ID:
            raise RuntimeError("unexpected")

    replica.add_listener(listen)
    assert replica.load()
    cluster.spawn(replica.run)
    cluster.store.add_job(make_job())
    cluster.store.add_job(make_job(OTHER_JOB_ID))
    wait_until(lambda: OTHER_JOB_ID in seen)
    assert seen.count(JOB_ID) == 1


def test_worker_is_polled_after_an_unexpected_error(cluster, monkeypatch):
    """A worker must not be left without polls by one answer."""
    renew_and_list = cluster.workers.renew_and_list
    failures = [RuntimeError("unexpected")]

    def fail_once(*args):
        if failures:
            raise failures.pop()
        return renew_and_list(*args)

    monkeypatch.setattr(cluster.workers, "renew_and_list", fail_once)
    cluster.store.add_job(make_job(JOB_ID, Step(16, 1000)))
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 16)


def test_leader_gives_up_the_lead_when_its_writer_fails(cluster, monkeypatch):
    """A leader that may have lost records must not go on as if it had written them."""
    dispatcher = cluster.start_leader()

    def fail(records, producer=None, timeout_s=0.0):
        raise RuntimeError("unexpected")

    monkeypatch.setattr(cluster.store, "append", fail)
    wait_until(lambda: dispatcher.writer.is_fenced)


def test_record_that_is_too_large_does_not_block_the_writer():
    """A record that the store never accepts must not end the lease of every leader."""
    store = FakeStore()
    writer = LeaderWriter(store, 1, "n1", lambda: None, max_record_bytes=100)
    assert writer.open(1.0) is not None
    greenlet = gevent.spawn(writer.run)
    key = key_of(Kind.PROGRESS, JOB_ID)
    other_record = Record("pother", b"x")
    left_out = writer.write([Record(key, b"x" * 200), other_record])
    wait_until(lambda: other_record in store.records)
    # Nobody is told that the large record, or what is written after it, is durable.
    assert not writer.write([other_record]).wait(1.0)
    assert not left_out.is_durable
    assert writer.write([Record(key, b"x")]).wait(10.0)
    greenlet.kill()
    assert [record.key for record in store.records if record.key != "L"] == [
        "pother",
        "pother",
        key,
    ]


def test_append_of_the_leader_stays_within_the_limit_of_the_store():
    """Many records at once must not make an append that the store refuses whole."""
    store = FakeStore()
    sizes = []
    append = store.append

    def note_size(records, producer=None, timeout_s=1.0):
        sizes.append(sum(record.size_bytes for record in records))
        return append(records, producer, timeout_s)

    store.append = note_size
    writer = LeaderWriter(store, 1, "n1", lambda: None, max_append_bytes=1_000)
    assert writer.open(1.0) is not None
    greenlet = gevent.spawn(writer.run)
    commit = writer.write([Record(f"p{number}", b"x" * 90) for number in range(50)])
    assert commit.wait(10.0)
    greenlet.kill()
    assert len(store.records) == 51
    assert max(sizes) <= 1_000


def test_checkpoints_are_left_out_of_progress_that_is_too_large(cluster):
    """Progress must be recorded even if the checkpoints do not fit into the record."""
    cluster.store.add_job(make_job(JOB_ID, Step(16, 1000, checkpointing=True)))
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 16)
    dispatcher.writer.max_record_bytes = 300
    cluster.workers.end_all_runs()
    wait_until(lambda: JOB_ID not in dispatcher.active_job_by_id)
    wait_until(
        lambda: any(
            record.key == key_of(Kind.PROGRESS, JOB_ID)
            and record.size_bytes <= dispatcher.writer.max_record_bytes
            for record in cluster.store.records
        )
    )


def test_worker_of_a_pool_that_is_not_configured_is_not_called(cluster):
    """An entry of another writer must not make the leader call any address."""
    cluster.view.note_worker(make_worker(7, pool="elsewhere"))
    dispatcher = cluster.start_leader()
    wait_until(lambda: "w0" in dispatcher.link_by_id)
    gevent.sleep(0.3)
    assert "w7" not in dispatcher.link_by_id
