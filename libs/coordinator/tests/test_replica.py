"""Tests of following the logs."""

from __future__ import annotations

from libs.coordinator.tests.fakes import wait_until

from lycheeloom.coordinator.ports import Log
from lycheeloom.coordinator.replica import READ_WAIT_S, Replica


def test_empty_long_poll_counts_up_to_its_end(cluster, monkeypatch):
    """An idle fleet must not refuse jobs because its long polls return nothing."""
    replica = Replica(cluster.store)
    read_at_s_by_log = {log: [] for log in Log}
    original_read = cluster.store.read

    def read(log, offset, wait_s):
        read_at_s_by_log[log].append(replica.read_at_s)
        return original_read(log, offset, wait_s)

    monkeypatch.setattr(cluster.store, "read", read)
    assert replica.load()
    loaded_at_s = replica.read_at_s
    cluster.spawn(replica.run)
    # The callers' log is read less often, so it is the last to be read again.
    wait_until(lambda: len(read_at_s_by_log[Log.CALLERS]) == 2)
    assert read_at_s_by_log[Log.CALLERS][1] - loaded_at_s >= READ_WAIT_S
