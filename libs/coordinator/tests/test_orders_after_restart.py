"""Tests of orders that are not sent since the worker has restarted under its id."""

from __future__ import annotations

import gevent
import pytest
from gevent.event import Event
from libs.coordinator.tests.fakes import (
    JOB_ID,
    FakeCluster,
    make_job,
    make_worker,
    wait_until,
)
from libs.coordinator.tests.test_restarted_workers import RESTARTED_MS, list_restarted

from lycheeloom.coordinator import task_orders
from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.dispatcher import Dispatcher
from lycheeloom.coordinator.pacer import Pacer
from lycheeloom.coordinator.ports import Renewal, TaskLists
from lycheeloom.coordinator.task_orders import REFUSED_BACKOFF_S
from lycheeloom.coordinator.worker_link import FAILURE_PAUSE_S, WorkerLink
from lycheeloom.jobs.fleet import Run, RunState
from lycheeloom.jobs.model import Step, TaskKey

TASK = TaskKey(JOB_ID, 0, 0, 0)


@pytest.fixture
def cluster(cluster):
    """A cluster with one worker."""
    del cluster.view.worker_by_id["w1"]
    return cluster


@pytest.fixture
def hold_polls(cluster, monkeypatch):
    """Return a function that lets no poll be answered, and an event that ends this."""
    renew_and_list = cluster.workers.renew_and_list
    is_released = Event()
    is_released.set()

    def answer_when_released(*args):
        result = renew_and_list(*args)
        is_released.wait()
        return result

    monkeypatch.setattr(cluster.workers, "renew_and_list", answer_when_released)
    return is_released.clear, is_released


def start_leader(cluster: FakeCluster) -> Dispatcher:
    """Start a leader; return it when the lists of the worker are known."""
    dispatcher = cluster.start_leader()
    wait_until(lambda: "w0" in dispatcher.fleet.state_by_id)
    wait_until(lambda: dispatcher.fleet.state_by_id["w0"].has_current_lists)
    return dispatcher


def start_run(
    cluster: FakeCluster, dispatcher: Dispatcher, is_listed: bool, step: Step
) -> Run:
    """Start a task; return its run when a list has shown it, if it is to be listed."""
    cluster.store.add_job(make_job(JOB_ID, step))
    wait_until(lambda: bool(dispatcher.fleet.runs_by_task))
    run = dispatcher.fleet.runs_by_task[TASK][0]
    wait_until(lambda: run.state is RunState.RUNNING)
    if is_listed:
        wait_until(lambda: run.is_listed)
    return run


def wait_for_restart(dispatcher: Dispatcher) -> None:
    """Wait until the leader knows the new incarnation."""
    wait_until(lambda: dispatcher.link_by_id["w0"].worker.started_ms == RESTARTED_MS)
    assert dispatcher.fleet.state_by_id["w0"].awaits_description


def test_start_that_was_not_sent_is_undone(cluster, hold_polls):
    """A task must not be lost, or run by a former clock, because of a restart.

    Only the start shows the restart. The new incarnation may be of another kind, so it
    gets no task before the platform lists it.
    """
    hold, released = hold_polls
    dispatcher = start_leader(cluster)
    hold()
    cluster.workers.restart("w0", RESTARTED_MS)
    cluster.store.add_job(make_job())
    wait_for_restart(dispatcher)
    assert cluster.workers.worker("w0").unsent_orders == 1
    assert not dispatcher.fleet.runs_by_task
    released.set()
    wait_until(lambda: dispatcher.fleet.state_by_id["w0"].has_current_lists)
    gevent.sleep(0.3)
    assert cluster.workers.started_runs == []
    list_restarted(cluster, "w0")
    wait_until(lambda: len(cluster.workers.started_runs) == 1)


def test_run_whose_stop_was_not_sent_is_gone_if_it_was_listed(cluster, hold_polls):
    """A stop must not be repeated for a run that has ended with its incarnation."""
    hold, _ = hold_polls
    dispatcher = start_leader(cluster)
    run = start_run(cluster, dispatcher, is_listed=True, step=Step(1, 1000))
    hold()
    cluster.workers.restart("w0", RESTARTED_MS)
    dispatcher.stop_run(run, "no progress")
    wait_for_restart(dispatcher)
    assert not dispatcher.fleet.runs_by_task
    gevent.sleep(0.3)
    worker = cluster.workers.worker("w0")
    assert (worker.unsent_orders, worker.highest_closed_run_by_task) == (1, {})


def test_stop_that_was_not_sent_is_repeated_if_no_list_has_shown_the_run(
    cluster, hold_polls
):
    """A delayed start must not run on a new incarnation that has not barred it."""
    hold, _ = hold_polls
    dispatcher = start_leader(cluster)
    hold()
    run = start_run(cluster, dispatcher, is_listed=False, step=Step(1, 1000))
    cluster.workers.restart("w0", RESTARTED_MS)
    dispatcher.stop_run(run, "no progress")
    wait_for_restart(dispatcher)
    assert dispatcher.fleet.runs_by_task[TASK] == [run]
    worker = cluster.workers.worker("w0")
    wait_until(lambda: worker.highest_closed_run_by_task == {TASK: run.run})


def test_stop_of_a_listed_run_shows_a_restart(cluster, hold_polls, monkeypatch):
    """A restart must not stay unnoticed because the run is not one of the leader's."""
    hold, _ = hold_polls
    stop = cluster.workers.stop
    dispatcher = start_leader(cluster)

    def restart_and_stop(*args):
        hold()
        cluster.workers.restart("w0", RESTARTED_MS)
        return stop(*args)

    monkeypatch.setattr(cluster.workers, "stop", restart_and_stop)
    cluster.workers.worker("w0").running[TASK] = 1
    wait_for_restart(dispatcher)
    assert cluster.workers.worker("w0").unsent_orders == 1


def test_log_names_the_incarnation_that_an_order_was_meant_for(
    cluster, hold_polls, monkeypatch
):
    """Logs must tell which incarnation a start reached, and which one it missed."""
    lines = []
    monkeypatch.setattr(
        task_orders, "log_event", lambda event, **fields: lines.append((event, fields))
    )
    hold, _ = hold_polls
    dispatcher = start_leader(cluster)
    run = start_run(cluster, dispatcher, is_listed=True, step=Step(1, 1000))
    hold()
    cluster.workers.restart("w0", RESTARTED_MS)
    dispatcher.stop_run(run, "no progress")
    wait_for_restart(dispatcher)
    logged = [
        (event, fields["started_ms"], fields["outcome"])
        for event, fields in lines
        if "outcome" in fields
    ]
    assert logged == [("task_start", 1, "done"), ("task_stop", 1, "restarted")]


def test_pace_that_was_not_sent_shows_a_restart(cluster, hold_polls):
    """A restart must not stay unnoticed, and the pace must not count as changed."""
    hold, _ = hold_polls
    dispatcher = start_leader(cluster)
    run = start_run(cluster, dispatcher, is_listed=True, step=Step(1, 0, fills=True))
    run.pace_percent = 50
    hold()
    cluster.workers.restart("w0", RESTARTED_MS)
    cluster.spawn(Pacer(dispatcher, cluster.workers).run)
    wait_for_restart(dispatcher)
    assert run.pace_percent == 50


def test_earlier_start_time_does_not_make_the_leader_spin(cluster, hold_polls):
    """The processor must not be used up by orders that cannot succeed.

    The time of day of the worker's machine has jumped back, and no poll is answered.
    """
    hold, _ = hold_polls
    list_restarted(cluster, "w0")
    dispatcher = start_leader(cluster)
    hold()
    worker = cluster.workers.worker("w0")
    cluster.workers.restart("w0", RESTARTED_MS - 1)
    began_s = steady_s()
    cluster.store.add_job(make_job())
    while steady_s() < began_s + 4 * REFUSED_BACKOFF_S:
        # Other events trigger many planning rounds.
        dispatcher.wake()
        gevent.sleep(0.01)
    assert 0 < worker.unsent_orders <= (steady_s() - began_s) / REFUSED_BACKOFF_S + 1
    link = dispatcher.link_by_id["w0"]
    assert link.worker.started_ms == RESTARTED_MS


class OrderedLists:
    """A port that answers each poll with the next of some lists."""

    def __init__(self, *start_times_and_connections: tuple[int, int]) -> None:
        self.renewals: list[Renewal | None] = []
        self.polled_s: list[float] = []
        self._answers = list(start_times_and_connections)

    def renew_and_list(self, worker, token, renewal, wait_ms) -> TaskLists:
        self.renewals.append(renewal)
        self.polled_s.append(steady_s())
        gevent.sleep(0)
        started_ms, connection_id = self._answers[0]
        if len(self._answers) > 1:
            del self._answers[0]
        clock_ms = int(steady_s() * 1000)
        return TaskLists(clock_ms, started_ms, (), (), False, connection_id)


@pytest.fixture
def poll():
    """Return a function that polls a worker some times over a port."""
    greenlets = []

    def run(port: OrderedLists, poll_count: int) -> WorkerLink:
        link = WorkerLink(
            make_worker(0),
            port,
            1,
            lambda: True,
            lambda link, lists, sent_s: None,
            lambda link, reply: None,
            lambda link: False,
        )
        greenlets.append(gevent.spawn(link.run))
        wait_until(lambda: len(port.renewals) >= poll_count)
        link.is_stopped = True
        return link

    yield run
    gevent.killall(greenlets)


def test_lease_is_renewed_only_over_the_connection_of_the_last_lists(poll):
    """A lease must not reach an incarnation by whose clock it was not computed."""
    port = OrderedLists((1, 1), (1, 1), (1, 2), (1, 2), (RESTARTED_MS, 3))
    link = poll(port, 7)
    connection_ids = [renewal and renewal.connection_id for renewal in port.renewals]
    assert connection_ids[:7] == [None, 1, 1, 2, 2, None, None]
    deadlines_ms = [r.deadline_ms for r in port.renewals if r is not None]
    assert None not in deadlines_ms
    assert not link.is_lease_expired


def test_lists_of_another_incarnation_do_not_make_the_link_spin(poll):
    """The processor must not be used up by a worker with an earlier start time."""
    port = OrderedLists((RESTARTED_MS, 1))
    poll(port, 4)
    pauses_s = [b - a for a, b in zip(port.polled_s, port.polled_s[1:], strict=False)]
    assert min(pauses_s) >= 0.9 * FAILURE_PAUSE_S
