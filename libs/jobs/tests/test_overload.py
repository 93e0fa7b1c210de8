"""Tests of the order of jobs in pools that have no room for all of them."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.fleet import Fleet
from lycheeloom.jobs.model import Job, Organisation, Policy, Pool, Queue, Step, Worker
from lycheeloom.jobs.overload import Contender, PoolRoom, Service, choose_service
from lycheeloom.jobs.planner import Planner
from lycheeloom.jobs.size_groups import SizeGroups
from lycheeloom.model.resources import Resources

NOW_MS = 100_000.0
# Ten instances that are all in use; 12.75 instance-seconds can start within 1.5 s.
ROOM = PoolRoom(instances=10.0, free=0.0, task_s=0.5, used_by_organisation={})


def make_contender(number: int, work: float = 1.0, **fields) -> Contender:
    """Return a job that can be in time for 1.5 s and is of use for 4.5 s."""
    values = {
        "organisation": "red",
        "in_time_until_ms": NOW_MS + 1_500,
        "useful_until_ms": NOW_MS + 4_500,
    }
    return Contender((f"{number:016x}", 0), work=work, **(values | fields))


def count(service_by_key) -> Counter[Service]:
    return Counter(service_by_key.values())


def test_part_of_the_jobs_is_in_time_instead_of_all_late():
    """Guards against a load of several times the room that makes every job late.

    Load: 60 jobs at once where 12 can start in time and 38 while they are of use.
    """
    chosen = choose_service([make_contender(n) for n in range(60)], ROOM, {}, NOW_MS)
    assert count(chosen) == {
        Service.IN_TIME: 12,
        Service.LATE: 26,
        Service.DELAYED: 22,
    }


def test_late_job_does_not_go_before_one_that_can_be_in_time():
    """Guards against late jobs that take the room of others and make them late too.

    Load: jobs that waited through an outage, and new ones that fill the pool.
    """
    late = [
        make_contender(n, in_time_until_ms=NOW_MS - 9_000, useful_until_ms=NOW_MS - 1)
        for n in range(20)
    ]
    new = [make_contender(n) for n in range(20, 30)]
    chosen = choose_service(late + new, ROOM, {}, NOW_MS)
    assert {chosen[job.key] for job in new} == {Service.IN_TIME}
    assert {chosen[job.key] for job in late} == {Service.PAST_USE}


def test_jobs_are_dropped_that_make_most_room():
    """Guards against many callers who are late for the sake of one large job."""
    jobs = [make_contender(n, work=1.0) for n in range(12)]
    large = make_contender(99, work=10.0)
    chosen = choose_service([large, *jobs], ROOM, {}, NOW_MS)
    assert {chosen[job.key] for job in jobs} == {Service.IN_TIME}
    assert chosen[large.key] is Service.LATE


@pytest.mark.parametrize("protected", ["is_protected", "is_disadvantaged"])
def test_protected_job_is_dropped_last(protected):
    """Guards against work that is wasted, and against large jobs that starve."""
    jobs = [make_contender(n, work=1.0) for n in range(12)]
    large = make_contender(99, work=10.0, **{protected: True})
    chosen = choose_service([large, *jobs], ROOM, {}, NOW_MS)
    assert chosen[large.key] is Service.IN_TIME
    assert count(chosen)[Service.IN_TIME] == 3


def test_flood_of_one_organisation_takes_nothing_from_the_others():
    """Guards against an organisation that fills the pool by sending most.

    Load: one organisation sends seven times as much as each of five others, within
    its rate, and has half of the pool in use.
    """
    flood = [make_contender(n, organisation="flood") for n in range(35)]
    others = [
        make_contender(100 + n, organisation=f"org-{n % 5}", work=0.4)
        for n in range(25)
    ]
    room = PoolRoom(10.0, 0.0, 0.5, {"flood": 5.0})
    chosen = choose_service(flood + others, room, {}, NOW_MS)
    assert {chosen[job.key] for job in others} == {Service.IN_TIME}
    # What the others leave goes to the organisation that sends most.
    assert sum(chosen[job.key] is Service.IN_TIME for job in flood) == 2


def test_room_is_shared_by_weight():
    """Guards against equal shares where organisations have agreed on others.

    Load: two organisations that each fill the pool several times over.
    """
    jobs = [make_contender(n, organisation="ab"[n % 2], work=0.1) for n in range(400)]
    weights = {"a": 3.0, "b": 1.0}
    chosen = choose_service(jobs, ROOM, weights, NOW_MS)
    in_time = Counter(j.organisation for j in jobs if not chosen[j.key])
    assert in_time["a"] == pytest.approx(3 * in_time["b"], abs=3)


def test_rate_counts_only_while_the_share_is_used():
    """Guards against a flag set on arrival that delays jobs while there is room."""
    jobs = [make_contender(n, is_above_rate=True) for n in range(10)]
    assert count(choose_service(jobs, ROOM, {}, NOW_MS)) == {Service.IN_TIME: 10}
    busy = PoolRoom(10.0, 0.0, 0.5, {"red": 10.0})
    chosen = choose_service(jobs, busy, {}, NOW_MS)
    assert count(chosen) == {Service.IN_TIME_ABOVE_RATE: 10}


def test_large_jobs_are_served_at_least_half_as_often():
    """Guards against starvation of the largest jobs of a queue.

    Load: twice the room, for 100 rounds, sizes spread over a factor of about 30.
    """
    rng, sizes = random.Random(5), SizeGroups()
    outcomes: dict[int, list[bool]] = {0: [], 1: [], 2: []}
    for _ in range(100):
        works = [rng.lognormvariate(0.0, 0.85) for _ in range(18)]
        for work in works:
            sizes.note_job("q", work)
        groups = [sizes.group_of("q", work) for work in works]
        jobs = [
            make_contender(n, work, is_disadvantaged=sizes.is_disadvantaged("q", g))
            for n, (work, g) in enumerate(zip(works, groups, strict=True))
        ]
        chosen = choose_service(jobs, ROOM, {}, NOW_MS)
        for job, group in zip(jobs, groups, strict=True):
            in_time = chosen[job.key] is Service.IN_TIME
            outcomes[group].append(in_time)
            sizes.note_outcome("q", group, in_time=in_time)
    served = [in_time for group in outcomes.values() for in_time in group]
    fraction = sum(served) / len(served)
    for group in (1, 2):
        assert sum(outcomes[group]) / len(outcomes[group]) >= 0.5 * fraction


@pytest.fixture
def policy():
    """A policy with an urgent queue and one organisation."""
    queue = Queue("queue", "host", "/q/", "pool", 0, 1, 1.6, 600.0)
    organisation = Organisation("red", frozenset(), 1_000.0)
    return Policy(1, {"queue": queue}, {"pool": Pool("pool")}, {"red": organisation})


def make_jobs(first: int, count: int, accepted_ms: int) -> list[ActiveJob]:
    step = Step(1, 4_000, estimated_ms=1_000)
    return [
        ActiveJob(Job(f"{n:016x}", "queue", "red", "", (step,), accepted_ms))
        for n in range(first, first + count)
    ]


def plan_order(planner: Planner, jobs: list[ActiveJob], policy: Policy) -> list[str]:
    starts = planner.plan(jobs, policy, (), 1.0, NOW_MS)
    return [start.task.job_id for start in starts]


def make_planner(policy: Policy, workers: int, *, uses_overload_order: bool) -> Planner:
    fleet = Fleet()
    for n in range(workers):
        worker = Worker(f"w{n}", 1, "pool", "", "zone", Resources(4.0, 8_000, 0))
        fleet.add_worker(worker).has_current_lists = True
    return Planner(fleet, uses_overload_order=uses_overload_order)


def test_old_jobs_do_not_block_a_full_pool(policy):
    """Guards against the return of late jobs to the front after some seconds.

    Load: 30 jobs that have waited for 7 s and 5 new ones, for a pool of 5 workers.
    Without the order, the old ones start and the new ones become late too.
    """
    jobs = make_jobs(0, 30, int(NOW_MS) - 7_000) + make_jobs(30, 5, int(NOW_MS) - 100)
    for uses_overload_order, is_new in ((True, True), (False, False)):
        planner = make_planner(policy, 5, uses_overload_order=uses_overload_order)
        copies = [ActiveJob(active_job.job) for active_job in jobs]
        order = plan_order(planner, copies, policy)
        assert len(order) == 5
        assert all((int(job_id, 16) >= 30) is is_new for job_id in order)


def test_delayed_job_is_brought_forward(policy):
    """Guards against accepted jobs that never start while a load goes on."""
    old, new = make_jobs(0, 3, int(NOW_MS) - 20_000), make_jobs(3, 9, int(NOW_MS))
    planner = make_planner(policy, 4, uses_overload_order=True)
    order = plan_order(planner, old + new, policy)
    assert sum(int(job_id, 16) < 3 for job_id in order) == 1


def test_job_without_a_fitting_worker_does_not_keep_others_from_their_turn(policy):
    """Guards against delayed jobs that never start behind one that cannot start.

    Load: new jobs fill the pool in each round. The oldest job needs more than a worker
    has, the next oldest one would fit.
    """
    too_large, old = make_jobs(0, 2, int(NOW_MS) - 20_000)
    too_large = ActiveJob(
        replace(too_large.job, steps=(Step(1, 8_000, estimated_ms=1_000),))
    )
    planner = make_planner(policy, 1, uses_overload_order=True)
    for number in range(20):
        now_ms = NOW_MS + number * 1_000.0
        new = make_jobs(100 * (number + 1), 9, int(now_ms))
        starts = planner.plan([too_large, old, *new], policy, (), 1.0, now_ms)
        if starts[0].task.job_id == old.job.job_id:
            return
    pytest.fail("the old job has not started")


def test_job_whose_turn_was_too_short_gets_another_one(policy):
    """Guards against an old job that waits behind an endless row of newer ones.

    Load: new jobs fill the pool in each round, and all that do not start become late.
    The oldest job cannot start in the first 30 s.
    """
    (old,) = make_jobs(0, 1, int(NOW_MS) - 20_000)
    large = ActiveJob(replace(old.job, steps=(Step(1, 8_000, estimated_ms=1_000),)))
    planner = make_planner(policy, 1, uses_overload_order=True)
    waiting: dict[str, ActiveJob] = {}
    for number in range(120):
        now_ms = NOW_MS + number * 1_000.0
        if number == 30:
            worker = Worker("large", 1, "pool", "", "zone", Resources(8.0, 8_000, 0))
            planner._fleet.add_worker(worker).has_current_lists = True
        for active_job in make_jobs(100 * (number + 1), 3, int(now_ms)):
            waiting[active_job.job.job_id] = active_job
        starts = planner.plan([large, *waiting.values()], policy, (), 1.0, now_ms)
        for start in starts:
            if start.task.job_id == old.job.job_id:
                return
            waiting.pop(start.task.job_id, None)
    pytest.fail("the old job has not started again")


def test_each_priority_brings_its_delayed_jobs_forward(policy):
    """Guards against delayed jobs that wait behind one of a queue with low priority.

    Load: urgent jobs fill the pool; the oldest job is of a less urgent queue.
    """
    urgent = policy.queue_by_name["queue"]
    slow = replace(urgent, name="slow", priority=1)
    policy = replace(policy, queue_by_name={"queue": urgent, "slow": slow})
    oldest, old = make_jobs(0, 2, int(NOW_MS) - 20_000)
    oldest = ActiveJob(
        replace(oldest.job, queue="slow", accepted_ms=int(NOW_MS) - 30_000)
    )
    planner = make_planner(policy, 1, uses_overload_order=True)
    new = make_jobs(100, 9, int(NOW_MS))
    assert plan_order(planner, [oldest, old, *new], policy) == [old.job.job_id]


def test_queue_with_low_priority_gets_the_room_that_others_leave(policy):
    """Guards against jobs that are all late since room is counted twice.

    Load: urgent jobs need all the room of the next seconds; less urgent jobs wait, too.
    """
    urgent = policy.queue_by_name["queue"]
    slow = replace(urgent, name="slow", priority=1)
    policy = replace(policy, queue_by_name={"queue": urgent, "slow": slow})
    jobs = make_jobs(0, 40, int(NOW_MS))
    for active_job in make_jobs(40, 5, int(NOW_MS)):
        jobs.append(ActiveJob(replace(active_job.job, queue="slow")))
    planner = make_planner(policy, 1, uses_overload_order=True)
    plan_order(planner, jobs, policy)
    counts = planner.overload_order.count_by_queue
    assert counts["queue"][Service.IN_TIME] > 0
    assert counts["slow"][Service.IN_TIME] == 0


def test_gang_that_starts_in_time_counts_as_served(policy):
    """Guards against gangs that are always preferred, as only late ones are counted."""
    (active_job,) = make_jobs(0, 1, int(NOW_MS))
    gang = Step(2, 4_000, estimated_ms=1_000, gang=True)
    active_job = ActiveJob(replace(active_job.job, steps=(gang,)))
    planner = make_planner(policy, 2, uses_overload_order=True)
    assert len(plan_order(planner, [active_job], policy)) == 2
    assert planner.overload_order._sizes._counts == {("queue", 0): [1.0, 1.0]}


def test_repeated_job_is_in_time_from_its_first_run_on(policy):
    """Guards against jobs that count as late since they were submitted long before."""
    (active_job,) = make_jobs(0, 1, int(NOW_MS) - 60_000)
    job = replace(active_job.job, repetitions=1, first_run_ms=int(NOW_MS))
    planner = make_planner(policy, 1, uses_overload_order=True)
    assert plan_order(planner, [ActiveJob(job)], policy) == [job.job_id]
    assert planner.overload_order._sizes._counts == {("queue", 0): [1.0, 1.0]}


def test_returning_job_is_not_put_behind_newcomers(policy):
    """Guards against callers who come back as told and find the room given away.

    Load: a job that was rejected before, larger than nine that come after it.
    """
    returning, *newcomers = make_jobs(0, 10, int(NOW_MS) - 100)
    job = replace(
        returning.job,
        rejections=1,
        first_offered_ms=int(NOW_MS) - 3_000,
        steps=(Step(4, 4_000, 0, 0, 1_000),),
    )
    planner = make_planner(policy, 4, uses_overload_order=True)
    order = plan_order(planner, [*newcomers, ActiveJob(job)], policy)
    assert order.count(job.job_id) == 4


def test_order_is_unchanged_where_all_fit(policy):
    """Guards against a changed order, and costs, while there is room for all."""
    planner = make_planner(policy, 8, uses_overload_order=True)
    plan_order(planner, make_jobs(0, 8, int(NOW_MS)), policy)
    assert planner.overload_order.count_by_queue == {}
