"""Tests of which steps and workers the advice service is asked about."""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Collection, Iterator, Sequence

import gevent
import pytest
from libs.coordinator.tests.fakes import (
    JOB_ID,
    FakeCluster,
    make_job,
    make_worker,
    wait_until,
)

from lycheeloom.coordinator.ports import Advice
from lycheeloom.coordinator.step_advice import StepAdvice
from lycheeloom.coordinator.ticket_fetcher import (
    MAX_WORKERS_PER_CALL,
    MIN_CALL_INTERVAL_S,
    TicketFetcher,
)
from lycheeloom.jobs.model import AdviceTerms, Step

# More than two calls may name.
WORKER_COUNT = 70
CALL_S = 0.05


class AdviceService:
    """An advice service that allows some workers to run the steps of each job."""

    def __init__(self, validity_s: float = 3.0) -> None:
        self.validity_s = validity_s
        # By job id.
        self.allowed_by_job: dict[str, Collection[str]] = {}
        # The workers named in each call, by job id.
        self.calls_by_job: dict[str, list[Sequence[str]]] = {}

    def advise(self, step: str, worker_ids: Sequence[str], timeout_s: float) -> Advice:
        gevent.sleep(CALL_S)
        job_id = step.split(".")[0]
        self.calls_by_job.setdefault(job_id, []).append(worker_ids)
        allowed = self.allowed_by_job.get(job_id, ())
        return Advice(
            {w: "ticket" for w in worker_ids if w in allowed}, self.validity_s
        )


@pytest.fixture
def large_cluster() -> Iterator[FakeCluster]:
    """A pool of ``WORKER_COUNT`` workers, whose queue requires advice."""
    cluster = FakeCluster(WORKER_COUNT)
    policy = cluster.view.policy
    queue = dataclasses.replace(
        policy.queue_by_name["queue"], advice=AdviceTerms(20.0, 1.0, 3_000.0)
    )
    cluster.view.policy = dataclasses.replace(policy, queue_by_name={"queue": queue})
    yield cluster
    cluster.close()


def start_fetcher(cluster: FakeCluster, service: AdviceService) -> None:
    """Start a leader that has the lists of all workers, and then its fetcher."""
    dispatcher = cluster.start_leader()
    wait_until(
        lambda: (
            sum(s.has_current_lists for s in dispatcher.fleet.state_by_id.values())
            == len(cluster.view.worker_by_id)
        )
    )
    cluster.spawn(TicketFetcher(dispatcher, service).run)


def started_workers(cluster: FakeCluster) -> set[str]:
    """Return the workers that have carried out a start."""
    return {worker_id for worker_id, _, _ in cluster.workers.started_runs}


@pytest.mark.parametrize("number", [0, 29, 30, 45, 69])
def test_only_allowed_worker_is_found(large_cluster, number):
    """A job must start although only one worker of a large pool may run it.

    Guards against review case 12: the service was asked about the same 30 workers again
    and again.
    """
    service = AdviceService()
    service.allowed_by_job[JOB_ID] = {f"w{number}"}
    large_cluster.store.add_job(make_job())
    start_fetcher(large_cluster, service)
    wait_until(lambda: bool(large_cluster.workers.started_runs))
    assert large_cluster.workers.started_runs[0][0] == f"w{number}"


def test_allowed_workers_of_later_calls_get_tasks(large_cluster):
    """Tasks must not wait for a full worker while another allowed one is idle."""
    service = AdviceService()
    service.allowed_by_job[JOB_ID] = {"w1", "w68"}
    # Each worker has room for eight tasks at a time.
    large_cluster.store.add_job(make_job(JOB_ID, Step(16, 1000)))
    start_fetcher(large_cluster, service)
    wait_until(lambda: started_workers(large_cluster) == {"w1", "w68"})


def test_workers_are_asked_about_in_turn(large_cluster):
    """A call must not take long, and no worker may be left out for good."""
    service = AdviceService(validity_s=0.1)
    large_cluster.store.add_job(make_job())
    start_fetcher(large_cluster, service)
    wait_until(lambda: len(service.calls_by_job.get(JOB_ID, ())) >= 7)
    calls = service.calls_by_job[JOB_ID]
    assert max(map(len, calls)) <= MAX_WORKERS_PER_CALL
    # The calls about all workers, twice.
    assert set(Counter(w for call in calls[:3] for w in call).values()) == {1}
    assert len({w for call in calls[:3] for w in call}) == WORKER_COUNT
    assert len({w for call in calls[3:6] for w in call}) == WORKER_COUNT


def test_step_is_not_held_back_by_steps_that_no_worker_may_run(large_cluster):
    """A job must start although earlier ones need the service again and again.

    A call for each of them takes longer than the time after which they need the next.
    """
    service = AdviceService(validity_s=0.5)
    others = [f"{number:016d}" for number in range(1, 17)]
    assert CALL_S * len(others) > MIN_CALL_INTERVAL_S
    for job_id in others:
        large_cluster.store.add_job(make_job(job_id))
    last = "f" * 16
    large_cluster.store.add_job(make_job(last))
    service.allowed_by_job[last] = {"w5"}
    start_fetcher(large_cluster, service)
    wait_until(lambda: bool(large_cluster.workers.started_runs))
    assert large_cluster.workers.started_runs[0][1].job_id == last


def test_all_eligible_workers_have_tickets_at_a_time(large_cluster):
    """A gang that needs all workers of a large pool must start."""
    service = AdviceService()
    service.allowed_by_job[JOB_ID] = {f"w{n}" for n in range(WORKER_COUNT)}
    step = Step(WORKER_COUNT, 1000, max_per_worker=1, gang=True)
    large_cluster.store.add_job(make_job(JOB_ID, step))
    start_fetcher(large_cluster, service)
    wait_until(lambda: len(started_workers(large_cluster)) == WORKER_COUNT)


def test_worker_that_comes_later_is_asked_about(large_cluster):
    """A job must start when a worker comes that may run it.

    The tickets of the service are valid for minutes.
    """
    service = AdviceService(validity_s=600.0)
    service.allowed_by_job[JOB_ID] = {"w99"}
    large_cluster.store.add_job(make_job())
    start_fetcher(large_cluster, service)
    wait_until(lambda: len(service.calls_by_job.get(JOB_ID, ())) == 3)
    large_cluster.view.worker_by_id["w99"] = make_worker(99)
    wait_until(lambda: started_workers(large_cluster) == {"w99"})


def test_ineligible_workers_are_asked_about_once():
    """Calls must not grow longer by workers that may not run the step."""
    workers = [make_worker(number) for number in range(5)]
    advice = StepAdvice(0.0)
    advice.note(workers, {"w3"})
    assert advice.choose(workers, workers, 1.0, 30) == [workers[3]]


def test_ineligible_workers_are_not_asked_about_again_at_once():
    """The service must not be called on and on about workers that it does not allow."""
    workers = [make_worker(number) for number in range(5)]
    advice = StepAdvice(0.0)
    advice.note(workers, set())
    advice.repeat_s = 4.0
    assert advice.choose(workers, workers, 3.9, 30) == []
    assert advice.choose(workers, workers, 4.0, 30) == workers


def test_restarted_worker_is_asked_about_again():
    """An answer must not be taken for one about another incarnation of a worker."""
    workers = [make_worker(number) for number in range(2)]
    advice = StepAdvice(0.0)
    advice.note(workers, {"w0"})
    restarted = dataclasses.replace(workers[1], started_ms=2)
    pool = [workers[0], restarted]
    assert advice.choose(pool, pool, 1.0, 30) == [restarted, workers[0]]


def test_eligible_worker_that_has_left_does_not_keep_others_from_being_asked_about():
    """A step must not wait for a worker that is gone."""
    workers = [make_worker(number) for number in range(3)]
    advice = StepAdvice(0.0)
    advice.note(workers, {"w0"})
    pool = workers[1:]
    assert advice.choose(pool, pool, 1.0, 30) == pool
