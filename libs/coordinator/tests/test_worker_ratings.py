"""Tests of ratings of workers when one thing fails."""

from __future__ import annotations

import dataclasses

import gevent
import pytest
from libs.coordinator.tests.fakes import JOB_ID, FakeCluster, make_job, wait_until

from lycheeloom.coordinator import list_reconciler, rating_recorder
from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.dispatcher import Dispatcher
from lycheeloom.coordinator.features import Features
from lycheeloom.coordinator.ports import CallOutcome, CallReply
from lycheeloom.jobs.fleet import Run
from lycheeloom.jobs.model import Step
from lycheeloom.jobs.worker_observations import BadRating

STEP = Step(1, 1000, estimated_ms=600)


@pytest.fixture
def cluster():
    """A cluster of two workers whose leaders rate workers."""
    cluster = FakeCluster()
    cluster.features = Features(worker_ratings=True)
    yield cluster
    cluster.close()


@pytest.fixture
def lines(monkeypatch) -> list[tuple[str, str]]:
    """Event and worker of the log lines about ratings."""
    lines = []
    monkeypatch.setattr(
        rating_recorder,
        "log_event",
        lambda event, **fields: lines.append((event, fields["worker"])),
    )
    return lines


def start_job(
    cluster: FakeCluster, dispatcher: Dispatcher, number: int, step: Step = STEP
) -> Run:
    """Submit a job of one task; return its run once a list has shown it."""
    job_id = f"{number:016x}"
    cluster.store.add_job(make_job(job_id, step))
    wait_until(
        lambda: any(run.is_listed for run in dispatcher.fleet.runs_of_job(job_id))
    )
    return dispatcher.fleet.runs_of_job(job_id)[0]


def rate_as_stalling(dispatcher: Dispatcher, run: Run) -> None:
    """Rate the worker of a run, as if an earlier run on it had stalled."""
    dispatcher._ratings.note_stall(run, 2.5, steady_s())
    dispatcher.wake()
    state = dispatcher.fleet.state_by_id[run.worker_id]
    wait_until(lambda: state.is_badly_rated)


def test_stall_on_a_stalling_worker_is_found_early_and_its_stop_is_awaited(
    cluster, lines, monkeypatch
):
    """A task that stands on a stalling worker must start elsewhere, but never twice.

    The stop gets no answer at first: until it does, the task must not start.
    """
    # Only the early limit can stop the run.
    monkeypatch.setattr(list_reconciler, "STALL_S", 600.0)
    dispatcher = cluster.start_leader()
    run = start_job(cluster, dispatcher, 0)
    answer_stop, lost_stops = cluster.workers.stop, []

    def lose_stop(worker, task, run_number, token) -> CallReply:
        lost_stops.append(task)
        return CallReply(CallOutcome.UNKNOWN, "no answer in time")

    monkeypatch.setattr(cluster.workers, "stop", lose_stop)
    rate_as_stalling(dispatcher, run)
    wait_until(lambda: len(lost_stops) == 5)
    assert run.stop_reason == "no progress"
    assert len(cluster.workers.started_runs) == 1
    monkeypatch.setattr(cluster.workers, "stop", answer_stop)
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    assert cluster.workers.started_runs[1][0] != run.worker_id
    assert lines == [("worker_badly_rated", run.worker_id)]


@pytest.mark.parametrize(
    ("is_enabled", "step", "is_early"),
    [
        (True, STEP, True),
        (False, STEP, False),
        # A service is never stopped for lack of progress, which keeps its budget.
        (True, dataclasses.replace(STEP, long_running=True, may_miss=1), False),
    ],
    ids=["on", "off", "long-running"],
)
def test_early_limit_holds_only_with_ratings_and_for_ordinary_tasks(
    cluster, is_enabled, step, is_early
):
    """With the switch off, and for services, no run must be stopped early."""
    cluster.features = Features(worker_ratings=is_enabled)
    dispatcher = cluster.start_leader()
    run = start_job(cluster, dispatcher, 0, step)
    now_s = steady_s()
    run.progress_changed_s = now_s - 1.5
    dispatcher._ratings.note_stall(run, 2.5, now_s)
    assert dispatcher._ratings.has_stalled_early(run, now_s, now_s) is is_early
    # A list that was requested early shows nothing about the time since.
    assert not dispatcher._ratings.has_stalled_early(run, now_s - 1.0, now_s)


def test_rating_ends_when_the_worker_restarts(cluster, lines):
    """A worker that goes down and comes up must not keep the rating of its past."""
    dispatcher = cluster.start_leader()
    run = start_job(cluster, dispatcher, 0)
    rate_as_stalling(dispatcher, run)
    state = dispatcher.fleet.state_by_id[run.worker_id]
    cluster.workers.restart(run.worker_id, 2)
    worker = cluster.view.worker_by_id[run.worker_id]
    cluster.view.worker_by_id[run.worker_id] = dataclasses.replace(worker, started_ms=2)
    wait_until(lambda: dispatcher.fleet.state_by_id[run.worker_id] is not state)
    wait_until(lambda: ("worker_recovered", run.worker_id) in lines)
    assert not dispatcher.fleet.state_by_id[run.worker_id].is_badly_rated


def test_end_during_an_outage_of_the_link_does_not_make_a_worker_slow(
    cluster, monkeypatch
):
    """An end that is listed late must not count as a long run."""
    dispatcher = cluster.start_leader()
    run = start_job(cluster, dispatcher, 0)
    timely = []
    monkeypatch.setattr(
        dispatcher._ratings._ratings,
        "note_end",
        lambda run, *, is_timely, **_: timely.append(is_timely),
    )
    worker = cluster.workers.worker(run.worker_id)
    state = dispatcher.fleet.state_by_id[run.worker_id]
    worker.is_unresponsive = True
    wait_until(lambda: not state.has_current_lists)
    cluster.workers.end_all_runs()
    worker.is_unresponsive = False
    wait_until(lambda: bool(timely))
    next_run = start_job(cluster, dispatcher, 1)
    cluster.workers.end_all_runs()
    wait_until(lambda: next_run.task not in dispatcher.fleet.runs_by_task)
    assert timely == [False, True]


def test_new_leader_starts_without_ratings_and_keeps_running_tasks(cluster):
    """A takeover must neither inherit ratings nor rate by runs of unknown age."""
    dispatcher = cluster.start_leader()
    run = start_job(cluster, dispatcher, 0)
    rate_as_stalling(dispatcher, run)
    worker = cluster.workers.worker(run.worker_id)

    def make_progress() -> None:
        while True:
            worker.percent = (worker.percent + 1) % 100
            gevent.sleep(0.1)

    cluster.spawn(make_progress)
    next_leader = cluster.start_leader(token=2)
    wait_until(lambda: bool(next_leader.fleet.runs_of_job(JOB_ID)))
    adopted = next_leader.fleet.runs_of_job(JOB_ID)[0]
    assert adopted.is_adopted
    assert next_leader._ratings._ratings.rating(run.worker_id) is None
    assert len(cluster.workers.started_runs) == 1


def test_repeated_stalls_are_reported_once(cluster, lines):
    """Log lines must stay bounded: one for each decision, not one for each run."""
    dispatcher = cluster.start_leader()
    run = start_job(cluster, dispatcher, 0)
    rate_as_stalling(dispatcher, run)
    for _ in range(10):
        dispatcher._ratings.note_stall(run, 2.5, steady_s())
        dispatcher._ratings.refresh(steady_s())
    assert lines == [("worker_badly_rated", run.worker_id)]
    rating = dispatcher._ratings._ratings.rating(run.worker_id)
    assert rating is BadRating.STALLING
