"""Tests of workers that restart under their id."""

from __future__ import annotations

import dataclasses

import gevent
import pytest
from libs.coordinator.tests.fakes import (
    JOB_ID,
    POLL_DELAY_S,
    FakeCluster,
    make_job,
    wait_until,
)

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.dispatcher import Dispatcher
from lycheeloom.coordinator.ports import Advice, CallOutcome
from lycheeloom.coordinator.ticket_fetcher import TicketFetcher
from lycheeloom.jobs.model import AdviceTerms, Step

RESTARTED_MS = 2
# A start order is answered after this time; longer than several polls.
START_DELAY_S = 1.5


def list_restarted(cluster: FakeCluster, worker_id: str) -> None:
    """Let the platform list the new incarnation of a worker."""
    worker = cluster.view.worker_by_id[worker_id]
    cluster.view.worker_by_id[worker_id] = dataclasses.replace(
        worker, started_ms=RESTARTED_MS
    )


def start_slowly(cluster: FakeCluster) -> tuple[Dispatcher, str]:
    """Start a leader with a job; return it and the worker with the start under way."""
    for worker_id in cluster.view.worker_by_id:
        cluster.workers.worker(worker_id).start_delay_s = START_DELAY_S
    cluster.store.add_job(make_job())
    dispatcher = cluster.start_leader()
    wait_until(lambda: bool(dispatcher.fleet.runs_by_task))
    run = next(iter(dispatcher.fleet.runs_by_task.values()))[0]
    return dispatcher, run.worker_id


def test_start_may_be_carried_out_by_the_next_incarnation(cluster):
    """A task must not start elsewhere while a restarted worker may start it too."""
    dispatcher, worker_id = start_slowly(cluster)
    cluster.workers.restart(worker_id, RESTARTED_MS)
    gevent.sleep(START_DELAY_S / 4)
    list_restarted(cluster, worker_id)
    gevent.sleep(2 * START_DELAY_S)
    assert len(cluster.workers.started_runs) == 1
    assert len(dispatcher.fleet.runs_by_task) == 1


def test_restart_that_only_the_lists_show(cluster):
    """The same, while the platform still lists the former incarnation."""
    dispatcher, worker_id = start_slowly(cluster)
    cluster.workers.restart(worker_id, RESTARTED_MS)
    gevent.sleep(2 * START_DELAY_S)
    assert len(cluster.workers.started_runs) == 1
    assert len(dispatcher.fleet.runs_by_task) == 1


def test_runs_of_the_former_incarnation_start_again(cluster):
    """A task must not be waited for on a worker that has restarted."""
    cluster.store.add_job(make_job())
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    worker_id = cluster.workers.started_runs[0][0]
    link = dispatcher.link_by_id[worker_id]
    polled_s = link.reached_s
    wait_until(lambda: link.reached_s > polled_s)
    gevent.sleep(POLL_DELAY_S)
    cluster.workers.restart(worker_id, RESTARTED_MS)
    list_restarted(cluster, worker_id)
    wait_until(lambda: len(cluster.workers.started_runs) == 2)


@pytest.mark.parametrize("outcome", [CallOutcome.DONE, CallOutcome.GONE])
def test_stop_answered_by_the_former_incarnation_is_repeated(cluster, outcome):
    """A delayed start must not be carried out because only a former worker barred it.

    The start is not answered; the worker restarts while the stop is under way.
    """
    del cluster.view.worker_by_id["w1"]
    worker = cluster.workers.worker("w0")
    worker.delays_starts = True
    worker.stop_delay_s = START_DELAY_S
    worker.stop_outcome = outcome
    cluster.store.add_job(make_job())
    cluster.start_leader()
    wait_until(lambda: bool(worker.highest_closed_run_by_task))
    worker.stop_outcome = CallOutcome.DONE
    cluster.workers.restart("w0", RESTARTED_MS)
    list_restarted(cluster, "w0")
    wait_until(lambda: bool(worker.highest_closed_run_by_task))
    first_start = worker.delayed_starts[0]
    assert cluster.workers.carry_out_start("w0", first_start) is CallOutcome.OLD_RUN


def test_restarted_worker_keeps_its_backoff(cluster):
    """A worker that fails all its tasks must not get new ones by restarting."""
    dispatcher = cluster.start_leader()
    wait_until(lambda: "w0" in dispatcher.link_by_id)
    state = dispatcher.fleet.state_by_id["w0"]
    state.backoff_until_s, state.consecutive_failures = steady_s() + 600.0, 5
    cluster.workers.restart("w0", RESTARTED_MS)
    list_restarted(cluster, "w0")
    wait_until(lambda: dispatcher.fleet.state_by_id["w0"] is not state)
    restarted = dispatcher.fleet.state_by_id["w0"]
    assert restarted.backoff_until_s == state.backoff_until_s
    assert restarted.consecutive_failures == 5


def test_ends_of_an_earlier_start_time_are_not_acknowledged(cluster):
    """A number must not reach a worker whose start time differs in either direction.

    The time of day of its machine has jumped back, so the new incarnation seems older.
    """
    del cluster.view.worker_by_id["w1"]
    list_restarted(cluster, "w0")
    cluster.store.add_job(make_job(JOB_ID, Step(2, 1000), Step(1, 1000, after=(0,))))
    link_by_id = cluster.start_leader().link_by_id
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    cluster.workers.end_all_runs()
    worker = cluster.workers.worker("w0")
    wait_until(lambda: worker.acknowledged_end == 2)
    cluster.workers.restart("w0", RESTARTED_MS - 1)
    for _ in range(3):
        polled_s = link_by_id["w0"].reached_s
        wait_until(lambda after_s=polled_s: link_by_id["w0"].reached_s > after_s)
    assert worker.acknowledged_end == 0


def test_restarted_worker_gets_no_tasks_before_the_platform_lists_it(cluster):
    """A task must not start on a worker that may not be what it was.

    A new incarnation may be of a different kind; only its lists are known so far.
    """
    del cluster.view.worker_by_id["w1"]
    dispatcher = cluster.start_leader()
    wait_until(lambda: "w0" in dispatcher.link_by_id)
    wait_until(lambda: dispatcher.fleet.state_by_id["w0"].has_current_lists)
    cluster.workers.restart("w0", RESTARTED_MS)
    wait_until(lambda: dispatcher.link_by_id["w0"].worker.started_ms == RESTARTED_MS)
    cluster.store.add_job(make_job())
    wait_until(lambda: dispatcher.fleet.state_by_id["w0"].has_current_lists)
    wait_until(lambda: bool(dispatcher.active_job_by_id))
    gevent.sleep(0.3)
    assert cluster.workers.started_runs == []
    list_restarted(cluster, "w0")
    wait_until(lambda: len(cluster.workers.started_runs) == 1)


@pytest.mark.parametrize("restarts_during_the_call", [True, False])
def test_ticket_is_not_used_after_a_restart(cluster, restarts_during_the_call):
    """A start must not be refused since its ticket is that of a former incarnation."""
    del cluster.view.worker_by_id["w1"]
    policy = cluster.view.policy
    queue = dataclasses.replace(
        policy.queue_by_name["queue"], advice=AdviceTerms(1.0, 1.0, 60_000.0)
    )
    cluster.view.policy = dataclasses.replace(policy, queue_by_name={"queue": queue})
    # No worker is large enough, so the ticket stays unused.
    cluster.store.add_job(make_job(JOB_ID, Step(1, 99_000)))
    dispatcher = cluster.start_leader()
    tickets = dispatcher.advised_workers.ticket_by_key

    def restart() -> None:
        former_link = dispatcher.link_by_id["w0"]
        cluster.workers.restart("w0", RESTARTED_MS)
        list_restarted(cluster, "w0")
        wait_until(lambda: dispatcher.link_by_id["w0"] is not former_link)

    class AdviceService:
        answers = 0

        def advise(self, step, worker_ids, timeout_s) -> Advice:
            if restarts_during_the_call:
                restart()
            self.answers += 1
            return Advice({"w0": "ticket"}, 60.0)

    service = AdviceService()
    cluster.spawn(TicketFetcher(dispatcher, service).run)
    wait_until(lambda: service.answers > 0)
    gevent.sleep(0.1)
    if not restarts_during_the_call:
        assert len(tickets) == 1
        restart()
    assert tickets == {}
