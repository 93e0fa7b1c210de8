"""Starting, following and ending tasks."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from unittest.mock import Mock

import gevent
from libs.coordinator.tests.fakes import (
    ID,
    LOOK_S,
    World,
    make_job,
    make_policy,
    wait_until,
)

from lycheeloom.coordinator import dispatcher as dispatcher_module
from lycheeloom.coordinator import worker_link
from lycheeloom.coordinator.cleaner import Cleaner
from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.dispatcher import (
    FIRST_LIST_WAIT_S,
    INSTANCE_KNOWN_S,
    Dispatcher,
)
from lycheeloom.coordinator.inventory import LIST_INTERVAL_S, Inventory
from lycheeloom.coordinator.ports import Instance, InstancePort, InstanceState
from lycheeloom.coordinator.replica import Replica
from lycheeloom.coordinator.view import View
from lycheeloom.coordinator.worker_link import LOOK_WAIT_MS, WORKER_LEASE_S
from lycheeloom.jobs.fleet import RunState
from lycheeloom.jobs.model import EndKind, JobState, Policy, Step, TaskKey
from lycheeloom.jobs.records import JobProgress, Kind, decode, key_of
from lycheeloom.model.resources import Resources

# No test waits this long.
LONG_S = 600.0


def recorded_progress(world: World, job_id: str = ID) -> JobProgress | None:
    """Return the newest record of a job's progress."""
    key = key_of(Kind.PROGRESS, job_id)
    values = [r.value for r in world.store.records if r.key == key]
    return decode(JobProgress, values[-1]) if values else None


def recorded_state(world: World, job_id: str = ID) -> JobState | None:
    """Return the state of a job in its newest record."""
    progress = recorded_progress(world, job_id)
    return progress.state if progress else None


def recorded_failures(world: World, job_id: str = ID) -> int:
    """Return how many failed runs the newest record of a job counts."""
    progress = recorded_progress(world, job_id)
    steps = progress.steps if progress else ()
    return sum(failures.count for step in steps for failures in step.failures)


def test_steps_run_in_order(world):
    """Guards against a step that starts before the steps it comes after are done."""
    world.store.add_job(make_job(ID, Step(2, 1000), Step(1, 1000, after=(0,))))
    world.lead()
    wait_until(lambda: len(world.workers.begun) == 2)
    gevent.sleep(0.05)
    assert {task.step for _, task, _ in world.workers.begun} == {0}
    world.workers.end_all()
    wait_until(lambda: len(world.workers.begun) == 3)
    world.workers.end_all()
    wait_until(lambda: recorded_state(world) is JobState.COMPLETED)


def test_failed_task_is_tried_again_up_to_its_limit(world):
    """Guards against more runs than a queue allows after failures."""
    world.store.add_job(make_job())
    world.lead()
    for attempt in (1, 2):
        wait_until(lambda n=attempt: len(world.workers.begun) == n)
        world.workers.end_all(EndKind.FAILED)
    wait_until(lambda: recorded_state(world) is JobState.FAILED)
    gevent.sleep(0.3)
    assert len(world.workers.begun) == 2


def test_end_is_forgotten_only_when_it_is_recorded(world):
    """Guards against a task that runs again since its end was lost with the leader.

    The look after one that could not be recorded shows no new ends.
    """
    world.store.add_job(make_job())
    world.lead()
    wait_until(lambda: len(world.workers.begun) == 1)
    world.store.is_down = True
    world.workers.end_all()
    gevent.sleep(1.5)
    assert [worker.seen for worker in world.workers.by_id.values()] == [0, 0]
    world.store.is_down = False
    wait_until(lambda: any(w.seen for w in world.workers.by_id.values()))
    assert recorded_state(world) is JobState.COMPLETED


def test_new_leader_keeps_what_runs(world):
    """Guards against leases that count as lapsed before a worker's clock is known.

    The first look of the new leader finds ends, so it waits for their record
    before it looks again.
    """
    # A worker has room for two tasks.
    world.store.add_job(make_job(ID, Step(4, 4000)))
    first = world.lead(1)
    wait_until(lambda: len(world.workers.begun) == 4)
    first.writer.is_fenced = True
    gevent.sleep(0.3)
    for worker_id in ("w0", "w1"):
        task = next(iter(world.workers.at(worker_id).running))
        world.workers.end(worker_id, task, EndKind.DONE)
    second = world.lead(2)
    wait_until(lambda: len(second.fleet.runs_by_task) == 2)
    gevent.sleep(0.5)
    assert len(world.workers.begun) == 4


def test_failure_recorded_by_the_leader_before_counts_once(world):
    """Guards against a job that fails one attempt early after a takeover.

    A worker lists an end until a leader has confirmed it; the leader before has
    recorded the failure and ended before it could confirm it.
    """
    world.store.add_job(make_job())
    first = world.lead(1)
    wait_until(lambda: len(world.workers.begun) == 1)
    holder = world.workers.at(world.workers.begun[0][0])
    world.workers.end_all(EndKind.FAILED)
    wait_until(lambda: recorded_failures(world) == 1)
    holder.is_silent = True
    first.writer.is_fenced = True
    gevent.sleep(2 * LOOK_S)
    assert holder.seen == 0
    holder.is_silent = False
    second = world.lead(2)
    wait_until(lambda: holder.seen > 0)
    assert recorded_state(world) is JobState.RUNNING
    assert recorded_failures(world) == 1
    wait_until(lambda: bool(second.fleet.runs_by_task))
    world.workers.end_all()
    wait_until(lambda: recorded_state(world) is JobState.COMPLETED)


def test_inherited_tasks_wait_for_a_silent_worker(world):
    """Guards against a second run while a worker that is silent may have the first."""
    world.store.add_job(make_job())
    world.lead(1)
    wait_until(lambda: len(world.workers.begun) == 1)
    holder = world.workers.begun[0][0]
    world.workers.at(holder).is_silent = True
    second = world.lead(2)
    wait_until(lambda: any(s.is_listed for s in second.fleet.state_by_id.values()))
    gevent.sleep(0.5)
    assert len(world.workers.begun) == 1


def test_start_of_unknown_outcome_is_stopped_before_the_next(world):
    """Guards against two runs of a task after the answer to a start was lost."""
    for number in (0, 1):
        world.workers.at(f"w{number}").lose_starts = True
    world.store.add_job(make_job())
    world.lead()
    wait_until(lambda: len(world.workers.begun) >= 2)
    running = sum(len(w.running) for w in world.workers.by_id.values())
    assert running <= 1


def test_long_running_task_is_kept_if_a_list_shows_its_start(world):
    """Guards against ending a service that is at work since an answer was lost.

    Pattern: an instance crashes while workers leave orders unanswered; all tasks of
    a service start again at once.
    """
    for number in (0, 1):
        world.workers.at(f"w{number}").lose_starts = True
    world.store.add_job(make_job(ID, Step(3, 1000, long_running=True, may_miss=1)))
    dispatcher = world.lead()
    wait_until(lambda: len(world.workers.begun) == 3)
    runs_by_task = dispatcher.fleet.runs_by_task
    wait_until(
        lambda: all(
            run.state is RunState.RUNNING for run in sum(runs_by_task.values(), [])
        )
    )
    assert not any(worker.barred for worker in world.workers.by_id.values())


def test_long_running_task_is_barred_if_no_list_shows_its_start(world):
    """Guards against two runs of a task whose first start is carried out late."""
    late = world.workers.at("w0")
    late.delay_starts = True
    world.view.worker_by_id.pop("w1")
    world.store.add_job(make_job(ID, Step(1, 1000, long_running=True, may_miss=1)))
    world.lead()
    wait_until(lambda: bool(late.barred))
    world.workers.carry_out("w0", late.delayed[0])
    assert world.workers.begun == []


def test_start_that_arrives_late_is_barred(world):
    """Guards against an order carried out after its task was started elsewhere."""
    late = world.workers.at("w0")
    late.delay_starts = True
    world.view.worker_by_id.pop("w1")
    world.store.add_job(make_job())
    dispatcher = world.lead()
    wait_until(lambda: bool(late.barred))
    wait_until(lambda: not dispatcher.fleet.runs_by_task or len(late.delayed) > 1)
    world.workers.carry_out("w0", late.delayed[0])
    assert world.workers.begun == []


def test_cancelled_job_is_stopped(world):
    """Guards against tasks that run on after their job was cancelled."""
    world.store.add_job(make_job(ID, Step(3, 1000, long_running=True)))
    world.lead()
    wait_until(lambda: len(world.workers.begun) == 3)
    world.store.cancel(ID)
    wait_until(lambda: not any(w.running for w in world.workers.by_id.values()))
    wait_until(lambda: recorded_state(world) is JobState.CANCELLED)


def test_upper_limit_holds(world):
    """Guards against an organisation that runs more than its limit."""
    world.view.policy = make_policy(Resources(2.0, 0, 0))
    world.store.add_job(make_job(ID, Step(5, 1000)))
    world.lead()
    wait_until(lambda: len(world.workers.begun) == 2)
    gevent.sleep(0.3)
    assert len(world.workers.begun) == 2


def test_zone_taken_out_gets_no_starts(world):
    """Guards against starts in a zone that operators have taken out."""
    world.view.zones_out_of_service = frozenset({"zone-a"})
    world.store.add_job(make_job(ID, Step(6, 1000)))
    world.lead()
    wait_until(lambda: len(world.workers.begun) == 6)
    assert {worker for worker, _, _ in world.workers.begun} == {"w1"}


def test_lost_answer_of_the_store_does_not_end_a_job_twice(world):
    """Guards against records written twice when the store's answer is lost."""
    world.store.add_job(make_job())
    world.lead()
    wait_until(lambda: len(world.workers.begun) == 1)
    world.store.lose_answers = 3
    world.workers.end_all()
    wait_until(lambda: any(w.seen for w in world.workers.by_id.values()))
    assert recorded_state(world) is JobState.COMPLETED
    assert world.workers.begun == [(*world.workers.begun[0][:2], 1)]


def test_run_numbers_rise_over_leaders(world):
    """Guards against starts that a worker rejects as old after a takeover."""
    world.store.add_job(make_job(ID, Step(1, 1000, long_running=True)))
    world.lead(1)
    wait_until(lambda: len(world.workers.begun) == 1)
    second = world.lead(2)
    wait_until(lambda: bool(second.fleet.runs_by_task))
    world.workers.end_all(EndKind.FAILED)
    wait_until(lambda: len(world.workers.begun) == 2)
    assert world.workers.begun[1][1:] == (TaskKey(ID, 0, 0, 0), 2)


def test_limit_of_attempts_is_read_from_the_policy_in_force(world):
    """Guards against a job that fails early since its queue was not known yet.

    A new process may lead before it has read the configuration.
    """
    policy = world.view.policy
    world.store.add_job(make_job())
    world.lead(1)
    wait_until(lambda: len(world.workers.begun) == 1)
    world.view.policy = Policy()
    second = world.lead(2)
    wait_until(lambda: bool(second.fleet.runs_by_task))
    world.workers.end_all(EndKind.FAILED)
    wait_until(lambda: any(w.seen for w in world.workers.by_id.values()))
    world.view.policy = policy
    wait_until(lambda: len(world.workers.begun) == 2)
    assert recorded_state(world) is not JobState.FAILED


def test_tasks_of_a_silent_worker_start_elsewhere_after_its_lease(world):
    """Guards against looks at a silent worker that count as new leases."""
    world.store.add_job(make_job())
    world.lead()
    wait_until(lambda: len(world.workers.begun) == 1)
    holder = world.workers.begun[0][0]
    went_silent_s = steady_s()
    world.workers.at(holder).is_silent = True
    wait_until(lambda: len(world.workers.begun) == 2)
    assert world.workers.begun[1][0] != holder
    assert steady_s() - went_silent_s >= WORKER_LEASE_S - LOOK_WAIT_MS / 1000


def lists(*worker_ids: str) -> Callable[[], tuple[Instance, ...]]:
    """Return a list of instances that have the workers given and no others."""
    return lambda: tuple(
        Instance(f"m-{worker_id}", "pool", InstanceState.UP, "zone-a", worker_id)
        for worker_id in worker_ids
    )


def watch_instances(
    world: World, dispatcher: Dispatcher, port: InstancePort
) -> Inventory:
    """Let a leader read the list of instances."""
    inventory = Inventory(port, dispatcher.writer, dispatcher.note_instances)
    world.spawn(inventory.run)
    return inventory


def test_tasks_of_a_worker_without_an_instance_start_elsewhere_at_once(
    world, monkeypatch
):
    """Guards against a wait for the lease of a worker that has certainly ended.

    Pattern: an instance crashes, and the platform lists its worker on for seconds.
    """
    monkeypatch.setattr(worker_link, "WORKER_LEASE_S", LONG_S)
    instances = Mock(list_instances=lists("w0", "w1"))
    world.store.add_job(make_job())
    watch_instances(world, world.lead(), instances)
    wait_until(lambda: len(world.workers.begun) == 1)
    holder = world.workers.begun[0][0]
    gevent.sleep(INSTANCE_KNOWN_S)
    world.workers.at(holder).is_silent = True
    instances.list_instances = lists("w1" if holder == "w0" else "w0")
    wait_until(lambda: len(world.workers.begun) == 2)
    assert world.workers.begun[1][0] != holder


def test_takeover_does_not_wait_for_workers_without_an_instance(world, monkeypatch):
    """Guards against seconds without starts after a change of leader.

    Pattern: the leader is lost while instances move between pools; the platform
    lists the workers that they had on for seconds.
    """
    world.store.add_job(make_job(ID, Step(1, 1000), Step(1, 1000, after=(0,))))
    first = world.lead(1)
    wait_until(lambda: len(world.workers.begun) == 1)
    holder = world.workers.begun[0][0]
    other = "w1" if holder == "w0" else "w0"
    first.writer.is_fenced = True
    gevent.sleep(2 * LOOK_S)
    world.workers.at(other).is_silent = True
    world.workers.end_all()
    monkeypatch.setattr(dispatcher_module, "TAKEOVER_LAPSE_S", LONG_S)
    second = world.lead(2)
    watch_instances(world, second, Mock(list_instances=lists(holder)))
    wait_until(lambda: len(world.workers.begun) == 2)


def test_takeover_waits_for_workers_that_only_the_instances_show(world):
    """Guards against a second run of a task whose worker is not listed for a time.

    Pattern: the store has been away and the entries of workers that live have
    lapsed; they come back seconds after the new leader has read the rest.
    """
    world.store.add_job(make_job())
    first = world.lead(1)
    wait_until(lambda: len(world.workers.begun) == 1)
    holder = world.workers.begun[0][0]
    first.writer.is_fenced = True
    gevent.sleep(2 * LOOK_S)
    worker = world.view.worker_by_id.pop(holder)
    second = world.lead(2)
    watch_instances(world, second, Mock(list_instances=lists("w0", "w1")))
    gevent.sleep(2 * FIRST_LIST_WAIT_S)
    assert len(world.workers.begun) == 1
    world.view.worker_by_id[holder] = worker
    wait_until(lambda: bool(second.fleet.runs_by_task))
    assert len(world.workers.begun) == 1


def test_worker_that_answers_is_kept_whatever_the_list_shows(world):
    """Guards against tasks started twice since a list was out of date."""
    world.store.add_job(make_job(ID, Step(2, 5000)))
    dispatcher = world.lead()
    watch_instances(world, dispatcher, Mock(list_instances=lists()))
    wait_until(lambda: len(world.workers.begun) == 2)
    gevent.sleep(2 * INSTANCE_KNOWN_S + LIST_INTERVAL_S)
    assert len(world.workers.begun) == 2
    assert len(dispatcher.fleet.runs_by_task) == 2


def test_silent_worker_with_an_instance_keeps_its_tasks_until_its_lease_ends(world):
    """Guards against a second run while the first goes on behind a cut."""
    world.store.add_job(make_job())
    watch_instances(world, world.lead(), Mock(list_instances=lists("w0", "w1")))
    wait_until(lambda: len(world.workers.begun) == 1)
    gevent.sleep(INSTANCE_KNOWN_S)
    world.workers.at(world.workers.begun[0][0]).is_silent = True
    gevent.sleep(WORKER_LEASE_S - 2 * LOOK_WAIT_MS / 1000)
    assert len(world.workers.begun) == 1


def test_worker_whose_report_lacks_its_start_is_used(world):
    """Guards against a worker that is dropped and taken up again without end."""
    for worker_id, worker in world.view.worker_by_id.items():
        unknown = dataclasses.replace(worker, started_ms=0)
        world.view.worker_by_id[worker_id] = unknown
    world.workers.started_ms = 5
    world.store.add_job(make_job())
    world.lead()
    wait_until(lambda: len(world.workers.begun) == 1)


def test_records_of_old_jobs_are_removed(world):
    """Guards against a table that grows for ever, and jobs that come back."""
    world.store.add_job(make_job())
    dispatcher = world.lead()
    wait_until(lambda: len(world.workers.begun) == 1)
    world.workers.end_all()
    wait_until(lambda: recorded_state(world) is JobState.COMPLETED)
    replica = dispatcher.replica
    wait_until(lambda: replica.table.entry_by_id[ID].state is JobState.COMPLETED)
    Cleaner(dispatcher, replica, world.store, 60.0).clean()
    assert ID in replica.table.entry_by_id
    Cleaner(dispatcher, replica, world.store, -1.0).clean()
    wait_until(lambda: ID not in replica.table.entry_by_id)
    gevent.sleep(0.3)
    fresh = Replica(world.store)
    assert fresh.load()
    assert fresh.table.entry_by_id == {}
    assert len(world.workers.begun) == 1


def test_jobs_that_no_worker_can_run_are_known(world):
    """Guards against a wait to the deadline for what is known to be impossible."""
    view = View()
    large, small = Step(1, 99_000), Step(1, 1_000)
    assert view.find_impossible([large]) == ""
    for worker in world.view.worker_by_id.values():
        view.note_worker(worker)
    view.worker_by_id.clear()
    assert view.find_impossible([small]) == ""
    assert "steps.1" in view.find_impossible([small, large])
    assert "label" in view.find_impossible([Step(1, 1, label="other")])


def test_job_recorded_again_after_its_end_does_not_run_again(world):
    """Guards against a repeated record that comes before the end has been read back.

    An instance repeats a record whose answer was lost; the leader has finished the
    job meanwhile, and its own record of that is still on the way.
    """
    world.store.add_job(make_job())
    dispatcher = world.lead()
    wait_until(lambda: len(world.workers.begun) == 1)
    world.workers.end_all()
    wait_until(lambda: not dispatcher.work_by_id)
    world.store.add_job(make_job())
    gevent.sleep(0.5)
    assert len(world.workers.begun) == 1
