"""Which tasks start where, in which order."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lycheeloom.jobs.active_job import ActiveJob
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
from lycheeloom.jobs.planner import AdvisedWorkers, Planner
from lycheeloom.model.resources import NO_RESOURCES, Resources

NOW_MS = 10_000


def make_worker(number: int, cores: float = 8.0) -> Worker:
    """Return a worker; two share a rack."""
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
    """Four workers of 8 cores in two racks."""
    fleet = Fleet()
    for number in range(4):
        fleet.add_worker(make_worker(number)).has_current_lists = True
    return fleet


def make_policy(limit: Resources = NO_RESOURCES, **fields) -> Policy:
    """Return a policy with a queue; ``fields`` are those of the queue."""
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
    """Return the work of a job that nobody has started."""
    return ActiveJob(Job(job_id, "queue", "red", "spec", steps, accepted_ms))


def plan(
    fleet: Fleet, active_jobs: list[ActiveJob], policy: Policy | None = None, now_s=1.0
):
    """Plan, and count the starts as running."""
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


def test_capacity_is_never_exceeded(fleet):
    """Guards against more tasks on a worker than it has room for."""
    starts = plan(fleet, [make_active_job(Step(50, 3000))])
    assert len(starts) == 8
    assert all(state.free.cores >= 0 for state in fleet.state_by_id.values())
    assert plan(fleet, [make_active_job(Step(1, 3000), job_id="b")]) == []


def test_busy_workers_are_filled_first(fleet):
    """Guards against instances that stay on for a few tasks each after a surge.

    Pattern: queues surge by turns; what a queue no longer needs goes to the next.
    """
    first = plan(fleet, [make_active_job(Step(1, 1000))])
    busy_id = first[0].worker_id
    starts = plan(fleet, [make_active_job(Step(9, 1000), job_id="b")])
    on_busy = [start for start in starts if start.worker_id == busy_id]
    assert len(on_busy) == 7
    assert len({start.worker_id for start in starts}) == 2


def test_long_running_tasks_share_a_worker(fleet):
    """Guards against instances that stay on for one long-running task each.

    Pattern: a pool has a service of a few small tasks and, by turns, a surge; with
    the tasks on one worker the other instances can be switched off in between.
    """
    service = Step(3, 1000, long_running=True)
    starts = plan(fleet, [make_active_job(service)])
    assert len(starts) == 3
    assert len({start.worker_id for start in starts}) == 1
    plan(fleet, [make_active_job(Step(2, 1000), job_id="b")])
    joined = plan(fleet, [make_active_job(service, job_id="c")])
    assert {s.worker_id for s in joined} == {s.worker_id for s in starts}


def test_spread_step_keeps_its_limit_on_each_worker(fleet):
    """Guards against tasks that must avoid each other on one worker."""
    active_job = make_active_job(Step(6, 1000, max_per_worker=1))
    assert len(plan(fleet, [active_job])) == 4
    assert plan(fleet, [active_job]) == []


def test_gang_starts_whole_or_not_at_all(fleet):
    """Guards against members of a gang that wait for the others on workers."""
    assert plan(fleet, [make_active_job(Step(9, 4000, gang=True))]) == []
    starts = plan(fleet, [make_active_job(Step(8, 4000, gang=True))])
    assert len(starts) == 8
    assert len({start.run for start in starts}) == 1


def test_gang_in_one_rack_if_it_fits(fleet):
    """Guards against a gang spread over racks, which makes it slower."""
    starts = plan(fleet, [make_active_job(Step(4, 4000, gang=True, same_rack=True))])
    racks = {fleet.state_by_id[start.worker_id].worker.rack for start in starts}
    assert len(racks) == 1


def test_rack_near_the_data_comes_first(fleet):
    """Guards against tasks far from their data while there is room near it."""
    starts = plan(fleet, [make_active_job(Step(4, 4000, rack="rack-1"))])
    assert {start.worker_id for start in starts} == {"w2", "w3"}


def test_label_is_required(fleet):
    """Guards against a start on a worker without the label."""
    assert plan(fleet, [make_active_job(Step(1, 1000, label="other"))]) == []
    assert len(plan(fleet, [make_active_job(Step(1, 1000, label="kind"))])) == 1


def test_limit_counts_what_runs_and_what_is_planned(fleet):
    """Guards against an organisation over its limit within one round."""
    policy = make_policy(Resources(5.0, 0, 0))
    active_job = make_active_job(Step(10, 2000))
    assert len(plan(fleet, [active_job], policy)) == 2
    assert plan(fleet, [active_job], policy) == []


def test_filling_tasks_reserve_no_processors(fleet):
    """Guards against filling tasks that keep others out."""
    assert len(plan(fleet, [make_active_job(Step(40, 8000, fills=True))])) == 40
    assert len(plan(fleet, [make_active_job(Step(8, 4000), job_id="b")])) == 8


def test_jobs_that_can_be_in_time_come_before_those_that_cannot(fleet):
    """Guards against a surge in which every job is late by a little.

    Pattern: demand beyond the pool for some seconds; the oldest jobs have missed
    their objective, and serving them first makes the next ones miss theirs.
    """
    late = make_active_job(
        Step(8, 4000, estimated_ms=1000), job_id="late", accepted_ms=7_000
    )
    timely = make_active_job(Step(8, 4000, estimated_ms=1000), job_id="timely")
    starts = plan(fleet, [late, timely])
    assert {start.task.job_id for start in starts} == {"timely"}


def test_late_jobs_do_not_wait_for_ever(fleet):
    """Guards against late jobs that starve under a lasting surge."""
    old = make_active_job(Step(8, 4000, estimated_ms=1000), job_id="old", accepted_ms=1)
    timely = make_active_job(Step(8, 4000, estimated_ms=1000), job_id="timely")
    starts = plan(fleet, [timely, old])
    assert {start.task.job_id for start in starts} == {"old"}


def test_due_times_are_kept(fleet):
    """Guards against an occurrence that starts before its time."""
    job = Job("a", "queue", "red", "", (Step(1, 1000),), NOW_MS, 3, NOW_MS - 500, 1_000)
    starts = plan(fleet, [ActiveJob(job)])
    assert [start.task.occurrence for start in starts] == [0]


def test_worker_that_fails_everything_is_avoided(fleet):
    """Guards against a worker that fails fast and so attracts all work."""
    for _ in range(2):
        fleet.note_outcome("w0", False, 1.0)
    starts = plan(fleet, [make_active_job(Step(6, 1000))])
    assert "w0" not in {start.worker_id for start in starts}
    later = plan(fleet, [make_active_job(Step(12, 2000), job_id="b")], now_s=100.0)
    assert "w0" in {start.worker_id for start in later}


def test_draining_worker_gets_no_starts(fleet):
    """Guards against starts on a worker that has announced that it leaves."""
    fleet.add_worker(replace(make_worker(0), draining=True))
    starts = plan(fleet, [make_active_job(Step(20, 1000))])
    assert len(starts) == 20
    assert "w0" not in {start.worker_id for start in starts}


def test_step_that_needs_advice_waits_for_tickets(fleet):
    """Guards against starts on workers that the queue's policy rules out."""
    policy = make_policy(advice=AdviceTerms(1.0, 1.0, 3_000.0))
    active_job = make_active_job(Step(2, 1000))
    advised = AdvisedWorkers()
    planner = Planner(fleet)
    assert planner.plan([active_job], policy, (), 1.0, NOW_MS, advised) == []
    advised.ticket_by_key["a", (0, 0), "w3"] = ("ticket", 9.0)
    starts = planner.plan([active_job], policy, (), 1.0, NOW_MS, advised)
    assert [start.worker_id for start in starts] == ["w3", "w3"]


def test_advice_for_one_step_does_not_keep_others_out(fleet):
    """Guards against a pool that counts as full since one step's workers are."""
    policy = make_policy(advice=AdviceTerms(1.0, 1.0, 3_000.0))
    first, second = (
        make_active_job(Step(9, 1000)),
        make_active_job(Step(1, 1000), job_id="b"),
    )
    advised = AdvisedWorkers()
    advised.ticket_by_key["a", (0, 0), "w0"] = ("ticket", 9.0)
    advised.ticket_by_key["b", (0, 0), "w1"] = ("ticket", 9.0)
    planner = Planner(fleet)
    starts = planner.plan([first, second], policy, (), 1.0, NOW_MS, advised)
    workers = [start.worker_id for start in starts]
    assert workers == ["w0"] * 8 + ["w1"]
