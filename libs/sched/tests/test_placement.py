"""Tests of placement, refusals, reservations, preemption, zones and probation."""

from collections import Counter

import pytest

from lycheeloom.model.config import ZoneState
from lycheeloom.model.resources import Resources
from lycheeloom.model.verdict import Refusal, RefusalReason
from lycheeloom.sched import (
    Accepted,
    Checkpoint,
    Expire,
    Held,
    Outcome,
    PreemptionReason,
    Start,
    Task,
    UsageReport,
)
from lycheeloom.sched.events import RackLost, WorkerOnProbation, WorkerReturned

from .fleet_fixtures import (
    ONE_CORE,
    WORKER_SIZE,
    make_config,
    make_scheduler,
    starts,
    submit,
    with_zone,
)


def zone_of(config, decision):
    return config.instance_by_id[decision.worker].zone


def test_queue_is_spread_over_zones():
    """Guards against all tasks of a queue running in one zone."""
    config = make_config()
    scheduler = make_scheduler(config)
    submit(scheduler, 6)
    zones = Counter(zone_of(config, d) for d in starts(scheduler, 0.0))
    assert zones == {"z0": 2, "z1": 2, "z2": 2}


@pytest.mark.parametrize(
    ("resources", "words"),
    [
        (Resources(5, 1), ("5 cores", "has 4")),
        (Resources(1, 20000), ("memory_mb", "16384")),
        (Resources(1, 1, 1), ("accelerators", "has 0")),
    ],
)
def test_task_that_never_fits_is_refused_with_resource_and_largest(resources, words):
    """Guards against a task that waits for ever for a worker that does not exist."""
    scheduler = make_scheduler(make_config())
    verdict = scheduler.submit(Task("t", "t0", "q", resources), 0.0)
    assert isinstance(verdict, Refusal)
    assert verdict.reason is RefusalReason.NEVER_FITS
    assert all(word in verdict.message for word in words)


def test_task_is_held_if_a_larger_worker_could_be_moved():
    """Guards against refusing a task that fits once a worker is moved to its pool."""
    config = make_config()
    scheduler = make_scheduler(config)
    pools = {name: i.pool for name, i in config.instance_by_id.items()}
    small = {name: "main" for name in pools if name.startswith("none")}
    scheduler.set_pool_by_instance({**small, **dict.fromkeys(pools, "other")})
    verdict = scheduler.submit(Task("t", "t0", "q", ONE_CORE), 0.0)
    assert isinstance(verdict, Held)
    assert "other" in verdict.message


def test_zone_out_stops_starts_at_once_and_checkpoints():
    """Guards against starts in a zone that operators took out of service (I5)."""
    config = make_config()
    scheduler = make_scheduler(config)
    submit(scheduler, 12, checkpointable=True)
    first = starts(scheduler, 0.0)
    in_zone = {d.task.id for d in first if zone_of(config, d) == "z1"}
    scheduler.set_config(with_zone(config, "z1"), 1.0)
    submit(scheduler, 40, "t1", now=1.0)
    decisions = scheduler.next_decisions(1.0)
    assert {d.task_id for d in decisions if isinstance(d, Checkpoint)} == in_zone
    for task_id in in_zone:
        scheduler.finished(task_id, Outcome.STOPPED, 1.1)
    for decision in [*decisions, *scheduler.next_decisions(1.2)]:
        if isinstance(decision, Start):
            assert zone_of(config, decision) != "z1"


def test_returned_zone_is_filled_gradually():
    """Guards against filling a zone at once when it is back in service."""
    config = make_config()
    scheduler = make_scheduler(with_zone(config, "z1"))
    submit(scheduler, 100)
    starts(scheduler, 0.0)
    scheduler.set_config(with_zone(config, "z1", ZoneState.IN), 10.0)
    counts = []
    for tenths in range(0, 40, 5):
        found = starts(scheduler, 10.0 + tenths / 10)
        assert all(zone_of(config, d) == "z1" for d in found)
        counts.append(len(found))
    assert 0 < counts[0] <= 4
    assert sum(counts) == 16


def test_large_task_gets_a_reserved_worker():
    """Guards against a large task that starves because small ones start before it."""
    config = make_config(workers=1, zones=1)
    scheduler = make_scheduler(config)
    submit(scheduler, 4, "t0", run_s=2.0)
    assert len(starts(scheduler, 0.0)) == 4
    submit(scheduler, 4, "t0", "o", run_s=1000.0)
    starts(scheduler, 0.0)
    submit(scheduler, 1, "t1", now=0.0, resources=WORKER_SIZE)
    submit(scheduler, 50, "t0", now=0.0, prefix="x", run_s=2.0)
    running = [f"t0-q-{n}" for n in range(4)]
    now = 0.0
    while now < 20.0:
        now += 0.5
        scheduler.finished(running.pop(0), Outcome.DONE, now)
        started = [d.task.id for d in starts(scheduler, now)]
        if "t1-q-0" in started:
            return
        running.extend(started)
        if not running:
            break
    pytest.fail("the large task never started")


def test_corrected_size_is_used_and_never_below_observed():
    """Guards against placing tasks by declared sizes that usage reports contradict."""
    scheduler = make_scheduler(make_config())
    submit(scheduler, 8)
    for start in starts(scheduler, 0.0):
        scheduler.finished(start.task.id, Outcome.DONE, 1.0)
        report = UsageReport(start.task.id, Resources(2, 4096), 3.0)
        scheduler.observe_usage([report], 3.0)
    submit(scheduler, 1, now=4.0, prefix="later")
    (start,) = starts(scheduler, 4.0)
    assert start.resources == Resources(2, 4096)
    report = UsageReport(start.task.id, Resources(3, 4096), 1.0, ended=False)
    scheduler.observe_usage([report], 5.0)
    submit(scheduler, 40, "t1", "q", now=5.0, resources=Resources(2, 1024))
    workers = [d.worker for d in starts(scheduler, 5.0)]
    assert start.worker not in workers


def test_worker_that_fails_everything_gets_only_trials():
    """Guards against a broken worker that takes and fails the whole queue."""
    scheduler = make_scheduler(make_config(workers=2))
    submit(scheduler, 200, idempotent=True, now=0.0)
    now, on_bad = 0.0, 0
    for _ in range(40):
        now += 0.25
        for start in starts(scheduler, now):
            bad = start.worker == "main-0"
            on_bad += bad and now > 1.0
            outcome = Outcome.FAILED if bad else Outcome.DONE
            scheduler.finished(start.task.id, outcome, now + 0.1)
    assert on_bad <= 4
    events = scheduler.fleet_events()
    assert [e.worker for e in events if isinstance(e, WorkerOnProbation)] == ["main-0"]


def test_worker_returns_after_successful_trials():
    """Guards against never using a repaired worker again."""
    scheduler = make_scheduler(make_config(workers=1))
    submit(scheduler, 30, idempotent=True)
    for start in reversed(starts(scheduler, 0.0)):
        good = start.worker != "main-0"
        outcome = Outcome.DONE if good else Outcome.FAILED
        scheduler.finished(start.task.id, outcome, 0.1)
    for now in (3.0, 4.0, 5.0, 6.0):
        for start in starts(scheduler, now):
            scheduler.finished(start.task.id, Outcome.DONE, now)
    assert any(isinstance(e, WorkerReturned) for e in scheduler.fleet_events())


def test_task_that_fails_everywhere_puts_no_worker_on_probation():
    """Guards against faulty tasks that put healthy workers on probation."""
    scheduler = make_scheduler(make_config())
    for n in range(60):
        submit(scheduler, 1, "t1", now=float(n), prefix=f"good{n}", idempotent=True)
        submit(scheduler, 1, "t0", "o", now=float(n), prefix=f"bad{n}", idempotent=True)
        for start in starts(scheduler, float(n)):
            good = start.task.organisation == "t1"
            outcome = Outcome.DONE if good else Outcome.FAILED
            scheduler.finished(start.task.id, outcome, n + 0.5)
    probations = [
        e for e in scheduler.fleet_events() if isinstance(e, WorkerOnProbation)
    ]
    assert not probations


def test_lost_rack_is_one_event():
    """Guards against reporting the workers of a lost rack one by one."""
    config = make_config()
    scheduler = make_scheduler(config)
    rack = config.instance_by_id["main-0"].rack
    for name, instance in config.instance_by_id.items():
        if instance.rack == rack:
            scheduler.observe_worker(name, False, None, "boot", 5.0)
    events = [e for e in scheduler.fleet_events() if isinstance(e, RackLost)]
    assert [e.rack for e in events] == [rack]


def test_urgent_task_checkpoints_on_a_full_fleet_and_is_charged():
    """Guards against urgent tasks that wait on a full fleet or are not charged."""
    scheduler = make_scheduler(make_config(workers=2))
    submit(scheduler, 8, "t0", checkpointable=True, run_s=1000.0)
    submit(scheduler, 8, "t0", "o", checkpointable=True, run_s=1000.0)
    assert len(starts(scheduler, 0.0)) == 16
    submit(scheduler, 1, "t1", urgent=True, resources=Resources(2, 2048), now=1.0)
    asked = scheduler.next_decisions(1.0)
    assert [d.reason for d in asked] == [PreemptionReason.URGENT] * 2
    for decision in asked:
        scheduler.finished(decision.task_id, Outcome.STOPPED, 1.3)
    (start,) = starts(scheduler, 1.3)
    assert start.task.urgent
    assert scheduler.usage_by_organisation()["t1"].running == Resources(2, 2048)
    assert scheduler.demand_by_organisation() == {"t0": 16, "t1": 1}


def test_borrowed_capacity_is_reclaimed_by_checkpointing():
    """Guards against tasks of the pool's own queue waiting behind long borrowers."""
    scheduler = make_scheduler(make_config(workers=2))
    submit(scheduler, 16, "t0", "o", checkpointable=True, run_s=1000.0)
    assert len(starts(scheduler, 0.0)) == 16
    submit(scheduler, 4, "t1", "q", now=10.0)
    asked = list(scheduler.next_decisions(10.0)) + list(scheduler.next_decisions(12.0))
    assert {d.reason for d in asked} == {PreemptionReason.LOAN_RETURN}
    for decision in asked:
        scheduler.finished(decision.task_id, Outcome.STOPPED, 12.5)
    assert [d.task.organisation for d in starts(scheduler, 12.5)][:1] == ["t1"]


def test_task_that_cannot_meet_its_deadline_is_refused_or_expires():
    """Guards against tasks that wait although they cannot start in time."""
    scheduler = make_scheduler(make_config(workers=1), grants=1)
    submit(scheduler, 30, now=0.0)
    for second in range(1, 9):
        for start in starts(scheduler, float(second)):
            scheduler.finished(start.task.id, Outcome.DONE, second + 0.5)
    late = Task("late", "t0", "q", ONE_CORE, deadline=12.0)
    verdict = scheduler.submit(late, 9.0)
    assert isinstance(verdict, Refusal)
    assert verdict.reason is RefusalReason.DEADLINE
    scheduler.set_grants({})
    tight = Task("tight", "t1", "q", ONE_CORE, deadline=10.0)
    assert isinstance(scheduler.submit(tight, 9.0), Accepted)
    decisions = scheduler.next_decisions(10.0)
    assert [d.task.id for d in decisions if isinstance(d, Expire)] == ["tight"]


def test_refused_start_is_queued_again_elsewhere():
    """Guards against losing a refused task or offering it to the same worker."""
    scheduler = make_scheduler(make_config())
    submit(scheduler, 1)
    (start,) = starts(scheduler, 0.0)
    scheduler.finished(start.task.id, Outcome.REFUSED_BY_WORKER, 0.1)
    assert not starts(scheduler, 0.1)
    scheduler.requeue(start.task.id, start.worker)
    (again,) = starts(scheduler, 0.1)
    assert again.task.id == start.task.id
    assert again.worker != start.worker


def test_explanations_are_sentences():
    """Guards against decisions for which an operator finds no reason."""
    scheduler = make_scheduler(make_config(workers=1), grants=2)
    submit(scheduler, 3)
    starts(scheduler, 0.0)
    assert "running slots" in str(scheduler.explain("t0-q-2")[-1])
    assert "Started on main-0" in str(scheduler.explain("t0-q-0")[-1])
    assert "runs 2 of 2" in str(scheduler.explain_organisation("t0")[0])


def test_pool_on_probation_returns_without_idempotent_work():
    """Guards against tasks that are not idempotent and wait for ever.

    The only available worker is on probation, and there is no idempotent task to try
    it with.
    """
    scheduler = make_scheduler(make_config(workers=1))
    scheduler.observe_worker("other-0", False, None, "boot", 0.0)
    fail_until_on_probation(scheduler)
    submit(scheduler, 8, now=1.0, prefix="booking-")
    done = 0
    for now in range(1, 60):
        for start in starts(scheduler, float(now)):
            scheduler.finished(start.task.id, Outcome.DONE, float(now))
            done += 1
    assert done == 8


def test_trials_are_idempotent_while_others_can_do_the_work():
    """Guards against trying a suspect worker with tasks that cannot be repeated."""
    scheduler = make_scheduler(make_config(workers=1, spare=1))
    fail_until_on_probation(scheduler)
    submit(scheduler, 8, now=1.0, prefix="booking-")
    workers = set()
    for now in range(1, 60):
        for start in starts(scheduler, float(now)):
            workers.add(start.worker)
            scheduler.finished(start.task.id, Outcome.DONE, float(now))
    assert workers == {"spare-0", "other-0"}


def fail_until_on_probation(scheduler):
    """Fail every task on the worker of pool ``main`` until it is on probation."""
    submit(scheduler, 8, prefix="lookup-", idempotent=True)
    for _ in range(8):
        for start in reversed(starts(scheduler, 0.0)):
            is_bad = start.worker.startswith("main")
            outcome = Outcome.FAILED if is_bad else Outcome.DONE
            scheduler.finished(start.task.id, outcome, 0.0)
    events = [e for e in scheduler.fleet_events() if isinstance(e, WorkerOnProbation)]
    assert [event.worker for event in events] == ["main-0"]


def test_worker_put_on_probation_by_the_fleet_gets_single_trials():
    """Guards against normal work on a worker that the fleet has put on probation."""
    scheduler = make_scheduler(make_config(workers=1, spare=1))
    scheduler.set_probation("main-0", True, 0.0)
    submit(scheduler, 8, now=1.0, prefix="lookup-", idempotent=True)
    workers = [start.worker for start in starts(scheduler, 1.0)]
    assert workers.count("main-0") == 1
    scheduler.set_probation("main-0", False, 2.0)
    submit(scheduler, 8, now=2.0, prefix="more-", idempotent=True)
    assert [s.worker for s in starts(scheduler, 2.0)].count("main-0") > 1
