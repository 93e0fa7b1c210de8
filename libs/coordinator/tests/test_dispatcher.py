"""Tests of starting, tracking and stopping tasks."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from unittest.mock import Mock

import gevent
import pytest
from libs.coordinator.tests.fakes import (
    JOB_ID,
    POLL_DELAY_S,
    FakeCluster,
    make_job,
    make_policy,
    wait_until,
)

from lycheeloom.coordinator import dispatcher as dispatcher_module
from lycheeloom.coordinator import inherited_jobs, worker_link
from lycheeloom.coordinator.cleaner import Cleaner
from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.dispatcher import INSTANCE_LIST_LAG_S, Dispatcher
from lycheeloom.coordinator.inherited_jobs import MAX_INHERITED_LEASE_S
from lycheeloom.coordinator.inventory import LIST_INTERVAL_S, Inventory
from lycheeloom.coordinator.ports import Instance, InstancePort, InstanceState
from lycheeloom.coordinator.replica import Replica
from lycheeloom.coordinator.view import View
from lycheeloom.coordinator.worker_link import POLL_WAIT_MS, WORKER_LEASE_S
from lycheeloom.jobs.fleet import RunState
from lycheeloom.jobs.model import EndedTask, EndKind, JobState, Policy, Step, TaskKey
from lycheeloom.jobs.records import JobProgress, Kind, decode, key_of
from lycheeloom.jobs.run_numbers import RUNS_PER_LEADER
from lycheeloom.model.resources import Resources

# Longer than any test takes.
LONG_S = 600.0


def recorded_progress(cluster: FakeCluster, job_id: str = JOB_ID) -> JobProgress | None:
    """Return the latest progress record of a job."""
    key = key_of(Kind.PROGRESS, job_id)
    values = [r.value for r in cluster.store.records if r.key == key]
    return decode(JobProgress, values[-1]) if values else None


def recorded_state(cluster: FakeCluster, job_id: str = JOB_ID) -> JobState | None:
    """Return the state of a job in its latest progress record."""
    progress = recorded_progress(cluster, job_id)
    return progress.state if progress else None


def recorded_failures(cluster: FakeCluster, job_id: str = JOB_ID) -> int:
    """Return the number of failed runs in a job's latest progress record."""
    progress = recorded_progress(cluster, job_id)
    steps = progress.steps if progress else ()
    return sum(failures.count for step in steps for failures in step.failures)


def test_steps_run_in_order(cluster):
    """A step must not start before its predecessors are done."""
    cluster.store.add_job(make_job(JOB_ID, Step(2, 1000), Step(1, 1000, after=(0,))))
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    gevent.sleep(0.05)
    assert {task.step for _, task, _ in cluster.workers.started_runs} == {0}
    cluster.workers.end_all_runs()
    wait_until(lambda: len(cluster.workers.started_runs) == 3)
    cluster.workers.end_all_runs()
    wait_until(lambda: recorded_state(cluster) is JobState.COMPLETED)


def test_failed_task_is_retried_up_to_its_limit(cluster):
    """A task must not have more failed runs than its queue allows."""
    cluster.store.add_job(make_job())
    cluster.start_leader()
    for attempt in (1, 2):
        wait_until(lambda n=attempt: len(cluster.workers.started_runs) == n)
        cluster.workers.end_all_runs(EndKind.FAILED)
    wait_until(lambda: recorded_state(cluster) is JobState.FAILED)
    gevent.sleep(0.3)
    assert len(cluster.workers.started_runs) == 2


def test_end_is_acknowledged_only_when_recorded(cluster):
    """A task must not run again because its end was lost with the leader.

    The poll after the one whose ends could not be recorded returns no new ends, and
    must not acknowledge the earlier ones.
    """
    cluster.store.add_job(make_job())
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    cluster.store.is_down = True
    cluster.workers.end_all_runs()
    # Longer than a poll and the time for which it waits for the record.
    gevent.sleep(1.5)
    assert [worker.acknowledged_end for worker in cluster.workers.by_id.values()] == [
        0,
        0,
    ]
    cluster.store.is_down = False
    wait_until(lambda: any(w.acknowledged_end for w in cluster.workers.by_id.values()))
    assert recorded_state(cluster) is JobState.COMPLETED


def test_new_leader_keeps_running_tasks(cluster):
    """Leases must not count as expired before a worker's clock is known.

    The first poll of the new leader returns ended runs, so the leader waits for their
    record before it polls again.
    """
    # Two tasks fit on a worker.
    cluster.store.add_job(make_job(JOB_ID, Step(4, 4000)))
    first = cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 4)
    first.writer.is_fenced = True
    gevent.sleep(0.3)
    for worker_id in ("w0", "w1"):
        task = next(iter(cluster.workers.worker(worker_id).running))
        cluster.workers.end_run(worker_id, task, EndKind.DONE)
    second = cluster.start_leader(2)
    wait_until(lambda: len(second.fleet.runs_by_task) == 2)
    gevent.sleep(0.5)
    assert len(cluster.workers.started_runs) == 4


def test_failure_recorded_by_previous_leader_counts_once(cluster):
    """A job must not fail one attempt too early after a takeover.

    A worker reports an end until a leader has acknowledged it. The previous leader
    recorded the failure, but ended before it could acknowledge it.
    """
    cluster.store.add_job(make_job())
    first = cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    worker = cluster.workers.worker(cluster.workers.started_runs[0][0])
    cluster.workers.end_all_runs(EndKind.FAILED)
    wait_until(lambda: recorded_failures(cluster) == 1)
    worker.is_unresponsive = True
    first.writer.is_fenced = True
    gevent.sleep(2 * POLL_DELAY_S)
    assert worker.acknowledged_end == 0
    worker.is_unresponsive = False
    second = cluster.start_leader(2)
    wait_until(lambda: worker.acknowledged_end > 0)
    assert recorded_state(cluster) is JobState.RUNNING
    assert recorded_failures(cluster) == 1
    wait_until(lambda: bool(second.fleet.runs_by_task))
    cluster.workers.end_all_runs()
    wait_until(lambda: recorded_state(cluster) is JobState.COMPLETED)


def test_inherited_tasks_wait_for_unresponsive_worker(cluster):
    """No second run may start while an unresponsive worker may have the first."""
    cluster.store.add_job(make_job())
    cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    holder_id = cluster.workers.started_runs[0][0]
    cluster.workers.worker(holder_id).is_unresponsive = True
    second = cluster.start_leader(2)
    wait_until(
        lambda: any(s.has_current_lists for s in second.fleet.state_by_id.values())
    )
    gevent.sleep(0.5)
    assert len(cluster.workers.started_runs) == 1


def test_start_with_unknown_outcome_is_stopped_before_the_next(cluster):
    """A task must not have two runs after the answer to a start was lost."""
    for number in (0, 1):
        cluster.workers.worker(f"w{number}").loses_start_answers = True
    cluster.store.add_job(make_job())
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) >= 2)
    running = sum(len(w.running) for w in cluster.workers.by_id.values())
    assert running <= 1


def test_long_running_task_is_kept_if_a_list_shows_its_start(cluster):
    """A running service must not be stopped because the answer to a start was lost.

    An instance crashes while workers do not answer orders, so all tasks of a service
    restart at the same time.
    """
    for number in (0, 1):
        cluster.workers.worker(f"w{number}").loses_start_answers = True
    cluster.store.add_job(
        make_job(JOB_ID, Step(3, 1000, long_running=True, may_miss=1))
    )
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 3)
    runs_by_task = dispatcher.fleet.runs_by_task
    wait_until(
        lambda: all(
            run.state is RunState.RUNNING for run in sum(runs_by_task.values(), [])
        )
    )
    assert not any(
        worker.highest_closed_run_by_task for worker in cluster.workers.by_id.values()
    )


def test_long_running_task_is_stopped_if_no_list_shows_its_start(cluster):
    """A task must not have two runs when its first start is carried out late."""
    late = cluster.workers.worker("w0")
    late.delays_starts = True
    cluster.view.worker_by_id.pop("w1")
    cluster.store.add_job(
        make_job(JOB_ID, Step(1, 1000, long_running=True, may_miss=1))
    )
    cluster.start_leader()
    wait_until(lambda: bool(late.highest_closed_run_by_task))
    cluster.workers.carry_out_start("w0", late.delayed_starts[0])
    assert cluster.workers.started_runs == []


def test_start_carried_out_after_its_stop_is_rejected(cluster):
    """A delayed start must not be carried out after its run was stopped.

    The task may have been started elsewhere by then.
    """
    late = cluster.workers.worker("w0")
    late.delays_starts = True
    cluster.view.worker_by_id.pop("w1")
    cluster.store.add_job(make_job())
    dispatcher = cluster.start_leader()
    wait_until(lambda: bool(late.highest_closed_run_by_task))
    wait_until(
        lambda: not dispatcher.fleet.runs_by_task or len(late.delayed_starts) > 1
    )
    cluster.workers.carry_out_start("w0", late.delayed_starts[0])
    assert cluster.workers.started_runs == []


def test_end_that_does_not_fit_into_a_list_counts(cluster):
    """A task must not run twice because many runs have ended since the last list."""
    cluster.view.worker_by_id.pop("w1")
    cluster.workers.worker("w0").max_listed_ends = 2
    cluster.store.add_job(make_job(JOB_ID, Step(8, 1000)))
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 8)
    cluster.workers.end_all_runs()
    wait_until(lambda: cluster.workers.worker("w0").acknowledged_end >= 8)
    assert len(cluster.workers.started_runs) == 8
    wait_until(lambda: recorded_state(cluster) is JobState.COMPLETED)


def test_cancelled_job_is_stopped(cluster):
    """No task may continue after its job was cancelled."""
    cluster.store.add_job(make_job(JOB_ID, Step(3, 1000, long_running=True)))
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 3)
    cluster.store.cancel(JOB_ID)
    wait_until(lambda: not any(w.running for w in cluster.workers.by_id.values()))
    wait_until(lambda: recorded_state(cluster) is JobState.CANCELLED)


@pytest.mark.parametrize("kind", EndKind)
def test_long_running_task_is_restarted_however_it_ends(cluster, kind):
    """A long-running task must not stay ended because its program returned.

    After a run that ended as done, the task was neither waiting nor running (review,
    case 3).
    """
    cluster.store.add_job(make_job(JOB_ID, Step(2, 1000, long_running=True)))
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    cluster.workers.end_all_runs(kind)
    wait_until(lambda: len(cluster.workers.started_runs) == 4)
    restarted = {task for _, task, _ in cluster.workers.started_runs[2:]}
    assert restarted == {TaskKey(JOB_ID, 0, 0, index) for index in range(2)}
    assert not dispatcher.active_job_by_id[JOB_ID].is_final


@pytest.mark.parametrize("kind", EndKind)
@pytest.mark.parametrize(
    "fields",
    [{}, {"long_running": True}, {"gang": True}, {"gang": True, "long_running": True}],
    ids=["plain", "long_running", "gang", "long_running_gang"],
)
def test_each_end_leaves_a_task_waiting_running_or_done(cluster, kind, fields):
    """An end must not leave a task that no leader starts again or counts as done."""
    cluster.store.add_job(make_job(JOB_ID, Step(2, 1000, **fields)))
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    worker_id, task, _ = cluster.workers.started_runs[0]
    active_job = dispatcher.active_job_by_id[JOB_ID]
    cluster.workers.end_run(worker_id, task, kind)
    worker = cluster.workers.worker(worker_id)
    wait_until(lambda: worker.acknowledged_end == 1)
    step_tasks = active_job.find_tasks(task)
    states = [
        step_tasks is not None and task.index in step_tasks.waiting,
        task in dispatcher.fleet.runs_by_task,
        active_job.is_done(task),
    ]
    assert states.count(True) == 1
    assert states[2] == (kind is EndKind.DONE and not fields.get("long_running"))


def test_other_run_of_a_long_running_task_goes_on(cluster):
    """A task must not become unavailable because an earlier run of it has ended."""
    cluster.store.add_job(make_job(JOB_ID, Step(1, 1000, long_running=True)))
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    worker_id, task, run = cluster.workers.started_runs[0]
    worker = cluster.workers.worker(worker_id)
    worker.end_count += 1
    worker.ended.append(EndedTask(1, task, run - 1, EndKind.DONE, ""))
    wait_until(lambda: worker.acknowledged_end == 1)
    assert worker.running == {task: run}
    assert len(dispatcher.fleet.runs_by_task[task]) == 1
    assert len(cluster.workers.started_runs) == 1


def test_upper_limit_holds(cluster):
    """An organisation must not exceed its upper limit."""
    cluster.view.policy = make_policy(Resources(2.0, 0, 0))
    cluster.store.add_job(make_job(JOB_ID, Step(5, 1000)))
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    gevent.sleep(0.3)
    assert len(cluster.workers.started_runs) == 2


def test_zone_out_of_service_gets_no_starts(cluster):
    """No task may start in a zone that operators have taken out of service."""
    # Worker w0 is in zone-a, w1 in zone-b.
    cluster.view.zones_out_of_service = frozenset({"zone-a"})
    cluster.store.add_job(make_job(JOB_ID, Step(6, 1000)))
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 6)
    assert {worker for worker, _, _ in cluster.workers.started_runs} == {"w1"}


def test_lost_answer_of_the_store_does_not_repeat_a_run(cluster):
    """An append whose answer was lost must be repeated without further effect."""
    cluster.store.add_job(make_job())
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    cluster.store.answers_to_lose = 3
    cluster.workers.end_all_runs()
    wait_until(lambda: any(w.acknowledged_end for w in cluster.workers.by_id.values()))
    assert recorded_state(cluster) is JobState.COMPLETED
    assert cluster.workers.started_runs == [(*cluster.workers.started_runs[0][:2], 1)]


def test_run_numbers_increase_across_leaders(cluster):
    """Workers must not reject starts as outdated after a takeover."""
    cluster.store.add_job(make_job(JOB_ID, Step(1, 1000, long_running=True)))
    cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    second = cluster.start_leader(2)
    wait_until(lambda: bool(second.fleet.runs_by_task))
    cluster.workers.end_all_runs(EndKind.FAILED)
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    task, first_run_of_second = TaskKey(JOB_ID, 0, 0, 0), RUNS_PER_LEADER + 1
    assert cluster.workers.started_runs[1][1:] == (task, first_run_of_second)


def test_limit_of_attempts_is_read_from_the_current_policy(cluster):
    """A job must not fail early because its queue is not known yet.

    A new process may become leader before it has read the configuration.
    """
    policy = cluster.view.policy
    cluster.store.add_job(make_job())
    cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    # The policy of a process that has not read the configuration.
    cluster.view.policy = Policy()
    second = cluster.start_leader(2)
    wait_until(lambda: bool(second.fleet.runs_by_task))
    cluster.workers.end_all_runs(EndKind.FAILED)
    wait_until(lambda: any(w.acknowledged_end for w in cluster.workers.by_id.values()))
    cluster.view.policy = policy
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    assert recorded_state(cluster) is not JobState.FAILED


def test_tasks_of_unresponsive_worker_start_elsewhere_after_its_lease(cluster):
    """A task of an unresponsive worker must start elsewhere when its lease expires.

    Polls that the worker does not answer must not extend the lease.
    """
    cluster.store.add_job(make_job())
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    holder_id = cluster.workers.started_runs[0][0]
    unresponsive_since_s = steady_s()
    cluster.workers.worker(holder_id).is_unresponsive = True
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    assert cluster.workers.started_runs[1][0] != holder_id
    assert steady_s() - unresponsive_since_s >= WORKER_LEASE_S - POLL_WAIT_MS / 1000


def list_instances_of(*worker_ids: str) -> Callable[[], tuple[Instance, ...]]:
    """Return a ``list_instances`` function with one instance per given worker."""
    return lambda: tuple(
        Instance(f"m-{worker_id}", "pool", InstanceState.UP, "zone-a", worker_id)
        for worker_id in worker_ids
    )


def poll_instances(
    cluster: FakeCluster, dispatcher: Dispatcher, port: InstancePort
) -> Inventory:
    """Let a leader poll the list of instances."""
    inventory = Inventory(port, dispatcher.writer, dispatcher.note_instances)
    cluster.spawn(inventory.run)
    return inventory


def test_tasks_of_a_worker_without_an_instance_start_elsewhere_immediately(
    cluster, monkeypatch
):
    """The leader must not wait for the lease of a worker that has definitely ended.

    An instance crashes, and the platform lists its worker for some seconds longer.
    """
    monkeypatch.setattr(worker_link, "WORKER_LEASE_S", LONG_S)
    instances = Mock(list_instances=list_instances_of("w0", "w1"))
    cluster.store.add_job(make_job())
    poll_instances(cluster, cluster.start_leader(), instances)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    holder_id = cluster.workers.started_runs[0][0]
    gevent.sleep(INSTANCE_LIST_LAG_S)
    cluster.workers.worker(holder_id).is_unresponsive = True
    instances.list_instances = list_instances_of("w1" if holder_id == "w0" else "w0")
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    assert cluster.workers.started_runs[1][0] != holder_id


def test_takeover_does_not_wait_for_workers_without_an_instance(cluster, monkeypatch):
    """A change of leader must not cause seconds without starts.

    The leader is lost while instances move between pools, and the platform lists their
    former workers for some seconds longer.
    """
    cluster.store.add_job(make_job(JOB_ID, Step(1, 1000), Step(1, 1000, after=(0,))))
    first = cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    holder_id = cluster.workers.started_runs[0][0]
    other = "w1" if holder_id == "w0" else "w0"
    first.writer.is_fenced = True
    gevent.sleep(2 * POLL_DELAY_S)
    cluster.workers.worker(other).is_unresponsive = True
    cluster.workers.end_all_runs()
    monkeypatch.setattr(inherited_jobs, "MAX_INHERITED_LEASE_S", LONG_S)
    second = cluster.start_leader(2)
    poll_instances(cluster, second, Mock(list_instances=list_instances_of(holder_id)))
    wait_until(lambda: len(cluster.workers.started_runs) == 2)


def test_takeover_waits_for_workers_that_only_the_instances_show(cluster):
    """A task must not run twice because its worker is temporarily not listed.

    During an outage of the store, the registrations of running workers expired; they
    reappear seconds after the new leader has read the others.
    """
    cluster.store.add_job(make_job())
    first = cluster.start_leader(1)
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    holder_id = cluster.workers.started_runs[0][0]
    first.writer.is_fenced = True
    gevent.sleep(2 * POLL_DELAY_S)
    worker = cluster.view.worker_by_id.pop(holder_id)
    second = cluster.start_leader(2, has_instance_list=False)
    poll_instances(cluster, second, Mock(list_instances=list_instances_of("w0", "w1")))
    gevent.sleep(MAX_INHERITED_LEASE_S / 2)
    assert len(cluster.workers.started_runs) == 1
    cluster.view.worker_by_id[holder_id] = worker
    wait_until(lambda: bool(second.fleet.runs_by_task))
    assert len(cluster.workers.started_runs) == 1


def test_responsive_worker_is_kept_even_if_no_instance_has_it(cluster):
    """Tasks must not be started twice because a list was outdated."""
    cluster.store.add_job(make_job(JOB_ID, Step(2, 5000)))
    dispatcher = cluster.start_leader()
    poll_instances(cluster, dispatcher, Mock(list_instances=list_instances_of()))
    wait_until(lambda: len(cluster.workers.started_runs) == 2)
    gevent.sleep(2 * INSTANCE_LIST_LAG_S + LIST_INTERVAL_S)
    assert len(cluster.workers.started_runs) == 2
    assert len(dispatcher.fleet.runs_by_task) == 2


def test_leader_reports_once_that_a_worker_is_no_longer_listed(cluster, monkeypatch):
    """Guards against a line for each round, and against none."""
    events = []
    monkeypatch.setattr(
        dispatcher_module, "log_event", lambda event, **fields: events.append(event)
    )
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(dispatcher.link_by_id) == 2)
    worker = cluster.view.worker_by_id.pop("w0")
    for _ in range(3):
        dispatcher.sync_workers()
    assert events == ["worker_unlisted"]
    cluster.view.worker_by_id["w0"] = worker
    dispatcher.sync_workers()
    del cluster.view.worker_by_id["w0"]
    dispatcher.sync_workers()
    assert events == ["worker_unlisted"] * 2


def test_unresponsive_worker_with_instance_keeps_tasks_until_lease_ends(cluster):
    """No second run may start while the first continues behind a partition."""
    cluster.store.add_job(make_job())
    poll_instances(
        cluster,
        cluster.start_leader(),
        Mock(list_instances=list_instances_of("w0", "w1")),
    )
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    gevent.sleep(INSTANCE_LIST_LAG_S)
    cluster.workers.worker(cluster.workers.started_runs[0][0]).is_unresponsive = True
    gevent.sleep(WORKER_LEASE_S - 2 * POLL_WAIT_MS / 1000)
    assert len(cluster.workers.started_runs) == 1


def test_worker_without_a_reported_start_time_is_used(cluster):
    """A worker must not be dropped and added again in an endless loop.

    The platform lists the worker without a start time, but the worker's own lists
    contain one.
    """
    for worker_id, worker in cluster.view.worker_by_id.items():
        without_start_time = dataclasses.replace(worker, started_ms=0)
        cluster.view.worker_by_id[worker_id] = without_start_time
    cluster.workers.listed_started_ms = 5
    cluster.store.add_job(make_job())
    cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)


def test_records_of_old_jobs_are_removed(cluster):
    """The table must not grow forever, and removed jobs must not reappear."""
    cluster.store.add_job(make_job())
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    cluster.workers.end_all_runs()
    wait_until(lambda: recorded_state(cluster) is JobState.COMPLETED)
    replica = dispatcher.replica
    wait_until(lambda: replica.table.entry_by_id[JOB_ID].state is JobState.COMPLETED)
    # The job ended less than 90 s ago: its records stay.
    Cleaner(dispatcher, replica, cluster.store, 60.0).clean()
    assert JOB_ID in replica.table.entry_by_id
    # A negative retention time makes the job expire immediately.
    Cleaner(dispatcher, replica, cluster.store, -1.0).clean()
    wait_until(lambda: JOB_ID not in replica.table.entry_by_id)
    gevent.sleep(0.3)
    new_replica = Replica(cluster.store)
    assert new_replica.load()
    assert new_replica.table.entry_by_id == {}
    assert len(cluster.workers.started_runs) == 1


def test_steps_that_no_worker_can_run_are_detected(cluster):
    """Jobs with a step that no worker can run must be refused and not wait."""
    view = View()
    large, small = Step(1, 99_000), Step(1, 1_000)
    assert view.find_impossible([large]) == ""
    for worker in cluster.view.worker_by_id.values():
        view.note_worker(worker)
    view.worker_by_id.clear()
    assert view.find_impossible([small]) == ""
    assert "steps.1" in view.find_impossible([small, large])
    assert "label" in view.find_impossible([Step(1, 1, label="other")])


def test_job_recorded_again_after_its_end_does_not_run_again(cluster):
    """A duplicate job record must not restart a job that has just ended.

    An instance repeats a record because the answer to its append was lost. The leader
    has closed the job meanwhile, but has not read back its own record of that.
    """
    cluster.store.add_job(make_job())
    dispatcher = cluster.start_leader()
    wait_until(lambda: len(cluster.workers.started_runs) == 1)
    cluster.workers.end_all_runs()
    wait_until(lambda: not dispatcher.active_job_by_id)
    cluster.store.add_job(make_job())
    gevent.sleep(0.5)
    assert len(cluster.workers.started_runs) == 1
