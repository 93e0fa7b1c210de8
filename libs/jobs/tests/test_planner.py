"""Tests of the order and placement of task starts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.advised_workers import AdvisedWorkers
from lycheeloom.jobs.fleet import Fleet, Run, RunState
from lycheeloom.jobs.model import (
    AdviceTerms,
    Job,
    Organisation,
    Policy,
    Pool,
    Queue,
    Step,
    Worker,
)
from lycheeloom.jobs.planner import MAX_STARTS_PER_ROUND, Planner
from lycheeloom.model.resources import NO_RESOURCES, Resources

NOW_MS = 10_000


def make_worker(number: int, cores: float = 8.0) -> Worker:
    """Return a worker; each rack has two workers."""
    rack = f"rack-{number // 2}"
    return Worker(
        f"w{number}",
        1,
        "pool",
        "address",
        "zone",
        Resources(cores, 64_000, 0),
        frozenset({"kind", rack}),
        rack,
    )


@pytest.fixture
def fleet():
    """A fleet of four workers with 8 cores each, in two racks."""
    fleet = Fleet()
    for number in range(4):
        fleet.add_worker(make_worker(number)).has_current_lists = True
    return fleet


def make_policy(limit: Resources = NO_RESOURCES, **fields) -> Policy:
    """Return a policy with one queue and one organisation.

    ``limit`` is the upper limit of the organisation, ``fields`` are those of the queue.
    """
    queue = Queue("queue", "host", "/q/", "pool", stretch=2.0, **fields)
    return Policy(
        1,
        {"queue": queue},
        {"pool": Pool("pool")},
        {"red": Organisation("red", frozenset(), 100.0, limit)},
    )


def make_active_job(
    *steps: Step, job_id: str = "a", accepted_ms: int = NOW_MS
) -> ActiveJob:
    """Return a job of which no task has started."""
    return ActiveJob(Job(job_id, "queue", "red", "spec", steps, accepted_ms))


def plan(
    fleet: Fleet, active_jobs: list[ActiveJob], policy: Policy | None = None, now_s=1.0
):
    """Plan one round and add the started runs to the fleet."""
    starts = Planner(fleet).plan(
        active_jobs, policy or make_policy(), (), now_s, NOW_MS
    )
    for start in starts:
        fleet.add_run(
            Run(
                start.task,
                start.run,
                start.worker_id,
                start.step,
                start.organisation,
                start.queue,
                RunState.RUNNING,
                now_s,
            )
        )
    return starts


def test_capacity_of_workers_is_never_exceeded(fleet):
    """A worker must never get more tasks than fit."""
    starts = plan(fleet, [make_active_job(Step(50, 3000))])
    assert len(starts) == 8
    assert all(state.free.cores >= 0 for state in fleet.state_by_id.values())
    assert plan(fleet, [make_active_job(Step(1, 3000), job_id="b")]) == []


def test_busy_workers_are_filled_first(fleet):
    """Instances must not stay on for a few tasks each after a load spike.

    Load pattern: queues have load spikes in turn, and each needs the instances that
    the previous one no longer uses.
    """
    first = plan(fleet, [make_active_job(Step(1, 1000))])
    busy_id = first[0].worker_id
    starts = plan(fleet, [make_active_job(Step(9, 1000), job_id="b")])
    starts_on_busy = [start for start in starts if start.worker_id == busy_id]
    assert len(starts_on_busy) == 7
    assert len({start.worker_id for start in starts}) == 2


def test_long_running_tasks_share_a_worker(fleet):
    """Instances must not stay on for one long-running task each.

    Load pattern: a pool runs a service of a few small tasks and has load spikes; with
    the service on one worker, the other instances can be switched off in between.
    """
    service = Step(3, 1000, long_running=True)
    starts = plan(fleet, [make_active_job(service)])
    assert len(starts) == 3
    assert len({start.worker_id for start in starts}) == 1
    plan(fleet, [make_active_job(Step(2, 1000), job_id="b")])
    later_starts = plan(fleet, [make_active_job(service, job_id="c")])
    assert {start.worker_id for start in later_starts} == {
        start.worker_id for start in starts
    }


def test_limit_of_tasks_per_worker_holds(fleet):
    """Tasks that must not share a worker must not be placed on the same one."""
    active_job = make_active_job(Step(6, 1000, max_per_worker=1))
    assert len(plan(fleet, [active_job])) == 4
    assert plan(fleet, [active_job]) == []


def test_gang_starts_completely_or_not_at_all(fleet):
    """Tasks of a gang must not occupy workers while waiting for the others."""
    assert plan(fleet, [make_active_job(Step(9, 4000, gang=True))]) == []
    starts = plan(fleet, [make_active_job(Step(8, 4000, gang=True))])
    assert len(starts) == 8
    assert len({start.run for start in starts}) == 1


def test_gang_is_placed_in_one_rack_if_it_fits(fleet):
    """A gang must not be spread over racks, which slows it down."""
    starts = plan(fleet, [make_active_job(Step(4, 4000, gang=True, same_rack=True))])
    racks = {fleet.state_by_id[start.worker_id].worker.rack for start in starts}
    assert len(racks) == 1


def test_rack_with_the_data_is_preferred(fleet):
    """Tasks must not run far from their data while its rack has room."""
    starts = plan(fleet, [make_active_job(Step(4, 4000, rack="rack-1"))])
    assert {start.worker_id for start in starts} == {"w2", "w3"}


def test_task_starts_only_on_a_worker_with_the_required_label(fleet):
    """A task must not start on a worker that lacks the required label."""
    assert plan(fleet, [make_active_job(Step(1, 1000, label="other"))]) == []
    assert len(plan(fleet, [make_active_job(Step(1, 1000, label="kind"))])) == 1


def test_upper_limit_counts_running_and_planned_tasks(fleet):
    """An organisation must not exceed its limit within one planning round."""
    policy = make_policy(Resources(5.0, 0, 0))
    active_job = make_active_job(Step(10, 2000))
    assert len(plan(fleet, [active_job], policy)) == 2
    assert plan(fleet, [active_job], policy) == []


def test_filling_tasks_reserve_no_cpu(fleet):
    """Filling tasks must not keep other tasks from starting."""
    assert len(plan(fleet, [make_active_job(Step(40, 8000, fills=True))])) == 40
    assert len(plan(fleet, [make_active_job(Step(8, 4000), job_id="b")])) == 8


def test_jobs_that_can_meet_their_deadline_go_before_late_ones(fleet):
    """A short overload must not make every job slightly late.

    The demand exceeds the pool for some seconds. The oldest jobs have missed their
    deadlines, and starting them first would make the following ones miss theirs.
    """
    late = make_active_job(
        Step(8, 4000, estimated_ms=1000), job_id="late", accepted_ms=7_000
    )
    timely = make_active_job(Step(8, 4000, estimated_ms=1000), job_id="timely")
    starts = plan(fleet, [late, timely])
    assert {start.task.job_id for start in starts} == {"timely"}


def test_late_jobs_do_not_starve(fleet):
    """Late jobs must start in the end, even during a lasting overload."""
    # Has waited for longer than late jobs are deferred.
    old = make_active_job(Step(8, 4000, estimated_ms=1000), job_id="old", accepted_ms=1)
    timely = make_active_job(Step(8, 4000, estimated_ms=1000), job_id="timely")
    starts = plan(fleet, [timely, old])
    assert {start.task.job_id for start in starts} == {"old"}


def test_occurrence_waits_for_its_due_time(fleet):
    """An occurrence must not start before it is due."""
    job = Job("a", "queue", "red", "", (Step(1, 1000),), NOW_MS, 3, NOW_MS - 500, 1_000)
    starts = plan(fleet, [ActiveJob(job)])
    assert [start.task.occurrence for start in starts] == [0]


def test_worker_with_repeated_failures_is_avoided(fleet):
    """A worker that fails tasks quickly must not attract all tasks."""
    for _ in range(2):
        fleet.note_outcome("w0", False, 1.0)
    starts = plan(fleet, [make_active_job(Step(6, 1000))])
    assert "w0" not in {start.worker_id for start in starts}
    later_starts = plan(
        fleet, [make_active_job(Step(12, 2000), job_id="b")], now_s=100.0
    )
    assert "w0" in {start.worker_id for start in later_starts}


def test_badly_rated_worker_gets_one_task_after_all_others_are_full(fleet):
    """A slow or faulty worker must not attract tasks, nor more than one at a time.

    The limit covers all steps of a round, and the tasks that run already.
    """
    state = fleet.state_by_id["w0"]
    state.is_badly_rated = state.takes_one_task = True
    near = Step(3, 1000, rack="rack-0")
    starts = plan(fleet, [make_active_job(near)])
    assert {start.worker_id for start in starts} == {"w1"}
    jobs = [make_active_job(Step(13, 1000), job_id=name) for name in ("b", "c")]
    starts = plan(fleet, jobs)
    assert [start.worker_id for start in starts].count("w0") == 1
    assert len(starts) == 22
    assert plan(fleet, [make_active_job(Step(1, 1000), job_id="d")]) == []


def test_badly_rated_workers_are_used_if_only_they_have_room(fleet):
    """Ratings must not keep a pool from working, nor a gang from starting."""
    for state in fleet.state_by_id.values():
        state.is_badly_rated = True
    starts = plan(fleet, [make_active_job(Step(20, 1000))])
    assert len(starts) == 20
    fleet.state_by_id["w0"].takes_one_task = True
    assert len(plan(fleet, [make_active_job(Step(12, 1000, gang=True))])) == 12


def test_draining_worker_gets_no_starts(fleet):
    """No task may start on a draining worker."""
    fleet.add_worker(replace(make_worker(0), draining=True))
    starts = plan(fleet, [make_active_job(Step(20, 1000))])
    assert len(starts) == 20
    assert "w0" not in {start.worker_id for start in starts}


def test_step_that_needs_advice_waits_for_tickets(fleet):
    """No task may start on a worker that the advice service has not allowed."""
    policy = make_policy(advice=AdviceTerms(1.0, 1.0, 3_000.0))
    active_job = make_active_job(Step(2, 1000))
    advised_workers = AdvisedWorkers()
    planner = Planner(fleet)
    assert planner.plan([active_job], policy, (), 1.0, NOW_MS, advised_workers) == []
    advised_workers.ticket_by_key["a", (0, 0), "w3"] = ("ticket", 9.0)
    starts = planner.plan([active_job], policy, (), 1.0, NOW_MS, advised_workers)
    assert [start.worker_id for start in starts] == ["w3", "w3"]


def test_full_advised_workers_do_not_block_other_steps(fleet):
    """A pool must not count as full because a step's allowed workers are full."""
    policy = make_policy(advice=AdviceTerms(1.0, 1.0, 3_000.0))
    first, second = (
        make_active_job(Step(9, 1000)),
        make_active_job(Step(1, 1000), job_id="b"),
    )
    advised_workers = AdvisedWorkers()
    advised_workers.ticket_by_key["a", (0, 0), "w0"] = ("ticket", 9.0)
    advised_workers.ticket_by_key["b", (0, 0), "w1"] = ("ticket", 9.0)
    planner = Planner(fleet)
    starts = planner.plan([first, second], policy, (), 1.0, NOW_MS, advised_workers)
    workers = [start.worker_id for start in starts]
    assert workers == ["w0"] * 8 + ["w1"]


def test_one_round_plans_a_limited_number_of_starts(fleet):
    """A job of very many small tasks must not hold up the leader.

    Planning 100,000 tasks at once took longer than the leader's lease lasts.
    """
    active_job = make_active_job(Step(MAX_STARTS_PER_ROUND + 50), job_id="a")
    other_job = make_active_job(Step(1, 1000), job_id="b", accepted_ms=NOW_MS + 1)
    jobs = [active_job, other_job]
    first_round = plan(fleet, jobs)
    assert len(first_round) == MAX_STARTS_PER_ROUND
    second_round = plan(fleet, jobs)
    assert [start.task.job_id for start in second_round] == ["a"] * 50 + ["b"]
    indexes = [start.task.index for start in first_round + second_round[:-1]]
    assert indexes == list(range(MAX_STARTS_PER_ROUND + 50))
