"""Tests of stop orders to many workers at a time."""

from __future__ import annotations

import gevent
from libs.coordinator.tests.fakes import JOB_ID, make_job, wait_until

from lycheeloom.coordinator.ports import CallOutcome, CallReply
from lycheeloom.coordinator.task_orders import MAX_STOPS_IN_FLIGHT
from lycheeloom.jobs.model import EndKind, Step

# Longer than the test takes.
LONG_S = 600.0
OTHER_JOB_ID = "f" * 16


def test_stops_for_a_silent_worker_do_not_delay_others(cluster, monkeypatch):
    """A cancelled task must be stopped although a worker with many others is cut off.

    The stop orders to that worker stay in flight.
    """
    silent_tasks = 2 * MAX_STOPS_IN_FLIGHT
    silent_stops = 0
    stop = cluster.workers.stop

    def stop_or_stay_silent(worker, *args):
        nonlocal silent_stops
        if not cluster.workers.worker(worker.worker_id).is_unresponsive:
            return stop(worker, *args)
        silent_stops += 1
        gevent.sleep(LONG_S)
        return CallReply(CallOutcome.UNKNOWN, "no answer in time")

    monkeypatch.setattr(cluster.workers, "stop", stop_or_stay_silent)
    for worker_id in cluster.view.worker_by_id:
        # Runs at 100 percent are not stopped for lack of progress.
        cluster.workers.worker(worker_id).percent = 100
    # The workers w0 and w1 have these labels.
    cluster.store.add_job(make_job(JOB_ID, Step(silent_tasks, 10, label="rack-a")))
    cluster.store.add_job(make_job(OTHER_JOB_ID, Step(1, 10, label="rack-b")))
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == silent_tasks + 1)
    cluster.workers.worker("w0").is_unresponsive = True
    wait_until(lambda: dispatcher.link_by_id["w0"].failing_for_s > 0)
    cluster.store.cancel(JOB_ID)
    wait_until(lambda: silent_stops >= MAX_STOPS_IN_FLIGHT)
    cluster.store.cancel(OTHER_JOB_ID)
    wait_until(lambda: bool(cluster.workers.worker("w1").ended))
    assert cluster.workers.worker("w1").ended[0].kind is EndKind.STOPPED
