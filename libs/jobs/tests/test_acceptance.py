"""Tests of the decision whether a job is accepted under load."""

from __future__ import annotations

import dataclasses

import pytest

from lycheeloom.jobs.acceptance import (
    MAX_RETRY_S,
    excess_ms,
    find_waits,
    is_overloaded,
    retry_after_s,
)
from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.model import (
    EndKind,
    Job,
    Organisation,
    Policy,
    Queue,
    Step,
    TaskKey,
)
from lycheeloom.model.resources import Resources

NOW_MS = 1_000_000
# The quick lookups of the first deployment: target 1.6 x 640 ms + 600 ms = 1,624 ms.
LOOKUPS = Queue("lookups", "h", "/l/", "pool", stretch=1.6, target_latency_ms=600.0)
LONG_JOBS = Queue("long", "h", "/g/", "pool", 1, stretch=1.6, target_latency_ms=600.0)
POLICY = Policy(1, {queue.name: queue for queue in (LOOKUPS, LONG_JOBS)})
STEP = Step(8, 3_100, estimated_ms=640)
CORES = {"pool": 60 * 32.0}


def make_job(number: int = 0, queue: str = "lookups", **fields) -> Job:
    defaults = {"organisation": "red", "steps": (STEP,), "accepted_ms": NOW_MS}
    return Job(f"{number:016x}", queue, specification="", **{**defaults, **fields})


def lookups(count: int, **fields) -> list[ActiveJob]:
    return [ActiveJob(make_job(number, **fields)) for number in range(count)]


def wait_ms_by_queue(*load) -> dict[str, float]:
    """Return the waits of queues for an organisation with most of the work."""
    return {name: wait.total_ms for name, wait in find_waits(*load).items()}


def test_overload_of_lookups_is_rejected_and_ordinary_load_is_not():
    """Guards against rejections with free capacity, and against none under overload.

    Load: 867 lookups wait, as on the measured day, or one second of the mean rate.
    """
    waits = wait_ms_by_queue(lookups(867), POLICY, CORES, NOW_MS)
    assert waits["lookups"] == pytest.approx(867 * 8 * 3.1 * 640 / 1_920)
    assert is_overloaded(LOOKUPS, waits["lookups"])
    assert excess_ms(make_job(), LOOKUPS, waits["lookups"], NOW_MS) > 0
    waits = wait_ms_by_queue(lookups(14), POLICY, CORES, NOW_MS)
    assert not is_overloaded(LOOKUPS, waits["lookups"])
    assert excess_ms(make_job(), LOOKUPS, waits["lookups"], NOW_MS) == 0


def test_work_of_no_use_does_not_cause_rejections():
    """Guards against jobs that nobody waits for and that keep new ones out.

    Load: 867 lookups of 4.3 s ago, which can no longer end within three targets.
    """
    late = lookups(867, accepted_ms=NOW_MS - 4_300)
    assert wait_ms_by_queue(late, POLICY, CORES, NOW_MS)["lookups"] == 0


def test_only_work_that_goes_first_counts():
    """Guards against urgent jobs rejected for work that they overtake.

    Load: 500 jobs of the queue with the lower priority wait.
    """
    waits = wait_ms_by_queue(lookups(500, queue="long"), POLICY, CORES, NOW_MS)
    assert waits["lookups"] == 0
    waits = wait_ms_by_queue(lookups(500), POLICY, CORES, NOW_MS)
    assert waits["long"] == waits["lookups"] > 0


def test_organisation_at_its_limit_does_not_keep_others_out():
    """Guards against rejections while another organisation may not use what is free.

    Load: 867 lookups of an organisation with a limit of a tenth of the pool.
    """
    limited = Organisation("red", frozenset(), 1.0, Resources(192.0, 0, 0))
    policy = dataclasses.replace(POLICY, organisation_by_name={"red": limited})
    jobs = lookups(867)
    assert wait_ms_by_queue(jobs, policy, CORES, NOW_MS)["lookups"] == 0
    # With the work of another organisation, what the limit leaves is divided.
    jobs += lookups(100, organisation="blue")
    waits = wait_ms_by_queue(jobs, policy, CORES, NOW_MS)
    assert waits["lookups"] == pytest.approx(100 * 8 * 3.1 * 640 / (1_920 - 192))


def test_flood_of_one_organisation_does_not_reject_the_others():
    """Guards against callers turned away for what one organisation sends too much.

    Load: 867 lookups of one organisation, 20 of one within its share, none of a third.
    """
    jobs = lookups(867) + lookups(20, organisation="blue")
    wait = find_waits(jobs, POLICY, CORES, NOW_MS)["lookups"]
    assert is_overloaded(LOOKUPS, wait.total_ms)
    assert is_overloaded(LOOKUPS, wait.wait_ms_by_organisation["red"])
    assert not is_overloaded(LOOKUPS, wait.wait_ms_by_organisation["blue"])
    assert "green" not in wait.wait_ms_by_organisation


def test_done_and_running_tasks_do_not_wait():
    """Guards against a wait that stays while the work ahead is done.

    Load: one job of two steps; the first is done, of the second one task runs.
    """
    job = make_job(steps=(STEP, dataclasses.replace(STEP, after=(0,))))
    active_job = ActiveJob(job)
    active_job.startable_steps(NOW_MS)
    assert wait_ms_by_queue([active_job], POLICY, {"pool": 3.1}, NOW_MS) == {
        "lookups": pytest.approx(16 * 640),
        "long": pytest.approx(16 * 640),
    }
    for index in range(8):
        task = TaskKey(job.job_id, 0, 0, index)
        active_job.note_end(task, active_job.take(task), EndKind.DONE, "")
    active_job.take(TaskKey(job.job_id, 0, 1, 0))
    waits = wait_ms_by_queue([active_job], POLICY, {"pool": 3.1}, NOW_MS)
    assert waits["lookups"] == pytest.approx(7 * 640)


def test_pool_of_unknown_size_has_no_wait():
    """Guards against rejections by a leader that does not know its fleet yet."""
    assert wait_ms_by_queue(lookups(867), POLICY, {}, NOW_MS) == {}


@pytest.mark.parametrize(
    "fields",
    [
        {"repetitions": 3, "interval_ms": 1_000},
        {"steps": (Step(1, 1_000, long_running=True),)},
    ],
)
def test_job_without_a_target_is_never_rejected(fields):
    """Guards against services and repeated jobs rejected for a load of this moment."""
    assert excess_ms(make_job(**fields), LOOKUPS, 600_000.0, NOW_MS) == 0


def test_returning_job_is_accepted_whenever_a_new_one_is():
    """Guards against a returning caller placed behind newcomers.

    Load: every wait between none and 10 s; the job was first offered 2 s ago.
    """
    returning = make_job(rejections=1, first_offered_ms=NOW_MS - 2_000)
    for wait_ms in range(0, 10_000, 100):
        as_new = excess_ms(make_job(1), LOOKUPS, wait_ms, NOW_MS)
        assert excess_ms(returning, LOOKUPS, wait_ms, NOW_MS) <= as_new
    assert excess_ms(returning, LOOKUPS, 5_000, NOW_MS) == 0
    assert excess_ms(make_job(1), LOOKUPS, 5_000, NOW_MS) > 0


def test_callers_that_are_rejected_together_do_not_return_together():
    """Guards against a second peak after each rejected one.

    Load: 200 callers rejected at once with 4 s of work too much.
    """
    delays = [retry_after_s(4_000, f"{number:016x}", 1) for number in range(200)]
    assert {4, 5, 6, 7, 8} == set(delays)
    assert delays.count(4) < 80
    assert retry_after_s(1, "00", 1) >= 1
    assert retry_after_s(10**9, "00", 1) == MAX_RETRY_S
